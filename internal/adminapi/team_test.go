package adminapi_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

func service(id table.ServiceID, name, owner string, address table.Endpoint) table.Service {
	return table.Service{ID: id, Name: name, Owner: owner, Address: address, Protocol: table.ProtocolTCP}
}

func backend(id table.BackendID, of table.ServiceID, name string) table.Backend {
	return table.Backend{ID: id, Service: of, Name: name, Incarnation: 1, Agent: "192.0.2.9:6081", Weight: 1}
}

var _ = Describe("Teams", func() {
	var api *testAPI
	ctx := context.Background()

	BeforeEach(func() { api = newTestAPI() })

	It("see only their own rows", func() {
		seen, err := api.client(sawtToken).Table(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).To(Equal(adminapi.TableResponse{
			Table:       &table.Table{Version: 1, Services: exampleOperations().AddServices[1:], Backends: exampleOperations().AddBackends[2:]},
			RowVersions: []adminapi.RowVersion{{Backend: 20, Version: 1}},
		}))
		one, err := api.client(adminToken).Table(ctx, "lookup")
		Expect(err).NotTo(HaveOccurred())
		Expect(one.Table.Backends).To(Equal(exampleOperations().AddBackends[:2]))
	})

	DescribeTable("are refused changes to rows of another team, without details of those rows",
		func(operations adminapi.Operations, expected []adminapi.RowVersion, refusal adminapi.Refusal) {
			before := api.store.Table()
			response := api.submit(sawtToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 1), Operations: operations, ExpectedRows: expected})
			Expect(response.Outcome).To(Equal(adminapi.Refused))
			Expect(response.Refusal).To(Equal(&refusal))
			Expect(api.store.Table()).To(Equal(before))
		},
		Entry("cells", setWeight(10, 0), nil,
			adminapi.Refusal{Row: `back end "" (10)`, Column: "id", Rule: "names no row of the table"}),
		Entry("cells of own and other rows", adminapi.Operations{SetCells: append(setWeight(20, 1).SetCells, setWeight(11, 1).SetCells...)}, nil,
			adminapi.Refusal{Row: `back end "" (11)`, Column: "id", Rule: "names no row of the table"}),
		Entry("removal", adminapi.Operations{RemoveBackends: []table.BackendID{10}}, nil,
			adminapi.Refusal{Row: `back end "" (10)`, Column: "id", Rule: "names no row of the table"}),
		Entry("removal of a service", adminapi.Operations{RemoveServices: []table.ServiceID{1}}, nil,
			adminapi.Refusal{Row: `service "" (1)`, Column: "id", Rule: "names no service of the table"}),
		Entry("expected row", setWeight(20, 1), []adminapi.RowVersion{{Backend: 10, Version: 9}},
			adminapi.Refusal{Row: `back end "" (10)`, Column: "id", Rule: "names no row of the table"}),
		Entry("row added to a service", adminapi.Operations{AddBackends: []table.Backend{backend(30, 1, "x")}}, nil,
			adminapi.Refusal{Row: `back end "x" (30)`, Column: "service", Rule: "names no service of the table"}),
		Entry("row added under the identifier of another team's row", adminapi.Operations{AddBackends: []table.Backend{backend(10, 2, "x")}}, nil,
			adminapi.Refusal{Row: `back end "x" (10)`, Column: "id", Rule: "must be unique"}),
		Entry("row added and set under the identifier of another team's row",
			adminapi.Operations{AddBackends: []table.Backend{backend(10, 2, "x")}, SetCells: setWeight(10, 0).SetCells}, nil,
			adminapi.Refusal{Row: `back end "x" (10)`, Column: "id", Rule: "must be unique"}),
		Entry("service for another team", adminapi.Operations{AddServices: []table.Service{service(3, "x", "gateway", "198.51.100.3:80")}}, nil,
			adminapi.Refusal{Row: `service "x" (3)`, Column: "owner", Rule: `must be the team "sawt"`}),
		Entry("service without owner", adminapi.Operations{AddServices: []table.Service{service(3, "x", "", "198.51.100.3:80")}}, nil,
			adminapi.Refusal{Row: `service "x" (3)`, Column: "owner", Rule: `must be the team "sawt"`}),
		Entry("address of another team's service", adminapi.Operations{AddServices: []table.Service{service(3, "x", "sawt", "198.51.100.1:80")}}, nil,
			adminapi.Refusal{Row: `service "x" (3)`, Column: "address", Rule: "already used by another service"}),
		Entry("identifier of another team's service", adminapi.Operations{AddServices: []table.Service{service(1, "x", "sawt", "198.51.100.3:80")}}, nil,
			adminapi.Refusal{Row: `service "x" (1)`, Column: "id", Rule: "must be unique"}),
	)

	It("do not learn the name of another team's service from the rule it conflicts with", func() {
		Expect(api.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("secret", 1), Operations: adminapi.Operations{
			AddServices: []table.Service{service(9, "secret", "gateway", "198.51.100.9:80")},
		}}).Outcome).To(Equal(adminapi.Accepted))
		response := api.submit(sawtToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 2), Operations: adminapi.Operations{
			AddServices: []table.Service{service(3, "x", "sawt", "198.51.100.9:80")},
		}})
		Expect(response.Refusal).To(Equal(&adminapi.Refusal{
			Row: "service of another team", Column: "address", Rule: "already used by service x"}))
	})

	It("can add a service and its rows in one change", func() {
		Expect(api.submit(sawtToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 1), Operations: adminapi.Operations{
			AddServices: []table.Service{service(3, "status", "sawt", "198.51.100.3:80")},
			AddBackends: []table.Backend{backend(30, 3, "status-1")},
			SetCells:    setWeight(30, 4).SetCells,
		}}).Outcome).To(Equal(adminapi.Accepted))
		Expect(api.weightOf(30)).To(Equal(uint32(4)))
	})

	It("can use the same change identifier without a collision", func() {
		Expect(api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 1), Operations: setWeight(10, 9)}).Outcome).
			To(Equal(adminapi.Accepted))
		response, err := api.client(sawtToken).Outcome(ctx, "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.Unknown))
		Expect(api.submit(sawtToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 2), Operations: setWeight(20, 9)}).Outcome).
			To(Equal(adminapi.Accepted))
		Expect(api.weightOf(20)).To(Equal(uint32(9)))
	})

	It("see only the history of their own rows", func() {
		both := adminapi.Operations{SetCells: append(setWeight(10, 9).SetCells, setWeight(20, 9).SetCells...)}
		Expect(api.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("both", 1), Operations: both}).Version).To(Equal(table.Version(2)))
		Expect(api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("own", 2), Operations: setWeight(10, 8)}).Version).To(Equal(table.Version(3)))
		seen, err := api.client(sawtToken).History(ctx, 1, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Records).To(HaveLen(1))
		Expect(seen.Records[0].Version).To(Equal(table.Version(2)))
		Expect(seen.Records[0].Cells).To(Equal([]adminapi.CellChange{
			{Row: `back end "audio-1" (20)`, Column: "weight", Before: "5", After: "9"}}))
	})
})
