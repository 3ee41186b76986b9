package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// startedItem returns the entry of an endpoint that tells when it was started.
func startedItem(name string, started int64, revision directory.Revision) directory.Item {
	return directory.Item{
		Key: name, EndpointID: directory.EndpointID{Name: name, Started: started}, Revision: revision, Endpoint: endpoint("s", false),
	}
}

var _ = Describe("An endpoint that starts again under its name", func() {
	const before, after = 1_000, 2_000
	var machine *directory.Replica

	BeforeEach(func() {
		machine = directory.NewReplica()
		machine.ApplyListing(0, []directory.Item{configurationItem(1, 1), startedItem("a", before, 3)}, 3)
	})

	there := func(machine *directory.Replica) []directory.EndpointID {
		var ids []directory.EndpointID
		for _, candidate := range machine.Snapshot().All() {
			if !candidate.Gone {
				ids = append(ids, candidate.ID)
			}
		}
		return ids
	}

	It("is another endpoint, and nothing is left of the one before", func() {
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		Expect(there(machine)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
		_, known := machine.Snapshot().Candidate(directory.EndpointID{Name: "a", Started: before})
		Expect(known).To(BeFalse())
	})

	It("is the same while its start is the same", func() {
		item := startedItem("a", before, 5)
		item.Endpoint.Draining = true
		machine.ApplyChanges(time.Second, []directory.Item{item}, 5)
		candidate, known := machine.Snapshot().Candidate(directory.EndpointID{Name: "a", Started: before})
		Expect(known).To(BeTrue())
		Expect(candidate.Draining()).To(BeTrue())
	})

	It("does not come back once a later one is known, in whatever order they are told", func() {
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", before, 4)}, 5)
		Expect(there(machine)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("is told by the revision and not by its clock, which may step back", func() {
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", before-500, 5)}, 5)
		Expect(there(machine)).To(ConsistOf(directory.EndpointID{Name: "a", Started: before - 500}))
	})

	It("is learned from another balancer while the store is out of reach, and not unlearned", func() {
		other := directory.NewReplica()
		other.ApplyState(0, machine.FullState(0))
		old := machine.FullState(0)
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 5)}, 5)
		Expect(other.ApplyState(time.Second, machine.StateAfter(time.Second, other.Digest()))).To(BeTrue())
		Expect(there(other)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
		other.ApplyState(2*time.Second, old)
		Expect(there(other)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("comes back after its entry has lapsed, as the same or as another", func() {
		machine.ApplyChanges(time.Second, []directory.Item{{Key: "a", EndpointID: directory.NameOnlyID("a"), Revision: 5}}, 5)
		Expect(there(machine)).To(BeEmpty())
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", before, 6)}, 6)
		Expect(there(machine)).To(ConsistOf(directory.EndpointID{Name: "a", Started: before}))
		machine.ApplyChanges(time.Second, []directory.Item{{Key: "a", EndpointID: directory.NameOnlyID("a"), Revision: 7}}, 7)
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", after, 8)}, 8)
		Expect(there(machine)).To(ConsistOf(directory.EndpointID{Name: "a", Started: after}))
	})

	It("leaves when a listing has it no more, whichever of its starts was known", func() {
		machine.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1)}, 9)
		Expect(there(machine)).To(BeEmpty())
	})
})

var _ = Describe("An entry that cannot be used", func() {
	var machine *directory.Replica

	refusedItem := func(name string, revision directory.Revision) directory.Item {
		return directory.Item{Key: name, EndpointID: directory.NameOnlyID(name), Revision: revision, RefusalReason: directory.RefusedWrongType}
	}

	BeforeEach(func() {
		machine = directory.NewReplica()
		machine.ApplyListing(0, []directory.Item{configurationItem(1, 1), startedItem("a", 1, 3)}, 3)
	})

	It("takes the place of the one before, which counts as gone for good and not as lapsed", func() {
		machine.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5)}, 5)
		candidate := machine.Snapshot().All()[0]
		Expect(candidate.Gone).To(BeTrue())
		Expect(candidate.ExpiredFor(2 * time.Second)).To(BeNumerically(">", time.Hour))
		other := directory.NewReplica()
		other.ApplyState(time.Second, machine.FullState(time.Second))
		Expect(other.Snapshot().All()[0].ExpiredFor(2 * time.Second)).To(BeNumerically(">", time.Hour))
	})

	It("counts as missing in a listing", func() {
		machine.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1), refusedItem("a", 5)}, 6)
		Expect(machine.Snapshot().All()[0].Gone).To(BeTrue())
	})

	It("gives way to a good one", func() {
		machine.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5)}, 5)
		Expect(machine.RefusalCounts()).To(HaveKeyWithValue(directory.RefusedWrongType, 1))
		machine.ApplyChanges(time.Second, []directory.Item{startedItem("a", 1, 6)}, 6)
		Expect(machine.Snapshot().All()[0].Gone).To(BeFalse())
		Expect(machine.RefusalCounts()).NotTo(HaveKey(directory.RefusedWrongType))
	})

	It("is reported once for each revision", func() {
		machine.ApplyChanges(time.Second, []directory.Item{refusedItem("a", 5), refusedItem("b", 6)}, 6)
		Expect(machine.TakeRefusals()).To(Equal([]directory.Refusal{
			{Key: "a", Revision: 5, Reason: directory.RefusedWrongType}, {Key: "b", Revision: 6, Reason: directory.RefusedWrongType},
		}))
		machine.ApplyListing(time.Second, []directory.Item{configurationItem(1, 1), refusedItem("a", 5), refusedItem("b", 6)}, 7)
		Expect(machine.TakeRefusals()).To(BeEmpty())
		machine.ApplyChanges(time.Second, []directory.Item{refusedItem("b", 8)}, 8)
		Expect(machine.TakeRefusals()).To(HaveLen(1))
	})

	It("is forgotten once it has gone", func() {
		machine.ApplyChanges(time.Second, []directory.Item{refusedItem("b", 6)}, 6)
		machine.ApplyChanges(time.Second, []directory.Item{{Key: "b", EndpointID: directory.NameOnlyID("b"), Revision: 7}}, 7)
		Expect(machine.RefusalCounts()).NotTo(HaveKey(directory.RefusedWrongType))
	})

	It("of a service that is not configured takes no address from an endpoint that has it", func() {
		foreign := startedItem("b", 1, 5)
		foreign.Endpoint.Service = "nobody's"
		configured := configurationItem(2, 4)
		configured.Configuration.Services = []string{"s", "t"}
		machine.ApplyChanges(time.Second, []directory.Item{configured, foreign}, 5)
		found, _ := machine.Snapshot().CandidateAt([4]byte{10, 0, 0, 1})
		Expect(found.ID.Name).To(Equal("a"))
		Expect(found.Gone).To(BeFalse())
		Expect(machine.Snapshot().All()).To(HaveLen(1))
		Expect(machine.TakeRefusals()).To(Equal([]directory.Refusal{{Key: "b", Revision: 5, Reason: directory.RefusedUnknownService}}))
	})

	It("of a service that is configured later is used from then on", func() {
		foreign := startedItem("b", 1, 5)
		foreign.Endpoint.Service, foreign.Endpoint.IP = "u", [4]byte{10, 0, 0, 9}
		configured := configurationItem(2, 4)
		configured.Configuration.Services = []string{"s"}
		machine.ApplyChanges(time.Second, []directory.Item{configured, foreign}, 5)
		later := configurationItem(3, 6)
		later.Configuration.Services = []string{"s", "u"}
		machine.ApplyChanges(time.Second, []directory.Item{later}, 6)
		Expect(machine.Snapshot().Candidates("u")).To(HaveLen(1))
		Expect(machine.RefusalCounts()[directory.RefusedUnknownService]).To(BeZero())
	})

	DescribeTable("of a peer is left out, and the others hold", func(spoil func(*directory.EndpointState)) {
		state := machine.FullState(time.Second)
		bad := state.Endpoints[0]
		bad.ID.Name = "b"
		spoil(&bad)
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
		Entry("cold for ever", func(s *directory.EndpointState) { s.Endpoint.ColdRemaining = 1 << 60 }),
		Entry("gone in the future", func(s *directory.EndpointState) { s.GoneFor = -time.Second }),
	)
})
