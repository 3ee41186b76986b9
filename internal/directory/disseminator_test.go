package directory_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

const millisecond = time.Millisecond

// fleetOf returns count members spread over a number of zones.
func fleetOf(count, zones int) []directory.Member {
	members := make([]directory.Member, count)
	for index := range members {
		members[index] = directory.Member{Peer: directory.Peer(index + 1), Zone: index % zones}
	}
	return members
}

// testBalancer is one balancer of a fleet.
type testBalancer struct {
	replica      *directory.Replica
	disseminator *directory.Disseminator
}

func newTestBalancer(self directory.Member, seeds ...directory.Peer) *testBalancer {
	replica := directory.NewReplica()
	random := rand.New(rand.NewPCG(uint64(self.Peer), 1))
	return &testBalancer{replica, directory.NewDisseminator(replica, timing, self, seeds, random)}
}

// list makes the balancer list the store itself.
func (b *testBalancer) list(now time.Duration, revision directory.Revision, items ...directory.Item) []directory.Outgoing {
	b.replica.ApplyListing(now, append(items, configurationItem(1, 1)), revision)
	b.disseminator.StoreListed()
	return b.disseminator.StoreAnswered(now, now)
}

// sequentialEndpoints returns endpoints announced at consecutive revisions.
func sequentialEndpoints(first directory.Revision, count int) []directory.Item {
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

// fleet returns balancers that list each other and the store at revision 5.
func fleet(count, zones int) map[directory.Peer]*testBalancer {
	members := fleetOf(count, zones)
	all := make(map[directory.Peer]*testBalancer)
	for _, member := range members {
		created := newTestBalancer(member)
		created.list(0, 5)
		created.disseminator.SetMembers(members)
		all[member.Peer] = created
	}
	return all
}

var _ = Describe("Disseminator", func() {
	watching := func(all map[directory.Peer]*testBalancer) []directory.Peer {
		var peers []directory.Peer
		for peer := range directory.Peer(len(all)) {
			if all[peer+1].disseminator.Watching() {
				peers = append(peers, peer+1)
			}
		}
		return peers
	}

	DescribeTable("selects few watchers, on which all balancers agree", func(members, zones, expected int) {
		all := fleet(members, zones)
		Expect(watching(all)).To(HaveLen(expected))
		watchedZones := make(map[directory.Peer]bool)
		for _, peer := range watching(all) {
			watchedZones[(peer-1)%directory.Peer(zones)] = true
		}
		Expect(watchedZones).To(HaveLen(min(expected, zones)))
	},
		Entry("with 1 balancer", 1, 1, 1),
		Entry("with 2 balancers", 2, 1, 2),
		Entry("with 6 balancers", 6, 3, 2),
		Entry("with 91 balancers", 91, 5, 3),
		Entry("with 1,000 balancers", 1000, 11, 4),
	)

	// Guards against new flows at leaving endpoints and against old configurations, at balancers that
	// rely on a watcher which was paused while the response of the store waited.
	It("confirms the directory to others only for when the call of the watcher began", func() {
		all := fleet(3, 1)
		watcher := all[watching(all)[0]]
		follower := directory.NewFollower(watcher.replica, timing, watcher.disseminator)
		follower.Next(time.Second)
		follower.HandleChanges(3*time.Second, directory.Changes{Items: sequentialEndpoints(6, 1), Through: 6}, 0)
		for _, each := range watcher.disseminator.StoreAnswered(3*time.Second, follower.CurrentAt()) {
			receiver := all[each.To].disseminator
			receiver.Receive(3*time.Second, watching(all)[0], each.Update)
			Expect(receiver.ConfirmedAt()).To(Equal(time.Second))
			Expect(receiver.PollAt()).To(BeNumerically("<=", 3*time.Second))
		}
	})

	// Guards against old directories at balancers that rely on the head of their zone, which handled an
	// update that had waited while it was paused.
	It("counts an update that may have waited during a pause of the process from the beginning of the pause", func() {
		all := fleet(4, 2)
		sender := all[1].disseminator
		all[1].list(time.Second, 6, sequentialEndpoints(2, 3)...)
		all[1].replica.ApplyChanges(2*time.Second, []directory.Item{endpointItem("endpoint-001", 7, nil)}, 7)
		update := directory.Update{State: sender.State(3*time.Second, all[2].replica.Digest())}
		update.State.Age = 0
		receiver := all[2]
		for now := time.Duration(0); now <= time.Second; now += 100 * millisecond {
			receiver.disseminator.Repeat(now)
		}
		_, _, forwarded := receiver.disseminator.Receive(5*time.Second, 1, update)
		Expect(receiver.disseminator.ConfirmedAt()).To(Equal(time.Second))
		gone, _ := receiver.replica.Snapshot().Candidate(directory.NameOnlyID("endpoint-001"))
		Expect(gone.PresentAt).To(Equal(-time.Second), "2 s before the earliest receipt of the update")
		for _, each := range forwarded {
			Expect(each.Update.State.Age).To(Equal(4 * time.Second))
		}
		receiver.disseminator.Receive(5400*millisecond, 1, update)
		Expect(receiver.disseminator.ConfirmedAt()).To(Equal(time.Second), "the backlog may not have been handled yet")
		for now := 5400 * millisecond; now <= 6*time.Second; now += 100 * millisecond {
			receiver.disseminator.Repeat(now)
		}
		receiver.disseminator.Receive(6*time.Second, 1, update)
		Expect(receiver.disseminator.ConfirmedAt()).To(Equal(6 * time.Second))
	})

	It("keeps the other watchers when one has failed", func() {
		all := fleet(91, 5)
		before := watching(all)
		members := fleetOf(91, 5)
		remaining := append(members[:before[0]-1:before[0]-1], members[before[0]:]...)
		for _, each := range all {
			each.disseminator.SetMembers(remaining)
		}
		after := watching(all)
		Expect(after).To(ContainElements(before[1:]))
	})

	It("watches again once the only other balancer, its source of the directory, has failed", func() {
		other, receiver := newTestBalancer(directory.Member{Peer: 1}), newTestBalancer(directory.Member{Peer: 2})
		other.list(0, 5)
		receiver.disseminator.Receive(0, 1, directory.Update{State: other.disseminator.Summary(0)})
		receiver.replica.ApplyState(0, other.disseminator.State(0, directory.Digest{}))
		receiver.disseminator.Receive(0, 1, directory.Update{State: other.disseminator.Summary(0)})
		Expect(receiver.disseminator.Watching()).To(BeFalse())
		receiver.disseminator.PeerLost(1)
		Expect(receiver.disseminator.Watching()).To(BeTrue())
	})

	It("does not watch while others list far more balancers, until their advertisement expires", func() {
		few := fleetOf(3, 1)
		reduced := newTestBalancer(few[0])
		reduced.list(0, 5)
		for _, each := range few {
			candidate := newTestBalancer(each)
			candidate.disseminator.SetMembers(few)
			if candidate.disseminator.Watching() {
				reduced = candidate
			}
		}
		Expect(reduced.disseminator.Watching()).To(BeTrue())
		informed := newTestBalancer(directory.Member{Peer: 9})
		informed.list(0, 5)
		informed.disseminator.SetMembers(fleetOf(300, 5))
		reduced.disseminator.Receive(0, 9, directory.Update{State: informed.disseminator.Summary(0)})
		Expect(reduced.disseminator.Watching()).To(BeFalse())
		informed.disseminator.SetMembers(fleetOf(2, 1))
		reduced.disseminator.Receive(6*time.Second, 9, directory.Update{State: informed.disseminator.Summary(6 * time.Second)})
		Expect(reduced.disseminator.Watching()).To(BeTrue(), "the fleet has shrunk")
	})

	It("watches while it lists no other balancer, unless another has announced a directory", func() {
		alone, receiver, listed := newTestBalancer(directory.Member{Peer: 1}), newTestBalancer(directory.Member{Peer: 2}), newTestBalancer(directory.Member{Peer: 3})
		listed.list(0, 5)
		for _, each := range []*testBalancer{receiver, listed} {
			each.disseminator.Receive(0, 4, directory.Update{State: listed.disseminator.Summary(0)})
		}
		Expect(alone.disseminator.Watching()).To(BeTrue())
		Expect(receiver.disseminator.Watching()).To(BeFalse())
		Expect(listed.disseminator.Watching()).To(BeTrue())
	})

	It("spreads the polls of balancers without confirmations, the last one within the limit", func() {
		all := fleet(20, 1)
		polls := make(map[time.Duration]bool)
		for _, each := range all {
			at := each.disseminator.PollAt()
			Expect(at).To(BeNumerically(">=", timing.ApplyTimeout/2))
			Expect(at).To(BeNumerically("<=", timing.ApplyTimeout*2/3))
			polls[at] = true
		}
		Expect(polls).To(HaveLen(20))
	})

	It("announces to its own zone and to one balancer of every other zone, which forwards to its zone", func() {
		all := fleet(30, 3)
		sender := watching(all)[0]
		all[sender].replica.ApplyChanges(time.Second, sequentialEndpoints(6, 2), 7)
		reached := map[directory.Peer]bool{sender: true}
		sent := all[sender].disseminator.StoreAnswered(time.Second, time.Second)
		Expect(receiversOf(sent)).To(HaveLen(9 + 2))
		for len(sent) > 0 {
			each := sent[0]
			sent = sent[1:]
			reached[each.To] = true
			changed, incomplete, further := all[each.To].disseminator.Receive(time.Second, sender, each.Update)
			Expect(changed).To(BeTrue())
			Expect(incomplete).To(BeFalse())
			sent = append(sent, further...)
		}
		Expect(reached).To(HaveLen(30))
		for _, each := range all {
			Expect(each.replica.AppliedRevision()).To(Equal(directory.Revision(7)))
			Expect(each.replica.Snapshot().All()).To(HaveLen(2))
			Expect(each.disseminator.ConfirmedAt()).To(Equal(time.Second))
		}
	})

	It("subtracts the age of an announced confirmation", func() {
		all := fleet(2, 1)
		update := directory.Update{State: all[1].disseminator.Summary(700 * millisecond)}
		_, incomplete, _ := all[2].disseminator.Receive(time.Second, 1, update)
		Expect(incomplete).To(BeFalse())
		Expect(all[2].disseminator.ConfirmedAt()).To(Equal(300 * millisecond))
	})

	It("ignores a confirmation of changes that it lacks", func() {
		all := fleet(2, 1)
		all[1].replica.ApplyChanges(time.Second, []directory.Item{configurationItem(2, 6)}, 6)
		for _, each := range all[1].disseminator.StoreAnswered(time.Second, time.Second) {
			_, incomplete, _ := all[2].disseminator.Receive(time.Second, 1, each.Update)
			Expect(incomplete).To(BeTrue(), "the configuration must be fetched")
		}
		Expect(all[2].disseminator.ConfirmedAt()).To(BeZero())
		Expect(all[2].replica.Digest()).To(Equal(directory.Digest{ConfigurationVersion: 1, Revision: 5}))
		all[2].replica.ApplyState(time.Second, all[1].disseminator.State(time.Second, all[2].replica.Digest()))
		Expect(all[2].replica.Digest()).To(Equal(directory.Digest{ConfigurationVersion: 2, Revision: 6}))
	})

	It("announces a fetched configuration to its zone if it is the zone head", func() {
		all := fleet(30, 3)
		sender := watching(all)[0]
		all[sender].replica.ApplyChanges(time.Second, []directory.Item{configurationItem(2, 6)}, 6)
		for peer := range receiversOf(all[sender].disseminator.StoreAnswered(time.Second, time.Second)) {
			digest := all[peer].replica.Digest()
			state := all[sender].disseminator.State(time.Second, digest)
			all[peer].replica.ApplyState(time.Second, state)
			receivers := receiversOf(all[peer].disseminator.StateFetched(time.Second, sender, state))
			if peer%3 == sender%3 {
				Expect(receivers).To(BeEmpty(), "the watcher announces to this zone itself")
				continue
			}
			Expect(receivers).To(HaveLen(9))
			Expect(all[peer].disseminator.StateFetched(time.Second, sender, state)).To(BeEmpty(), "once")
		}
	})

	It("requests changes from a watcher after a missing confirmation and is then a subscriber, even outside the membership", func() {
		all := fleet(91, 5)
		watcher := all[watching(all)[0]]
		asking := all[1]
		if asking.disseminator.Watching() {
			asking = all[2]
		}
		Expect(asking.disseminator.RenewalRequest(time.Second)).To(BeEmpty())
		due := asking.disseminator.RenewalRequest(1400 * millisecond)
		Expect(due).To(HaveLen(1))
		Expect(due[0].To).To(BeElementOf(watching(all)))
		Expect(due[0].Update).To(And(HaveField("RequestsChanges", true), HaveField("Confirmation", false)))
		Expect(asking.disseminator.PollAt()).To(BeNumerically(">", 1400*millisecond), "before it polls the store")
		Expect(asking.disseminator.RenewalRequest(1500*millisecond)).To(BeEmpty(), "the reply is pending")
		watcher.disseminator.SetMembers(fleetOf(2, 1))
		watcher.disseminator.StoreAnswered(1300*millisecond, 1300*millisecond)
		_, _, replies := watcher.disseminator.Receive(1401*millisecond, 77, due[0].Update)
		Expect(replies).To(HaveLen(1))
		asking.disseminator.Receive(1402*millisecond, due[0].To, replies[0].Update)
		Expect(asking.disseminator.RenewalRequest(2500 * millisecond)).To(BeEmpty())
		Expect(receiversOf(watcher.disseminator.StoreAnswered(20*time.Second, 20*time.Second))).To(HaveKey(directory.Peer(77)))
	})

	It("repeats an update once after a short delay, so that a lost datagram is made up for before the next update", func() {
		all := fleet(91, 5)
		sender := all[watching(all)[0]]
		sender.replica.ApplyChanges(time.Second, sequentialEndpoints(6, 1), 6)
		lost := receiversOf(sender.disseminator.StoreAnswered(time.Second, time.Second))
		Expect(sender.disseminator.Repeat(time.Second + 50*millisecond)).To(BeEmpty())
		repeated := sender.disseminator.Repeat(time.Second + 100*millisecond)
		Expect(receiversOf(repeated)).To(Equal(lost))
		receiver := all[repeated[0].To]
		changed, incomplete, _ := receiver.disseminator.Receive(time.Second+101*millisecond, 1, repeated[0].Update)
		Expect(changed).To(BeTrue())
		Expect(incomplete).To(BeFalse())
		Expect(sender.disseminator.Repeat(time.Second + 200*millisecond)).To(BeEmpty())
		changed, incomplete, forwarded := receiver.disseminator.Receive(time.Second+201*millisecond, 1, repeated[0].Update)
		Expect(changed).To(BeFalse())
		Expect(incomplete).To(BeFalse())
		Expect(forwarded).To(BeEmpty(), "it was forwarded already")
	})

	It("overlaps updates, so that one lost update is made up for, and detects larger gaps", func() {
		all := fleet(2, 1)
		announce := func(revision directory.Revision) []directory.Outgoing {
			all[1].replica.ApplyChanges(time.Second, sequentialEndpoints(revision, 1), revision)
			return all[1].disseminator.StoreAnswered(time.Second, time.Second)
		}
		announce(6)
		announce(7)
		_, incomplete, _ := all[2].disseminator.Receive(time.Second, 1, announce(8)[0].Update)
		Expect(incomplete).To(BeTrue())
		all[2].replica.ApplyState(time.Second, all[1].disseminator.State(time.Second, all[2].replica.Digest()))
		announce(9)
		_, incomplete, _ = all[2].disseminator.Receive(time.Second, 1, announce(10)[0].Update)
		Expect(incomplete).To(BeFalse())
		Expect(all[2].replica.AppliedRevision()).To(Equal(directory.Revision(10)))
	})

	It("splits changes into datagrams that apply independently, and announces too many without content", func() {
		for _, count := range []int{1, 10, 30, 60, 300} {
			all := fleet(2, 1)
			all[1].replica.ApplyChanges(time.Second, sequentialEndpoints(6, count), directory.Revision(5+count))
			parts := all[1].disseminator.StoreAnswered(time.Second, time.Second)
			missingChanges := false
			for _, part := range parts {
				encoded, err := part.Update.MarshalMsg(nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(encoded)).To(BeNumerically("<=", directory.MaxUpdateSize))
				before := len(all[2].replica.Snapshot().All())
				_, incomplete, _ := all[2].disseminator.Receive(time.Second, 1, part.Update)
				Expect(len(all[2].replica.Snapshot().All())).To(Equal(before + len(part.Update.State.Endpoints)))
				missingChanges = incomplete
			}
			if count < 300 {
				Expect(missingChanges).To(BeFalse())
				Expect(all[2].replica.Snapshot().All()).To(HaveLen(count))
			} else {
				Expect(parts).To(HaveLen(1))
				Expect(missingChanges).To(BeTrue())
			}
		}
	})

	It("fits into datagrams also with endpoints that are gone and with the longest numbers", func() {
		const count = 30
		first := directory.Revision(math.MaxUint64 - 200)
		for nameLength := range 40 {
			all := fleet(2, 1)
			items := sequentialEndpoints(first, count)
			for index := range items {
				items[index].EndpointID.Started = math.MaxInt64
				items[index].Endpoint.Zone = strings.Repeat("z", nameLength)
				items[index].Endpoint.Slots, items[index].Endpoint.Port = directory.MaxSlots, math.MaxUint16
				items[index].Endpoint.ColdRemaining = directory.MaxColdTime
			}
			all[1].replica.ApplyChanges(time.Second, items, first+count-1)
			for index := range items {
				items[index].Endpoint, items[index].Revision = nil, first+count+directory.Revision(index)
			}
			all[1].replica.ApplyChanges(2*time.Second, items, first+2*count-1)
			parts := all[1].disseminator.StoreAnswered(12*time.Second, 12*time.Second)
			Expect(len(parts)).To(BeNumerically(">", 1), "an announcement without content is a single update")
			for _, part := range parts {
				encoded, err := part.Update.MarshalMsg(nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(len(encoded)).To(BeNumerically("<=", directory.MaxUpdateSize))
			}
		}
	})

	It("sends updates to processes that fetched recently", func() {
		source := newTestBalancer(directory.Member{Peer: 1})
		source.list(0, 5)
		source.disseminator.StateSent(0, 7)
		source.replica.ApplyChanges(time.Second, sequentialEndpoints(6, 1), 6)
		Expect(receiversOf(source.disseminator.StoreAnswered(time.Second, time.Second))).To(HaveKey(directory.Peer(7)))
		Expect(receiversOf(source.disseminator.StoreAnswered(32*time.Second, 32*time.Second))).To(BeEmpty())
	})

	It("asks the same few watchers to confirm, and any other once one does not reply", func() {
		all := fleet(91, 5)
		requests := make(map[directory.Peer]int)
		var last *testBalancer
		for range 20 {
			for _, each := range all {
				if watcher, exists := each.disseminator.ConfirmationWatcher(0); exists {
					requests[watcher]++
					last = each
				}
			}
		}
		Expect(requests).To(HaveLen(2))
		for watcher := range requests {
			_, exists := all[watcher].disseminator.ConfirmationWatcher(0)
			Expect(exists).To(BeFalse(), "it calls the store itself")
		}
		clear(requests)
		unresponsive, _ := last.disseminator.ConfirmationWatcher(0)
		last.disseminator.WatcherTimedOut(0, unresponsive)
		for range 200 {
			watcher, _ := last.disseminator.ConfirmationWatcher(time.Second)
			requests[watcher]++
		}
		Expect(len(requests)).To(BeNumerically(">=", 2))
		Expect(requests).NotTo(HaveKey(unresponsive))
	})

	It("does not confirm itself while others list many more balancers", func() {
		starting := newTestBalancer(directory.Member{Peer: 1})
		starting.disseminator.SetMembers([]directory.Member{{Peer: 1}, {Peer: 2}})
		other := newTestBalancer(directory.Member{Peer: 2})
		other.disseminator.SetMembers([]directory.Member{{Peer: 1}, {Peer: 2}})
		first := starting
		if _, exists := starting.disseminator.ConfirmationWatcher(0); exists {
			first = other
		}
		_, exists := first.disseminator.ConfirmationWatcher(0)
		Expect(exists).To(BeFalse())
		first.disseminator.Receive(0, 3, directory.Update{State: directory.State{MemberCount: 300}})
		_, exists = first.disseminator.ConfirmationWatcher(0)
		Expect(exists).To(BeTrue())
	})

	It("requests a confirmation from a watcher and receives the missing changes", func() {
		all := fleet(91, 5)
		asking := all[1]
		if asking.disseminator.Watching() {
			asking = all[2]
		}
		watcher, exists := asking.disseminator.ConfirmationWatcher(0)
		Expect(exists).To(BeTrue())
		Expect(watching(all)).To(ContainElement(watcher))
		all[watcher].replica.ApplyChanges(time.Second, sequentialEndpoints(6, 3), 8)
		request := directory.Update{RequestsChanges: true, Confirmation: true, RequestID: 4, State: asking.disseminator.Summary(0)}
		_, _, replies := all[watcher].disseminator.Receive(0, 1, request)
		Expect(replies).To(BeEmpty(), "the store must be asked first")
		replies = all[watcher].disseminator.ConfirmationReplies(time.Second, 1, request)
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Update).To(And(HaveField("Confirmation", true), HaveField("RequestID", uint32(4))))
		_, incomplete, _ := asking.disseminator.Receive(time.Second, watcher, replies[0].Update)
		Expect(incomplete).To(BeFalse())
		Expect(asking.replica.AppliedRevision()).To(Equal(directory.Revision(8)))
		_, exists = all[watcher].disseminator.ConfirmationWatcher(0)
		Expect(exists).To(BeFalse(), "it calls the store itself")
	})
})

var _ = Describe("ConfirmationQueue", func() {
	It("returns the requests received up to a time once and keeps later ones", func() {
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

var _ = Describe("Replica, with states of other processes", func() {
	It("marks endpoints missing from a full state as gone and continues from its revision", func() {
		sender, receiver := directory.NewReplica(), directory.NewReplica()
		receiver.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("old", 2, endpoint("s", false))}, 3)
		sender.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("new", 8, endpoint("s", false))}, 9)
		state := sender.StateAfter(0, receiver.Digest())
		Expect(state.Full).To(BeTrue(), "the sender lacks the history since revision 3")
		Expect(receiver.ApplyState(0, state)).To(BeTrue())
		Expect(receiver.AppliedRevision()).To(Equal(directory.Revision(9)))
		candidate, _ := receiver.Snapshot().Candidate(directory.NameOnlyID("old"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("does not restore an entry that expired, returned and expired again during a gap", func() {
		receiver := directory.NewReplica()
		receiver.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 2)
		receiver.ApplyChanges(0, []directory.Item{endpointItem("a", 3, nil)}, 3)
		receiver.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 6)
		late := directory.NewReplica()
		late.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 4, endpoint("s", false))}, 4)
		receiver.ApplyState(0, late.ChangesAfter(0, 3))
		receiver.ApplyState(0, late.FullState(0))
		candidate, _ := receiver.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("marks an endpoint as gone by a full state although the sender missed its return", func() {
		sender, receiver := directory.NewReplica(), directory.NewReplica()
		sender.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 2)
		sender.ApplyChanges(0, []directory.Item{endpointItem("a", 3, nil)}, 3)
		sender.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 5)
		receiver.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 4, endpoint("s", false))}, 4)
		receiver.ApplyState(0, sender.StateAfter(0, receiver.Digest()))
		candidate, _ := receiver.Snapshot().Candidate(directory.NameOnlyID("a"))
		Expect(candidate.Gone).To(BeTrue())
	})

	It("does not advance by changes that begin after its revision", func() {
		sender, receiver := directory.NewReplica(), directory.NewReplica()
		receiver.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 3)
		sender.ApplyListing(0, []directory.Item{configurationItem(1, 1)}, 3)
		sender.ApplyChanges(0, []directory.Item{endpointItem("a", 4, endpoint("s", false))}, 4)
		sender.ApplyChanges(0, []directory.Item{endpointItem("a", 5, nil)}, 5)
		sender.ApplyChanges(0, []directory.Item{endpointItem("b", 6, endpoint("s", false))}, 6)
		changes := sender.ChangesAfter(0, 5)
		Expect(receiver.CompletesWith(changes)).To(BeFalse())
		Expect(receiver.ApplyState(0, changes)).To(BeTrue(), "the received changes are applied all the same")
		Expect(receiver.AppliedRevision()).To(Equal(directory.Revision(3)))
	})

	It("sends a full state to a process whose revision precedes a dropped endpoint", func() {
		sender := directory.NewReplica()
		sender.ApplyListing(0, []directory.Item{configurationItem(1, 1), endpointItem("a", 2, endpoint("s", false))}, 3)
		sender.ApplyChanges(0, []directory.Item{endpointItem("a", 4, nil)}, 4)
		Expect(sender.StateAfter(0, directory.Digest{ConfigurationVersion: 1, Revision: 3}).Full).To(BeFalse())
		late := directory.Retention + time.Second
		sender.ApplyChanges(late, nil, 5)
		Expect(sender.StateAfter(late, directory.Digest{ConfigurationVersion: 1, Revision: 3}).Full).To(BeTrue())
	})
})
