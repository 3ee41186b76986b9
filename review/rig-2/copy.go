//go:build review2

package main

import (
	"fmt"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

func init() { cases["copy"] = copyAfterChange }

const (
	// rollbackSlack is how long a machine may still act by an older version.
	rollbackSlack = 250 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// routed is a route and its service.
type routed struct {
	address segment.Address
	service string
}

// copyAfterChange kills the agent of the only endpoint of a service while a client opens a flow, and
// drops the route of that flow meanwhile. The client's last copy of the opening packet is sent after
// another endpoint has seen the effect of the change. No endpoint may take it.
func copyAfterChange(r *rig) bool {
	const machines = 3
	r.balancers = 2
	before := []routed{{keptRoute, "huvo11a"}, {droppedRoute, "wuno96b"}}
	after := []routed{{keptRoute, "huvo11a"}, {addedRoute, "huvo11a"}}
	r.store.put(wire["configuration-key"], routedConfiguration(10, before))
	var agents []*process
	for number := range machines {
		service := []string{"huvo11a", "huvo11a", "wuno96b"}[number]
		agents = append(agents, r.startAgent(number, service, true))
		r.startEndpoint(fmt.Sprintf("i-%08d", number), service, number).publish("ready")
	}
	for number := range r.balancers {
		r.startBalancer(number, true)
	}
	for number := range r.balancers {
		r.awaitReady(number)
	}
	time.Sleep(6 * time.Second)
	caller, other := r.startClient(0), r.startClient(1)
	via := func() int { return 0 }
	for _, route := range before {
		if _, _, result := caller.get(route.address, via); result != answered {
			panic("the system does not serve before the case begins")
		}
	}
	if r.trouble {
		r.kill(agents[machines-1])
		time.AfterFunc(restartDelay, func() { r.startAgent(machines-1, "wuno96b", false) })
	}
	type ending struct {
		openedBy int
		result   outcome
		id       string
	}
	ended := make(chan ending, 1)
	began := time.Now()
	go func() {
		f, result := caller.open(droppedRoute, via)
		copies := f.sent
		r.log("flow %s to the dropped route, after %d opening packets: %s", f.key.Client, copies, result)
		id := ""
		if result == answered {
			id, _, result = f.request(2500 * time.Millisecond)
		}
		f.close()
		ended <- ending{copies, result, id}
	}()
	time.Sleep(20 * time.Millisecond)
	r.store.put(wire["configuration-key"], routedConfiguration(13, after))
	r.log("version 13 is acknowledged; it drops %s and adds %s", droppedRoute, addedRoute)
	var effect time.Duration
	for time.Since(began) < 500*time.Millisecond {
		if _, _, result := other.get(addedRoute, via); result == answered {
			effect = time.Since(began)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if effect == 0 {
		panic("version 13 is not in force in time")
	}
	r.log("an endpoint has run a request to %s, through balancer-0, %d ms after the first opening packet", addedRoute, effect.Milliseconds())
	result := <-ended
	sent := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}[result.openedBy-1]
	r.log("request %q to the dropped route: %s; its flow was opened by a packet that was sent %d ms after the first one", result.id, result.result, sent.Milliseconds())
	return result.result != answered || sent-effect <= rollbackSlack
}

// routedConfiguration returns a configuration with the given routes.
func routedConfiguration(version int, routes []routed) []byte {
	text := ""
	for number, route := range routes {
		if number > 0 {
			text += ","
		}
		text += fmt.Sprintf(wire["routed"],
			number, route.address.IP[0], route.address.IP[1], route.address.IP[2], route.address.IP[3], route.address.Port, route.service)
	}
	return fmt.Appendf(nil, wire["configuration"],
		version, text)
}
