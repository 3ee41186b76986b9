package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("Disseminator, while processes start", func() {
	It("is directed to a source by a seed that has no directory itself", func() {
		seed := newTestBalancer(directory.Member{Peer: 1})
		fast := newTestBalancer(directory.Member{Peer: 2}, 1)
		slow := newTestBalancer(directory.Member{Peer: 3}, 1)
		requestFromSeed := func(now time.Duration, asking *testBalancer, from directory.Peer) []directory.Outgoing {
			request, exists := asking.disseminator.StartupRequest(now)
			Expect(exists).To(BeTrue())
			Expect(request.To).To(Equal(directory.Peer(1)))
			_, _, replies := seed.disseminator.Receive(now, from, request.Update)
			return replies
		}
		withoutSource := requestFromSeed(0, slow, 3)
		Expect(withoutSource).To(HaveLen(1))
		Expect(withoutSource[0].Update).To(And(HaveField("Source", BeZero()), HaveField("ListingStore", true)), "no source is known")
		listed := fast.list(40*millisecond, 5)
		Expect(listed).To(HaveLen(1), "it advertises to its seed at once")
		_, _, replies := seed.disseminator.Receive(41*millisecond, 2, listed[0].Update)
		Expect(replies).To(HaveLen(1), "the seed directs the waiting process at once")
		Expect(replies[0].To).To(Equal(directory.Peer(3)))
		_, incomplete, _ := slow.disseminator.Receive(42*millisecond, 1, replies[0].Update)
		Expect(incomplete).To(BeTrue())
		Expect(replies[0].Update.SourceOrSender(1)).To(Equal(directory.Peer(2)))
		again := requestFromSeed(150*millisecond, slow, 3)
		Expect(again).To(HaveLen(1))
		Expect(again[0].To).To(Equal(directory.Peer(3)))
		Expect(again[0].Update.SourceOrSender(1)).To(Equal(directory.Peer(2)))
		Expect(requestFromSeed(3*time.Second, slow, 3)).To(BeEmpty(), "the source has expired")
	})

	It("waits for a seed that is listing the store, for a limited time and only for a seed", func() {
		starting := newTestBalancer(directory.Member{Peer: 2}, 1)
		starting.disseminator.Receive(0, 7, directory.Update{ListingStore: true})
		Expect(starting.disseminator.SnapshotDeadline()).To(BeZero())
		starting.disseminator.Receive(0, 1, directory.Update{ListingStore: true})
		deadline := starting.disseminator.SnapshotDeadline()
		Expect(deadline).To(And(BeNumerically(">", 150*millisecond), BeNumerically("<", 450*millisecond)))
		starting.disseminator.Receive(100*millisecond, 1, directory.Update{ListingStore: true})
		Expect(starting.disseminator.SnapshotDeadline()).To(Equal(deadline), "the store may reject the seed's calls")
	})

	It("assigns a source no more processes at once than it can serve, and then uses the served ones as sources", func() {
		seed := newTestBalancer(directory.Member{Peer: 1})
		request := directory.Update{RequestsChanges: true}
		for peer := directory.Peer(10); peer < 30; peer++ {
			_, _, replies := seed.disseminator.Receive(0, peer, request)
			for _, each := range replies {
				Expect(each.Update.Source).To(BeZero())
			}
		}
		assignments := make(map[directory.Peer]int)
		assigned := make(map[directory.Peer]bool)
		countAssignments := func(outgoing []directory.Outgoing) int {
			count := 0
			for _, each := range outgoing {
				if each.Update.Source != 0 {
					assignments[each.Update.Source]++
					assigned[each.To] = true
					count++
				}
			}
			return count
		}
		Expect(countAssignments(seed.list(50*millisecond, 5))).To(Equal(4))
		for peer := directory.Peer(10); peer < 14; peer++ {
			Expect(assigned).To(HaveKey(peer), "processes are served in order of their requests")
			_, _, replies := seed.disseminator.Receive(70*millisecond, peer, directory.Update{RequestsChanges: true, State: seed.disseminator.Summary(70 * millisecond)})
			Expect(countAssignments(replies)).To(BeNumerically(">=", 4))
		}
		Expect(assigned).To(HaveLen(20))
		Expect(assignments).To(Equal(map[directory.Peer]int{1: 4, 10: 4, 11: 4, 12: 4, 13: 4}))
	})

	It("stops requests to seeds once both sides have the directory", func() {
		seed := newTestBalancer(directory.Member{Peer: 1})
		seed.list(0, 5)
		starting := newTestBalancer(directory.Member{Peer: 2}, 1)
		request, _ := starting.disseminator.StartupRequest(0)
		_, _, replies := seed.disseminator.Receive(0, 2, request.Update)
		starting.disseminator.Receive(0, 1, replies[0].Update)
		_, needed := starting.disseminator.StartupRequest(0)
		Expect(needed).To(BeTrue(), "it has no directory yet")
		starting.replica.ApplyState(0, seed.disseminator.State(0, directory.Digest{}))
		_, needed = starting.disseminator.StartupRequest(0)
		Expect(needed).To(BeFalse())
	})
})
