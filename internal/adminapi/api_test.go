package adminapi_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

const setWeightJSON = `"set_cells": [{"backend_id": 10, "weight": 9}]`

var _ = Describe("API", func() {
	var api *testAPI
	ctx := context.Background()

	BeforeEach(func() { api = newTestAPI() })

	It("applies a change once and returns the same response to every retry", func() {
		change := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c1", 1), Operations: setWeight(10, 9)}
		accepted := adminapi.ChangeResponse{ID: "c1", Outcome: adminapi.Accepted, Version: 2}
		Expect(api.submit(editorToken, change)).To(Equal(accepted))
		Expect(api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c2", 2), Operations: setWeight(10, 3)}).Version).
			To(Equal(table.Version(3)))
		Expect(api.submit(editorToken, change)).To(Equal(accepted))
		Expect(api.weightOf(10)).To(Equal(uint32(3)))
		Expect(api.client(viewerToken).Outcome(ctx, "c1")).To(Equal(accepted))
	})

	It("reports a retried removal as accepted, although the row is already removed", func() {
		removal := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("gone", 1), Operations: adminapi.Operations{RemoveBackends: []table.BackendID{11}}}
		Expect(api.submit(editorToken, removal).Outcome).To(Equal(adminapi.Accepted))
		Expect(api.submit(editorToken, removal).Outcome).To(Equal(adminapi.Accepted))
	})

	It("responds with 404 and outcome unknown to an identifier without a recorded outcome", func() {
		response := sendRequest(api.server, viewerToken, "GET", "/v1/changes/absent", "")
		Expect(response.status).To(Equal(http.StatusNotFound))
		Expect(response.body).To(ContainSubstring(`"outcome":"unknown"`))
	})

	It("refuses a change that violates a rule, names row, column and rule, and applies no part of the change", func() {
		weight := uint32(10_001)
		drain := true
		refused := api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c1", 1), Operations: adminapi.Operations{
			SetCells: []adminapi.CellUpdate{{Backend: 11, Drain: &drain}, {Backend: 10, Weight: &weight}},
		}})
		Expect(refused).To(Equal(adminapi.ChangeResponse{
			ID: "c1", Outcome: adminapi.Refused, Version: 1,
			Refusal: &adminapi.Refusal{Row: `back end "lookup-1" (10)`, Column: "weight", Rule: "must be at most 10000"},
		}))
		Expect(api.store.Table().Table.Version).To(Equal(table.Version(1)))
		row, _ := api.store.Table().Table.Backend(11)
		Expect(row.Drain).To(BeFalse())
	})

	DescribeTable("reports a conflict and keeps the table if a version precondition fails",
		func(adapt func(*adminapi.ChangeRequest), rule string) {
			Expect(api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("first", 1), Operations: setWeight(10, 9)}).Version).
				To(Equal(table.Version(2)))
			change := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("second", 1), Operations: setWeight(10, 7)}
			adapt(&change)
			response := api.submit(editorToken, change)
			Expect(response.Outcome).To(Equal(adminapi.Conflict))
			Expect(response.Version).To(Equal(table.Version(2)))
			Expect(response.Refusal.Rule).To(Equal(rule))
			Expect(api.weightOf(10)).To(Equal(uint32(9)))
		},
		Entry("expected table version", func(c *adminapi.ChangeRequest) { c.ExpectedVersion = 1 }, "expected 1, is 2"),
		Entry("expected row version", func(c *adminapi.ChangeRequest) {
			c.ExpectedRows = []adminapi.RowVersion{{Backend: 10, Version: 1}}
		}, "expected the row of version 1, is 2"),
		Entry("base version that does not exist yet", func(c *adminapi.ChangeRequest) { *c.BaseVersion = 5 }, "change was made at 5, is 2"),
	)

	It("accepts a change whose expected row is unchanged, although another row has changed", func() {
		Expect(api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("first", 1), Operations: setWeight(10, 9)}).Version).
			To(Equal(table.Version(2)))
		change := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("second", 1), Operations: setWeight(11, 7)}
		change.ExpectedRows = []adminapi.RowVersion{{Backend: 11, Version: 1}}
		Expect(api.submit(editorToken, change).Outcome).To(Equal(adminapi.Accepted))
	})

	It("reports the modified cells of a dry run without applying the change", func() {
		change := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("dry", 1), Operations: setWeight(10, 9)}
		change.DryRun = true
		Expect(api.submit(editorToken, change)).To(Equal(adminapi.ChangeResponse{
			ID: "dry", Outcome: adminapi.Accepted, Version: 2, DryRun: true,
			Cells: []adminapi.CellChange{{Row: `back end "lookup-1" (10)`, Column: "weight", Before: "5", After: "9"}},
		}))
		Expect(api.weightOf(10)).To(Equal(uint32(5)))
		change.DryRun = false
		Expect(api.submit(editorToken, change).Outcome).To(Equal(adminapi.Accepted))
		Expect(api.weightOf(10)).To(Equal(uint32(9)))
	})

	It("sets the drain flag of a row", func() {
		drain := true
		response, err := api.client(editorToken).Drain(ctx, 10, adminapi.DrainRequest{ChangeMetadata: changeMetadata("d", 1), Drain: &drain})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.Accepted))
		row, _ := api.store.Table().Table.Backend(10)
		Expect(row.Drain).To(BeTrue())
	})

	It("records author, time, reason and modified cells in the history", func() {
		api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c1", 1), Operations: setWeight(10, 9)})
		response, err := api.client(viewerToken).History(ctx, 1, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Records).To(Equal([]adminapi.HistoryRecord{{
			Version: 2, ID: "c1", Author: "anna", Timestamp: testTime, Reason: "reason of c1",
			Cells: []adminapi.CellChange{{Row: `back end "lookup-1" (10)`, Column: "weight", Before: "5", After: "9"}},
		}}))
	})

	It("returns the latest history records up to the limit, oldest first", func() {
		for base, id := range []string{"c1", "c2", "c3"} {
			api.submit(editorToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata(id, table.Version(base+1)), Operations: setWeight(10, uint32(base))})
		}
		response, err := api.client(adminToken).History(ctx, 0, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Records).To(HaveLen(2))
		Expect(response.Records[0].ID).To(Equal("gateway/c2"))
		Expect(api.client(adminToken).History(ctx, 0, 10)).To(HaveField("Records", ContainElement(HaveField("ID", "setup"))))
		Expect(response.Records[1].Version).To(Equal(table.Version(4)))
	})

	It("returns which members have applied a version", func() {
		Expect(api.client(viewerToken).VersionStatus(ctx, 1)).To(Equal(
			adminapi.VersionStatusResponse{Version: 1, Accepted: true, Reached: 1, NotReached: []string{}}))
		Expect(api.client(viewerToken).VersionStatus(ctx, 2)).To(Equal(
			adminapi.VersionStatusResponse{Version: 2, NotReached: []string{"balancer-1"}}))
		Expect(api.client(viewerToken).Members(ctx)).To(Equal(adminapi.MembersResponse{
			Members: []adminapi.Member{{Name: "balancer-1", Zone: "zone-1", State: "live", Version: 1}}}))
	})

	It("restores a snapshot as a new version", func() {
		saved, err := api.client(adminToken).Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(api.submit(adminToken, adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c1", 1), Operations: adminapi.Operations{
			SetCells:       setWeight(10, 9).SetCells,
			RemoveBackends: []table.BackendID{20}, RemoveServices: nil,
		}}).Outcome).To(Equal(adminapi.Accepted))
		restore := adminapi.SnapshotRequest{ChangeMetadata: changeMetadata("restore", 2), Table: saved}
		Expect(api.client(adminToken).ImportSnapshot(ctx, restore)).To(Equal(
			adminapi.ChangeResponse{ID: "restore", Outcome: adminapi.Accepted, Version: 3}))
		Expect(api.client(adminToken).ImportSnapshot(ctx, restore)).To(Equal(
			adminapi.ChangeResponse{ID: "restore", Outcome: adminapi.Accepted, Version: 3}))
		for _, cell := range table.Diff(saved, api.store.Table().Table) {
			Expect(cell.Column).To(Equal("incarnation"), cell.Row)
		}
		Expect(api.weightOf(10)).To(Equal(uint32(5)))
		row, _ := api.store.Table().Table.Backend(20)
		Expect(row.Removed).To(BeFalse())
		Expect(row.Incarnation).To(Equal(table.Incarnation(2)))

		By("reporting a conflict for a snapshot whose base version is not the current version")
		late := adminapi.SnapshotRequest{ChangeMetadata: changeMetadata("late", 2), Table: saved}
		response, err := api.client(adminToken).ImportSnapshot(ctx, late)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.Conflict))
	})

	DescribeTable("refuses an invalid or unauthorized request with the reason and changes nothing",
		func(token tenant.Token, method, path, body string, status int, reason string) {
			response := sendRequest(api.server, token, method, path, body)
			Expect(response.status).To(Equal(status), response.body)
			Expect(response.body).To(ContainSubstring(reason))
			Expect(api.store.Table().Table.Version).To(Equal(table.Version(1)))
		},
		Entry("no token", tenant.Token(""), "GET", "/v1/table", "", 401, `"error":"unauthenticated"`),
		Entry("unknown token", tenant.Token("guess"), "POST", "/v1/changes", changeBody("c", setWeightJSON), 401, `"error":"unauthenticated"`),
		Entry("unknown token on an unknown path", tenant.Token("guess"), "GET", "/v1/secret", "", 401, "unauthenticated"),
		Entry("viewer submits a change", viewerToken, "POST", "/v1/changes", changeBody("c", setWeightJSON), 403, "this operation requires the role editor"),
		Entry("viewer drains", viewerToken, "POST", "/v1/backends/10/drain", changeBody("c", `"drain": true`), 403, "editor"),
		Entry("editor exports a snapshot", editorToken, "GET", "/v1/snapshot", "", 403, "administrator"),
		Entry("editor imports a snapshot", editorToken, "POST", "/v1/snapshot", changeBody("c", `"table": {}`), 403, "administrator"),
		Entry("unknown path", viewerToken, "GET", "/v2/table", "", 404, "not_found"),
		Entry("unknown method", viewerToken, "DELETE", "/v1/table", "", 404, "not_found"),
		Entry("unknown service", viewerToken, "GET", "/v1/table?service=audio", "", 404, "no service audio"),
		Entry("unknown parameter", viewerToken, "GET", "/v1/table?srevice=lookup", "", 400, "unknown parameter srevice"),
		Entry("parameter given twice", viewerToken, "GET", "/v1/table?service=a&service=b", "", 400, "more than once"),
		Entry("limit of 0", viewerToken, "GET", "/v1/history?limit=0", "", 400, "limit must be from 1 to 2000"),
		Entry("version that is not a number", viewerToken, "GET", "/v1/versions/new", "", 400, "not a whole number"),
		Entry("body that is not JSON", editorToken, "POST", "/v1/changes", "weight=9", 400, "invalid character"),
		Entry("unknown member", editorToken, "POST", "/v1/changes", changeBody("c", `"set_cell": []`), 400, `unknown field \"set_cell\"`),
		Entry("unknown cell", editorToken, "POST", "/v1/changes", changeBody("c", `"set_cells": [{"backend_id": 10, "wieght": 9}]`), 400, "wieght"),
		Entry("negative weight", editorToken, "POST", "/v1/changes", changeBody("c", `"set_cells": [{"backend_id": 10, "weight": -1}]`), 400, "number -1"),
		Entry("text after the body", editorToken, "POST", "/v1/changes", changeBody("c", setWeightJSON)+"{}", 400, "text after"),
		Entry("no identifier", editorToken, "POST", "/v1/changes", changeBody("", setWeightJSON), 400, "id must have"),
		Entry("identifier with a slash", editorToken, "POST", "/v1/changes", changeBody("../c", setWeightJSON), 400, "id must have"),
		Entry("no reason", editorToken, "POST", "/v1/changes", `{"id": "c", "base_version": 1, `+setWeightJSON+`}`, 400, "reason must have"),
		Entry("no base version", editorToken, "POST", "/v1/changes", `{"id": "c", "reason": "r", `+setWeightJSON+`}`, 400, "base_version is required"),
		Entry("no operations", editorToken, "POST", "/v1/changes", changeBody("c", `"dry_run": false`), 400, "no operations"),
		Entry("cell update without cells", editorToken, "POST", "/v1/changes", changeBody("c", `"set_cells": [{"backend_id": 10}]`), 400, "must set a cell of row 10"),
		Entry("removed row added", adminToken, "POST", "/v1/changes", changeBody("c", `"add_backends": [{"id": 30, "removed": true}]`), 400, "removed"),
		Entry("drain request without the flag", editorToken, "POST", "/v1/backends/10/drain", changeBody("c", `"dry_run": false`), 400, "drain is required"),
		Entry("drain request for a row name instead of an identifier", editorToken, "POST", "/v1/backends/lookup-1/drain", changeBody("c", `"drain": true`), 400, "not an identifier"),
		Entry("snapshot without table", adminToken, "POST", "/v1/snapshot", changeBody("c", `"dry_run": false`), 400, "table is required"),
		Entry("body larger than the limit of the team", editorToken, "POST", "/v1/changes", changeBody(strings.Repeat("c", 4096), setWeightJSON), 413, "at most 4096 bytes"),
	)

	It("refuses requests above the rate limit of the team with a Retry-After header", func() {
		for range 20 {
			Expect(sendRequest(api.server, viewerToken, "GET", "/v1/members", "").status).To(Equal(200))
		}
		refused := sendRequest(api.server, editorToken, "POST", "/v1/changes", changeBody("c", setWeightJSON))
		Expect(refused.status).To(Equal(http.StatusTooManyRequests))
		Expect(refused.retryAfter).To(Equal("1"))
		Expect(api.weightOf(10)).To(Equal(uint32(5)))
		Expect(sendRequest(api.server, sawtToken, "GET", "/v1/members", "").status).To(Equal(200))
	})
})
