package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
)

// fault is one kind of event of a schedule.
type fault struct {
	name string
	// lasts is how long promises with a time bound are suspended, beside the
	// time after which all is in touch again; zero for planned work.
	lasts time.Duration
	act   func(w *world)
}

const outage = 3 * time.Second

func faults() []fault {
	return []fault{
		{"balancer killed", outage, func(w *world) { w.killBalancer(outage) }},
		{"balancer stopped as planned", 0, func(w *world) { w.stopBalancer() }},
		{"balancer added", 0, func(w *world) { w.addBalancer(w.random.IntN(len(w.options.Shape.Zones))) }},
		{"balancer paused", outage, func(w *world) { w.pauseBalancer(outage) }},
		{"agent killed", outage, func(w *world) { w.killAgent(time.Second) }},
		{"agent stopped as planned", 0, func(w *world) { w.stopAgent() }},
		{"endpoint replaced", 0, func(w *world) { w.replaceEndpoint() }},
		{"endpoint leaves without notice", 0, func(w *world) { w.leaveSilently() }},
		{"endpoint crashed", outage, func(w *world) { w.crashEndpoint(outage) }},
		{"endpoint slow", 0, func(w *world) { w.slowEndpoint(4, outage) }},
		{"zone closed", 0, func(w *world) { w.closeZone(false) }},
		{"zone closed, cold at its end", 0, func(w *world) { w.closeZone(true) }},
		{"route added", 0, func(w *world) { w.addRoute() }},
		{"route dropped", 0, func(w *world) { w.dropRoute() }},
		{"store busy", outage, func(w *world) { w.storeState(storeBusy, outage) }},
		{"store throttles", outage, func(w *world) { w.storeState(storeThrottling, outage) }},
		{"store silent", outage, func(w *world) { w.storeState(storeSilent, outage) }},
		{"store slow", outage, func(w *world) { w.slowStore(outage) }},
		{"store forgets history", time.Second, func(w *world) { w.store.compact() }},
		{"store connections silent", time.Second, func(w *world) { w.store.hush() }},
		{"balancer cut off", outage, func(w *world) { w.cutBalancer(outage) }},
		{"store cut from a balancer", outage, func(w *world) { w.cutStore(outage) }},
		{"store turns balancers away", outage, func(w *world) { w.turnAway(outage) }},
	}
}

// pick returns a random element, false if there is none.
func pick[T any](w *world, from []T) (T, bool) {
	if len(from) == 0 {
		var none T
		return none, false
	}
	return from[w.random.IntN(len(from))], true
}

func (w *world) runningBalancers() []*balancerNode {
	return slices.DeleteFunc(slices.Clone(w.balancers), func(n *balancerNode) bool {
		return w.net.Stopped(n.id) || n.stopping || n.removed
	})
}

func (w *world) servingSides() []*side {
	return slices.DeleteFunc(slices.Clone(w.sides), func(s *side) bool {
		return s.gone || s.draining || w.net.Stopped(s.agent.id) || w.net.Stopped(s.endpoint.id)
	})
}

func (w *world) killBalancer(away time.Duration) {
	if victim, exists := pick(w, w.runningBalancers()); exists {
		w.net.Stop(victim.id)
		w.net.At(w.net.Now()+away, victim.restart)
	}
}

func (w *world) stopBalancer() {
	victim, exists := pick(w, w.runningBalancers())
	if !exists {
		return
	}
	victim.stopping = true
	w.net.At(w.net.Now()+balancerStop, func() { w.net.Stop(victim.id) })
	w.net.At(w.net.Now()+balancerStop+restartDelay, victim.restart)
}

func (w *world) pauseBalancer(lasts time.Duration) {
	if victim, exists := pick(w, w.runningBalancers()); exists {
		w.net.Pause(victim.id)
		w.net.At(w.net.Now()+lasts, func() {
			if !w.net.Stopped(victim.id) {
				w.net.Resume(victim.id)
			}
		})
	}
}

func (w *world) killAgent(away time.Duration) {
	if victim, exists := pick(w, w.servingSides()); exists {
		w.net.Stop(victim.agent.id)
		w.net.At(w.net.Now()+away, victim.agent.restart)
	}
}

func (w *world) stopAgent() {
	victim, exists := pick(w, w.servingSides())
	if !exists {
		return
	}
	victim.agent.execute(victim.agent.part.Stop(w.net.Now()))
	w.net.At(w.net.Now()+agentStop, func() { w.net.Stop(victim.agent.id) })
	w.net.At(w.net.Now()+agentStop+restartDelay, victim.agent.restart)
}

func (w *world) replaceEndpoint() {
	if victim, exists := pick(w, w.servingSides()); exists {
		w.addSide(victim.service, victim.zone, false)
		w.net.At(w.net.Now()+time.Second, victim.drain)
	}
}

func (w *world) leaveSilently() {
	if victim, exists := pick(w, w.servingSides()); exists {
		w.addSide(victim.service, victim.zone, false)
		w.net.At(w.net.Now()+time.Second, victim.leave)
	}
}

func (w *world) crashEndpoint(away time.Duration) {
	if victim, exists := pick(w, w.servingSides()); exists {
		victim.endpoint.crash(away)
	}
}

func (w *world) slowEndpoint(factor float64, lasts time.Duration) {
	if victim, exists := pick(w, w.servingSides()); exists {
		victim.endpoint.slow = factor
		w.net.At(w.net.Now()+lasts, func() { victim.endpoint.slow = 1 })
	}
}

// closedTime is how long a zone is closed: long enough to be judged.
const closedTime = 7 * time.Second

// closeZone closes a zone to new flows for a while, unless another is closed. Its endpoints
// may be cold at the end.
func (w *world) closeZone(cold bool) {
	if len(w.ledger.closed) > 0 {
		return
	}
	zone, _ := pick(w, w.options.Shape.Zones)
	if !w.servedBeside(zone) {
		return
	}
	w.store.closeZone(zone, true)
	w.net.At(w.net.Now()+closedTime, func() {
		w.store.closeZone(zone, false)
		for _, each := range w.servingSides() {
			if cold && each.zoneName == zone {
				each.endpoint.chill()
			}
		}
	})
}

// servedBeside reports whether every service has endpoints outside of a zone.
func (w *world) servedBeside(zone string) bool {
	for _, service := range w.options.Shape.Services {
		beside := slices.ContainsFunc(w.servingSides(), func(s *side) bool {
			return s.service.Name == service.Name && s.zoneName != zone
		})
		if !beside {
			return false
		}
	}
	return true
}

func (w *world) addRoute() {
	service, _ := pick(w, w.options.Shape.Services)
	routes := slices.Clone(w.store.routes)
	address := routeAddress(byte(100 + len(routes) + w.random.IntN(100)))
	routes = append(routes, directory.Route{
		Name: "added", IP: address.IP, Port: address.Port, WeightedServices: []directory.WeightedService{{Service: service.Name, Weight: 1}},
	})
	w.store.configure(routes)
	w.probeRoute(RequestClass{
		Name: "probe", Service: service.Name, Address: address, MeanServiceTime: 5 * time.Millisecond, ResponsePackets: 1,
		TargetLatency: time.Second, Timeout: time.Second, Retryable: true,
	})
}

// probeRoute sends requests to a route that was added, also after it is dropped.
func (w *world) probeRoute(class RequestClass) {
	end := leadTime + w.options.Duration
	var next func()
	next = func() {
		if w.net.Now() >= end {
			return
		}
		host, _ := pick(w, w.clients)
		host.try(w.ledger.probe(class))
		w.net.At(w.net.Now()+probeInterval, next)
	}
	w.net.At(w.net.Now(), next)
}

// dropRoute drops a route that was added, never one with traffic.
func (w *world) dropRoute() {
	routes := slices.Clone(w.store.routes)
	if len(routes) > len(w.options.Shape.Classes) {
		w.store.configure(routes[:len(routes)-1])
	}
}

func (w *world) storeState(state storeState, lasts time.Duration) {
	w.store.state = state
	w.net.At(w.net.Now()+lasts, func() { w.store.state = storeUp })
}

func (w *world) slowStore(lasts time.Duration) {
	w.store.slow = 240 * time.Millisecond
	w.net.At(w.net.Now()+lasts, func() { w.store.slow = 0 })
}

func (w *world) cutStore(lasts time.Duration) {
	if victim, exists := pick(w, w.runningBalancers()); exists {
		victim.cut = true
		w.net.At(w.net.Now()+lasts, func() { victim.cut = false })
	}
}

// turnAway makes the store refuse half of the balancers while it serves the others.
func (w *world) turnAway(lasts time.Duration) {
	for _, each := range w.balancers {
		if w.random.IntN(2) > 0 {
			continue
		}
		each.refused = true
		w.net.At(w.net.Now()+lasts, func() { each.refused = false })
	}
}

// turnedAway reports whether the store refuses the calls of a node.
func (w *world) turnedAway(node simnet.NodeID) bool {
	return slices.ContainsFunc(w.balancers, func(each *balancerNode) bool { return each.id == node && each.refused })
}

// cutBalancer keeps a balancer from all daemons and the store; the fabric still
// reaches it.
func (w *world) cutBalancer(lasts time.Duration) {
	if victim, exists := pick(w, w.runningBalancers()); exists {
		victim.cut = true
		w.cutOff[victim.ip] = true
		w.net.At(w.net.Now()+lasts, func() {
			victim.cut = false
			delete(w.cutOff, victim.ip)
		})
	}
}

// powerLoss stops every machine; all come back together, without memory.
func (w *world) powerLoss(away time.Duration) {
	w.disturb(away)
	for _, each := range w.balancers {
		w.net.Stop(each.id)
		w.net.At(w.net.Now()+away, each.restart)
	}
	for _, each := range w.sides {
		if each.gone {
			continue
		}
		w.net.Stop(each.agent.id)
		each.endpoint.crash(away)
		w.net.At(w.net.Now()+away, each.agent.restart)
	}
}
