package adminapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// fakeProposer records the payloads of proposals and returns the result set by
// the test. The test itself applies the recorded payloads.
type fakeProposer struct {
	result   adminapi.ProposalResult
	payloads [][]byte
	proposed func()
}

func (p *fakeProposer) Propose(_ context.Context, _ changelog.ChangeID, payload []byte) adminapi.ProposalResult {
	p.payloads = append(p.payloads, payload)
	if p.proposed != nil {
		p.proposed()
	}
	return p.result
}

func newLogStore(proposer *fakeProposer, versions *[]table.Version) *adminapi.LogStore {
	return adminapi.NewLogStore(adminapi.LogStoreConfig{
		Limits: changelog.DefaultLimits(), Proposer: proposer, Members: adminapi.NewSingleMember("b", "z"),
		OnChange: func(changed *table.Table) { *versions = append(*versions, changed.Version) },
	})
}

func setupChange() *changelog.Change {
	operations := exampleOperations()
	return &changelog.Change{ID: "setup", AddServices: operations.AddServices, AddBackends: operations.AddBackends}
}

var _ = Describe("LogStore", func() {
	var proposer *fakeProposer
	var versions []table.Version
	var store *adminapi.LogStore
	ctx := context.Background()

	BeforeEach(func() {
		proposer = &fakeProposer{}
		versions = nil
		store = newLogStore(proposer, &versions)
	})

	DescribeTable("passes the status, reason and retry delay of an uncommitted proposal to the client",
		func(status adminapi.ProposalStatus, mayApply bool, outcome adminapi.ChangeOutcome, code int) {
			proposer.result = adminapi.ProposalResult{Status: status, Reason: "no quorum", RetryAfter: 1500 * time.Millisecond}
			Expect(store.Submit(ctx, setupChange())).To(Equal(adminapi.SubmitResult{
				MayApply: mayApply, Reason: "no quorum", RetryAfter: 1500 * time.Millisecond}))
			response := sendRequest(startServer(store), adminToken, "POST", "/v1/changes",
				`{"id": "c", "reason": "r", "base_version": 0, "remove_backends": [1]}`)
			Expect(response.status).To(Equal(code))
			Expect(response.retryAfter).To(Equal("2"))
			Expect(response.body).To(ContainSubstring(`"outcome":"` + string(outcome) + `"`))
			Expect(versions).To(BeEmpty())
		},
		Entry("refused by the log", adminapi.ProposalRefused, false, adminapi.NotAccepted, http.StatusServiceUnavailable),
		Entry("undecided by the log", adminapi.ProposalUndecided, true, adminapi.Unknown, http.StatusGatewayTimeout),
	)

	It("returns the outcome of a committed change once it is applied", func() {
		proposer.proposed = func() { go func() { _ = store.Apply(proposer.payloads[0]) }() }
		Expect(store.Submit(ctx, setupChange())).To(Equal(adminapi.SubmitResult{
			Decided: true, Outcome: changelog.Outcome{ID: "setup", Accepted: true, Version: 1}}))
		Expect(versions).To(Equal([]table.Version{1}))
	})

	It("reports a committed change as possibly applied if the context ends before it is applied", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		submitted := store.Submit(ended, setupChange())
		Expect(submitted.Decided).To(BeFalse())
		Expect(submitted.MayApply).To(BeTrue())

		By("returning the outcome to a retry without another proposal")
		Expect(store.Apply(proposer.payloads[0])).To(Succeed())
		Expect(store.Submit(ctx, setupChange()).Outcome.Version).To(Equal(table.Version(1)))
		Expect(proposer.payloads).To(HaveLen(1))
	})

	It("still reports a change as possibly applied if its first proposal was undecided and a retry is refused", func() {
		proposer.result.Status = adminapi.ProposalUndecided
		Expect(store.Submit(ctx, setupChange()).MayApply).To(BeTrue())
		proposer.result.Status = adminapi.ProposalRefused
		Expect(store.Submit(ctx, setupChange()).MayApply).To(BeTrue())
		other := setupChange()
		other.ID = "other"
		Expect(store.Submit(ctx, other).MayApply).To(BeFalse())
		Expect(store.Apply(proposer.payloads[0])).To(Succeed())
		Expect(store.Submit(ctx, setupChange()).Outcome.Accepted).To(BeTrue())
	})

	It("applies a change only once if it was committed twice", func() {
		proposer.result.Status = adminapi.ProposalUndecided
		store.Submit(ctx, setupChange())
		store.Submit(ctx, setupChange())
		for _, payload := range proposer.payloads {
			Expect(store.Apply(payload)).To(Succeed())
		}
		Expect(proposer.payloads).To(HaveLen(2))
		Expect(versions).To(Equal([]table.Version{1}))
	})

	It("rejects a payload that is not an encoded change and keeps the table", func() {
		Expect(store.Apply([]byte("x"))).NotTo(Succeed())
		Expect(versions).To(BeEmpty())
	})

	It("installs a snapshot with its outcomes and rejects an older snapshot", func() {
		other := newLogStore(proposer, new([]table.Version))
		empty, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		proposer.result.Status = adminapi.ProposalUndecided
		other.Submit(ctx, setupChange())
		Expect(other.Apply(proposer.payloads[0])).To(Succeed())
		snapshot, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())

		proposer.result.Status = adminapi.ProposalCommitted
		proposer.proposed = func() { go func() { _ = store.InstallSnapshot(snapshot) }() }
		Expect(store.Submit(ctx, setupChange()).Outcome.Version).To(Equal(table.Version(1)))
		Expect(store.Table()).To(Equal(other.Table()))
		Expect(store.InstallSnapshot(empty)).To(MatchError("snapshot of version 0 is older than the current version 1"))
		Expect(versions).To(Equal([]table.Version{1}))
	})
})

var _ = Describe("Client", func() {
	It("reports not_accepted for a change that was not sent, and unknown for one without a response", func() {
		broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(broken.Close)
		client, err := adminapi.NewClient(broken.URL, adminToken, http.DefaultClient)
		Expect(err).NotTo(HaveOccurred())
		change := adminapi.ChangeRequest{ChangeMetadata: changeMetadata("c", 1), Operations: setWeight(1, 1)}
		response, err := client.Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.Unknown))

		broken.Close()
		response, err = client.Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Outcome).To(Equal(adminapi.NotAccepted))
	})

	It("fails if the response comes from another service", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(other.Close)
		client, err := adminapi.NewClient(other.URL, adminToken, http.DefaultClient)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Members(context.Background())
		Expect(err).To(MatchError(ContainSubstring("not one of the administration API: status 404")))
	})

	It("rejects a server address that is not an http or https URL", func() {
		_, err := adminapi.NewClient("192.0.2.1:8443", adminToken, http.DefaultClient)
		Expect(err).To(MatchError(ContainSubstring("must be a URL")))
	})
})
