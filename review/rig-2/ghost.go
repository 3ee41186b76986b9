//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["ghost"] = ghost }

const (
	// drainBound is the bound of the rule on draining.
	drainBound = 3 * time.Second
	// heldAnswer is how long the cut holds up the answer of the store to one balancer. The pages
	// have cuts of up to 5.5 s.
	heldAnswer = 700 * time.Millisecond
	// leavesAfter is when an endpoint leaves, counted from the listing whose answer is held up, and
	// secondStart when the second balancer starts again.
	leavesAfter = 150 * time.Millisecond
	secondStart = 300 * time.Millisecond
	// servesOn is how long an endpoint serves after its entry has gone: DrainMs and many seconds.
	servesOn = 25 * time.Second
)

// ghost kills all balancers. While they start, an endpoint leaves without notice, and the answer of
// the store to one of them is held up. Later no balancer may give that endpoint a new flow.
func ghost(r *rig) bool {
	const machines = 4
	r.balancers = 2
	r.store.put(wire["configuration-key"], configuration(10, 14, keptRoute))
	var endpoints []*endpoint
	for number := range machines {
		r.startAgent(number, "huvo11a", true)
		e := r.startEndpoint(fmt.Sprintf("i-%08d", number), "huvo11a", number)
		e.publish("ready")
		endpoints = append(endpoints, e)
	}
	var balancers []*process
	for number := range r.balancers {
		balancers = append(balancers, r.startBalancer(number, true))
	}
	for number := range r.balancers {
		r.awaitReady(number)
	}
	time.Sleep(6 * time.Second)
	caller := r.startClient(0)
	via := func(number int) func() int { return func() int { return number } }
	for range 20 {
		for number := range r.balancers {
			if _, _, result := caller.get(keptRoute, via(number)); result != answered {
				panic("the system does not serve before the case begins")
			}
		}
	}
	leaving := endpoints[machines-2]
	if r.trouble {
		for _, each := range balancers {
			r.kill(each)
		}
		r.store.hold(0, heldAnswer)
		var once sync.Once
		listed := make(chan struct{})
		r.store.listed = func(balancer int) {
			r.log("the store has settled an answer to a listing by balancer-%d", balancer)
			if balancer == 0 {
				once.Do(func() { close(listed) })
			}
		}
		time.Sleep(300 * time.Millisecond)
		r.startBalancer(0, false)
		<-listed
		r.log("the answer to balancer-0 is held up for %s", heldAnswer)
		time.Sleep(leavesAfter)
	}
	r.store.remove("servers/" + leaving.id)
	gone := time.Now()
	r.log("the entry of endpoint %s is gone; the endpoint serves on", leaving.id)
	if r.trouble {
		time.Sleep(secondStart - leavesAfter)
		r.startBalancer(1, false)
		time.Sleep(time.Until(gone.Add(heldAnswer)))
		r.store.hold(0, 0)
		r.log("answers of the store are no longer held up")
		for number := range r.balancers {
			r.awaitReady(number)
		}
	}
	time.Sleep(max(contact, drainBound) + slack)
	before := r.openingsAt(leaving)
	result := make(map[outcome]int)
	for range 60 {
		for number := range r.balancers {
			_, _, each := caller.get(keptRoute, via(number))
			result[each]++
		}
		if time.Since(gone) > servesOn {
			break
		}
	}
	late := r.openingsAt(leaving) - before
	r.log("%v; endpoint %s got %d opening packets later than %s after its entry had gone", result, leaving.id, late, drainBound)
	return late == 0
}

// openingsAt returns how many flows an endpoint was given.
func (r *rig) openingsAt(e *endpoint) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, at := range r.openings {
		for _, each := range at {
			if each == e {
				count++
			}
		}
	}
	return count
}
