package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("StateAfter", func() {
	It("omits what the peer has but includes endpoints that are gone", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{
			configurationItem(4, 2), endpointItem("old", 3, endpoint("s", false)),
			endpointItem("left", 4, endpoint("s", false)), endpointItem("new", 8, endpoint("s", false)),
		}, 8)
		informed.ApplyChanges(0, []directory.Item{endpointItem("left", 5, nil)}, 9)
		state := informed.StateAfter(0, directory.Digest{ConfigurationVersion: 4, Revision: 7})
		Expect(state.Configuration).To(BeNil())
		Expect(state.Through).To(Equal(directory.Revision(9)))
		var included []directory.EndpointID
		for _, each := range state.Endpoints {
			included = append(included, each.ID)
		}
		Expect(included).To(ConsistOf(directory.NameOnlyID("left"), directory.NameOnlyID("new")))
	})

	It("does not make a process without a configuration ready", func() {
		informed := directory.NewReplica()
		informed.ApplyChanges(0, []directory.Item{configurationItem(4, 2)}, 8)
		starting := directory.NewReplica()
		starting.ApplyState(0, informed.StateAfter(0, directory.Digest{ConfigurationVersion: 4, Revision: 7}))
		Expect(starting.Ready()).To(BeFalse())
		Expect(starting.Digest()).To(Equal(directory.Digest{}))
	})
})

// history returns the successive changes of a store.
func history(t *rapid.T) []directory.Item {
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	var items []directory.Item
	version := uint64(0)
	for number := range rapid.IntRange(1, 20).Draw(t, "length") {
		revision := directory.Revision(number + 1)
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			version++
			items = append(items, configurationItem(version, revision))
		case 1:
			items = append(items, endpointItem(ids.Draw(t, "id"), revision, nil))
		default:
			items = append(items, endpointItem(ids.Draw(t, "id"), revision, endpoint("s", rapid.Bool().Draw(t, "draining"))))
		}
	}
	return items
}

// TestDelta checks that applying the difference to a digest leads to the same directory as
// applying the full state, for any changes that each side has applied.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := history(t)
		follow := func(name string) *directory.Replica {
			replica := directory.NewReplica()
			for _, item := range items[:rapid.IntRange(0, len(items)).Draw(t, name)] {
				replica.ApplyChanges(0, []directory.Item{item}, item.Revision)
			}
			return replica
		}
		informed, asking := follow("informed"), follow("asking")
		full := directory.NewReplica()
		full.ApplyState(0, asking.FullState(0))
		partial := directory.NewReplica()
		partial.ApplyState(0, asking.FullState(0))
		full.ApplyState(time.Second, informed.FullState(time.Second))
		partial.ApplyState(time.Second, informed.StateAfter(time.Second, partial.Digest()))
		expected, got := full.Snapshot(), partial.Snapshot()
		if expected.Version() != got.Version() || full.Digest() != partial.Digest() {
			t.Fatalf("version and digest are %d, %v, want %d, %v", got.Version(), partial.Digest(), expected.Version(), full.Digest())
		}
		for _, candidate := range expected.All() {
			other, exists := got.Candidate(candidate.ID)
			if !exists || other.Leaving != candidate.Leaving || other.Gone != candidate.Gone {
				t.Fatalf("endpoint %s is %+v, want %+v", candidate.ID, other, candidate)
			}
		}
	})
}
