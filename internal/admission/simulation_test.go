package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const testService table.ServiceID = 7

var testAddress = netip.MustParseAddrPort("198.51.100.1:80")

// event is something that reaches a machine at a virtual time.
type event struct {
	at      time.Duration
	order   int
	row     table.BackendID
	packet  *Packet
	message *Message
	// established is the flow whose answer reaches its caller.
	established *openedFlow
	tick        bool
	view        *View
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// faults are the probabilities and bounds of the virtual network.
type faults struct {
	loss      float64
	duplicate float64
	delay     time.Duration
}

// openedFlow tells apart successive flows with one key.
type openedFlow struct {
	key      FlowKey
	sequence uint32
}

// cluster runs the machines of one service over a virtual network.
type cluster struct {
	random   *rand.Rand
	faults   faults
	now      time.Duration
	order    int
	queue    eventQueue
	machines map[table.BackendID]*Machine
	paused   map[table.BackendID]bool
	// everPaused marks machines that were paused at some time.
	everPaused map[table.BackendID]bool
	// held keeps the events of paused machines until they resume.
	held map[table.BackendID][]*event
	// opened lists the rows that opened a flow, in order; established is the
	// row that its caller is connected with.
	opened      map[openedFlow][]table.BackendID
	established map[openedFlow]table.BackendID
	delivered   int
	resets      int
	drops       map[DropReason]int
	forwards    int
	queries     int
	sabotage    func(*Machine)
	protocol    table.Protocol
	// violations are flows found by check.
	violations []openedFlow
	// sequences are the callers' latest initial sequence numbers by port.
	sequences map[uint16]uint32
}

func newCluster(seed uint64, rows []table.Backend, faults faults) *cluster {
	created := &cluster{
		random:     rand.New(rand.NewPCG(seed, 1)),
		faults:     faults,
		machines:   make(map[table.BackendID]*Machine),
		paused:     make(map[table.BackendID]bool),
		everPaused: make(map[table.BackendID]bool),
		held:       make(map[table.BackendID][]*event),
		opened:     make(map[openedFlow][]table.BackendID),
		drops:      make(map[DropReason]int),

		protocol:    table.ProtocolTCP,
		sabotage:    func(*Machine) {},
		sequences:   make(map[uint16]uint32),
		established: make(map[openedFlow]table.BackendID),
	}
	for _, row := range rows {
		created.machines[row.ID] = New(DefaultConfig(row.ID))
		created.schedule(&event{at: TickInterval(), row: row.ID, tick: true})
	}
	return created
}

func testRows(count int) []table.Backend {
	rows := make([]table.Backend, count)
	for index := range rows {
		rows[index] = table.Backend{
			ID:      table.BackendID(index + 1),
			Service: testService,
			Name:    fmt.Sprintf("row-%d", index+1),
			Agent:   table.Endpoint(fmt.Sprintf("192.0.2.%d:6081", index+1)),
			Weight:  1,
		}
	}
	return rows
}

func (c *cluster) schedule(added *event) {
	c.order++
	added.order = c.order
	heap.Push(&c.queue, added)
}

// transmit schedules a delivery subject to the faults of the network.
func (c *cluster) transmit(added event) {
	copies := 1
	if c.random.Float64() < c.faults.duplicate {
		copies++
	}
	for range copies {
		if c.random.Float64() < c.faults.loss {
			continue
		}
		sent := added
		sent.at = c.now + time.Duration(c.random.Int64N(int64(c.faults.delay)+1))
		c.schedule(&sent)
	}
}

// install gives every machine the view after a random delay up to skew.
func (c *cluster) install(view View, skew time.Duration) {
	for _, id := range c.rowIDs() {
		delayed := view
		at := c.now + time.Duration(c.random.Int64N(int64(skew)+1))
		c.schedule(&event{at: at, row: id, view: &delayed})
	}
}

func (c *cluster) rowIDs() []table.BackendID {
	ids := make([]table.BackendID, 0, len(c.machines))
	for id := table.BackendID(1); len(ids) < len(c.machines); id++ {
		if _, exists := c.machines[id]; exists {
			ids = append(ids, id)
		}
	}
	return ids
}

// caller sends a packet of the caller's flow through a balancer with the given
// view.
func (c *cluster) caller(view View, port uint16, sequence uint32, opening bool) {
	flow := packet.Flow{
		Source:      flowSource(port),
		Destination: testAddress,
		Protocol:    c.protocol,
	}
	held := newHeldView(view)
	primary, exists := held.primary(flow.Hash())
	if !exists {
		return
	}
	c.transmit(event{row: primary, packet: &Packet{
		Summary: packet.Summary{Flow: flow, Sequence: sequence, Opening: opening},
		Routing: encap.Routing{Version: view.Version, Backend: primary},
	}})
}

func (c *cluster) primaryOf(view View, port uint16) table.BackendID {
	flow := packet.Flow{
		Source:      flowSource(port),
		Destination: testAddress,
		Protocol:    table.ProtocolTCP,
	}
	slots := lookup.AssignSlots(view.Service, view.Rows, view.candidate)
	return view.Rows[slots[lookup.SlotOf(flow.Hash(), len(slots))]].ID
}

// run advances virtual time.
func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(*event)
		c.now = next.at
		c.handle(next)
	}
	c.now = until
}

func (c *cluster) handle(next *event) {
	if next.established != nil {
		c.establish(next.row, *next.established)
		return
	}
	if c.paused[next.row] {
		c.held[next.row] = append(c.held[next.row], next)
		return
	}
	machine := c.machines[next.row]
	switch {
	case next.tick:
		c.renew(machine)
		c.execute(next.row, machine.Tick(c.now))
		c.schedule(&event{at: c.now + TickInterval(), row: next.row, tick: true})
	case next.view != nil:
		c.execute(next.row, machine.InstallView(c.now, *next.view))
	case next.packet != nil:
		c.execute(next.row, machine.HandlePacket(c.now, *next.packet))
	case next.message != nil:
		c.execute(next.row, machine.HandleMessage(c.now, *next.message))
	}
	c.sabotage(machine)
}

// renew stands for the grants of a daemon that hears from every machine that
// is not paused.
func (c *cluster) renew(machine *Machine) {
	if machine.TableVersion() > 0 {
		machine.RenewLease(c.now, c.now+machine.config.LeaseDuration)
	}
}

func (c *cluster) pause(row table.BackendID) {
	c.paused[row] = true
	c.everPaused[row] = true
}

// resume handles the packets that waited in the sockets of a paused process
// first, as the worst case, and its timers only then.
func (c *cluster) resume(row table.BackendID) {
	c.paused[row] = false
	waiting := c.held[row]
	c.held[row] = nil
	for _, next := range waiting {
		if !next.tick {
			c.handle(next)
		}
	}
	c.schedule(&event{at: c.now, row: row, tick: true})
}

func (c *cluster) execute(row table.BackendID, effects []Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case Deliver:
			c.recordDelivery(row, effect.Packet)
		case Forward:
			c.forwards++
			forwarded := effect.Packet
			forwarded.Routing.Backend = effect.To
			c.transmit(event{row: effect.To, packet: &forwarded})
		case SendMessage:
			c.queries++
			message := effect.Message
			c.transmit(event{row: effect.To, message: &message})
		case SendReset:
			c.resets++
		case Drop:
			c.drops[effect.Reason]++
		}
	}
}

func (c *cluster) recordDelivery(row table.BackendID, delivered Packet) {
	c.delivered++
	if !delivered.Summary.Opening {
		return
	}
	opened := openedFlow{FlowKeyOf(delivered.Summary.Flow.Source), delivered.Summary.Sequence}
	if owned, open := c.machines[row].OpenFlowSequence(opened.key); !open || owned != opened.sequence {
		// The transport stack challenges it; it opens nothing.
		return
	}
	if !slices.Contains(c.opened[opened], row) {
		c.opened[opened] = append(c.opened[opened], row)
		c.check(row, opened)
	}
	c.transmit(event{row: row, established: &opened})
}

// check records a violation if the flow now opened on a row was open on another
// that its caller is connected with, or that has always been able to answer.
func (c *cluster) check(row table.BackendID, opened openedFlow) {
	connected, exists := c.established[opened]
	violated := exists && connected != row
	for _, other := range c.opened[opened] {
		violated = violated || other != row && !c.everPaused[other]
	}
	if violated {
		c.violations = append(c.violations, opened)
	}
}

// establish handles the answer to an opening packet at its caller.
func (c *cluster) establish(row table.BackendID, opened openedFlow) {
	if _, exists := c.established[opened]; !exists {
		c.established[opened] = row
	}
}

// openedTwice returns the flows that were opened on more than one row.
func (c *cluster) openedTwice() []openedFlow {
	var twice []openedFlow
	for opened, rows := range c.opened {
		if len(rows) > 1 {
			twice = append(twice, opened)
		}
	}
	return twice
}

func flowSource(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
}
