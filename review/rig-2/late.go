//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["late"] = late }

const (
	// cutTime is how long the watchers are partitioned from the store; the pages have cuts of 5.5 s.
	cutTime = 3 * time.Second
	// lateSlack is added to the bound of the rule, in favor of the system.
	lateSlack = 50 * time.Millisecond
	// lateStay is how long the endpoints serve after their entries have gone.
	lateStay = 6 * time.Second
	// callEvery is the time between two requests of the clients.
	callEvery = 25 * time.Millisecond
)

// late partitions the two balancers that watch the store while two of four endpoints leave without
// notice, and cuts one watch of the third balancer, which nothing else disturbs. The third balancer
// must not give the endpoints new flows later than the bound.
func late(r *rig) bool {
	const machines = 4
	r.balancers = 3
	r.store.put(wire["configuration-key"], configuration(10, 14, keptRoute))
	var endpoints []*endpoint
	for number := range machines {
		r.startAgent(number, "huvo11a", true)
		e := r.startEndpoint(fmt.Sprintf("i-%08d", number), "huvo11a", number)
		e.publish("ready")
		endpoints = append(endpoints, e)
	}
	for number := range r.balancers {
		r.startBalancer(number, true)
	}
	for number := range r.balancers {
		r.awaitReady(number)
	}
	time.Sleep(5 * time.Second)
	r.store.resetWatches()
	time.Sleep(5 * time.Second)
	watchers := r.store.watchers(2)
	if len(watchers) != 2 {
		panic(fmt.Sprintf("balancers %v watch the store, not two of three", watchers))
	}
	third := r.balancers * (r.balancers - 1) / 2
	for _, watcher := range watchers {
		third -= watcher
	}
	r.log("balancers %v watch the store; balancer-%d does not", watchers, third)
	leaving := endpoints[machines-2:]

	var mutex sync.Mutex
	var gone time.Time
	lateOpenings, last := 0, time.Duration(0)
	r.onOpening = func(e *endpoint) {
		mutex.Lock()
		defer mutex.Unlock()
		if gone.IsZero() || e != leaving[0] && e != leaving[1] {
			return
		}
		last = time.Since(gone)
		if last > drainBound+lateSlack {
			lateOpenings++
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for number := range 4 {
		caller := r.startClient(number)
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(callEvery):
					caller.get(keptRoute, func() int { return third })
				}
			}
		})
	}
	time.Sleep(time.Second)
	var once sync.Once
	confirmed := make(chan struct{})
	r.store.mutex.Lock()
	r.store.confirmed = func(int) { once.Do(func() { close(confirmed) }) }
	r.store.mutex.Unlock()
	<-confirmed
	time.Sleep(10 * time.Millisecond)
	if r.trouble {
		r.store.partition(true, watchers...)
		r.store.cutNextWatch(third)
		r.log("balancers %v are partitioned from the store; the next watch of balancer-%d will be cut", watchers, third)
	}
	mutex.Lock()
	gone = time.Now()
	mutex.Unlock()
	for _, e := range leaving {
		r.store.remove("servers/" + e.id)
	}
	r.log("the entries of endpoints %s and %s are gone; they serve on", leaving[0].id, leaving[1].id)
	time.Sleep(cutTime)
	if r.trouble {
		r.store.partition(false, watchers...)
		r.log("the partition is over")
	}
	time.Sleep(time.Until(gone.Add(lateStay)))
	close(stop)
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	r.log("the last opening packet came to one of the two %d ms after their entries had gone; %d came later than %s", last.Milliseconds(), lateOpenings, drainBound+lateSlack)
	return lateOpenings == 0
}

func (s *store) resetWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.longWatches)
}
