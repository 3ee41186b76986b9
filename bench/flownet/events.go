package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
)

// scheduledEvent is one kind of event of a schedule.
type scheduledEvent struct {
	name string
	// duration is how long the fault lasts. Guarantees with a time bound are suspended for
	// this duration plus contactTime. It is zero for planned work, which suspends nothing.
	duration time.Duration
	apply    func(w *world)
}

const outageTime = 3 * time.Second

func eventKinds() []scheduledEvent {
	return []scheduledEvent{
		{"balancer killed", outageTime, func(w *world) { w.killBalancer(outageTime) }},
		{"balancer stopped as planned", 0, func(w *world) { w.stopBalancer() }},
		{"balancer added", 0, func(w *world) { w.addBalancer(w.random.IntN(len(w.options.Shape.Zones))) }},
		{"balancer paused", outageTime, func(w *world) { w.pauseBalancer(outageTime) }},
		{"agent killed", outageTime, func(w *world) { w.killAgent(time.Second) }},
		{"agent stopped as planned", 0, func(w *world) { w.stopAgent() }},
		{"endpoint replaced", 0, func(w *world) { w.replaceEndpoint() }},
		{"endpoint leaves without notice", 0, func(w *world) { w.leaveSilently() }},
		{"endpoint crashed", outageTime, func(w *world) { w.crashEndpoint(outageTime) }},
		{"endpoint slow", 0, func(w *world) { w.slowEndpoint(4, outageTime) }},
		{"zone closed", 0, func(w *world) { w.closeZone(false) }},
		{"zone closed, cold at its end", 0, func(w *world) { w.closeZone(true) }},
		{"route added", 0, func(w *world) { w.addRoute() }},
		{"route dropped", 0, func(w *world) { w.dropRoute() }},
		{"store busy", outageTime, func(w *world) { w.storeState(storeBusy, outageTime) }},
		{"store throttles", outageTime, func(w *world) { w.storeState(storeThrottling, outageTime) }},
		{"store silent", outageTime, func(w *world) { w.storeState(storeSilent, outageTime) }},
		{"store slow", outageTime, func(w *world) { w.slowStore(outageTime) }},
		{"store forgets history", time.Second, func(w *world) { w.store.compact() }},
		{"store connections silent", time.Second, func(w *world) { w.store.silenceWatches() }},
		{"balancer cut off", outageTime, func(w *world) { w.isolateBalancer(outageTime) }},
		{"store cut from a balancer", outageTime, func(w *world) { w.disconnectStore(outageTime) }},
		{"store turns balancers away", outageTime, func(w *world) { w.rejectBalancers(outageTime) }},
	}
}

// pickRandom returns a random element, or false if the slice is empty.
func pickRandom[T any](w *world, from []T) (T, bool) {
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

func (w *world) servingHosts() []*endpointHost {
	return slices.DeleteFunc(slices.Clone(w.endpointHosts), func(s *endpointHost) bool {
		return s.removed || s.draining || w.net.Stopped(s.agent.id) || w.net.Stopped(s.endpoint.id)
	})
}

func (w *world) killBalancer(away time.Duration) {
	if victim, exists := pickRandom(w, w.runningBalancers()); exists {
		w.net.Stop(victim.id)
		w.net.At(w.net.Now()+away, victim.restart)
	}
}

// stopBalancer shuts a balancer down gracefully and restarts it.
func (w *world) stopBalancer() {
	victim, exists := pickRandom(w, w.runningBalancers())
	if !exists {
		return
	}
	victim.stopping = true
	w.net.At(w.net.Now()+balancerStopTime, func() { w.net.Stop(victim.id) })
	w.net.At(w.net.Now()+balancerStopTime+restartDelay, victim.restart)
}

func (w *world) pauseBalancer(lasts time.Duration) {
	if victim, exists := pickRandom(w, w.runningBalancers()); exists {
		w.net.Pause(victim.id)
		w.net.At(w.net.Now()+lasts, func() {
			if !w.net.Stopped(victim.id) {
				w.net.Resume(victim.id)
			}
		})
	}
}

func (w *world) killAgent(away time.Duration) {
	if victim, exists := pickRandom(w, w.servingHosts()); exists {
		w.net.Stop(victim.agent.id)
		w.net.At(w.net.Now()+away, victim.agent.restart)
	}
}

// stopAgent shuts an agent down gracefully and restarts it.
func (w *world) stopAgent() {
	victim, exists := pickRandom(w, w.servingHosts())
	if !exists {
		return
	}
	victim.agent.execute(victim.agent.logic.Stop(w.net.Now()))
	w.net.At(w.net.Now()+agentStopTime, func() { w.net.Stop(victim.agent.id) })
	w.net.At(w.net.Now()+agentStopTime+restartDelay, victim.agent.restart)
}

func (w *world) replaceEndpoint() {
	if victim, exists := pickRandom(w, w.servingHosts()); exists {
		w.addEndpointHost(victim.service, victim.zone, false)
		w.net.At(w.net.Now()+time.Second, victim.drain)
	}
}

// leaveSilently replaces an endpoint that leaves without draining first.
func (w *world) leaveSilently() {
	if victim, exists := pickRandom(w, w.servingHosts()); exists {
		w.addEndpointHost(victim.service, victim.zone, false)
		w.net.At(w.net.Now()+time.Second, victim.leave)
	}
}

// pauseWatchers pauses the balancers that watch the store, for good, and makes two thirds of the
// endpoints of each service leave without draining first. The other balancers are not disturbed, so
// the guarantees with a time bound apply.
func (w *world) pauseWatchers() {
	for _, each := range w.runningBalancers() {
		if each.disseminator.Watching() {
			w.net.Pause(each.id)
		}
	}
	w.leaveWithoutNotice(2.0 / 3)
}

// leaveWithoutNotice makes a share of the endpoints of each service leave without draining first. The
// share is rounded up.
func (w *world) leaveWithoutNotice(share float64) {
	left := make(map[string]int)
	for _, each := range w.servingHosts() {
		if float64(left[each.service.Name]) < share*float64(each.service.Endpoints) {
			left[each.service.Name]++
			each.leave()
		}
	}
}

func (w *world) crashEndpoint(away time.Duration) {
	if victim, exists := pickRandom(w, w.servingHosts()); exists {
		victim.endpoint.crash(away)
	}
}

func (w *world) slowEndpoint(factor float64, lasts time.Duration) {
	if victim, exists := pickRandom(w, w.servingHosts()); exists {
		victim.endpoint.slowdown = factor
		w.net.At(w.net.Now()+lasts, func() { victim.endpoint.slowdown = 1 })
	}
}

// zoneClosedTime is how long a zone stays closed. It exceeds closeTime plus openTimeout, so
// that the checker can detect flows that open in a closed zone.
const zoneClosedTime = 7 * time.Second

// closeZone closes a zone to new flows for zoneClosedTime, unless another zone is closed or a
// service has no endpoint outside the zone. If cold is set, the endpoints of the zone are cold
// when it opens again.
func (w *world) closeZone(cold bool) {
	if len(w.checker.closedZones) > 0 {
		return
	}
	zone, _ := pickRandom(w, w.options.Shape.Zones)
	if !w.servedOutside(zone) {
		return
	}
	w.store.closeZone(zone, true)
	w.net.At(w.net.Now()+zoneClosedTime, func() {
		w.store.closeZone(zone, false)
		for _, each := range w.servingHosts() {
			if cold && each.zoneName == zone {
				each.endpoint.startCold()
			}
		}
	})
}

// servedOutside reports whether every service has a serving endpoint outside a zone.
func (w *world) servedOutside(zone string) bool {
	for _, service := range w.options.Shape.Services {
		served := slices.ContainsFunc(w.servingHosts(), func(s *endpointHost) bool {
			return s.service.Name == service.Name && s.zoneName != zone
		})
		if !served {
			return false
		}
	}
	return true
}

func (w *world) addRoute() {
	service, _ := pickRandom(w, w.options.Shape.Services)
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

// probeRoute sends requests to an added route until the traffic ends, also after the route
// is removed, to test which configuration is in force.
func (w *world) probeRoute(class RequestClass) {
	end := leadTime + w.options.Duration
	var next func()
	next = func() {
		if w.net.Now() >= end {
			return
		}
		host, _ := pickRandom(w, w.clients)
		host.startAttempt(w.checker.newProbe(class))
		w.net.At(w.net.Now()+probeInterval, next)
	}
	w.net.At(w.net.Now(), next)
}

// dropRoute removes the last added route. Routes of the scenario, which carry traffic, stay.
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
	w.store.extraDelay = 240 * time.Millisecond
	w.net.At(w.net.Now()+lasts, func() { w.store.extraDelay = 0 })
}

func (w *world) disconnectStore(lasts time.Duration) {
	if victim, exists := pickRandom(w, w.runningBalancers()); exists {
		victim.storeUnreachable = true
		w.net.At(w.net.Now()+lasts, func() { victim.storeUnreachable = false })
	}
}

// rejectBalancers makes the store reject the calls of about half of the balancers and serve
// the others.
func (w *world) rejectBalancers(lasts time.Duration) {
	for _, each := range w.balancers {
		if w.random.IntN(2) > 0 {
			continue
		}
		each.rejected = true
		w.net.At(w.net.Now()+lasts, func() { each.rejected = false })
	}
}

// rejectedByStore reports whether the store rejects the calls of a node.
func (w *world) rejectedByStore(node simnet.NodeID) bool {
	return slices.ContainsFunc(w.balancers, func(each *balancerNode) bool { return each.id == node && each.rejected })
}

// isolateBalancer disconnects a balancer from all daemons and from the store. The fabric
// still reaches it.
func (w *world) isolateBalancer(lasts time.Duration) {
	if victim, exists := pickRandom(w, w.runningBalancers()); exists {
		victim.storeUnreachable = true
		w.isolated[victim.ip] = true
		w.net.At(w.net.Now()+lasts, func() {
			victim.storeUnreachable = false
			delete(w.isolated, victim.ip)
		})
	}
}

// killBalancers kills all balancers and starts them again at the same time.
func (w *world) killBalancers(away time.Duration) {
	for _, each := range w.balancers {
		w.net.Stop(each.id)
		w.net.At(w.net.Now()+away, each.restart)
	}
}

// killAll kills all daemons and starts them again at the same time. Endpoints, also those that have
// left and still serve, live on.
func (w *world) killAll(away time.Duration) {
	w.suspendTimeBounds(away)
	w.killBalancers(away)
	for _, each := range w.endpointHosts {
		if w.net.Stopped(each.endpoint.id) {
			continue
		}
		w.net.Stop(each.agent.id)
		w.net.At(w.net.Now()+away, each.agent.restart)
	}
}

// powerLoss stops every machine. All start again at the same time, without their
// state.
func (w *world) powerLoss(away time.Duration) {
	w.suspendTimeBounds(away)
	w.killBalancers(away)
	for _, each := range w.endpointHosts {
		if each.removed {
			continue
		}
		w.net.Stop(each.agent.id)
		each.endpoint.crash(away)
		w.net.At(w.net.Now()+away, each.agent.restart)
	}
}
