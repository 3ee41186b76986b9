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
	var api *fixture
	ctx := context.Background()

	zone := func(id table.BackendID, name string) adminapi.CellUpdate {
		return adminapi.CellUpdate{Backend: id, Zone: &name}
	}
	closeZone := func(name string, base table.Version, closed bool) adminapi.ChangeResponse {
		answer, err := api.client(adminToken).CloseZone(ctx, name, adminapi.ZoneRequest{
			ChangeMetadata: header("zone-"+name+map[bool]string{true: "-closed", false: "-open"}[closed], base), Closed: &closed,
		})
		Expect(err).NotTo(HaveOccurred())
		return answer
	}

	BeforeEach(func() {
		api = newFixture()
		Expect(api.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: header("zones", 1), Operations: adminapi.Operations{
			SetCells: []adminapi.CellUpdate{zone(10, "north"), zone(11, "south"), zone(20, "south")},
		}}).Outcome).To(Equal(adminapi.Accepted))
	})

	It("are shown with what is left without them, since when they are closed and where that is in force", func() {
		Expect(closeZone("north", 2, true).Outcome).To(Equal(adminapi.Accepted))
		answer, err := api.client(adminToken).Zones(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Zones).To(Equal([]adminapi.Zone{
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

	It("show a team its own rows only", func() {
		answer, err := api.client(sawtToken).Zones(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Zones).To(ConsistOf(And(HaveField("Zone", "south"), HaveField("Backends", 1))))
	})

	It("are closed by administrators only, by either path", func() {
		closed := true
		_, err := api.client(editorToken).CloseZone(ctx, "north", adminapi.ZoneRequest{ChangeMetadata: header("z", 2), Closed: &closed})
		Expect(err).To(MatchError(ContainSubstring("administrator")))
		refused := api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: header("y", 2), Operations: adminapi.Operations{
			SetZones: []adminapi.ZoneUpdate{{Zone: "north", Closed: true}},
		}})
		Expect(refused.Outcome).To(Equal(adminapi.Refused))
		Expect(refused.Refusal.Rule).To(ContainSubstring("administrator"))
	})

	It("are not closed if a service would have no row left, unless that is forced", func() {
		Expect(closeZone("south", 2, true).Refusal.Rule).To(ContainSubstring(`service "audio"`))
		closed := true
		answer, err := api.client(adminToken).CloseZone(ctx, "south", adminapi.ZoneRequest{
			ChangeMetadata: header("forced", 2), Closed: &closed, Force: true,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(adminapi.Accepted))
	})

	DescribeTable("refuse bodies that do not fit", func(path, body string) {
		Expect(request(api.server, adminToken, "POST", path, changeBody("x", body)).status).To(Equal(http.StatusBadRequest))
	},
		Entry("nothing said of closing", "/v1/zones/north", `"force": true`),
		Entry("a zone without a name", "/v1/changes", `"set_zones": [{"zone": "", "closed": true}]`),
		Entry("a row that says it is closed", "/v1/changes",
			`"add_backends": [{"id": 12, "service": 1, "name": "x", "incarnation": 1, "agent": "192.0.2.9:6081", "weight": 1, "connection_limit": 0, "drain": false, "closed": true}]`),
	)
})
