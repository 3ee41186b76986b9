// Package virtualnet implements a datagram network in virtual time, for
// running many deterministic state machines in one process: loss, duplication,
// delay, cuts, paused processes, and an account of the bytes of each node.
//
// A run with the same seed and the same calls gives the same result.
package virtualnet

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// HeaderSize is the size of the IPv4 and UDP headers of a datagram.
	HeaderSize = 28
	// socketBuffer is how many datagrams wait for a paused process; more are
	// lost.
	socketBuffer = 256
)

// NodeID identifies a node.
type NodeID uint64

// Node is a process on the network.
type Node[Message any] interface {
	// Tick is called at regular intervals of virtual time.
	Tick(now time.Duration)
	// Receive is called with each datagram that arrives.
	Receive(now time.Duration, from NodeID, message Message)
}

// Config holds the settings of a Network.
type Config struct {
	Seed uint64
	// TickInterval is the time between two calls of Node.Tick.
	TickInterval time.Duration
	// Loss and Duplication are probabilities from 0 to 1 for each datagram.
	Loss        float64
	Duplication float64
	// Jitter is the longest random delay added to Delay.
	Jitter time.Duration
	// Delay is the delay from one node to another; nil means none.
	Delay func(from, to NodeID) time.Duration
}

// Network is a datagram network. It is not safe for concurrent use.
type Network[Message any] struct {
	config Config
	random *rand.Rand
	now    time.Duration
	order  uint64
	queue  eventQueue[Message]
	nodes  map[NodeID]*attached[Message]
	cut    func(from, to NodeID) bool
}

// attached is a node and its state on the network.
type attached[Message any] struct {
	node   Node[Message]
	paused bool
	// waiting are datagrams in the socket of a paused process.
	waiting []*event[Message]
	traffic Traffic
}

// event is a datagram, a tick, or a call, at a time.
type event[Message any] struct {
	at    time.Duration
	order uint64
	from  NodeID
	to    NodeID
	// target is set for ticks, which do not reach a process that took the
	// place of another.
	target  *attached[Message]
	size    int
	message Message
	call    func()
	tick    bool
}

// New returns a network without nodes.
func New[Message any](config Config) *Network[Message] {
	return &Network[Message]{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		nodes:  make(map[NodeID]*attached[Message]),
	}
}

// Now returns the virtual time.
func (n *Network[Message]) Now() time.Duration { return n.now }

// SetLoss changes the probability of losing a datagram.
func (n *Network[Message]) SetLoss(loss float64) { n.config.Loss = loss }

// SetPartition sets which datagrams are lost for a partition; nil means none.
func (n *Network[Message]) SetPartition(cut func(from, to NodeID) bool) { n.cut = cut }

// Attach starts a node, in place of one with the same identifier. Its first
// tick comes within one interval.
func (n *Network[Message]) Attach(id NodeID, node Node[Message]) {
	added := &attached[Message]{node: node}
	if former, exists := n.nodes[id]; exists {
		added.traffic = former.traffic
	}
	n.nodes[id] = added
	phase := time.Duration(n.random.Int64N(int64(n.config.TickInterval)))
	n.schedule(event[Message]{at: n.now + phase, to: id, target: added, tick: true})
}

// Detach stops a node without notice.
func (n *Network[Message]) Detach(id NodeID) { delete(n.nodes, id) }

// Pause stops a process; datagrams wait in its socket.
func (n *Network[Message]) Pause(id NodeID) {
	if paused, exists := n.nodes[id]; exists {
		paused.paused = true
	}
}

// Resume continues a process. As the worst case it handles the waiting
// datagrams before its clock ticks.
func (n *Network[Message]) Resume(id NodeID) {
	resumed, exists := n.nodes[id]
	if !exists || !resumed.paused {
		return
	}
	resumed.paused = false
	waiting := resumed.waiting
	resumed.waiting = nil
	for _, next := range waiting {
		resumed.node.Receive(n.now, next.from, next.message)
	}
}

// After calls a function at a later time.
func (n *Network[Message]) After(delay time.Duration, call func()) {
	n.schedule(event[Message]{at: n.now + delay, call: call})
}

// Send transmits a datagram of a size in bytes, without headers.
func (n *Network[Message]) Send(from, to NodeID, size int, message Message) {
	if sender, exists := n.nodes[from]; exists {
		sender.traffic.add(n.now, size+HeaderSize)
	}
	if n.cut != nil && n.cut(from, to) {
		return
	}
	copies := 1
	if n.random.Float64() < n.config.Duplication {
		copies++
	}
	for range copies {
		if n.random.Float64() < n.config.Loss {
			continue
		}
		n.schedule(event[Message]{
			at: n.now + n.delay(from, to), from: from, to: to, size: size, message: message,
		})
	}
}

func (n *Network[Message]) delay(from, to NodeID) time.Duration {
	var delay time.Duration
	if n.config.Delay != nil {
		delay = n.config.Delay(from, to)
	}
	if n.config.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.config.Jitter)))
	}
	return delay
}

// Run advances virtual time by a duration.
func (n *Network[Message]) Run(duration time.Duration) {
	until := n.now + duration
	for len(n.queue) > 0 && n.queue[0].at <= until {
		next := heap.Pop(&n.queue).(*event[Message])
		n.now = next.at
		n.handle(next)
	}
	n.now = until
}

func (n *Network[Message]) handle(next *event[Message]) {
	switch {
	case next.call != nil:
		next.call()
	case next.tick:
		n.tick(next)
	default:
		n.deliver(next)
	}
}

func (n *Network[Message]) tick(next *event[Message]) {
	if n.nodes[next.to] != next.target {
		return
	}
	if !next.target.paused {
		next.target.node.Tick(n.now)
	}
	next.at = n.now + n.config.TickInterval
	n.schedule(*next)
}

func (n *Network[Message]) deliver(next *event[Message]) {
	receiver, exists := n.nodes[next.to]
	if !exists {
		return
	}
	receiver.traffic.add(n.now, next.size+HeaderSize)
	if !receiver.paused {
		receiver.node.Receive(n.now, next.from, next.message)
		return
	}
	if len(receiver.waiting) < socketBuffer {
		receiver.waiting = append(receiver.waiting, next)
	}
}

func (n *Network[Message]) schedule(added event[Message]) {
	n.order++
	added.order = n.order
	heap.Push(&n.queue, &added)
}

// Traffic returns the account of a node, also after it was replaced.
func (n *Network[Message]) Traffic(id NodeID) *Traffic {
	node, exists := n.nodes[id]
	if !exists {
		return &Traffic{}
	}
	return &node.traffic
}

// eventQueue orders events by time and then by the order of scheduling.
type eventQueue[Message any] []*event[Message]

func (q eventQueue[Message]) Len() int { return len(q) }
func (q eventQueue[Message]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue[Message]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue[Message]) Push(x any)   { *q = append(*q, x.(*event[Message])) }
func (q *eventQueue[Message]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
