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

// simulatedEvent is an input that reaches a machine at a virtual time.
type simulatedEvent struct {
	at      time.Duration
	order   int
	row     table.BackendID
	packet  *Packet
	message *Message
	// established is the flow whose handshake reply reaches its caller.
	established *flowID
	tick        bool
	view        *View
}

// eventQueue implements heap.Interface. Events at the same time keep their order.
type eventQueue []*simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// faults holds the loss and duplication probabilities and the largest
// delay of the virtual network.
type faults struct {
	loss      float64
	duplicate float64
	delay     time.Duration
}

// flowID distinguishes successive flows with the same key.
type flowID struct {
	key      FlowKey
	sequence uint32
}

// simulation runs the machines of one service over a virtual network.
type simulation struct {
	random   *rand.Rand
	faults   faults
	now      time.Duration
	order    int
	queue    eventQueue
	machines map[table.BackendID]*Machine
	paused   map[table.BackendID]bool
	// everPaused marks machines that have been paused at any time.
	everPaused map[table.BackendID]bool
	// held keeps the events of paused machines until they resume.
	held map[table.BackendID][]*simulatedEvent
	// opened lists the rows that opened a flow, in order. established holds the
	// row that the caller of a flow is connected to.
	opened      map[flowID][]table.BackendID
	established map[flowID]table.BackendID
	delivered   int
	resets      int
	drops       map[DropReason]int
	forwards    int
	queries     int
	injectFault func(*Machine)
	protocol    table.Protocol
	// violations lists the flows for which checkSingleOwner failed.
	violations []flowID
	// lastSequences holds the latest initial sequence number for each caller
	// port.
	lastSequences map[uint16]uint32
}

func newSimulation(seed uint64, rows []table.Backend, faults faults) *simulation {
	created := &simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		faults:     faults,
		machines:   make(map[table.BackendID]*Machine),
		paused:     make(map[table.BackendID]bool),
		everPaused: make(map[table.BackendID]bool),
		held:       make(map[table.BackendID][]*simulatedEvent),
		opened:     make(map[flowID][]table.BackendID),
		drops:      make(map[DropReason]int),

		protocol:      table.ProtocolTCP,
		injectFault:   func(*Machine) {},
		lastSequences: make(map[uint16]uint32),
		established:   make(map[flowID]table.BackendID),
	}
	for _, row := range rows {
		created.machines[row.ID] = New(DefaultConfig(row.ID))
		created.schedule(&simulatedEvent{at: TickInterval(), row: row.ID, tick: true})
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

func (s *simulation) schedule(added *simulatedEvent) {
	s.order++
	added.order = s.order
	heap.Push(&s.queue, added)
}

// transmit schedules the delivery of an event. The network may delay, duplicate
// or lose it.
func (s *simulation) transmit(added simulatedEvent) {
	copies := 1
	if s.random.Float64() < s.faults.duplicate {
		copies++
	}
	for range copies {
		if s.random.Float64() < s.faults.loss {
			continue
		}
		sent := added
		sent.at = s.now + time.Duration(s.random.Int64N(int64(s.faults.delay)+1))
		s.schedule(&sent)
	}
}

// installView schedules the view at every machine, each after a random delay of at
// most skew.
func (s *simulation) installView(view View, skew time.Duration) {
	for _, id := range s.rowIDs() {
		delayed := view
		at := s.now + time.Duration(s.random.Int64N(int64(skew)+1))
		s.schedule(&simulatedEvent{at: at, row: id, view: &delayed})
	}
}

func (s *simulation) rowIDs() []table.BackendID {
	ids := make([]table.BackendID, 0, len(s.machines))
	for id := table.BackendID(1); len(ids) < len(s.machines); id++ {
		if _, exists := s.machines[id]; exists {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendPacket sends a packet of a caller's flow through a balancer that uses the
// given view.
func (s *simulation) sendPacket(view View, port uint16, sequence uint32, opening bool) {
	flow := packet.Flow{
		Source:      flowSource(port),
		Destination: testAddress,
		Protocol:    s.protocol,
	}
	held := newAssignedView(view)
	primary, exists := held.primary(flow.Hash())
	if !exists {
		return
	}
	s.transmit(simulatedEvent{row: primary, packet: &Packet{
		Summary: packet.Summary{Flow: flow, Sequence: sequence, Opening: opening},
		Routing: encap.Routing{Version: view.Version, Backend: primary},
	}})
}

// primaryOf returns the primary row of a caller's TCP flow in the given view.
func (s *simulation) primaryOf(view View, port uint16) table.BackendID {
	flow := packet.Flow{
		Source:      flowSource(port),
		Destination: testAddress,
		Protocol:    table.ProtocolTCP,
	}
	slots := lookup.AssignSlots(view.Service, view.Rows, view.mayTakeNewFlows)
	return view.Rows[slots[lookup.SlotOf(flow.Hash(), len(slots))]].ID
}

// run handles all events up to the given virtual time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(*simulatedEvent)
		s.now = next.at
		s.handle(next)
	}
	s.now = until
}

func (s *simulation) handle(next *simulatedEvent) {
	if next.established != nil {
		s.recordEstablished(next.row, *next.established)
		return
	}
	if s.paused[next.row] {
		s.held[next.row] = append(s.held[next.row], next)
		return
	}
	machine := s.machines[next.row]
	switch {
	case next.tick:
		s.renewLease(machine)
		s.execute(next.row, machine.Tick(s.now))
		s.schedule(&simulatedEvent{at: s.now + TickInterval(), row: next.row, tick: true})
	case next.view != nil:
		s.execute(next.row, machine.InstallView(s.now, *next.view))
	case next.packet != nil:
		s.execute(next.row, machine.HandlePacket(s.now, *next.packet))
	case next.message != nil:
		s.execute(next.row, machine.HandleMessage(s.now, *next.message))
	}
	s.injectFault(machine)
}

// renewLease renews the lease of a machine at every tick, like a daemon that
// receives the heartbeats of every machine that is not paused.
func (s *simulation) renewLease(machine *Machine) {
	if machine.TableVersion() > 0 {
		machine.RenewLease(s.now, s.now+machine.config.LeaseDuration)
	}
}

func (s *simulation) pause(row table.BackendID) {
	s.paused[row] = true
	s.everPaused[row] = true
}

// resume continues a paused machine. It handles the packets queued in the sockets
// of the process before any timer, which is the worst case.
func (s *simulation) resume(row table.BackendID) {
	s.paused[row] = false
	waiting := s.held[row]
	s.held[row] = nil
	for _, next := range waiting {
		if !next.tick {
			s.handle(next)
		}
	}
	s.schedule(&simulatedEvent{at: s.now, row: row, tick: true})
}

func (s *simulation) execute(row table.BackendID, effects []Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case Deliver:
			s.recordDelivery(row, effect.Packet)
		case Forward:
			s.forwards++
			forwarded := effect.Packet
			forwarded.Routing.Backend = effect.To
			s.transmit(simulatedEvent{row: effect.To, packet: &forwarded})
		case SendMessage:
			s.queries++
			message := effect.Message
			s.transmit(simulatedEvent{row: effect.To, message: &message})
		case SendReset:
			s.resets++
		case Drop:
			s.drops[effect.Reason]++
		}
	}
}

func (s *simulation) recordDelivery(row table.BackendID, delivered Packet) {
	s.delivered++
	if !delivered.Summary.Opening {
		return
	}
	opened := flowID{FlowKeyOf(delivered.Summary.Flow.Source), delivered.Summary.Sequence}
	if owned, open := s.machines[row].OpenFlowSequence(opened.key); !open || owned != opened.sequence {
		// The transport stack answers it with a challenge ACK and opens no flow.
		return
	}
	if !slices.Contains(s.opened[opened], row) {
		s.opened[opened] = append(s.opened[opened], row)
		s.checkSingleOwner(row, opened)
	}
	s.transmit(simulatedEvent{row: row, established: &opened})
}

// checkSingleOwner records a violation if a row opens a flow although its caller is
// connected to another row, or although another row opened it that was never
// paused and could therefore have answered.
func (s *simulation) checkSingleOwner(row table.BackendID, opened flowID) {
	connected, exists := s.established[opened]
	violated := exists && connected != row
	for _, other := range s.opened[opened] {
		violated = violated || other != row && !s.everPaused[other]
	}
	if violated {
		s.violations = append(s.violations, opened)
	}
}

// recordEstablished handles the arrival of a handshake reply at the caller. The
// caller stays connected to the first row that replies.
func (s *simulation) recordEstablished(row table.BackendID, opened flowID) {
	if _, exists := s.established[opened]; !exists {
		s.established[opened] = row
	}
}

// openedTwice returns the flows that more than one row opened.
func (s *simulation) openedTwice() []flowID {
	var twice []flowID
	for opened, rows := range s.opened {
		if len(rows) > 1 {
			twice = append(twice, opened)
		}
	}
	return twice
}

func flowSource(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("203.0.113.9"), port)
}
