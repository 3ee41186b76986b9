package agreement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
)

// process is one run of the daemon on a machine, in virtual time.
type process struct {
	id        agreement.ProcessID
	zone      agreement.Zone
	machine   *agreement.Machine
	state     *changelog.State
	applied   agreement.Index
	ended     bool
	paused    bool
	held      []func()
	suspected map[agreement.ProcessID]int
}

// shape describes a cluster.
type shape struct {
	machines  int
	zones     int
	replicas  int
	witnesses int
	seed      uint64
	// forgetful plants a fault: a restarted process keeps its identity, so
	// that votes and acknowledgements which it has forgotten still count.
	forgetful bool
	// disseminated gives every process the platform's list and, each second,
	// the committed state of the leader if it can be reached.
	disseminated bool
}

// cluster runs processes in virtual time and checks the invariants.
type cluster struct {
	shape
	now       time.Duration
	sequence  int
	events    eventQueue
	random    *rand.Rand
	processes []*process
	starts    uint64
	loss      float64
	duplicate float64
	isolated  func(from, to agreement.Zone) bool
	// unlisted zones are missing from the platform's list.
	unlisted  map[agreement.Zone]bool
	checker   *checker
	answers   map[agreement.ProposalID]agreement.Answer
	reasons   map[agreement.ProposalID]agreement.RefusalReason
	sentBytes int
	sentCount int
}

const (
	// suspicions is the number of failed checks before a member counts as
	// down.
	suspicions      = 3
	checkInterval   = time.Second
	regions         = 5
	regionDistance  = 30 * time.Millisecond
	zoneDelay       = time.Millisecond
	jitterOfRegions = 0.25
)

func newCluster(of shape) *cluster {
	c := &cluster{
		shape:    of,
		random:   rand.New(rand.NewPCG(of.seed, 1)),
		isolated: func(_, _ agreement.Zone) bool { return false },
		checker:  newChecker(),
		answers:  make(map[agreement.ProposalID]agreement.Answer),
		reasons:  make(map[agreement.ProposalID]agreement.RefusalReason),
	}
	for machine := range of.machines {
		c.processes = append(c.processes, c.start(uint32(machine+1), c.nextStart()))
	}
	founding, _ := c.processes[0].state.Encode()
	c.call(c.processes[0], func(m *agreement.Machine) []agreement.Effect { return m.Found(c.now, founding) })
	return c
}

func (c *cluster) nextStart() uint64 {
	c.starts++
	return c.starts
}

func zoneOf(number int) agreement.Zone { return agreement.Zone(rune('a' + number)) }

func (c *cluster) start(machine uint32, start uint64) *process {
	id := agreement.ProcessID{Machine: machine, Start: start}
	zone := zoneOf(int(machine-1) % c.zones)
	parameters := agreement.DefaultParameters(id, zone)
	parameters.Seed ^= c.seed
	parameters.Replicas = c.replicas
	parameters.Witnesses = c.witnesses
	parameters.MinimumVoters = min(3, c.replicas)
	parameters.MinimumZones = min(2, c.zones)
	parameters.SnapshotEntries = 16
	p := &process{
		id: id, zone: zone,
		machine:   agreement.New(c.now, parameters),
		state:     changelog.NewState(changelog.DefaultLimits()),
		suspected: make(map[agreement.ProcessID]int),
	}
	c.repeat(p, agreement.TickInterval(), func() {
		c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.Tick(c.now) })
	})
	c.repeat(p, checkInterval, func() { c.checkMembers(p) })
	if c.disseminated {
		c.repeat(p, checkInterval, func() { c.disseminate(p) })
	}
	return p
}

// repeat calls the action at the interval until the process ends.
func (c *cluster) repeat(p *process, interval time.Duration, action func()) {
	c.after(interval, func() {
		if p.ended {
			return
		}
		c.run(p, action)
		c.repeat(p, interval, action)
	})
}

// run performs the action, or holds it until a paused process resumes.
func (c *cluster) run(p *process, action func()) {
	switch {
	case p.ended:
	case p.paused:
		p.held = append(p.held, action)
	default:
		action()
	}
}

func (c *cluster) checkMembers(p *process) {
	for _, other := range slices.Clone(c.processes) {
		reachable := !other.paused && !other.ended && !c.isolated(p.zone, other.zone) && !c.isolated(other.zone, p.zone)
		if reachable {
			p.suspected[other.id] = 0
			c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.MemberUp(c.now, other.id, other.zone) })
			continue
		}
		p.suspected[other.id]++
		if p.suspected[other.id] >= suspicions {
			c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.MemberDown(c.now, other.id) })
		}
	}
}

// disseminate stands in for the distribution of the table to all daemons.
func (c *cluster) disseminate(p *process) {
	var machines []uint32
	for _, other := range c.processes {
		if !c.unlisted[other.zone] {
			machines = append(machines, other.id.Machine)
		}
	}
	c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.Listed(machines) })
	from := c.leader()
	if from == nil || c.isolated(from.zone, p.zone) || from.machine.CommitIndex() <= p.machine.CommitIndex() {
		return
	}
	snapshot := from.machine.Position()
	snapshot.State, _ = from.state.Encode()
	c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.Observe(snapshot) })
}

func (c *cluster) call(p *process, input func(*agreement.Machine) []agreement.Effect) {
	defer func() {
		if broken := recover(); broken != nil {
			c.checker.violate("process %s: %v", p.id, broken)
			p.ended = true
		}
	}()
	for _, effect := range slices.Clone(input(p.machine)) {
		c.perform(p, effect)
	}
}

func (c *cluster) perform(p *process, effect agreement.Effect) {
	switch effect.Kind {
	case agreement.Send:
		c.send(p, effect.To, effect.Message)
	case agreement.Committed:
		c.checker.committed(p, effect.Entry)
	case agreement.SnapshotInstalled:
		c.checker.installed(p, effect.Snapshot)
	case agreement.SnapshotWanted:
		encoded, _ := p.state.Encode()
		p.machine.Compact(p.applied, encoded)
	case agreement.LeaderChanged:
		if effect.Leader == p.id {
			c.checker.led(p)
		}
	case agreement.Answered:
		c.answers[effect.ID] = effect.Answer
		c.reasons[effect.ID] = effect.Reason
		c.checker.answered(p, effect.ID, effect.Answer)
	}
}

// send encodes the message and delivers copies of it after the delay of the
// link.
func (c *cluster) send(from *process, to agreement.ProcessID, message agreement.Message) {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	c.sentBytes += len(encoded)
	c.sentCount++
	copies := 1
	if c.random.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.loss {
			continue
		}
		c.after(c.delay(from.zone, to), func() { c.deliver(from, to, encoded) })
	}
}

func (c *cluster) deliver(from *process, to agreement.ProcessID, encoded []byte) {
	p := c.processes[to.Machine-1]
	if p.id != to || c.isolated(from.zone, p.zone) {
		return
	}
	var message agreement.Message
	if _, err := message.UnmarshalMsg(encoded); err != nil {
		panic(err)
	}
	c.run(p, func() {
		c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.Receive(c.now, from.id, message) })
	})
}

// delay is up to 150 ms between the regions furthest apart.
func (c *cluster) delay(from agreement.Zone, to agreement.ProcessID) time.Duration {
	distance := regionOf(from) - regionOf(c.processes[to.Machine-1].zone)
	if distance < 0 {
		distance = -distance
	}
	base := zoneDelay + time.Duration(distance)*regionDistance
	return base + time.Duration(c.random.Float64()*jitterOfRegions*float64(base))
}

func regionOf(zone agreement.Zone) int { return int(zone[0]-'a') % regions }

// restart ends the process of a machine and starts another without memory.
func (c *cluster) restart(machine int) {
	old := c.processes[machine]
	old.ended = true
	start := old.id.Start
	if !c.forgetful {
		start = c.nextStart()
	}
	c.processes[machine] = c.start(old.id.Machine, start)
}

// endZone ends all processes of a zone for good.
func (c *cluster) endZone(zone agreement.Zone) {
	for _, p := range c.processes {
		if p.zone == zone {
			p.ended = true
		}
	}
}

func (c *cluster) pause(machine int) { c.processes[machine].paused = true }

// resume lets a process go on: it first handles all that came meanwhile.
func (c *cluster) resume(machine int) {
	p := c.processes[machine]
	p.paused = false
	held := p.held
	p.held = nil
	for _, action := range held {
		c.run(p, action)
	}
}

func (c *cluster) propose(p *process, change *changelog.Change) {
	encoded, err := change.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	id := agreement.ProposalID(change.ID)
	delete(c.answers, id)
	c.checker.proposed(id)
	c.run(p, func() {
		c.call(p, func(m *agreement.Machine) []agreement.Effect { return m.Propose(c.now, id, encoded) })
	})
}

// leader returns a process that holds the lease, nil if there is none.
func (c *cluster) leader() *process {
	for _, p := range c.processes {
		if !p.paused && !p.ended && p.machine.Leads(c.now) {
			return p
		}
	}
	return nil
}

// waitLeader advances time until a leader has committed in its own term and
// has as many voters as wanted.
func (c *cluster) waitFormed(limit time.Duration) bool {
	return c.until(limit, func() bool {
		p := c.leader()
		return p != nil && len(p.machine.Voters().Members) == c.replicas+c.witnesses &&
			p.machine.CommitIndex() == p.machine.LastIndex()
	})
}

func (c *cluster) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.sequence, action: action})
}

func (c *cluster) advance(by time.Duration) {
	end := c.now + by
	c.until(by, func() bool { return false })
	c.now = end
}

// until advances time until the condition holds; false after the limit.
func (c *cluster) until(limit time.Duration, condition func() bool) bool {
	end := c.now + limit
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
		if condition() {
			return true
		}
	}
	return false
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *cluster) String() string {
	return fmt.Sprintf("%d machines in %d zones, %d replicas, %d witnesses, seed %d",
		c.machines, c.zones, c.replicas, c.witnesses, c.seed)
}
