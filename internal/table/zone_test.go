package table_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Table with zones", func() {
	zoned := func() *table.Table {
		return &table.Table{
			Version: 3,
			Services: []table.Service{
				{ID: 1, Name: "lookup", Address: "198.51.100.1:80", Protocol: table.ProtocolTCP},
				{ID: 2, Name: "export", Address: "198.51.100.2:80", Protocol: table.ProtocolTCP},
			},
			Backends: []table.Backend{
				{ID: 1, Service: 1, Name: "lookup-1", Agent: "192.0.2.1:6081", Weight: 5, Zone: "north"},
				{ID: 2, Service: 1, Name: "lookup-2", Agent: "192.0.2.2:6081", Weight: 5, Zone: "south"},
				{ID: 3, Service: 2, Name: "export-1", Agent: "192.0.2.3:6081", Weight: 5, Zone: "north"},
				{ID: 4, Service: 1, Name: "lookup-3", Agent: "192.0.2.4:6081", Weight: 5},
			},
		}
	}
	accepting := func(shown *table.Table) []table.BackendID {
		var ids []table.BackendID
		for _, row := range shown.Backends {
			if row.AcceptsNewFlows() {
				ids = append(ids, row.ID)
			}
		}
		return ids
	}

	It("accepts no new flows for rows of a closed zone, and keeps their cells", func() {
		closed := zoned()
		closed.SetZoneClosed("north", true, 4)
		Expect(accepting(closed)).To(Equal([]table.BackendID{2, 4}))
		Expect(closed.Validate()).To(Succeed())
		Expect(closed.Backends[0].Drain).To(BeFalse())
		Expect(closed.ClosedZones).To(Equal([]table.ClosedZone{{Zone: "north", Since: 4}}))
		Expect(closed.UnavailableServices()).To(ConsistOf(HaveField("Name", "export")))
		closed.SetZoneClosed("north", false, 5)
		Expect(closed).To(Equal(func() *table.Table { open := zoned(); open.ClosedZones = []table.ClosedZone{}; return open }()))
	})

	It("keeps closed zones in clones, in subsets of services and in both encodings", func() {
		closed := zoned()
		closed.SetZoneClosed("north", true, 4)
		Expect(closed.Clone()).To(Equal(closed))
		Expect(closed.ForServices([]table.ServiceID{2}).ClosedZones).To(HaveLen(1))
		closed.SetZoneClosed("south", true, 5)
		Expect(closed.ForServices([]table.ServiceID{2}).ClosedZones).To(HaveLen(1), "the subset has no row in the second zone")
		encoded, err := closed.MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		var decoded table.Table
		_, err = decoded.UnmarshalMsg(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(&decoded).To(Equal(closed))
		text, err := closed.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Parse(text)).To(Equal(closed))
	})

	It("derives the closed rows from the closed zones of the JSON text", func() {
		text := `{"version":3,"services":[{"id":1,"name":"lookup","address":"198.51.100.1:80","protocol":"tcp","owner":""}],` +
			`"backends":[{"id":1,"service":1,"name":"a","incarnation":1,"agent":"192.0.2.1:6081","weight":5,` +
			`"connection_limit":0,"drain":false,"zone":"north"}],"closed_zones":[{"zone":"north","since":2}]}`
		parsed, err := table.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(accepting(parsed)).To(BeEmpty())
	})

	DescribeTable("rejects invalid zones", func(change func(*table.Table), column, rule string) {
		broken := zoned()
		change(broken)
		Expect(broken.Validate()).To(MatchError(And(ContainSubstring("column "+column), ContainSubstring(rule))))
	},
		Entry("a row of a closed zone that is not marked", func(t *table.Table) {
			t.ClosedZones = []table.ClosedZone{{Zone: "north"}}
		}, "closed", "must tell whether the zone of the row is closed"),
		Entry("a marked row without a closed zone", func(t *table.Table) { t.Backends[3].Closed = true }, "closed", "must tell"),
		Entry("a closed zone that is listed twice", func(t *table.Table) {
			t.ClosedZones = []table.ClosedZone{{Zone: "east"}, {Zone: "east"}}
		}, "zone", "must be unique"),
		Entry("a closed zone without a name", func(t *table.Table) { t.ClosedZones = []table.ClosedZone{{}} }, "zone", "must have 1 to 64 bytes"),
		Entry("a zone name that is too long", func(t *table.Table) { t.Backends[0].Zone = strings.Repeat("z", 65) }, "zone", "must have at most 64 bytes"),
	)

	It("is written as CSV with a zone column, and read with or without it", func() {
		var written bytes.Buffer
		Expect(table.WriteCSV(&written, zoned())).To(Succeed())
		Expect(written.String()).To(HavePrefix("service,id,name,incarnation,agent,weight,connection_limit,drain,zone\nlookup,1,"))
		Expect(table.ReadCSV(&written, zoned().Services)).To(Equal(zoned().Backends))
		old := "service,id,name,incarnation,agent,weight,connection_limit,drain\nlookup,1,lookup-1,0,192.0.2.1:6081,5,0,false\n"
		rows, err := table.ReadCSV(strings.NewReader(old), zoned().Services)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(ConsistOf(HaveField("Zone", "")))
		_, err = table.ReadCSV(strings.NewReader(old+"lookup,2,lookup-2,0,192.0.2.2:6081,5,0,false,north\n"), zoned().Services)
		Expect(err).To(HaveOccurred(), "the line has one column more than the header")
	})
})
