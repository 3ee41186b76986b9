package main

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("vanetillerctl with zones", func() {
	var api *testServer

	BeforeEach(func() {
		api = newTestServer(nil)
		api.mustExecute("table", "import", writeTable(exampleTable), "-reason", "setup")
		api.mustExecute("table", "set", "lookup/lookup-1", "zone=north", "-reason", "place")
		api.mustExecute("table", "set", "lookup/lookup-2", "zone=south", "-reason", "place")
	})

	It("closes a zone, lists it as closed, and reopens it", func() {
		Expect(api.mustExecute("zone", "close", "south", "-reason", "power work", "-id", "z1")).To(Equal("accepted: version 4, change z1\n"))
		Expect(api.mustExecute("zones", "-output", "csv")).To(Equal(
			"zone,state,since version,in force on,back ends,left without it\n" +
				"north,open,-,-,1,lookup 0%\nsouth,closed,4,all,1,lookup 5%\n"))
		Expect(api.mustExecute("table", "show")).To(ContainSubstring("south (closed)"))
		Expect(api.mustExecute("zone", "open", "south", "-reason", "done")).To(HavePrefix("accepted: version 5"))
		Expect(api.mustExecute("zones")).NotTo(ContainSubstring("closed"))
	})

	It("prints the remaining capacity in a dry run without closing the zone", func() {
		Expect(api.mustExecute("zone", "close", "south", "-reason", "trial", "-dry-run")).To(SatisfyAll(
			ContainSubstring("left without south: lookup 5%"), ContainSubstring(`zone "south"`), HaveSuffix("dry run: would be accepted\n")))
		Expect(api.mustExecute("zones")).NotTo(ContainSubstring("closed"))
	})

	It("keeps closed zones closed when a CSV file is imported", func() {
		api.mustExecute("zone", "close", "south", "-reason", "work")
		exported := api.mustExecute("table", "export")
		Expect(exported).To(ContainSubstring(",south\n"))
		edited := writeFile("rows.csv", strings.Replace(exported, ",5,3,false,north", ",6,3,false,north", 1))
		Expect(api.mustExecute("-remove-missing", "table", "import", edited, "-reason", "edit")).To(HavePrefix("accepted"))
		Expect(api.mustExecute("table", "show")).To(ContainSubstring("south (closed)"))
	})

	It("refuses to close the last zone of a service unless forced", func() {
		api.mustExecute("zone", "close", "north", "-reason", "work")
		refused := api.execute("zone", "close", "south", "-reason", "work")
		Expect(refused.Status).To(Equal(exitRefused))
		Expect(refused.Stderr).To(ContainSubstring("without a row that gets new flows"))
		Expect(api.mustExecute("zone", "close", "south", "-reason", "work", "-force")).To(HavePrefix("accepted"))
	})

	DescribeTable("fails with the status of invalid usage", func(arguments ...string) {
		Expect(api.execute(arguments...).Status).To(Equal(exitUsage))
	},
		Entry("no command", "zone"),
		Entry("an unknown command", "zone", "shut", "north"),
		Entry("no zone", "zone", "close", "-reason", "x"),
		Entry("zones with an argument", "zones", "north"),
	)
})
