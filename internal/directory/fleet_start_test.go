package directory_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// The fleet whose return is replayed: 682 endpoints on four pages of a store that sends 1,000
// Mbit/s, and a state of some 40 KB that balancers give each other on links of 20 to 200.
const (
	startPages     = 4
	startPageSize  = 66e3
	startStateSize = 40e3
	startDelay     = time.Millisecond
	storeWork      = 4 * time.Millisecond
	storeBandwidth = 1000e6 / 8
	// startWithin is how much later than others a balancer may start.
	startWithin = 200 * time.Millisecond
)

// link sends one thing after the other.
type link struct {
	bandwidth float64
	free      time.Duration
}

// sends returns when all of something has been sent.
func (l *link) sends(now time.Duration, size float64) time.Duration {
	l.free = max(l.free, now) + time.Duration(size/l.bandwidth*float64(time.Second))
	return l.free
}

type startEvent struct {
	at  time.Duration
	run func()
}

type startQueue []startEvent

func (q startQueue) Len() int           { return len(q) }
func (q startQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q startQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *startQueue) Push(event any)    { *q = append(*q, event.(startEvent)) }
func (q *startQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// startingBalancer is a balancer that knows nothing at its start.
type startingBalancer struct {
	participant
	peer     directory.Peer
	link     link
	follower *directory.Follower
	exchange *directory.PeerFetcher[directory.Peer]
	calling  bool
	readyAt  time.Duration
	begins   time.Duration
	away     bool
}

// startingFleet replays the start of all balancers of a fleet at once.
type startingFleet struct {
	now      time.Duration
	queue    startQueue
	store    link
	calls    int
	items    []directory.Item
	fleet    map[directory.Peer]*startingBalancer
	fetches  int
	busiest  map[directory.Peer]int
	revision directory.Revision
}

func (f *startingFleet) after(delay time.Duration, run func()) {
	heap.Push(&f.queue, startEvent{f.now + delay, run})
}

func (f *startingFleet) until(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(startEvent)
		f.now = next.at
		next.run()
	}
}

// startingScenario is how a fleet starts, whose first three balancers are the seeds of all.
type startingScenario struct {
	count int
	// first is set at the first start of the whole fleet.
	first bool
	// seedsLate is how much later than others the seeds start, and seedsAway is set if they
	// never do.
	seedsLate time.Duration
	seedsAway bool
	// unconfigured is set while no configuration has been written.
	unconfigured bool
}

func newStartingFleet(scenario startingScenario) *startingFleet {
	count := scenario.count
	created := &startingFleet{
		store: link{bandwidth: storeBandwidth}, items: append(announcing(2, 40), configurationItem(1, 1)),
		fleet: make(map[directory.Peer]*startingBalancer), busiest: make(map[directory.Peer]int), revision: 50,
	}
	if scenario.unconfigured {
		created.items = announcing(2, 40)
	}
	seeds := []directory.Peer{1, 2, 3}
	random := rand.New(rand.NewPCG(uint64(count), 7))
	for _, member := range fleetOf(count, 5) {
		isSeed := int(member.Peer) <= len(seeds)
		others := make([]directory.Peer, 0, len(seeds))
		for _, seed := range seeds {
			if seed != member.Peer {
				others = append(others, seed)
			}
		}
		used := timing
		used.ListingDelay = directory.FirstListingDelay(isSeed, scenario.first, random.Float64())
		balancer := &startingBalancer{
			participant: *newParticipant(member, others...), peer: member.Peer,
			link: link{bandwidth: (20 + 180*random.Float64()) * 1e6 / 8}, away: isSeed && scenario.seedsAway,
		}
		balancer.follower = directory.NewFollower(balancer.machine, used, balancer.spread)
		balancer.exchange = directory.NewPeerFetcher(balancer.machine, used, others, random)
		created.fleet[member.Peer] = balancer
		balancer.begins = time.Duration(random.Float64() * float64(startWithin))
		if isSeed {
			balancer.begins += scenario.seedsLate
		}
		if !balancer.away {
			created.after(balancer.begins, func() { created.tick(balancer) })
		}
	}
	return created
}

// tick is what a balancer does every 50 ms.
func (f *startingFleet) tick(b *startingBalancer) {
	f.follow(b)
	f.fetch(b)
	if question, asks := b.spread.StartupRequest(f.now); asks {
		f.send(b, []directory.Outgoing{question})
	}
	f.after(50*millisecond, func() { f.tick(b) })
}

// follow calls the store if it is time.
func (f *startingFleet) follow(b *startingBalancer) {
	call, at := b.follower.Next(f.now)
	if b.calling || !call.Listing {
		return
	}
	if at > f.now {
		f.after(at-f.now, func() { f.follow(b) })
		return
	}
	b.calling = true
	f.calls++
	f.after(startDelay, func() {
		sent := f.store.sends(f.now+storeWork, startPageSize)
		f.after(b.link.sends(sent, startPageSize)-f.now, func() { f.listed(b, call) })
	})
}

func (f *startingFleet) listed(b *startingBalancer, call directory.Call) {
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
	f.noteReady(b)
	f.follow(b)
}

func (f *startingFleet) fetch(b *startingBalancer) {
	from, wanted := b.exchange.Next(f.now)
	if !wanted {
		return
	}
	source := f.fleet[from]
	if source == nil || source.away || f.now < source.begins {
		f.after(250*millisecond, func() { b.exchange.FetchFailed() })
		return
	}
	f.fetches++
	f.busiest[from]++
	f.after(3*startDelay, func() {
		source.spread.StateSent(f.now, b.peer)
		state := source.spread.State(f.now, b.machine.Digest())
		f.after(source.link.sends(f.now, startStateSize)-f.now, func() {
			b.exchange.Fetched(f.now, state)
			f.send(b, b.spread.StateFetched(f.now, f.now, from, state))
			f.noteReady(b)
		})
	})
}

func (f *startingFleet) send(from *startingBalancer, outgoing []directory.Outgoing) {
	for _, each := range outgoing {
		to := f.fleet[each.To]
		f.after(startDelay, func() {
			if to.away || f.now < to.begins {
				return
			}
			_, lacks, answers := to.spread.Receive(f.now, from.peer, each.Update)
			f.send(to, answers)
			if lacks {
				to.exchange.UpdateIncomplete(f.now, each.Update.SourceOrSender(from.peer))
				f.fetch(to)
			}
			f.noteReady(to)
			f.follow(to)
		})
	}
}

func (f *startingFleet) noteReady(b *startingBalancer) {
	if b.readyAt == 0 && b.machine.AppliedRevision() > 0 {
		b.readyAt = f.now
	}
}

// lastReady returns how long after its start the last balancer was ready, never if one is
// not.
func (f *startingFleet) lastReady() time.Duration {
	last := time.Duration(0)
	for _, each := range f.fleet {
		if each.away {
			continue
		}
		if each.readyAt == 0 {
			return time.Hour
		}
		last = max(last, each.readyAt-each.begins)
	}
	return last
}

var _ = Describe("A fleet that starts at once", func() {
	// The aim: every balancer is ready half a second after its start, however many there
	// are. While a seed answers, few list the store; where none does, each has to, and the
	// store's link then takes as long as that of all.
	DescribeTable("is ready soon, and lists the store a few times", func(scenario startingScenario) {
		starting := newStartingFleet(scenario)
		starting.until(2 * time.Second)
		most := 0
		for _, given := range starting.busiest {
			most = max(most, given)
		}
		GinkgoWriter.Printf("%+v: %d calls, %d fetches, %d of the busiest, last ready after %v\n",
			scenario, starting.calls, starting.fetches, most, starting.lastReady())
		if scenario.seedsAway || scenario.seedsLate > 0 {
			listings := time.Duration(float64(scenario.count) * startPages * startPageSize / storeBandwidth * float64(time.Second))
			Expect(starting.lastReady()).To(BeNumerically("<=", 250*millisecond+listings))
			return
		}
		Expect(starting.lastReady()).To(BeNumerically("<=", 500*millisecond))
		if scenario.first {
			Expect(starting.calls).To(BeNumerically("<=", 30*startPages))
		}
	},
		Entry("20 at first", startingScenario{count: 20, first: true}),
		Entry("100 at first", startingScenario{count: 100, first: true}),
		Entry("300 at first", startingScenario{count: 300, first: true}),
		Entry("1,000 at first", startingScenario{count: 1000, first: true}),
		Entry("2,500 at first", startingScenario{count: 2500, first: true}),
		Entry("300 before there is a configuration", startingScenario{count: 300, first: true, unconfigured: true}),
		Entry("20 again", startingScenario{count: 20}),
		Entry("300 again", startingScenario{count: 300}),
		Entry("1,000 again", startingScenario{count: 1000}),
		Entry("20 again, with late seeds", startingScenario{count: 20, seedsLate: 350 * millisecond}),
		Entry("300 again, with late seeds", startingScenario{count: 300, seedsLate: 350 * millisecond}),
		Entry("20 again, without seeds", startingScenario{count: 20, seedsAway: true}),
		Entry("300 again, without seeds", startingScenario{count: 300, seedsAway: true}),
	)
})
