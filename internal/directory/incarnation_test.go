package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// startedItem returns the entry of an endpoint that reports its start time.
func startedItem(name string, started int64, revision directory.Revision) directory.Item {
	return directory.Item{
		Key: name, EndpointID: directory.EndpointID{Name: name, Started: started}, Revision: revision, Endpoint: endpoint("s", false),
	}
}

var _ = Describe("An endpoint that restarts under its name", func() {
	const before, after = 1_000, 2_000
	var replica *directory.Replica

	BeforeEach(func() {
		replica = directory.NewReplica()
		replica.ApplyListing(0, []directory.Item{configurationItem(1, 1), startedItem("a", before, 3)}, 3)
	})

	existingIDs := func(replica *directory.Replica) []directory.EndpointID {
		var ids []directory.EndpointID
		for _, candidate := range replica.Snapshot().All() {
			if !candidate.Gone {
				ids = append(ids, candidate.ID)
			}
		}
		return ids
	}

	It("replaces its previous incarnation", func() {
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		Expect(existingIDs(replica)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
		_, known := replica.Snapshot().Candidate(directory.EndpointID{Name: "a", Started: before})
		Expect(known).To(BeFalse())
	})

	It("keeps its identity while its start time is the same", func() {
		item := startedItem("a", before, 5)
		item.Endpoint.Draining = true
		replica.ApplyChanges(time.Second, []directory.Item{item}, 5)
		candidate, known := replica.Snapshot().Candidate(directory.EndpointID{Name: "a", Started: before})
		Expect(known).To(BeTrue())
		Expect(candidate.Draining()).To(BeTrue())
	})

	It("does not return once a later incarnation is known, in any order of arrival", func() {
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", before, 4)}, 5)
		Expect(existingIDs(replica)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("is ordered by revision and not by its clock, which may step back", func() {
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", before-500, 5)}, 5)
		Expect(existingIDs(replica)).To(ConsistOf(directory.EndpointID{Name: "a", Started: before - 500}))
	})

	It("is received from another balancer while the store is unavailable, and is not reverted by an older state", func() {
		other := directory.NewReplica()
		other.ApplyState(0, replica.FullState(0))
		old := replica.FullState(0)
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		Expect(other.ApplyState(time.Second, replica.StateAfter(time.Second, other.Digest()))).To(BeTrue())
		Expect(existingIDs(other)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
		other.ApplyState(2*time.Second, old)
		Expect(existingIDs(other)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("returns after its entry expired, as the same or another incarnation", func() {
		replica.ApplyChanges(time.Second, []directory.Item{{Key: "a", EndpointID: directory.NameOnlyID("a"), Revision: 5}}, 5)
		Expect(existingIDs(replica)).To(BeEmpty())
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", before, 6)}, 6)
		Expect(existingIDs(replica)).To(ConsistOf(directory.EndpointID{Name: "a", Started: before}))
		replica.ApplyChanges(time.Second, []directory.Item{{Key: "a", EndpointID: directory.NameOnlyID("a"), Revision: 7}}, 7)
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 8)}, 8)
		Expect(existingIDs(replica)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("is gone when a listing omits it, whichever incarnation was known", func() {
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1)}, 9)
		Expect(existingIDs(replica)).To(BeEmpty())
	})
})

var _ = Describe("An entry that cannot be used", func() {
	var replica *directory.Replica

	refusedItem := func(name string, revision directory.Revision) directory.Item {
		return directory.Item{Key: name, EndpointID: directory.NameOnlyID(name), Revision: revision, RefusalReason: directory.RefusedWrongType}
	}

	BeforeEach(func() {
		replica = directory.NewReplica()
		replica.ApplyListing(0, []directory.Item{configurationItem(1, 1), startedItem("a", 1, 3)}, 3)
	})

	It("marks the previous endpoint as gone but not as expired", func() {
		replica.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5)}, 5)
		candidate := replica.Snapshot().All()[0]
		Expect(candidate.Gone).To(BeTrue())
		Expect(candidate.ExpiredFor(2 * time.Second)).To(BeNumerically(">", time.Hour))
		other := directory.NewReplica()
		other.ApplyState(time.Second, replica.FullState(time.Second))
		Expect(other.Snapshot().All()[0].ExpiredFor(2 * time.Second)).To(BeNumerically(">", time.Hour))
	})

	It("counts as missing in a listing", func() {
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1), refusedItem("a", 5)}, 6)
		Expect(replica.Snapshot().All()[0].Gone).To(BeTrue())
	})

	It("is replaced by a later valid entry", func() {
		replica.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5)}, 5)
		Expect(replica.RefusalCounts()).To(HaveKeyWithValue(directory.RefusedWrongType, 1))
		replica.ApplyChanges(time.Second, []directory.Item{startedItem("a", 1, 6)}, 6)
		Expect(replica.Snapshot().All()[0].Gone).To(BeFalse())
		Expect(replica.RefusalCounts()).NotTo(HaveKey(directory.RefusedWrongType))
	})

	It("is reported once per revision", func() {
		replica.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5), refusedItem("b", 6)}, 6)
		Expect(replica.TakeRefusals()).To(Equal([]directory.Refusal{
			{Key: "a", Revision: 5, Reason: directory.RefusedWrongType}, {Key: "b", Revision: 6, Reason: directory.RefusedWrongType},
		}))
		replica.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1), refusedItem("a", 5), refusedItem("b", 6)}, 7)
		Expect(replica.TakeRefusals()).To(BeEmpty())
		replica.ApplyChanges(time.Second, []directory.Item{refusedItem("b", 8)}, 8)
		Expect(replica.TakeRefusals()).To(HaveLen(1))
	})

	It("is forgotten once it is deleted", func() {
		replica.ApplyChanges(time.Second, []directory.Item{refusedItem("b", 6)}, 6)
		replica.ApplyChanges(time.Second, []directory.Item{{Key: "b", EndpointID: directory.NameOnlyID("b"), Revision: 7}}, 7)
		Expect(replica.RefusalCounts()).NotTo(HaveKey(directory.RefusedWrongType))
	})

	It("of an unconfigured service does not take over the address of an existing endpoint", func() {
		unknown := startedItem("b", 1, 5)
		unknown.Endpoint.Service = "nobody's"
		configured := configurationItem(2, 4)
		configured.Configuration.Services = []string{"s", "t"}
		replica.ApplyChanges(time.Second, []directory.Item{configured, unknown}, 5)
		found, _ := replica.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(found.ID.Name).To(Equal("a"))
		Expect(found.Gone).To(BeFalse())
		Expect(replica.Snapshot().All()).To(HaveLen(1))
		Expect(replica.TakeRefusals()).To(Equal([]directory.Refusal{{Key: "b", Revision: 5, Reason: directory.RefusedUnknownService}}))
	})

	It("of a service that is configured later is used from then on", func() {
		unknown := startedItem("b", 1, 5)
		unknown.Endpoint.Service, unknown.Endpoint.IP = "u", [4]byte{10, 0, 0, 9}
		configured := configurationItem(2, 4)
		configured.Configuration.Services = []string{"s"}
		replica.ApplyChanges(time.Second, []directory.Item{configured, unknown}, 5)
		later := configurationItem(3, 6)
		later.Configuration.Services = []string{"s", "u"}
		replica.ApplyChanges(time.Second, []directory.Item{later}, 6)
		Expect(replica.Snapshot().Candidates("u")).To(HaveLen(1))
		Expect(replica.RefusalCounts()[directory.RefusedUnknownService]).To(BeZero())
	})

	DescribeTable("in a peer's state is skipped, and the other entries are applied", func(corrupt func(*directory.EndpointState)) {
		state := replica.FullState(time.Second)
		bad := state.Endpoints[0]
		bad.ID.Name = "b"
		corrupt(&bad)
		state.Endpoints = append([]directory.EndpointState{bad}, state.Endpoints...)
		other := directory.NewReplica()
		Expect(other.ApplyState(time.Second, state)).To(BeTrue())
		Expect(other.Ready()).To(BeTrue())
		Expect(other.Snapshot().All()).To(HaveLen(1))
	},
		Entry("without a name", func(s *directory.EndpointState) { s.ID.Name = "" }),
		Entry("without a service", func(s *directory.EndpointState) { s.Endpoint.Service = "" }),
		Entry("without slots", func(s *directory.EndpointState) { s.Endpoint.Slots = 0 }),
		Entry("with too many slots", func(s *directory.EndpointState) { s.Endpoint.Slots = 4_000_000_000 }),
		Entry("without a port", func(s *directory.EndpointState) { s.Endpoint.Port = 0 }),
		Entry("without an address", func(s *directory.EndpointState) { s.Endpoint.IP = [4]byte{} }),
		Entry("with a cold time out of range", func(s *directory.EndpointState) { s.Endpoint.ColdRemaining = 1 << 60 }),
		Entry("gone in the future", func(s *directory.EndpointState) { s.GoneFor = -time.Second }),
	)
})
