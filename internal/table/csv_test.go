package table_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

const csvHeader = "service,id,name,incarnation,agent,weight,connection_limit,drain\n"

const csvRows = csvHeader +
	"lookup,10,lookup-1,1,192.0.2.1:6081,5,2000,false\n" +
	"lookup,11,lookup-2,3,192.0.2.2:6081,7,0,true\n"

var _ = Describe("CSV", func() {
	It("writes all rows but removed ones", func() {
		var output bytes.Buffer
		Expect(table.WriteCSV(&output, exampleTable())).To(Succeed())
		Expect(output.String()).To(Equal(csvRows))
	})

	It("reads back the rows that it wrote, including quoted names", func() {
		written := exampleTable()
		written.Backends[2].Removed = false
		var output bytes.Buffer
		Expect(table.WriteCSV(&output, written)).To(Succeed())
		rows, err := table.ReadCSV(&output, written.Services)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal(written.Backends))
	})

	It("reads files with a byte order mark, CRLF and upper-case flags, as spreadsheet programs write them", func() {
		saved := "\ufeff" + strings.ReplaceAll(strings.ReplaceAll(csvRows, "true", "TRUE"), "\n", "\r\n")
		rows, err := table.ReadCSV(strings.NewReader(saved), exampleTable().Services)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal(exampleTable().Backends[:2]))
	})

	DescribeTable("returns the line, column and rule of an invalid cell",
		func(old, replacement, row, column, rule string) {
			Expect(strings.Count(csvRows, old)).To(Equal(1))
			_, err := table.ReadCSV(strings.NewReader(strings.Replace(csvRows, old, replacement, 1)), exampleTable().Services)
			Expect(err).To(Equal(table.CellError{Row: row, Column: column, Rule: rule}))
		},
		Entry("unknown service", "lookup,11", "export,11", "line 3", "service", "names no service of the table"),
		Entry("not a number", ",7,", ",seven,", "line 3", "weight", "must be a whole number from 0 to 4294967295"),
		Entry("negative", ",2000,", ",-1,", "line 2", "connection_limit", "must be a whole number from 0 to 4294967295"),
		Entry("out of bounds", ",7,", ",10001,", "line 3", "weight", "must be at most 10000"),
		Entry("not an address", "192.0.2.1:6081", "host:6081", "line 2", "agent", "must be an IPv4 address and a port, such as 192.0.2.1:6081"),
		Entry("not a flag", "false", "maybe", "line 2", "drain", "must be true or false"),
		Entry("identifier 0", "lookup,10,", "lookup,0,", "line 2", "id", "must not be 0"),
	)

	DescribeTable("rejects text in another format",
		func(text, reason string) {
			_, err := table.ReadCSV(strings.NewReader(text), exampleTable().Services)
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("empty text", "", "EOF"),
		Entry("other columns", "service,id,name,incarnation,agent,weight,drain,connection_limit\n", "the first line must be"),
		Entry("missing field", csvHeader+"lookup,10\n", "wrong number of fields"),
	)
})
