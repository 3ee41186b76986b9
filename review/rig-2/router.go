//go:build review2

package main

import (
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// probeInterval is the time between two readiness calls of the platform, and missedProbes how many
	// of them a daemon misses before it is out.
	probeInterval = 500 * time.Millisecond
	missedProbes  = 2
)

// router is the platform's router with the scheme `steady` (highest random weight).
type router struct {
	rig    *rig
	mutex  sync.Mutex
	missed []int
}

func (r *rig) startRouter() *router {
	started := &router{rig: r, missed: make([]int, r.balancers)}
	go func() {
		for range time.Tick(probeInterval) {
			for number := range r.balancers {
				go started.probe(number)
			}
		}
	}()
	return started
}

func (t *router) probe(number int) {
	ready := t.rig.ready("http://" + t.rig.at(t.rig.balancerIP(number), portReady).String() + "/healthz")
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.missed[number] < missedProbes
	if ready {
		t.missed[number] = 0
	} else {
		t.missed[number]++
	}
	if after := t.missed[number] < missedProbes; after != before {
		t.rig.log("router: balancer-%d is in: %t", number, after)
	}
}

// route returns the balancer for the packets of a flow. With fewer than half of them in, it uses all.
func (t *router) route(key segment.FlowKey) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	in := 0
	for _, missed := range t.missed {
		if missed < missedProbes {
			in++
		}
	}
	chosen, weight := 0, uint64(0)
	for number, missed := range t.missed {
		if missed >= missedProbes && 2*in >= len(t.missed) {
			continue
		}
		if scored := mix(key.Hash() ^ uint64(number+1)*0x9e3779b97f4a7c15); scored > weight {
			chosen, weight = number, scored
		}
	}
	return chosen
}

// primary returns the balancer for the packets of a flow while all balancers are in.
func (t *router) primary(key segment.FlowKey) int {
	all := &router{missed: make([]int, len(t.missed))}
	return all.route(key)
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
