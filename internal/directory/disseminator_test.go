package directory_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

const millisecond = time.Millisecond

// fleetOf returns a number of members in some zones.
func fleetOf(count, zones int) []directory.Member {
	members := make([]directory.Member, count)
	for index := range members {
		members[index] = directory.Member{Peer: directory.Peer(index + 1), Zone: index % zones}
	}
	return members
}

// participant is one balancer of a fleet.
type participant struct {
	machine *directory.Replica
	spread  *directory.Disseminator
}

func newParticipant(self directory.Member, seeds ...directory.Peer) *participant {
	machine := directory.NewReplica()
	random := rand.New(rand.NewPCG(uint64(self.Peer), 1))
	return &participant{machine, directory.NewDisseminator(machine, timing, self, seeds, random)}
}

// list makes the participant list the store itself.
func (p *participant) list(now time.Duration, revision directory.Revision, items ...directory.Item) []directory.Outgoing {
	p.machine.ApplyListing(now, append(items, configurationItem(1, 1)), revision)
	p.spread.StoreListed()
	return p.spread.StoreAnswered(now)
}

// announcing returns endpoints that are announced one after the other.
func announcing(first directory.Revision, count int) []directory.Item {
	var items []directory.Item
	for index := range count {
		value := endpoint("service", false)
		value.IP = [4]byte{10, 0, byte(index >> 8), byte(index)}
		items = append(items, endpointItem(fmt.Sprintf("endpoint-%03d", index), first+directory.Revision(index), value))
	}
	return items
}

func receiversOf(outgoing []directory.Outgoing) map[directory.Peer]int {
	receivers := make(map[directory.Peer]int)
	for _, each := range outgoing {
		receivers[each.To]++
	}
	return receivers
}

var _ = Describe("Spread", func() {
	// fleet returns participants that know each other and the store at revision 5.
	fleet := func(count, zones int) map[directory.Peer]*participant {
		members := fleetOf(count, zones)
		all := make(map[directory.Peer]*participant)
		for _, member := range members {
			created := newParticipant(member)
			created.list(0, 5)
			created.spread.SetMembers(members)
			all[member.Peer] = created
		}
		return all
	}
	watching := func(all map[directory.Peer]*participant) []directory.Peer {
		var peers []directory.Peer
		for peer := range directory.Peer(len(all)) {
			if all[peer+1].spread.Watching() {
				peers = append(peers, peer+1)
			}
		}
		return peers
	}

	DescribeTable("lets few watch, the same in the eyes of all", func(members, zones, expected int) {
		all := fleet(members, zones)
		Expect(watching(all)).To(HaveLen(expected))
		watchedZones := make(map[directory.Peer]bool)
		for _, peer := range watching(all) {
			watchedZones[(peer-1)%directory.Peer(zones)] = true
		}
		Expect(watchedZones).To(HaveLen(min(expected, zones)))
	},
		Entry("of 1", 1, 1, 1),
		Entry("of 2", 2, 1, 2),
		Entry("of 6", 6, 3, 2),
		Entry("of 91", 91, 5, 3),
		Entry("of 1,000", 1000, 11, 4),
	)

	It("replaces a watcher that has failed by one, and leaves the others", func() {
		all := fleet(91, 5)
		before := watching(all)
		members := fleetOf(91, 5)
		left := append(members[:before[0]-1:before[0]-1], members[before[0]:]...)
		for _, each := range all {
			each.spread.SetMembers(left)
		}
		after := watching(all)
		Expect(after).To(ContainElements(before[1:]))
	})

	It("watches again once the only other, which had told it the directory, has failed", func() {
		other, told := newParticipant(directory.Member{Peer: 1}), newParticipant(directory.Member{Peer: 2})
		other.list(0, 5)
		told.spread.Receive(0, 1, directory.Update{State: other.spread.Summary(0)})
		told.machine.ApplyState(0, other.spread.State(0, directory.Digest{}))
		told.spread.Receive(0, 1, directory.Update{State: other.spread.Summary(0)})
		Expect(told.spread.Watching()).To(BeFalse())
		told.spread.PeerLost(1)
		Expect(told.spread.Watching()).To(BeTrue())
	})

	It("does not watch while it knows far fewer balancers than others do, and for no longer", func() {
		few := fleetOf(3, 1)
		early := newParticipant(few[0])
		early.list(0, 5)
		for _, each := range few {
			seen := newParticipant(each)
			seen.spread.SetMembers(few)
			if seen.spread.Watching() {
				early = seen
			}
		}
		Expect(early.spread.Watching()).To(BeTrue())
		informed := newParticipant(directory.Member{Peer: 9})
		informed.list(0, 5)
		informed.spread.SetMembers(fleetOf(300, 5))
		early.spread.Receive(0, 9, directory.Update{State: informed.spread.Summary(0)})
		Expect(early.spread.Watching()).To(BeFalse())
		informed.spread.SetMembers(fleetOf(2, 1))
		early.spread.Receive(6*time.Second, 9, directory.Update{State: informed.spread.Summary(6 * time.Second)})
		Expect(early.spread.Watching()).To(BeTrue(), "the fleet has shrunk")
	})

	It("watches while it knows nobody, unless others have told it the directory", func() {
		alone, told, listed := newParticipant(directory.Member{Peer: 1}), newParticipant(directory.Member{Peer: 2}), newParticipant(directory.Member{Peer: 3})
		listed.list(0, 5)
		for _, each := range []*participant{told, listed} {
			each.spread.Receive(0, 4, directory.Update{State: listed.spread.Summary(0)})
		}
		Expect(alone.spread.Watching()).To(BeTrue())
		Expect(told.spread.Watching()).To(BeFalse())
		Expect(listed.spread.Watching()).To(BeTrue())
	})

	It("makes balancers that hear nothing ask one after the other, the last in time", func() {
		all := fleet(20, 1)
		polls := make(map[time.Duration]bool)
		for _, each := range all {
			at := each.spread.PollAt()
			Expect(at).To(BeNumerically(">=", timing.ApplyTimeout/2))
			Expect(at).To(BeNumerically("<=", timing.ApplyTimeout*2/3))
			polls[at] = true
		}
		Expect(polls).To(HaveLen(20))
	})

	It("tells its own zone and one balancer of every other, which tells its zone", func() {
		all := fleet(30, 3)
		teller := watching(all)[0]
		all[teller].machine.ApplyChanges(time.Second, announcing(6, 2), 7)
		reached := map[directory.Peer]bool{teller: true}
		sent := all[teller].spread.StoreAnswered(time.Second)
		Expect(receiversOf(sent)).To(HaveLen(9 + 2))
		for len(sent) > 0 {
			each := sent[0]
			sent = sent[1:]
			reached[each.To] = true
			changed, lacks, further := all[each.To].spread.Receive(time.Second, teller, each.Update)
			Expect(changed).To(BeTrue())
			Expect(lacks).To(BeFalse())
			sent = append(sent, further...)
		}
		Expect(reached).To(HaveLen(30))
		for _, each := range all {
			Expect(each.machine.AppliedRevision()).To(Equal(directory.Revision(7)))
			Expect(each.machine.Snapshot().All()).To(HaveLen(2))
			Expect(each.spread.ConfirmedAt()).To(Equal(time.Second))
		}
	})

	It("takes the age of what it is told into account", func() {
		all := fleet(2, 1)
		update := directory.Update{State: all[1].spread.Summary(700 * millisecond)}
		_, lacks, _ := all[2].spread.Receive(time.Second, 1, update)
		Expect(lacks).To(BeFalse())
		Expect(all[2].spread.ConfirmedAt()).To(Equal(300 * millisecond))
	})

	It("believes no confirmation of what it does not know", func() {
		all := fleet(2, 1)
		all[1].machine.ApplyChanges(time.Second, []directory.Item{configurationItem(2, 6)}, 6)
		for _, each := range all[1].spread.StoreAnswered(time.Second) {
			_, lacks, _ := all[2].spread.Receive(time.Second, 1, each.Update)
			Expect(lacks).To(BeTrue(), "the configuration has to be fetched")
		}
		Expect(all[2].spread.ConfirmedAt()).To(BeZero())
		Expect(all[2].machine.Digest()).To(Equal(directory.Digest{ConfigurationVersion: 1, Revision: 5}))
		all[2].machine.ApplyState(time.Second, all[1].spread.State(time.Second, all[2].machine.Digest()))
		Expect(all[2].machine.Digest()).To(Equal(directory.Digest{ConfigurationVersion: 2, Revision: 6}))
	})

	It("tells its zone of a configuration that it had to fetch, if it is the first of its zone", func() {
		all := fleet(30, 3)
		teller := watching(all)[0]
		all[teller].machine.ApplyChanges(time.Second, []directory.Item{configurationItem(2, 6)}, 6)
		for peer := range receiversOf(all[teller].spread.StoreAnswered(time.Second)) {
			digest := all[peer].machine.Digest()
			state := all[teller].spread.State(time.Second, digest)
			all[peer].machine.ApplyState(time.Second, state)
			told := receiversOf(all[peer].spread.StateFetched(time.Second, time.Second, teller, state))
			if peer%3 == teller%3 {
				Expect(told).To(BeEmpty(), "it is in the zone of the watcher")
				continue
			}
			Expect(told).To(HaveLen(9))
			Expect(all[peer].spread.StateFetched(time.Second, time.Second, teller, state)).To(BeEmpty(), "once")
		}
	})

	It("asks a watcher when it has not heard in time, and is told by it from then on though the membership does not know it", func() {
		all := fleet(91, 5)
		watcher := all[watching(all)[0]]
		asking := all[1]
		if asking.spread.Watching() {
			asking = all[2]
		}
		Expect(asking.spread.RenewalRequest(time.Second)).To(BeEmpty())
		due := asking.spread.RenewalRequest(1400 * millisecond)
		Expect(due).To(HaveLen(1))
		Expect(due[0].To).To(BeElementOf(watching(all)))
		Expect(due[0].Update).To(And(HaveField("RequestsChanges", true), HaveField("Confirmation", false)))
		Expect(asking.spread.PollAt()).To(BeNumerically(">", 1400*millisecond), "before it asks the store")
		Expect(asking.spread.RenewalRequest(1500*millisecond)).To(BeEmpty(), "it waits for the answer")
		watcher.spread.SetMembers(fleetOf(2, 1))
		watcher.spread.StoreAnswered(1300 * millisecond)
		_, _, answers := watcher.spread.Receive(1401*millisecond, 77, due[0].Update)
		Expect(answers).To(HaveLen(1))
		asking.spread.Receive(1402*millisecond, due[0].To, answers[0].Update)
		Expect(asking.spread.RenewalRequest(2500 * millisecond)).To(BeEmpty())
		Expect(receiversOf(watcher.spread.StoreAnswered(20 * time.Second))).To(HaveKey(directory.Peer(77)))
	})

	It("repeats what it has told, once and soon, so that a lost datagram does not last until it tells again", func() {
		all := fleet(91, 5)
		teller := all[watching(all)[0]]
		teller.machine.ApplyChanges(time.Second, announcing(6, 1), 6)
		lost := receiversOf(teller.spread.StoreAnswered(time.Second))
		Expect(teller.spread.Repeat(time.Second + 50*millisecond)).To(BeEmpty())
		repeated := teller.spread.Repeat(time.Second + 100*millisecond)
		Expect(receiversOf(repeated)).To(Equal(lost))
		receiver := all[repeated[0].To]
		changed, lacks, _ := receiver.spread.Receive(time.Second+101*millisecond, 1, repeated[0].Update)
		Expect(changed).To(BeTrue())
		Expect(lacks).To(BeFalse())
		Expect(teller.spread.Repeat(time.Second + 200*millisecond)).To(BeEmpty())
		changed, lacks, passed := receiver.spread.Receive(time.Second+201*millisecond, 1, repeated[0].Update)
		Expect(changed).To(BeFalse())
		Expect(lacks).To(BeFalse())
		Expect(passed).To(BeEmpty(), "it was passed on already")
	})

	It("makes up for one update that was lost, and knows when it lacks more", func() {
		all := fleet(2, 1)
		tell := func(revision directory.Revision) []directory.Outgoing {
			all[1].machine.ApplyChanges(time.Second, announcing(revision, 1), revision)
			return all[1].spread.StoreAnswered(time.Second)
		}
		tell(6)
		tell(7)
		_, lacks, _ := all[2].spread.Receive(time.Second, 1, tell(8)[0].Update)
		Expect(lacks).To(BeTrue())
		all[2].machine.ApplyState(time.Second, all[1].spread.State(time.Second, all[2].machine.Digest()))
		tell(9)
		_, lacks, _ = all[2].spread.Receive(time.Second, 1, tell(10)[0].Update)
		Expect(lacks).To(BeFalse())
		Expect(all[2].machine.AppliedRevision()).To(Equal(directory.Revision(10)))
	})

	It("divides many changes into datagrams, each of which can come alone, and announces too many", func() {
		for _, count := range []int{1, 10, 30, 60, 300} {
			all := fleet(2, 1)
			all[1].machine.ApplyChanges(time.Second, announcing(6, count), directory.Revision(5+count))
			parts := all[1].spread.StoreAnswered(time.Second)
			lacking := false
			for _, part := range parts {
				encoded, err := part.Update.MarshalMsg(nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(encoded)).To(BeNumerically("<=", directory.MaxUpdateSize))
				before := len(all[2].machine.Snapshot().All())
				_, lacks, _ := all[2].spread.Receive(time.Second, 1, part.Update)
				Expect(len(all[2].machine.Snapshot().All())).To(Equal(before + len(part.Update.State.Endpoints)))
				lacking = lacks
			}
			if count < 300 {
				Expect(lacking).To(BeFalse())
				Expect(all[2].machine.Snapshot().All()).To(HaveLen(count))
			} else {
				Expect(parts).To(HaveLen(1))
				Expect(lacking).To(BeTrue())
			}
		}
	})

	It("tells those who have asked lately of what is new", func() {
		source := newParticipant(directory.Member{Peer: 1})
		source.list(0, 5)
		source.spread.StateSent(0, 7)
		source.machine.ApplyChanges(time.Second, announcing(6, 1), 6)
		Expect(receiversOf(source.spread.StoreAnswered(time.Second))).To(HaveKey(directory.Peer(7)))
		Expect(receiversOf(source.spread.StoreAnswered(32 * time.Second))).To(BeEmpty())
	})

	It("has the same few watchers confirm the directory for all, and any other once one does not answer", func() {
		all := fleet(91, 5)
		asked := make(map[directory.Peer]int)
		var last *participant
		for range 20 {
			for _, each := range all {
				if watcher, exists := each.spread.ConfirmationWatcher(0); exists {
					asked[watcher]++
					last = each
				}
			}
		}
		Expect(asked).To(HaveLen(2))
		for watcher := range asked {
			_, exists := all[watcher].spread.ConfirmationWatcher(0)
			Expect(exists).To(BeFalse(), "it calls the store itself")
		}
		clear(asked)
		silent, _ := last.spread.ConfirmationWatcher(0)
		last.spread.WatcherTimedOut(0, silent)
		for range 200 {
			watcher, _ := last.spread.ConfirmationWatcher(time.Second)
			asked[watcher]++
		}
		Expect(len(asked)).To(BeNumerically(">=", 2))
		Expect(asked).NotTo(HaveKey(silent))
	})

	It("does not take itself for one that confirms while others know many more balancers", func() {
		starting := newParticipant(directory.Member{Peer: 1})
		starting.spread.SetMembers([]directory.Member{{Peer: 1}, {Peer: 2}})
		other := newParticipant(directory.Member{Peer: 2})
		other.spread.SetMembers([]directory.Member{{Peer: 1}, {Peer: 2}})
		first := starting
		if _, exists := starting.spread.ConfirmationWatcher(0); exists {
			first = other
		}
		_, exists := first.spread.ConfirmationWatcher(0)
		Expect(exists).To(BeFalse())
		first.spread.Receive(0, 3, directory.Update{State: directory.State{MemberCount: 300}})
		_, exists = first.spread.ConfirmationWatcher(0)
		Expect(exists).To(BeTrue())
	})

	It("lets another that watches confirm the directory, and answers with what is missing", func() {
		all := fleet(91, 5)
		asking := all[1]
		if asking.spread.Watching() {
			asking = all[2]
		}
		watcher, exists := asking.spread.ConfirmationWatcher(0)
		Expect(exists).To(BeTrue())
		Expect(watching(all)).To(ContainElement(watcher))
		all[watcher].machine.ApplyChanges(time.Second, announcing(6, 3), 8)
		question := directory.Update{RequestsChanges: true, Confirmation: true, RequestID: 4, State: asking.spread.Summary(0)}
		_, _, answers := all[watcher].spread.Receive(0, 1, question)
		Expect(answers).To(BeEmpty(), "the store has to be asked first")
		answers = all[watcher].spread.ConfirmationReplies(time.Second, 1, question)
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].Update).To(And(HaveField("Confirmation", true), HaveField("RequestID", uint32(4))))
		_, lacks, _ := asking.spread.Receive(time.Second, watcher, answers[0].Update)
		Expect(lacks).To(BeFalse())
		Expect(asking.machine.AppliedRevision()).To(Equal(directory.Revision(8)))
		_, exists = all[watcher].spread.ConfirmationWatcher(0)
		Expect(exists).To(BeFalse(), "it asks the store itself")
	})
})

var _ = Describe("Questions", func() {
	It("gives back those that came until a time, once, and keeps the later", func() {
		var waiting directory.ConfirmationQueue
		for number := range 3 {
			waiting.Add(time.Duration(number)*millisecond, directory.Peer(number), directory.Update{RequestID: uint32(number)})
		}
		taken := waiting.TakeThrough(millisecond)
		Expect(taken).To(HaveLen(2))
		Expect(taken[1].From).To(Equal(directory.Peer(1)))
		Expect(waiting.TakeThrough(millisecond)).To(BeEmpty())
		Expect(waiting.TakeThrough(time.Second)).To(HaveLen(1))
	})
})

var _ = Describe("Machine, told by others", func() {
	It("learns from a whole state what has gone, and goes on from its revision", func() {
		teller, told := directory.NewReplica(), directory.NewReplica()
		told.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("old", 2, endpoint("s", false))}, 3)
		teller.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("new", 8, endpoint("s", false))}, 9)
		state := teller.StateAfter(0, told.Digest())
		Expect(state.Whole).To(BeTrue(), "the teller does not know what happened since 3")
		Expect(told.ApplyState(0, state)).To(BeTrue())
		Expect(told.AppliedRevision()).To(Equal(directory.Revision(9)))
		candidate, _ := told.Snapshot().Candidate(directory.NameOnlyID("old"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("does not bring back an entry that has lapsed, come back and lapsed again in a gap", func() {
		told := directory.NewReplica()
		told.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 2)
		told.ApplyChanges(0, []directory.Item{endpointItem("a", 3, nil)}, 3)
		told.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 6)
		late := directory.NewReplica()
		late.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 4, endpoint("s", false))}, 4)
		told.ApplyState(0, late.ChangesAfter(0, 3))
		told.ApplyState(0, late.FullState(0))
		candidate, _ := told.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("learns from a whole state of the end of an entry of whose return the teller has not heard", func() {
		teller, told := directory.NewReplica(), directory.NewReplica()
		teller.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 2)
		teller.ApplyChanges(0, []directory.Item{endpointItem("a", 3, nil)}, 3)
		teller.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 5)
		told.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 4, endpoint("s", false))}, 4)
		told.ApplyState(0, teller.StateAfter(0, told.Digest()))
		candidate, _ := told.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("does not go on from changes that begin after what it knows", func() {
		teller, told := directory.NewReplica(), directory.NewReplica()
		told.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 3)
		teller.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 3)
		teller.ApplyChanges(0, []directory.Item{endpointItem("a", 4, endpoint("s", false))}, 4)
		teller.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		teller.ApplyChanges(0, []directory.Item{endpointItem("b", 6, endpoint("s", false))}, 6)
		changes := teller.ChangesAfter(0, 5)
		Expect(told.CompletesWith(changes)).To(BeFalse())
		Expect(told.ApplyState(0, changes)).To(BeTrue(), "what it is told is true all the same")
		Expect(told.AppliedRevision()).To(Equal(directory.Revision(3)))
	})

	It("tells everything to who last heard before an endpoint that is forgotten by now", func() {
		teller := directory.NewReplica()
		teller.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 3)
		teller.ApplyChanges(0, []directory.Item{endpointItem("a", 4, nil)}, 4)
		Expect(teller.StateAfter(0, directory.Digest{ConfigurationVersion: 1, Revision: 3}).Whole).To(BeFalse())
		late := directory.Retention + time.Second
		teller.ApplyChanges(late, nil, 5)
		Expect(teller.StateAfter(late, directory.Digest{ConfigurationVersion: 1, Revision: 3}).Whole).To(BeTrue())
	})
})
