// This file implements faults of nodes and of links between zones.

package simnet

// Pause suspends a node. Its datagrams and timers are held until Resume.
func (n *Network[M]) Pause(id NodeID) { n.nodes[id].paused = true }

// Resume continues a paused node. It handles the held events immediately, in their order of
// arrival, before newer events. This is the worst case for decisions on outdated state.
func (n *Network[M]) Resume(id NodeID) {
	resumed := n.nodes[id]
	resumed.paused = false
	held := resumed.held
	resumed.held = nil
	for _, waiting := range held {
		n.handle(waiting)
	}
}

// Stop ends the process of a node. Datagrams to the node are lost.
func (n *Network[M]) Stop(id NodeID) {
	stopped := n.nodes[id]
	stopped.stopped = true
	stopped.paused = false
	stopped.held = nil
	stopped.epoch++
}

// Stopped reports whether a node has no running process.
func (n *Network[M]) Stopped(id NodeID) bool { return n.nodes[id].stopped }

// Restart starts a new process on a node. It ends the previous process, if that still runs,
// and discards its timers.
func (n *Network[M]) Restart(id NodeID, handler Handler[M]) {
	n.Stop(id)
	n.nodes[id].handler = handler
	n.nodes[id].stopped = false
}

// Partition blocks all datagrams between the zones of two regions. If both are the same
// region, it blocks those between the zones of that region.
func (n *Network[M]) Partition(region, other string) { n.setPartitioned(region, other, true) }

// Heal ends a partition.
func (n *Network[M]) Heal(region, other string) { n.setPartitioned(region, other, false) }

func (n *Network[M]) setPartitioned(region, other string, partitioned bool) {
	for _, from := range n.topology.ZonesOf(region) {
		for _, to := range n.topology.ZonesOf(other) {
			if from == to {
				continue
			}
			n.partitioned[from][to] = partitioned
			n.partitioned[to][from] = partitioned
		}
	}
}

// ResetMeters sets all meters to zero, for example once a fleet has started.
func (n *Network[M]) ResetMeters() {
	for _, metered := range n.nodes {
		metered.meter = meter{}
	}
}

// FreezeMeters stops metering and keeps the current values.
func (n *Network[M]) FreezeMeters() { n.metering = false }

// Usage returns the metered control traffic of a node.
func (n *Network[M]) Usage(id NodeID) Usage { return n.nodes[id].meter.usage }
