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

// scriptedLog decides on proposals as a spec says, and commits the payloads
// when the spec says so.
type scriptedLog struct {
	decision adminapi.ProposalResult
	payloads [][]byte
	proposed func()
}

func (l *scriptedLog) Propose(_ context.Context, _ changelog.ChangeID, payload []byte) adminapi.ProposalResult {
	l.payloads = append(l.payloads, payload)
	if l.proposed != nil {
		l.proposed()
	}
	return l.decision
}

func newLogStore(log *scriptedLog, versions *[]table.Version) *adminapi.LogStore {
	return adminapi.NewLogStore(adminapi.LogStoreConfig{
		Limits: changelog.DefaultLimits(), Proposer: log, Members: adminapi.NewSingleMember("b", "z"),
		OnChange: func(changed *table.Table) { *versions = append(*versions, changed.Version) },
	})
}

func setup() *changelog.Change {
	parts := example()
	return &changelog.Change{ID: "setup", AddServices: parts.AddServices, AddBackends: parts.AddBackends}
}

var _ = Describe("LogStore", func() {
	var log *scriptedLog
	var versions []table.Version
	var store *adminapi.LogStore
	ctx := context.Background()

	BeforeEach(func() {
		log = &scriptedLog{}
		versions = nil
		store = newLogStore(log, &versions)
	})

	DescribeTable("passes on why a change is not decided",
		func(status adminapi.ProposalStatus, mayApply bool, outcome adminapi.ChangeOutcome, code int) {
			log.decision = adminapi.ProposalResult{Status: status, Reason: "no quorum", RetryAfter: 1500 * time.Millisecond}
			Expect(store.Submit(ctx, setup())).To(Equal(adminapi.SubmitResult{
				MayApply: mayApply, Reason: "no quorum", RetryAfter: 1500 * time.Millisecond}))
			answer := request(serve(store), adminToken, "POST", "/v1/changes",
				`{"id": "c", "reason": "r", "base_version": 0, "remove_backends": [1]}`)
			Expect(answer.status).To(Equal(code))
			Expect(answer.retryAfter).To(Equal("2"))
			Expect(answer.body).To(ContainSubstring(`"outcome":"` + string(outcome) + `"`))
			Expect(versions).To(BeEmpty())
		},
		Entry("refused by the log", adminapi.ProposalRefused, false, adminapi.NotAccepted, http.StatusServiceUnavailable),
		Entry("undecided", adminapi.ProposalUndecided, true, adminapi.Unknown, http.StatusGatewayTimeout),
	)

	It("answers a committed change once it is applied", func() {
		log.proposed = func() { go func() { _ = store.Apply(log.payloads[0]) }() }
		Expect(store.Submit(ctx, setup())).To(Equal(adminapi.SubmitResult{
			Decided: true, Outcome: changelog.Outcome{ID: "setup", Accepted: true, Version: 1}}))
		Expect(versions).To(Equal([]table.Version{1}))
	})

	It("does not know the outcome of a committed change that is not applied in time", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		submitted := store.Submit(ended, setup())
		Expect(submitted.Decided).To(BeFalse())
		Expect(submitted.MayApply).To(BeTrue())

		By("giving the outcome to a repeat without a further proposal")
		Expect(store.Apply(log.payloads[0])).To(Succeed())
		Expect(store.Submit(ctx, setup()).Outcome.Version).To(Equal(table.Version(1)))
		Expect(log.payloads).To(HaveLen(1))
	})

	It("does not take the refusal of a repeat for that of the first proposal", func() {
		log.decision.Status = adminapi.ProposalUndecided
		Expect(store.Submit(ctx, setup()).MayApply).To(BeTrue())
		log.decision.Status = adminapi.ProposalRefused
		Expect(store.Submit(ctx, setup()).MayApply).To(BeTrue())
		other := setup()
		other.ID = "other"
		Expect(store.Submit(ctx, other).MayApply).To(BeFalse())
		Expect(store.Apply(log.payloads[0])).To(Succeed())
		Expect(store.Submit(ctx, setup()).Outcome.Accepted).To(BeTrue())
	})

	It("applies a change that was committed twice once", func() {
		log.decision.Status = adminapi.ProposalUndecided
		store.Submit(ctx, setup())
		store.Submit(ctx, setup())
		for _, payload := range log.payloads {
			Expect(store.Apply(payload)).To(Succeed())
		}
		Expect(log.payloads).To(HaveLen(2))
		Expect(versions).To(Equal([]table.Version{1}))
	})

	It("refuses a payload that is no change", func() {
		Expect(store.Apply([]byte("x"))).NotTo(Succeed())
		Expect(versions).To(BeEmpty())
	})

	It("takes over a snapshot with its outcomes, and no older one", func() {
		other := newLogStore(log, new([]table.Version))
		empty, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		log.decision.Status = adminapi.ProposalUndecided
		other.Submit(ctx, setup())
		Expect(other.Apply(log.payloads[0])).To(Succeed())
		snapshot, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())

		log.decision.Status = adminapi.ProposalCommitted
		log.proposed = func() { go func() { _ = store.InstallSnapshot(snapshot) }() }
		Expect(store.Submit(ctx, setup()).Outcome.Version).To(Equal(table.Version(1)))
		Expect(store.Table()).To(Equal(other.Table()))
		Expect(store.InstallSnapshot(empty)).To(MatchError("snapshot of version 0 is older than 1"))
		Expect(versions).To(Equal([]table.Version{1}))
	})
})

var _ = Describe("Client", func() {
	It("tells a change that was not sent from one without an answer", func() {
		broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(broken.Close)
		client, err := adminapi.NewClient(broken.URL, adminToken, http.DefaultClient)
		Expect(err).NotTo(HaveOccurred())
		change := adminapi.ChangeRequest{ChangeMetadata: header("c", 1), Operations: setWeight(1, 1)}
		answer, err := client.Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(adminapi.Unknown))

		broken.Close()
		answer, err = client.Change(context.Background(), change)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Outcome).To(Equal(adminapi.NotAccepted))
	})

	It("fails for an answer of another service", func() {
		other := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(other.Close)
		client, err := adminapi.NewClient(other.URL, adminToken, http.DefaultClient)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Members(context.Background())
		Expect(err).To(MatchError(ContainSubstring("not one of the administration API: status 404")))
	})

	It("takes URLs of servers only", func() {
		_, err := adminapi.NewClient("192.0.2.1:8443", adminToken, http.DefaultClient)
		Expect(err).To(MatchError(ContainSubstring("must be a URL")))
	})
})
