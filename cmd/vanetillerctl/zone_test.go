package main

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("vanetillerctl, about zones", func() {
	var fleet *fleet

	BeforeEach(func() {
		fleet = newFleet(nil)
		fleet.done("table", "import", write(example), "-reason", "setup")
		fleet.done("table", "set", "lookup/lookup-1", "zone=north", "-reason", "place")
		fleet.done("table", "set", "lookup/lookup-2", "zone=south", "-reason", "place")
	})

	It("closes a zone, shows it, and opens it again", func() {
		Expect(fleet.done("zone", "close", "south", "-reason", "power work", "-id", "z1")).To(Equal("accepted: version 4, change z1\n"))
		Expect(fleet.done("zones", "-output", "csv")).To(Equal(
			"zone,state,since version,in force on,back ends,left without it\n" +
				"north,open,-,-,1,lookup 0%\nsouth,closed,4,all,1,lookup 5%\n"))
		Expect(fleet.done("table", "show")).To(ContainSubstring("south (closed)"))
		Expect(fleet.done("zone", "open", "south", "-reason", "done")).To(HavePrefix("accepted: version 5"))
		Expect(fleet.done("zones")).NotTo(ContainSubstring("closed"))
	})

	It("tells in a dry run what would be left, and changes nothing", func() {
		Expect(fleet.done("zone", "close", "south", "-reason", "trial", "-dry-run")).To(SatisfyAll(
			ContainSubstring("left without south: lookup 5%"), ContainSubstring(`zone "south"`), HaveSuffix("dry run: would be accepted\n")))
		Expect(fleet.done("zones")).NotTo(ContainSubstring("closed"))
	})

	It("leaves closed zones closed when a spreadsheet is imported", func() {
		fleet.done("zone", "close", "south", "-reason", "work")
		exported := fleet.done("table", "export")
		Expect(exported).To(ContainSubstring(",south\n"))
		edited := file("rows.csv", strings.Replace(exported, ",5,3,false,north", ",6,3,false,north", 1))
		Expect(fleet.done("-remove-missing", "table", "import", edited, "-reason", "edit")).To(HavePrefix("accepted"))
		Expect(fleet.done("table", "show")).To(ContainSubstring("south (closed)"))
	})

	It("refuses to close the last zone of a service unless it is forced to", func() {
		fleet.done("zone", "close", "north", "-reason", "work")
		refused := fleet.execute("zone", "close", "south", "-reason", "work")
		Expect(refused.Status).To(Equal(exitRefused))
		Expect(refused.Stderr).To(ContainSubstring("without a row that gets new flows"))
		Expect(fleet.done("zone", "close", "south", "-reason", "work", "-force")).To(HavePrefix("accepted"))
	})

	DescribeTable("names wrong usage", func(arguments ...string) {
		Expect(fleet.execute(arguments...).Status).To(Equal(exitUsage))
	},
		Entry("no command", "zone"),
		Entry("an unknown command", "zone", "shut", "north"),
		Entry("no zone", "zone", "close", "-reason", "x"),
		Entry("an argument of zones", "zones", "north"),
	)
})
