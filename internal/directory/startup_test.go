package directory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

var _ = Describe("Spread, while processes start", func() {
	It("has a process that starts told by a seed who knows the directory, though the seed does not", func() {
		seed := newParticipant(directory.Member{Peer: 1})
		fast := newParticipant(directory.Member{Peer: 2}, 1)
		slow := newParticipant(directory.Member{Peer: 3}, 1)
		ask := func(now time.Duration, asking *participant, from directory.Peer) []directory.Outgoing {
			question, exists := asking.spread.StartupRequest(now)
			Expect(exists).To(BeTrue())
			Expect(question.To).To(Equal(directory.Peer(1)))
			_, _, answers := seed.spread.Receive(now, from, question.Update)
			return answers
		}
		unknown := ask(0, slow, 3)
		Expect(unknown).To(HaveLen(1))
		Expect(unknown[0].Update).To(And(HaveField("Source", BeZero()), HaveField("ListingStore", true)), "nobody knows")
		listed := fast.list(40*millisecond, 5)
		Expect(listed).To(HaveLen(1), "it tells its seed at once")
		_, _, answers := seed.spread.Receive(41*millisecond, 2, listed[0].Update)
		Expect(answers).To(HaveLen(1), "who tells the one that waits at once")
		Expect(answers[0].To).To(Equal(directory.Peer(3)))
		_, lacks, _ := slow.spread.Receive(42*millisecond, 1, answers[0].Update)
		Expect(lacks).To(BeTrue())
		Expect(answers[0].Update.SourceOrSender(1)).To(Equal(directory.Peer(2)))
		again := ask(150*millisecond, slow, 3)
		Expect(again).To(HaveLen(1))
		Expect(again[0].To).To(Equal(directory.Peer(3)))
		Expect(again[0].Update.SourceOrSender(1)).To(Equal(directory.Peer(2)))
		Expect(ask(3*time.Second, slow, 3)).To(BeEmpty(), "that was long ago")
	})

	It("waits for a seed that is about to know the directory, for a time and only for a seed", func() {
		asked := newParticipant(directory.Member{Peer: 2}, 1)
		asked.spread.Receive(0, 7, directory.Update{ListingStore: true})
		Expect(asked.spread.SnapshotDeadline()).To(BeZero())
		asked.spread.Receive(0, 1, directory.Update{ListingStore: true})
		patience := asked.spread.SnapshotDeadline()
		Expect(patience).To(And(BeNumerically(">", 150*millisecond), BeNumerically("<", 450*millisecond)))
		asked.spread.Receive(100*millisecond, 1, directory.Update{ListingStore: true})
		Expect(asked.spread.SnapshotDeadline()).To(Equal(patience), "the store may turn the seed away")
	})

	It("names one source to no more processes at once than it can serve, and those that it has served to the next", func() {
		seed := newParticipant(directory.Member{Peer: 1})
		question := directory.Update{RequestsChanges: true}
		for peer := directory.Peer(10); peer < 30; peer++ {
			_, _, answers := seed.spread.Receive(0, peer, question)
			for _, each := range answers {
				Expect(each.Update.Source).To(BeZero())
			}
		}
		named := make(map[directory.Peer]int)
		told := make(map[directory.Peer]bool)
		take := func(outgoing []directory.Outgoing) int {
			count := 0
			for _, each := range outgoing {
				if each.Update.Source != 0 {
					named[each.Update.Source]++
					told[each.To] = true
					count++
				}
			}
			return count
		}
		Expect(take(seed.list(50*millisecond, 5))).To(Equal(4))
		for peer := directory.Peer(10); peer < 14; peer++ {
			Expect(told).To(HaveKey(peer), "first come, first served")
			_, _, answers := seed.spread.Receive(70*millisecond, peer, directory.Update{RequestsChanges: true, State: seed.spread.Summary(70 * millisecond)})
			Expect(take(answers)).To(BeNumerically(">=", 4))
		}
		Expect(told).To(HaveLen(20))
		Expect(named).To(Equal(map[directory.Peer]int{1: 4, 10: 4, 11: 4, 12: 4, 13: 4}))
	})

	It("asks no seed any more once both know the directory", func() {
		seed := newParticipant(directory.Member{Peer: 1})
		seed.list(0, 5)
		starting := newParticipant(directory.Member{Peer: 2}, 1)
		question, _ := starting.spread.StartupRequest(0)
		_, _, answers := seed.spread.Receive(0, 2, question.Update)
		starting.spread.Receive(0, 1, answers[0].Update)
		_, asks := starting.spread.StartupRequest(0)
		Expect(asks).To(BeTrue(), "it knows nothing yet")
		starting.machine.ApplyState(0, seed.spread.State(0, directory.Digest{}))
		_, asks = starting.spread.StartupRequest(0)
		Expect(asks).To(BeFalse())
	})
})
