// Package simnet simulates a network in virtual time, for tests and experiments with the
// logic of distributed nodes. Its input is a topology of zones and regions, a seed, and a
// handler for each node. Nodes send datagrams, which are delayed, lost and duplicated, and
// set timers. Nodes can be paused, stopped and restarted, and regions partitioned.
//
// Run handles all events on the goroutine that calls it. Their order depends only on the
// seed and the calls, so that equal runs have equal results. Nodes have no goroutines or
// real timers of their own.
package simnet

import (
	"math/rand/v2"
	"time"
)

// NodeID is the index of a node in the order of AddNode.
type NodeID int32

// Handler implements the behavior of a node. Its methods may call methods of the network.
type Handler[M any] interface {
	// Receive handles a datagram.
	Receive(now time.Duration, from NodeID, message M)
	// HandleTimer handles a timer set with Schedule.
	HandleTimer(now time.Duration, timer uint32)
}

// TrafficClass distinguishes control traffic from payload.
type TrafficClass uint8

// Classes of datagrams. Only Control is metered.
const (
	Control TrafficClass = iota
	Payload
)

type eventKind uint8

const (
	eventDatagram eventKind = iota
	eventTimer
	eventAction
)

type event[M any] struct {
	kind    eventKind
	class   TrafficClass
	timer   uint32
	epoch   uint32
	from    NodeID
	to      NodeID
	size    int32
	message M
	action  func()
}

type node[M any] struct {
	handler Handler[M]
	zone    ZoneID
	// epoch counts the processes that the node has run. Timers of earlier processes are
	// discarded.
	epoch   uint32
	stopped bool
	paused  bool
	// held are the events that wait for a paused node.
	held  []event[M]
	meter meter
}

// maxHeldDatagrams limits the datagrams that are held for a paused node, like the receive
// buffer of a socket.
const maxHeldDatagrams = 512

// Counters count datagrams of both classes by outcome.
type Counters struct {
	Sent       uint64
	Delivered  uint64
	Lost       uint64
	Duplicated uint64
	// Partitioned counts datagrams that a partition blocked.
	Partitioned uint64
	// Undelivered counts datagrams to stopped nodes and to paused nodes with a full buffer.
	Undelivered uint64
	// Events counts all events that Run has handled.
	Events uint64
}

// Network is a simulated network. It is not safe for concurrent use.
type Network[M any] struct {
	topology    Topology
	links       [][]Link
	partitioned [][]bool
	random      *rand.Rand
	now         time.Duration
	queue       queue
	slots       []event[M]
	free        []int32
	nodes       []*node[M]
	metering    bool
	counters    Counters
}

// New returns a network without nodes. Equal seeds give equal runs.
func New[M any](topology Topology, seed uint64) *Network[M] {
	created := &Network[M]{
		topology: topology,
		random:   rand.New(rand.NewPCG(seed, uint64(len(topology.Zones)))),
		metering: true,
	}
	for from := range topology.Zones {
		links := make([]Link, len(topology.Zones))
		for to := range links {
			links[to] = topology.Link(ZoneID(from), ZoneID(to))
		}
		created.links = append(created.links, links)
		created.partitioned = append(created.partitioned, make([]bool, len(topology.Zones)))
	}
	return created
}

// Now returns the virtual time since the start.
func (n *Network[M]) Now() time.Duration { return n.now }

// Counters returns the counts of datagrams so far.
func (n *Network[M]) Counters() Counters { return n.counters }

// AddNode adds a running node.
func (n *Network[M]) AddNode(zone ZoneID, handler Handler[M]) NodeID {
	n.nodes = append(n.nodes, &node[M]{handler: handler, zone: zone})
	return NodeID(len(n.nodes) - 1)
}

// Zone returns the zone of a node.
func (n *Network[M]) Zone(id NodeID) ZoneID { return n.nodes[id].zone }

// Send sends a datagram whose payload has the given size in bytes.
func (n *Network[M]) Send(from, to NodeID, class TrafficClass, size int, message M) {
	n.counters.Sent++
	sender, receiver := n.nodes[from], n.nodes[to]
	if n.metering && class == Control {
		sender.meter.sent(n.now, size+HeaderSize)
	}
	if n.partitioned[sender.zone][receiver.zone] {
		n.counters.Partitioned++
		return
	}
	link := &n.links[sender.zone][receiver.zone]
	if link.Loss > 0 && n.random.Float64() < link.Loss {
		n.counters.Lost++
		return
	}
	sent := event[M]{kind: eventDatagram, class: class, from: from, to: to, size: int32(size), message: message}
	n.add(n.now+n.delay(link), sent)
	if link.Duplication > 0 && n.random.Float64() < link.Duplication {
		n.counters.Duplicated++
		n.add(n.now+n.delay(link), sent)
	}
}

func (n *Network[M]) delay(link *Link) time.Duration {
	if link.Jitter <= 0 {
		return link.Delay
	}
	return link.Delay + time.Duration(n.random.Int64N(int64(link.Jitter)))
}

// Schedule calls HandleTimer of a node after the given time, unless the node is stopped or
// restarted earlier. If the node is paused then, the call happens when it resumes.
func (n *Network[M]) Schedule(id NodeID, after time.Duration, timer uint32) {
	n.add(n.now+after, event[M]{kind: eventTimer, to: id, timer: timer, epoch: n.nodes[id].epoch})
}

// At runs an action at the given virtual time, or at the current time if that has passed.
func (n *Network[M]) At(at time.Duration, action func()) {
	n.add(max(at, n.now), event[M]{kind: eventAction, action: action})
}

func (n *Network[M]) add(at time.Duration, added event[M]) {
	if last := len(n.free) - 1; last >= 0 {
		slot := n.free[last]
		n.free = n.free[:last]
		n.slots[slot] = added
		n.queue.push(at, slot)
		return
	}
	n.slots = append(n.slots, added)
	n.queue.push(at, int32(len(n.slots)-1))
}

// Run handles all events up to and including the given time.
func (n *Network[M]) Run(until time.Duration) {
	for !n.queue.empty() && n.queue.first().at <= until {
		next := n.queue.pop()
		n.now = next.at
		handled := n.slots[next.slot]
		n.slots[next.slot] = event[M]{}
		n.free = append(n.free, next.slot)
		n.counters.Events++
		n.handle(handled)
	}
	n.now = max(n.now, until)
}

func (n *Network[M]) handle(handled event[M]) {
	if handled.kind == eventAction {
		handled.action()
		return
	}
	receiver := n.nodes[handled.to]
	if receiver.stopped {
		if handled.kind == eventDatagram {
			n.counters.Undelivered++
		}
		return
	}
	if receiver.paused {
		n.hold(receiver, handled)
		return
	}
	n.deliver(receiver, handled)
}

func (n *Network[M]) deliver(receiver *node[M], handled event[M]) {
	if handled.kind == eventTimer {
		if handled.epoch == receiver.epoch {
			receiver.handler.HandleTimer(n.now, handled.timer)
		}
		return
	}
	n.counters.Delivered++
	if n.metering && handled.class == Control {
		receiver.meter.received(n.now, int(handled.size)+HeaderSize)
	}
	receiver.handler.Receive(n.now, handled.from, handled.message)
}

func (n *Network[M]) hold(receiver *node[M], handled event[M]) {
	if handled.kind == eventDatagram && len(receiver.held) >= maxHeldDatagrams {
		n.counters.Undelivered++
		return
	}
	receiver.held = append(receiver.held, handled)
}
