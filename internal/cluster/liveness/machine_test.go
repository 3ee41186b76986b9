package liveness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

func TestLiveness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "liveness")
}

const (
	linkDelay = 30 * time.Millisecond
	agentName = table.Endpoint("192.0.2.1:6081")
)

// process is one daemon of the fleet.
type process struct {
	identity membership.Identity
	machine  *Machine
	stopped  bool
	ready    bool
	// reported holds the last reported condition of each agent.
	reported map[table.Endpoint]Claim
}

// packet is a message in flight.
type packet struct {
	at       time.Duration
	from, to membership.Address
	message  Message
}

// fleet runs daemons in virtual time over a network that loses and duplicates messages.
// Zones 0 and 1 are in region 0, zones 2 and 3 in region 1.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	loss      float64
	processes []*process
	inFlight  []packet
	// partitioned separates region 1 from the rest.
	partitioned bool
}

func newFleet(seed uint64, size int) *fleet {
	created := &fleet{random: rand.New(rand.NewPCG(seed, 0))}
	for number := range size {
		created.add(number, 1)
	}
	created.updatePeers()
	return created
}

func (f *fleet) add(number int, incarnation membership.Incarnation) *process {
	zone := membership.Zone(number % 4)
	identity := membership.Identity{
		Address: membership.Address(number + 1), Zone: zone, Region: membership.Region(zone / 2), Incarnation: incarnation,
	}
	machine, err := New(Config{Self: identity, Random: rand.New(rand.NewPCG(f.random.Uint64(), uint64(number)))})
	Expect(err).NotTo(HaveOccurred())
	added := &process{identity: identity, machine: machine, reported: make(map[table.Endpoint]Claim)}
	f.processes = append(f.processes, added)
	return added
}

// updatePeers passes the running daemons to all running daemons.
func (f *fleet) updatePeers() {
	for _, updated := range f.processes {
		var peers []Peer
		for _, other := range f.processes {
			if !other.stopped {
				peers = append(peers, Peer{Identity: other.identity, Reachable: !f.separates(updated, other)})
			}
		}
		if !updated.stopped {
			f.execute(updated, updated.machine.SetPeers(f.now, peers))
		}
	}
}

func (f *fleet) separates(a, b *process) bool {
	return f.partitioned && a.identity.Region != b.identity.Region
}

func (f *fleet) execute(p *process, effects []Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case EffectConditionChanged:
			p.reported[effect.Claim.Agent] = effect.Claim
		case EffectReady:
			p.ready = true
		case EffectSend:
			f.transmit(p, effect)
		}
	}
}

func (f *fleet) transmit(p *process, effect Effect) {
	encoded, err := effect.Message.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(encoded)).To(BeNumerically("<=", membership.MaxDatagramSize))
	var decoded Message
	_, err = decoded.UnmarshalMsg(encoded)
	Expect(err).NotTo(HaveOccurred())
	for range 1 + f.random.IntN(2) {
		if f.random.Float64() >= f.loss {
			delay := linkDelay + time.Duration(f.random.Int64N(int64(linkDelay)))
			f.inFlight = append(f.inFlight, packet{f.now + delay, p.identity.Address, effect.To, decoded})
		}
	}
}

func (f *fleet) run(duration time.Duration) {
	for until := f.now + duration; f.now < until; {
		f.now += TickInterval
		due := slices.Clone(f.inFlight)
		f.inFlight = nil
		for _, arriving := range due {
			if arriving.at > f.now {
				f.inFlight = append(f.inFlight, arriving)
				continue
			}
			f.arrive(arriving)
		}
		for _, running := range f.processes {
			if !running.stopped {
				f.execute(running, running.machine.Tick(f.now))
			}
		}
	}
}

func (f *fleet) arrive(arriving packet) {
	from := f.at(arriving.from)
	to := f.at(arriving.to)
	if from != nil && to != nil && !f.separates(from, to) {
		f.execute(to, to.machine.Receive(f.now, arriving.from, arriving.message))
	}
}

// at returns the running daemon at an address.
func (f *fleet) at(address membership.Address) *process {
	for _, running := range f.processes {
		if running.identity.Address == address && !running.stopped {
			return running
		}
	}
	return nil
}

func (f *fleet) claim(number int, agent table.Endpoint, start uint64, condition Condition) {
	p := f.processes[number]
	f.execute(p, p.machine.Claim(Claim{Agent: agent, Start: start, Condition: condition}))
}

// countReported returns how many running daemons, except the given ones, have reported the
// condition.
func (f *fleet) countReported(claim Claim, except ...int) int {
	count := 0
	for number, running := range f.processes {
		if !running.stopped && !slices.Contains(except, number) && running.reported[claim.Agent] == claim {
			count++
		}
	}
	return count
}

func (f *fleet) stop(number int) {
	f.processes[number].stopped = true
	f.updatePeers()
}

var _ = Describe("Machine", func() {
	const size = 40
	// convergenceTime is enough for pushes and for the digests that find what pushes
	// missed.
	const convergenceTime = 40 * time.Second
	alive := Claim{Agent: agentName, Start: 7, Condition: Alive}
	down := Claim{Agent: agentName, Start: 7, Condition: Down}
	leaving := Claim{Agent: agentName, Start: 7, Condition: Leaving}

	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		It(fmt.Sprint("reports changes on all daemons when a fifth of the messages is lost, seed ", seed), func() {
			fleet := newFleet(seed, size)
			fleet.loss = 0.2
			fleet.claim(0, agentName, 7, Alive)
			fleet.claim(5, agentName, 7, Alive)
			fleet.run(convergenceTime)
			Expect(fleet.countReported(alive, 0, 5)).To(Equal(size - 2))

			By("reporting an agent as down only once no daemon claims it to be alive")
			fleet.claim(0, agentName, 7, Down)
			fleet.run(convergenceTime)
			Expect(fleet.countReported(alive, 0, 5)).To(Equal(size - 2))
			fleet.claim(5, agentName, 7, Down)
			fleet.run(convergenceTime)
			Expect(fleet.countReported(down, 0, 5)).To(Equal(size - 2))

			By("bringing a daemon up to date that starts later")
			fleet.claim(3, "192.0.2.9:6081", 1, Alive)
			for number := range 200 {
				fleet.claim(4, table.Endpoint(fmt.Sprintf("198.51.100.%d:6081", number)), 1, Alive)
			}
			late := fleet.add(size, 1)
			fleet.updatePeers()
			fleet.run(convergenceTime)
			Expect(late.ready).To(BeTrue())
			Expect(late.reported).To(HaveLen(202))
			Expect(late.reported[agentName]).To(Equal(down))
		})
	}

	It("prefers claims about a later process, and Leaving to Alive for the same process", func() {
		fleet := newFleet(1, 4)
		fleet.claim(0, agentName, 7, Alive)
		fleet.claim(1, agentName, 7, Leaving)
		fleet.run(convergenceTime)
		Expect(fleet.countReported(leaving, 0, 1)).To(Equal(2))
		fleet.claim(0, agentName, 8, Alive)
		fleet.run(convergenceTime)
		Expect(fleet.countReported(Claim{Agent: agentName, Start: 8, Condition: Alive}, 0, 1)).To(Equal(2))
		fleet.claim(0, agentName, 8, Leaving)
		fleet.claim(1, agentName, 8, Alive)
		fleet.run(convergenceTime)
		Expect(fleet.countReported(Claim{Agent: agentName, Start: 8, Condition: Leaving}, 0, 1)).To(Equal(2))
	})

	It("drops the claims of a daemon that has stopped, also after it restarts", func() {
		fleet := newFleet(1, 8)
		fleet.claim(0, agentName, 7, Alive)
		fleet.run(convergenceTime)
		Expect(fleet.countReported(alive, 0)).To(Equal(7))
		fleet.stop(0)
		Expect(fleet.countReported(Claim{Agent: agentName, Condition: Down}, 0)).To(Equal(7))
		successor := fleet.add(0, 2)
		fleet.updatePeers()
		fleet.run(convergenceTime)
		Expect(fleet.countReported(Claim{Agent: agentName, Condition: Down}, 0)).To(Equal(7))
		fleet.execute(successor, successor.machine.Claim(alive))
		fleet.run(convergenceTime)
		Expect(fleet.countReported(alive, 0)).To(Equal(7))
	})

	It("reports agents beyond a partition as down, and as alive again after it has ended", func() {
		fleet := newFleet(1, size)
		fleet.claim(0, agentName, 7, Alive)
		fleet.run(convergenceTime)
		fleet.partitioned = true
		fleet.updatePeers()
		Expect(fleet.countReported(alive, 0)).To(Equal(size/2 - 1))
		fleet.claim(0, agentName, 8, Alive)
		fleet.run(convergenceTime)
		fleet.partitioned = false
		fleet.updatePeers()
		fleet.run(convergenceTime)
		Expect(fleet.countReported(Claim{Agent: agentName, Start: 8, Condition: Alive}, 0)).To(Equal(size - 1))
	})

	It("keeps its claims when it takes another incarnation", func() {
		fleet := newFleet(1, 4)
		fleet.claim(0, agentName, 7, Alive)
		fleet.run(convergenceTime)
		renamed := fleet.processes[0]
		renamed.identity.Incarnation = 5
		renamed.machine.SetSelf(renamed.identity)
		fleet.updatePeers()
		fleet.run(convergenceTime)
		Expect(fleet.countReported(alive, 0)).To(Equal(3))
	})

	It("becomes ready after readyTimeout without peers, and does not repeat an unchanged claim", func() {
		fleet := newFleet(1, 1)
		Expect(fleet.processes[0].machine.Claim(alive)).To(BeEmpty())
		fleet.run(readyTimeout - time.Second)
		Expect(fleet.processes[0].ready).To(BeFalse())
		fleet.run(2 * time.Second)
		Expect(fleet.processes[0].ready).To(BeTrue())
		Expect(fleet.processes[0].machine.sequence).To(Equal(uint64(1)))
		fleet.claim(0, agentName, 7, Alive)
		Expect(fleet.processes[0].machine.sequence).To(Equal(uint64(1)))
	})

	It("ignores records and messages that are not valid", func() {
		fleet := newFleet(1, 2)
		machine := fleet.processes[0].machine
		for _, record := range []Record{
			{Reporter: 1, Incarnation: 1, Sequence: 99, Claim: alive},
			{Reporter: 2, Incarnation: 1, Sequence: 1, Claim: Claim{Agent: agentName, Condition: Leaving + 1}},
			{Reporter: 2, Incarnation: 1, Sequence: 1, Claim: Claim{Condition: Alive}},
			{Incarnation: 1, Sequence: 1, Claim: alive},
		} {
			Expect(machine.Receive(0, 2, Message{Kind: KindPush, Records: []Record{record}})).To(BeEmpty())
		}
		Expect(machine.Receive(0, 2, Message{Kind: KindCompare, Zone: membership.MaxZones})).To(BeEmpty())
	})
})
