// This file implements faults of nodes and of links.

package simnet

// Pause stops a node from running; its datagrams and timers wait.
func (n *Network[M]) Pause(id NodeID) { n.nodes[id].paused = true }

// Resume lets a paused node go on. What waited is handled at once, in the order
// in which it came, which is the worst case for decisions on an old view.
func (n *Network[M]) Resume(id NodeID) {
	resumed := n.nodes[id]
	resumed.paused = false
	held := resumed.held
	resumed.held = nil
	for _, waiting := range held {
		n.handle(waiting)
	}
}

// Stop ends the process of a node; datagrams to it are lost.
func (n *Network[M]) Stop(id NodeID) {
	stopped := n.nodes[id]
	stopped.stopped = true
	stopped.paused = false
	stopped.held = nil
	stopped.epoch++
}

// Stopped reports whether a node has no process.
func (n *Network[M]) Stopped(id NodeID) bool { return n.nodes[id].stopped }

// Restart starts a new process on a node; the one before, if it still ran, is
// gone with all its timers.
func (n *Network[M]) Restart(id NodeID, handler Handler[M]) {
	n.Stop(id)
	n.nodes[id].handler = handler
	n.nodes[id].stopped = false
}

// Partition keeps the zones of two regions from reaching each other, or with itself
// as the other region, the zones of one region.
func (n *Network[M]) Partition(region, other string) { n.setCut(region, other, true) }

// Heal ends a Cut.
func (n *Network[M]) Heal(region, other string) { n.setCut(region, other, false) }

func (n *Network[M]) setCut(region, other string, cut bool) {
	for _, from := range n.layout.ZonesOf(region) {
		for _, to := range n.layout.ZonesOf(other) {
			if from == to {
				continue
			}
			n.cut[from][to] = cut
			n.cut[to][from] = cut
		}
	}
}

// ResetMeters sets all meters to zero, for instance when a fleet has started.
func (n *Network[M]) ResetMeters() {
	for _, metered := range n.nodes {
		metered.meter = meter{}
	}
}

// FreezeMeters keeps the meters as they are, whatever follows.
func (n *Network[M]) FreezeMeters() { n.metering = false }

// Usage returns the control traffic of a node.
func (n *Network[M]) Usage(id NodeID) Usage { return n.nodes[id].meter.usage }
