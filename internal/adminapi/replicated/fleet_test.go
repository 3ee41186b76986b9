package replicated_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/adminapi/replicated"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	fleetSize = 5
	linkDelay = 20 * time.Millisecond
	fleetSeed = 7
	// maxAttempts bounds the repeats of a change.
	maxAttempts = 100
)

// process is one process of the fleet, in a zone of its own.
type process struct {
	id        agreement.ProcessID
	machine   *agreement.Machine
	store     *adminapi.LogStore
	core      *replicated.Core
	decisions map[replicated.Attempt]adminapi.Decision
}

// datagram is a message under way.
type datagram struct {
	at       time.Duration
	from, to *process
	encoded  []byte
}

// fleet runs processes in virtual time over a network that loses and doubles
// messages.
type fleet struct {
	now       time.Duration
	random    *rand.Rand
	loss      float64
	processes []*process
	underWay  []datagram
	isolated  *process
}

func newFleet(seed uint64) *fleet {
	created := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for number := range fleetSize {
		id := agreement.ProcessID{Machine: uint32(number + 1), Start: 1}
		parameters := agreement.DefaultParameters(id, zoneOf(id))
		parameters.Seed = seed
		parameters.Replicas, parameters.Witnesses = fleetSize, 0
		parameters.MinimumVoters, parameters.MinimumZones = 3, 3
		parameters.SnapshotEntries = 8
		added := &process{id: id, machine: agreement.New(0, parameters), store: newStore(nil),
			decisions: make(map[replicated.Attempt]adminapi.Decision)}
		added.core = replicated.NewCore(id, added.machine, added.store)
		created.processes = append(created.processes, added)
	}
	for _, member := range created.processes {
		for _, known := range created.processes {
			created.perform(member, member.core.MemberUp(0, known.id, zoneOf(known.id)))
		}
	}
	state, err := created.processes[0].store.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	created.processes[0].machine.Found(0, state)
	return created
}

func zoneOf(id agreement.ProcessID) agreement.Zone {
	return agreement.Zone(fmt.Sprint("zone-", id.Machine))
}

func (f *fleet) perform(p *process, effects []replicated.Effect) {
	for _, effect := range slices.Clone(effects) {
		if effect.Kind == replicated.Decided {
			p.decisions[effect.Attempt] = effect.Decision
			continue
		}
		encoded, err := effect.Message.MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		to := f.processes[effect.To.Machine-1]
		for range 1 + f.random.IntN(2) {
			if f.random.Float64() >= f.loss {
				delay := linkDelay + time.Duration(f.random.Int64N(int64(linkDelay)))
				f.underWay = append(f.underWay, datagram{f.now + delay, p, to, encoded})
			}
		}
	}
}

// step advances time by one tick of every process.
func (f *fleet) step() {
	f.now += agreement.TickInterval()
	var due []datagram
	f.underWay = slices.DeleteFunc(f.underWay, func(d datagram) bool {
		arrived := d.at <= f.now
		if arrived {
			due = append(due, d)
		}
		return arrived
	})
	slices.SortStableFunc(due, func(a, b datagram) int { return int(a.at - b.at) })
	for _, arrived := range due {
		if arrived.from == f.isolated || arrived.to == f.isolated {
			continue
		}
		var message replicated.Message
		_, err := message.UnmarshalMsg(arrived.encoded)
		Expect(err).NotTo(HaveOccurred())
		f.perform(arrived.to, arrived.to.core.Receive(f.now, arrived.from.id, message))
	}
	for _, p := range f.processes {
		f.perform(p, p.core.Tick(f.now))
	}
}

func (f *fleet) until(limit time.Duration, condition func() bool) bool {
	for end := f.now + limit; f.now < end; {
		if condition() {
			return true
		}
		f.step()
	}
	return condition()
}

func (f *fleet) leader() *process {
	for _, p := range f.processes {
		if p != f.isolated && p.machine.Leads(f.now) && len(p.machine.Voters().Members) == fleetSize {
			return p
		}
	}
	return nil
}

// submit proposes a change at a process and returns the decision.
func (f *fleet) submit(p *process, change *changelog.Change) adminapi.Decision {
	attempt, effects := p.core.Propose(f.now, change.ID, encode(change))
	f.perform(p, effects)
	decided := f.until(time.Minute, func() bool {
		_, known := p.decisions[attempt]
		return known
	})
	Expect(decided).To(BeTrue(), "every attempt gets a decision")
	return p.decisions[attempt]
}

// repeat proposes a change until it is committed, but not without end.
func (f *fleet) repeat(p *process, change *changelog.Change) adminapi.ProposalStatus {
	status := f.submit(p, change).Status
	for attempt := 1; attempt < maxAttempts && status != adminapi.ProposalCommitted; attempt++ {
		status = f.submit(p, change).Status
		f.step()
	}
	return status
}

func (f *fleet) converged() bool {
	first, _ := f.processes[0].store.Snapshot()
	for _, p := range f.processes[1:] {
		if encoded, _ := p.store.Snapshot(); string(encoded) != string(first) {
			return false
		}
	}
	return true
}

func (f *fleet) services() int { return len(f.leader().store.Table().Table.Services) }

var _ = Describe("Fleet of replicas", func() {
	var fleet *fleet

	BeforeEach(func() {
		fleet = newFleet(fleetSeed)
		Expect(fleet.until(time.Minute, func() bool { return fleet.leader() != nil })).To(BeTrue())
	})

	It("accepts a change at any process and applies it everywhere", func() {
		for number, p := range fleet.processes {
			id := changelog.ChangeID(fmt.Sprint("change-", number))
			decision := fleet.submit(p, addService(id, table.ServiceID(number+1)))
			Expect(decision.Status).To(Equal(adminapi.ProposalCommitted))
			Expect(*decision.Outcome).To(Equal(changelog.Outcome{ID: id, Accepted: true, Version: table.Version(number + 1)}))
		}
		Expect(fleet.until(time.Minute, fleet.converged)).To(BeTrue())
		Expect(fleet.services()).To(Equal(fleetSize))
	})

	It("accepts nothing at a leader without a majority, and goes on without it", func() {
		cut := fleet.leader()
		fleet.isolated = cut
		decision := fleet.submit(cut, addService("lost", 1))
		Expect(decision.Status).NotTo(Equal(adminapi.ProposalCommitted))
		Expect(fleet.until(time.Minute, func() bool { return fleet.leader() != nil && fleet.leader() != cut })).To(BeTrue())
		Expect(fleet.submit(cut, addService("late", 2)).Status).NotTo(Equal(adminapi.ProposalCommitted))
		Expect(fleet.submit(fleet.leader(), addService("kept", 3)).Outcome.Accepted).To(BeTrue())

		By("joining the cut process again")
		fleet.isolated = nil
		Expect(fleet.until(time.Minute, fleet.converged)).To(BeTrue())
		_, applied := cut.store.Outcome("kept")
		Expect(applied).To(BeTrue())
	})

	It("applies each change at most once when messages are lost and undecided ones are repeated", func() {
		fleet.loss = 0.2
		for number := range 8 {
			id := changelog.ChangeID(fmt.Sprint("change-", number))
			change := addService(id, table.ServiceID(number+1))
			Expect(fleet.repeat(fleet.processes[number%fleetSize], change)).To(Equal(adminapi.ProposalCommitted))
		}
		fleet.loss = 0
		Expect(fleet.until(time.Minute, fleet.converged)).To(BeTrue())
		Expect(fleet.processes[0].store.Table().Table.Version).To(Equal(table.Version(8)))
	})
})
