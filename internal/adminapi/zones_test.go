package adminapi_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

var _ = Describe("Zones", func() {
	var api *testAPI
	ctx := context.Background()

	zone := func(id table.BackendID, name string) adminapi.CellUpdate {
		return adminapi.CellUpdate{Backend: id, Zone: &name}
	}
	closeZone := func(name string, base table.Version, closed bool) adminapi.ChangeResponse {
		response, err := api.client(adminToken).CloseZone(ctx, name, adminapi.ZoneRequest{
			ChangeMetadata: changeMetadata("zone-"+name+map[bool]string{true: "-closed", false: "-open"}[closed], base), Closed: &closed,
		})
		Expect(err).NotTo(HaveOccurred())
		return response
	}

	BeforeEach(func() {
		api = newTestAPI()
		Expect(api.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("zones", 1), Operations: adminapi.Operations{
			SetCells: []adminapi.CellUpdate{zone(10, "north"), zone(11, "south"), zone(20, "south")},
		}}).Outcome).To(Equal(adminapi.Accepted))
	})

	It("are listed with remaining capacity, the version that closed them and its status on the members", func() {
		Expect(closeZone("north", 2, true).Outcome).To(Equal(adminapi.Accepted))
		response, err := api.client(adminToken).Zones(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Zones).To(Equal([]adminapi.Zone{
			{
				Zone: "north", Closed: true, Since: 3, Backends: 1,
				VersionStatus: &adminapi.VersionStatusResponse{Version: 3, Accepted: true, Reached: 1, NotReached: []string{}},
				Shares:        []adminapi.ZoneShare{{Service: "lookup", Remaining: 0.5}},
			},
			{
				Zone: "south", Backends: 2,
				Shares: []adminapi.ZoneShare{{Service: "lookup", Remaining: 0}, {Service: "audio", Remaining: 0}},
			},
		}))
		Expect(closeZone("north", 3, false).Outcome).To(Equal(adminapi.Accepted))
	})

	It("are listed for a team with its own rows only", func() {
		response, err := api.client(sawtToken).Zones(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Zones).To(ConsistOf(And(HaveField("Zone", "south"), HaveField("Backends", 1))))
	})

	It("can be closed only by administrators, through /v1/zones and /v1/changes", func() {
		closed := true
		_, err := api.client(editorToken).CloseZone(ctx, "north", adminapi.ZoneRequest{ChangeMetadata: changeMetadata("z", 2), Closed: &closed})
		Expect(err).To(MatchError(ContainSubstring("administrator")))
		refused := api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("y", 2), Operations: adminapi.Operations{
			SetZones: []adminapi.ZoneUpdate{{Zone: "north", Closed: true}},
		}})
		Expect(refused.Outcome).To(Equal(adminapi.Refused))
		Expect(refused.Refusal.Rule).To(ContainSubstring("administrator"))
	})

	It("are not closed if a service would have no row that accepts new flows, unless forced", func() {
		Expect(closeZone("south", 2, true).Refusal.Rule).To(ContainSubstring(`service "audio"`))
		closed := true
		response, err := api.client(adminToken).CloseZone(ctx, "south", adminapi.ZoneRequest{
			ChangeMetadata: changeMetadata("forced", 2), Closed: &closed, Force: true,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.Accepted))
	})

	DescribeTable("respond with status 400 to an invalid request body", func(path, body string) {
		Expect(sendRequest(api.server, adminToken, "POST", path, changeBody("x", body)).status).To(Equal(http.StatusBadRequest))
	},
		Entry("request without closed", "/v1/zones/north", `"force": true`),
		Entry("zone without a name", "/v1/changes", `"set_zones": [{"zone": "", "closed": true}]`),
		Entry("added row with closed set", "/v1/changes",
			`"add_backends": [{"id": 12, "service": 1, "name": "x", "incarnation": 1, "agent": "192.0.2.9:6081", "weight": 1, "connection_limit": 0, "drain": false, "closed": true}]`),
	)
})
