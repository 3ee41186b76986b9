// Package virtualnet simulates a datagram network in virtual time, so that tests can run
// many deterministic state machines in one process. It simulates loss, duplication, delay,
// partitions and paused processes, and counts the bytes of each node.
//
// Runs with the same seed and the same calls have the same result.
package virtualnet

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// HeaderSize is the size of the IPv4 and UDP headers of a datagram in bytes.
	HeaderSize = 28
	// socketBufferSize is the number of datagrams that are queued for a paused process.
	// Further ones are lost.
	socketBufferSize = 256
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
	// Jitter is the maximum random delay added to Delay.
	Jitter time.Duration
	// Delay returns the delay from one node to another. Nil means no delay.
	Delay func(from, to NodeID) time.Duration
}

// Network is a simulated datagram network. It is not safe for concurrent use.
type Network[Message any] struct {
	config      Config
	random      *rand.Rand
	now         time.Duration
	nextOrder   uint64
	queue       eventQueue[Message]
	nodes       map[NodeID]*nodeState[Message]
	partitioned func(from, to NodeID) bool
}

// nodeState is a node and its state on the network.
type nodeState[Message any] struct {
	node   Node[Message]
	paused bool
	// waiting holds the datagrams in the socket of a paused process.
	waiting []*event[Message]
	traffic Traffic
}

// event is a datagram, a tick or a function call at a point in time.
type event[Message any] struct {
	at    time.Duration
	order uint64
	from  NodeID
	to    NodeID
	// target is the receiver of a tick. Ticks of a process that was replaced are dropped.
	target  *nodeState[Message]
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
		nodes:  make(map[NodeID]*nodeState[Message]),
	}
}

// Now returns the virtual time.
func (n *Network[Message]) Now() time.Duration { return n.now }

// SetLoss changes the probability that a datagram is lost.
func (n *Network[Message]) SetLoss(loss float64) { n.config.Loss = loss }

// SetPartition drops the datagrams for whose sender and receiver partitioned returns true.
// Nil ends the partition.
func (n *Network[Message]) SetPartition(partitioned func(from, to NodeID) bool) {
	n.partitioned = partitioned
}

// Attach starts a node and replaces the one with the same identifier. The first tick comes
// within one interval.
func (n *Network[Message]) Attach(id NodeID, node Node[Message]) {
	added := &nodeState[Message]{node: node}
	if former, exists := n.nodes[id]; exists {
		added.traffic = former.traffic
	}
	n.nodes[id] = added
	firstTickDelay := time.Duration(n.random.Int64N(int64(n.config.TickInterval)))
	n.schedule(event[Message]{at: n.now + firstTickDelay, to: id, target: added, tick: true})
}

// Detach stops a node without notice to the others.
func (n *Network[Message]) Detach(id NodeID) { delete(n.nodes, id) }

// Pause pauses a process. Datagrams to it wait in its socket.
func (n *Network[Message]) Pause(id NodeID) {
	if paused, exists := n.nodes[id]; exists {
		paused.paused = true
	}
}

// Resume continues a process. It handles the waiting datagrams before its next tick, which
// is the worst case.
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

// After calls a function after a delay in virtual time.
func (n *Network[Message]) After(delay time.Duration, call func()) {
	n.schedule(event[Message]{at: n.now + delay, call: call})
}

// Send transmits a datagram. The size is in bytes, without headers.
func (n *Network[Message]) Send(from, to NodeID, size int, message Message) {
	if sender, exists := n.nodes[from]; exists {
		sender.traffic.add(n.now, size+HeaderSize)
	}
	if n.partitioned != nil && n.partitioned(from, to) {
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
	if len(receiver.waiting) < socketBufferSize {
		receiver.waiting = append(receiver.waiting, next)
	}
}

func (n *Network[Message]) schedule(added event[Message]) {
	n.nextOrder++
	added.order = n.nextOrder
	heap.Push(&n.queue, &added)
}

// Traffic returns the byte counts of a node. They continue when the node is replaced.
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
