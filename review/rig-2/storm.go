//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

func init() { cases["storm"] = storm }

const (
	// idleRoutes is the largest count of routes by which a configuration grows in the site files.
	idleRoutes = 1640
	// stormChanges and stormGap are those of a config_storm with gap_s = 0.06 and for_s = 1.5.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	// refusedFor is how long the store turns the balancers away; the pages have up to 9 s.
	refusedFor = 4 * time.Second
	// The bounds of the pages.
	configApply = 3 * time.Second
	contact     = 4 * time.Second
	// slack is added to the bounds, in favor of the system.
	slack = time.Second
)

var (
	keptRoute    = segment.Address{IP: [4]byte{198, 18, 0, 1}, Port: 8080}
	droppedRoute = segment.Address{IP: [4]byte{198, 18, 0, 2}, Port: 8080}
	addedRoute   = segment.Address{IP: [4]byte{198, 18, 0, 3}, Port: 8080}
)

// configuration returns a configuration in the form of the pages.
func configuration(version, idle int, routes ...segment.Address) []byte {
	var parts []string
	for number, route := range routes {
		parts = append(parts, fmt.Sprintf(wire["route"],
			number, route.IP[0], route.IP[1], route.IP[2], route.IP[3], route.Port))
	}
	for number := range idle {
		parts = append(parts, fmt.Sprintf(wire["idle-route"],
			number, number/250, number%250, 2000+version%100))
	}
	return fmt.Appendf(nil, wire["configuration"],
		version, strings.Join(parts, ","))
}

// storm plays a burst of changes of a large configuration while the store turns the balancers away.
// Afterwards no balancer may serve a route that the last change has dropped.
func storm(r *rig) bool {
	const machines = 4
	r.balancers = 2
	version := 10
	r.store.put(wire["configuration-key"], configuration(version, idleRoutes, keptRoute, droppedRoute))
	r.log("the configuration has %d bytes", len(configuration(version, idleRoutes, keptRoute, droppedRoute)))
	for number := range machines {
		service := []string{"huvo11a", "wuno96b"}[number/3]
		r.startAgent(number, service, true)
		r.startEndpoint(fmt.Sprintf("i-%08d", number), service, number).publish("ready")
	}
	for number := range r.balancers {
		r.startBalancer(number, true)
	}
	for number := range r.balancers {
		r.awaitReady(number)
	}
	time.Sleep(6 * time.Second)
	caller := r.startClient(0)
	via := func(number int) func() int { return func() int { return number } }
	for number := range r.balancers {
		for _, route := range []segment.Address{keptRoute, droppedRoute} {
			id, body, result := caller.get(route, via(number))
			r.log("before: request %s to %s by balancer-%d: %s %q", id, route, number, result, lastLine(body))
			if result != answered {
				panic("the system does not serve before the case begins")
			}
		}
	}
	if r.trouble {
		for number := range r.balancers {
			r.store.refuse(true, number)
		}
		r.log("the store turns the balancers away (503)")
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	for change := range stormChanges {
		version += 3
		routes := []segment.Address{keptRoute, droppedRoute}
		if change == stormChanges-1 {
			routes = []segment.Address{keptRoute, addedRoute}
		}
		r.store.put(wire["configuration-key"], configuration(version, idleRoutes, routes...))
		time.Sleep(stormGap)
	}
	acknowledged := time.Now()
	r.log("the store has acknowledged %d changes; the last, version %d, drops %s and adds %s", stormChanges, version, droppedRoute, addedRoute)
	time.Sleep(time.Until(began.Add(refusedFor)))
	if r.trouble {
		for number := range r.balancers {
			r.store.refuse(false, number)
		}
		r.log("the store serves the balancers again")
	}
	served := time.Now()
	time.Sleep(max(time.Until(acknowledged.Add(configApply+slack)), time.Until(served.Add(contact+slack))))
	held := true
	for range 5 {
		for number := range r.balancers {
			for _, route := range []segment.Address{keptRoute, droppedRoute, addedRoute} {
				sent := time.Since(acknowledged)
				id, body, result := caller.get(route, via(number))
				r.log("%.1f s after the acknowledgment: request %s to %s by balancer-%d: %s %q", sent.Seconds(), id, route, number, result, lastLine(body))
				if route == droppedRoute && result == answered || route == addedRoute && result == refused {
					held = false
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return held
}

func lastLine(body string) string { return body[strings.LastIndex(body, "\n")+1:] }
