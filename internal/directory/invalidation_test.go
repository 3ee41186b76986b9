package directory_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// forgedRevision is far ahead of the store's.
const forgedRevision = 1000

// forgedUpdate claims that nothing but an endpoint of its own has changed up to forgedRevision.
func forgedUpdate() directory.Update {
	value := endpoint("service", false)
	value.IP = [4]byte{10, 9, 9, 9}
	return directory.Update{State: directory.State{
		Through: forgedRevision, From: 1, Confirmed: true, ConfigurationVersion: 1, MemberCount: 1,
		Endpoints: []directory.EndpointState{{ID: directory.NameOnlyID("forged"), Revision: forgedRevision, Endpoint: *value}},
	}}
}

// watchingDuty is that of a process which always watches.
type watchingPolicy struct{ directory.WatchPolicy }

func (watchingPolicy) Watching() bool                  { return true }
func (watchingPolicy) Alone() bool                     { return false }
func (watchingPolicy) SnapshotDeadline() time.Duration { return 0 }

var _ = Describe("A directory that was led ahead of the store", func() {
	// poisoned returns a watcher that was at revision 5 and has taken a forged update.
	poisoned := func() (*participant, *directory.Follower) {
		created := newParticipant(directory.Member{Peer: 1})
		follower := directory.NewFollower(created.machine, timing, watchingPolicy{})
		follower.Next(0)
		follower.HandlePage(0, directory.Page{Revision: 5, Items: append(announcing(2, 3), configurationItem(1, 1))})
		_, lacks, _ := created.spread.Receive(0, 2, forgedUpdate())
		Expect(lacks).To(BeFalse())
		Expect(created.machine.AppliedRevision()).To(Equal(directory.Revision(forgedRevision)))
		return created, follower
	}
	// refute lets the store answer that it is only at revision 7.
	refute := func(follower *directory.Follower) {
		follower.Next(time.Second)
		follower.HandleChanges(time.Second, directory.Changes{Through: 7}, 0)
	}

	It("is listed anew, and has the changes that were hidden", func() {
		each, follower := poisoned()
		refute(follower)
		Expect(follower.InSync()).To(BeFalse())
		Expect(each.machine.Snapshot().All()).To(HaveLen(4), "it stays in force meanwhile")
		call, at := follower.Next(time.Second)
		Expect(call.Listing).To(BeTrue())
		Expect(at).To(BeNumerically("<=", time.Second))
		items := append(announcing(2, 2), configurationItem(1, 1))
		late := endpoint("service", false)
		late.IP = [4]byte{10, 0, 7, 7}
		items = append(items, endpointItem("late", 7, late))
		Expect(follower.HandlePage(time.Second, directory.Page{Revision: 7, Items: items})).To(BeTrue())
		Expect(each.machine.Digest()).To(Equal(directory.Digest{ConfigurationVersion: 1, Revision: 7}))
		for name, gone := range map[string]bool{"endpoint-001": false, "endpoint-002": true, "late": false, "forged": true} {
			candidate, exists := each.machine.Snapshot().Candidate(directory.NameOnlyID(name))
			Expect(exists).To(BeTrue())
			Expect(candidate.Gone).To(Equal(gone), name)
		}
		Expect(follower.InSync()).To(BeTrue())
		Expect(each.machine.Invalidations()).To(Equal(uint64(1)))
	})

	It("does not take the false revision again, from an update, a state or a digest, until the store has it", func() {
		each, follower := poisoned()
		other := newParticipant(directory.Member{Peer: 2})
		other.list(0, 5)
		other.spread.Receive(0, 3, forgedUpdate())
		refute(follower)
		follower.Next(time.Second)
		follower.HandlePage(time.Second, directory.Page{Revision: 7, Items: []directory.Item{configurationItem(1, 1)}})
		_, lacks, answers := each.spread.Receive(time.Second, 2, forgedUpdate())
		Expect(lacks).To(BeFalse())
		Expect(answers).To(BeEmpty())
		Expect(each.machine.ApplyState(time.Second, other.spread.State(time.Second, directory.Digest{}))).To(BeFalse())
		Expect(each.spread.StateFetched(time.Second, time.Second, 2, other.spread.State(time.Second, directory.Digest{}))).To(BeEmpty())
		exchange := directory.NewPeerFetcher[directory.Peer](each.machine, timing, nil, rand.New(rand.NewPCG(1, 1)))
		exchange.ReceiveDigest(time.Second, 2, other.machine.Digest())
		exchange.Fetched(time.Second, directory.State{})
		_, wanted := exchange.Next(time.Minute)
		Expect(wanted).To(BeFalse())
		Expect(each.machine.AppliedRevision()).To(Equal(directory.Revision(7)))
		follower.Next(time.Second)
		follower.HandleChanges(time.Second, directory.Changes{Through: forgedRevision}, 0)
		follower.Next(time.Second)
		ahead := other.spread.Summary(time.Second)
		ahead.Through, ahead.From = forgedRevision+1, forgedRevision
		each.spread.Receive(time.Second, 2, directory.Update{State: ahead})
		Expect(each.machine.AppliedRevision()).To(Equal(directory.Revision(forgedRevision + 1)))
	})

	It("is not confirmed by one that is behind it", func() {
		each, _ := poisoned()
		honest := newParticipant(directory.Member{Peer: 2})
		honest.list(0, 5)
		honest.machine.ApplyChanges(time.Second, nil, 7)
		honest.spread.StoreAnswered(time.Second)
		each.spread.Receive(time.Second, 2, directory.Update{State: honest.spread.Summary(time.Second)})
		Expect(each.spread.ConfirmedAt()).To(BeZero())
	})

	It("is verified at once if the store has told less than a peer, which costs no listing if the peer is right", func() {
		each, follower := poisoned()
		follower.HandleChanges(time.Second, directory.Changes{Through: 6}, 0)
		Expect(follower.InSync()).To(BeFalse(), "the answer confirms only what the store had")
		call, at := follower.Next(time.Second)
		Expect(call.IsPoll()).To(BeTrue())
		Expect(at).To(BeNumerically("<=", 1200*millisecond))
		follower.HandleChanges(1200*millisecond, directory.Changes{Through: forgedRevision}, 0)
		Expect(follower.InSync()).To(BeTrue())
		Expect(each.machine.Invalidations()).To(BeZero())
	})

	It("is refuted by an entry's revision as well", func() {
		each, follower := poisoned()
		refute(follower)
		follower.Next(time.Second)
		follower.HandlePage(time.Second, directory.Page{Revision: 7, Items: []directory.Item{configurationItem(1, 1)}})
		gap := forgedUpdate()
		gap.State.Through, gap.State.From = 900, 800
		each.spread.Receive(time.Second, 2, gap)
		Expect(each.machine.AppliedRevision()).To(Equal(directory.Revision(7)), "it does not lead on")
		refute(follower)
		Expect(each.machine.Invalidations()).To(Equal(uint64(2)))
	})

	It("is given by a peer instead of the store where many are refuted", func() {
		each, _ := poisoned()
		each.machine.Invalidate(forgedRevision, 7)
		honest := newParticipant(directory.Member{Peer: 2})
		honest.list(0, 7, announcing(2, 3)...)
		each.machine.ApplyState(time.Second, honest.spread.State(time.Second, each.machine.Digest()))
		Expect(each.machine.AppliedRevision()).To(Equal(directory.Revision(7)))
		candidate, _ := each.machine.Snapshot().Candidate(directory.NameOnlyID("forged"))
		Expect(candidate.Gone).To(BeTrue())
	})
})

// refutedFleet replays how a running fleet corrects itself after all have taken a forged update.
type refutedFleet struct {
	*startingFleet
	listings, watches int
	correctedAt       map[directory.Peer]time.Duration
}

func newRefutedFleet(count int) *refutedFleet {
	created := &refutedFleet{
		startingFleet: newStartingFleet(startingScenario{count: count, first: true}),
		correctedAt:   make(map[directory.Peer]time.Duration),
	}
	created.queue = nil
	for _, each := range created.fleet {
		each.spread.SetMembers(fleetOf(count, 5))
		each.machine.ApplyListing(0, created.items, created.revision)
		each.begins = 0
		created.after(time.Duration(each.peer)*time.Second/time.Duration(count), func() { created.tick(each) })
	}
	return created
}

// tick is what a running balancer does every 50 ms.
func (f *refutedFleet) tick(b *startingBalancer) {
	f.call(b)
	f.fetch(b)
	f.send(b, b.spread.Repeat(f.now))
	f.send(b, b.spread.RenewalRequest(f.now))
	if _, corrected := f.correctedAt[b.peer]; !corrected && b.machine.AppliedRevision() == f.revision {
		f.correctedAt[b.peer] = f.now
	}
	f.after(50*millisecond, func() { f.tick(b) })
}

// call calls the store if it is time; a watch without news lasts for all of its wait.
func (f *refutedFleet) call(b *startingBalancer) {
	if b.calling {
		return
	}
	call, at := b.follower.Next(f.now)
	if at > f.now {
		return
	}
	b.calling = true
	if call.Listing {
		f.listings++
		f.after(startDelay, func() {
			sent := f.store.sends(f.now+storeWork, startPageSize)
			f.after(b.link.sends(sent, startPageSize)-f.now, func() { f.listed(b, call) })
		})
		return
	}
	f.watches++
	wait := call.Wait
	if call.AfterRevision < f.revision {
		wait = 0
	}
	f.after(wait+2*startDelay, func() {
		b.calling = false
		changes := directory.Changes{Through: f.revision}
		for _, item := range f.items {
			if item.Revision > call.AfterRevision {
				changes.Items = append(changes.Items, item)
			}
		}
		b.follower.HandleChanges(f.now, changes, float64(b.peer%997)/997)
		if b.follower.InSync() {
			f.send(b, b.spread.StoreAnswered(f.now))
		}
		f.call(b)
	})
}

// listed is shadowed, since the balancer goes on by call.
func (f *refutedFleet) listed(b *startingBalancer, call directory.Call) {
	b.calling = false
	page := directory.Page{Revision: f.revision, More: len(call.AfterKey) < startPages-1, LastKey: call.AfterKey + "x"}
	if !page.More {
		page.Items = f.items
	}
	b.follower.HandlePage(f.now, page)
	if b.follower.InSync() {
		b.spread.StoreListed()
		f.send(b, b.spread.StoreAnswered(f.now))
	}
	f.call(b)
}

var _ = Describe("A fleet that was led ahead of the store", func() {
	DescribeTable("is right again in time, and lists the store a few times", func(count, listings int) {
		fleet := newRefutedFleet(count)
		fleet.until(10 * time.Second)
		watchesBefore, listingsBefore := fleet.watches, fleet.listings
		clear(fleet.correctedAt)
		for _, each := range fleet.fleet {
			each.spread.Receive(fleet.now, 0, forgedUpdate())
		}
		hidden := endpoint("service", false)
		hidden.IP = [4]byte{10, 7, 7, 7}
		fleet.revision++
		fleet.items = append(fleet.items, endpointItem("hidden", fleet.revision, hidden))
		forged := fleet.now
		fleet.until(forged + timing.ApplyTimeout)
		last := time.Duration(0)
		for peer, each := range fleet.fleet {
			Expect(fleet.correctedAt).To(HaveKey(peer))
			last = max(last, fleet.correctedAt[peer]-forged)
			candidate, exists := each.machine.Snapshot().Candidate(directory.NameOnlyID("hidden"))
			Expect(exists && !candidate.Gone).To(BeTrue())
			candidate, _ = each.machine.Snapshot().Candidate(directory.NameOnlyID("forged"))
			Expect(candidate.Gone).To(BeTrue())
		}
		pages, watches := fleet.listings-listingsBefore, fleet.watches-watchesBefore
		GinkgoWriter.Printf("%d balancers: corrected after %v, %d pages, %d watches and polls\n", count, last, pages, watches)
		Expect(pages).To(BeNumerically("<=", listings*startPages))
	},
		Entry("of 4", 4, 4),
		Entry("of 20", 20, 10),
		Entry("of 300", 300, 30),
		Entry("of 1,000", 1000, 30),
	)
})
