// Package simnet implements a simulated network in virtual time: nodes in zones
// and regions exchange datagrams that are delayed, lost and duplicated, and set
// timers; nodes can be paused, stopped and cut off.
//
// Everything happens on the goroutine that calls Run, in an order that depends
// on the seed only, so that equal runs have equal outcomes. There is no
// goroutine and no real timer per node.
package simnet

import (
	"math/rand/v2"
	"time"
)

// NodeID is the position of a node in the order of AddNode.
type NodeID int32

// Handler is what a node does. Its methods may call the network's methods.
type Handler[M any] interface {
	// Receive handles a datagram.
	Receive(now time.Duration, from NodeID, message M)
	// HandleTimer handles a timer set with Schedule.
	HandleTimer(now time.Duration, timer uint32)
}

// TrafficClass tells whether a datagram counts as control traffic.
type TrafficClass uint8

// The classes of datagrams. Only Control is metered.
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
	// epoch counts the processes that the node has run; timers of earlier
	// ones are void.
	epoch   uint32
	stopped bool
	paused  bool
	// held are the events that wait for a paused node.
	held  []event[M]
	meter meter
}

// heldDatagrams is how many datagrams the socket of a paused node holds.
const heldDatagrams = 512

// Counters count what became of datagrams of both classes.
type Counters struct {
	Sent       uint64
	Delivered  uint64
	Lost       uint64
	Duplicated uint64
	// Partitioned counts those sent between zones that cannot reach each other.
	Partitioned uint64
	// Undelivered counts those for stopped nodes and full sockets.
	Undelivered uint64
	// Events counts everything that Run has handled.
	Events uint64
}

// Network is a simulated network. It is not safe for concurrent use.
type Network[M any] struct {
	layout   Topology
	links    [][]Link
	cut      [][]bool
	random   *rand.Rand
	now      time.Duration
	queue    queue
	slots    []event[M]
	free     []int32
	nodes    []*node[M]
	metering bool
	counters Counters
}

// New returns a network without nodes. Equal seeds give equal runs.
func New[M any](layout Topology, seed uint64) *Network[M] {
	created := &Network[M]{
		layout:   layout,
		random:   rand.New(rand.NewPCG(seed, uint64(len(layout.Zones)))),
		metering: true,
	}
	for from := range layout.Zones {
		links := make([]Link, len(layout.Zones))
		for to := range links {
			links[to] = layout.Link(ZoneID(from), ZoneID(to))
		}
		created.links = append(created.links, links)
		created.cut = append(created.cut, make([]bool, len(layout.Zones)))
	}
	return created
}

// Now returns the virtual time since the beginning.
func (n *Network[M]) Now() time.Duration { return n.now }

// Counters returns what became of datagrams so far.
func (n *Network[M]) Counters() Counters { return n.counters }

// AddNode adds a running node.
func (n *Network[M]) AddNode(zone ZoneID, handler Handler[M]) NodeID {
	n.nodes = append(n.nodes, &node[M]{handler: handler, zone: zone})
	return NodeID(len(n.nodes) - 1)
}

// Zone returns the zone of a node.
func (n *Network[M]) Zone(id NodeID) ZoneID { return n.nodes[id].zone }

// Send transmits a datagram with a payload of the given size in bytes.
func (n *Network[M]) Send(from, to NodeID, class TrafficClass, size int, message M) {
	n.counters.Sent++
	sender, receiver := n.nodes[from], n.nodes[to]
	if n.metering && class == Control {
		sender.meter.sent(n.now, size+HeaderSize)
	}
	if n.cut[sender.zone][receiver.zone] {
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

// Schedule wakes a node after a time with the given timer, unless it is stopped
// or restarted before. A paused node is woken when it resumes.
func (n *Network[M]) Schedule(id NodeID, after time.Duration, timer uint32) {
	n.add(n.now+after, event[M]{kind: eventTimer, to: id, timer: timer, epoch: n.nodes[id].epoch})
}

// At runs an action at a virtual time, or at once if that has passed.
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
	if handled.kind == eventDatagram && len(receiver.held) >= heldDatagrams {
		n.counters.Undelivered++
		return
	}
	receiver.held = append(receiver.held, handled)
}
