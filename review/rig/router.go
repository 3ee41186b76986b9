//go:build review

package main

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// router stands in for the platform's routers. Twice a second it asks each balancer whether it is
// ready, and a balancer that misses two calls is out until it answers 200 again. It hashes the four
// addresses and ports of a flow over the balancers that are in, and over all of them if fewer than
// half are in.
type router struct {
	d      *deployment
	http   *http.Client
	mutex  sync.Mutex
	missed []int
	// seen is set once a balancer has answered 200.
	seen []bool
}

func newRouter(ctx context.Context, d *deployment, balancers int) *router {
	created := &router{d: d, http: &http.Client{Timeout: 450 * time.Millisecond}, missed: make([]int, balancers), seen: make([]bool, balancers)}
	go created.run(ctx)
	return created
}

func (r *router) run(ctx context.Context) {
	for ctx.Err() == nil {
		for number := range r.missed {
			go r.ask(ctx, number)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) ask(ctx context.Context, number int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.d.at(kindBalancer, number, r.d.ports.ready).String()+"/healthz", http.NoBody)
	if err != nil {
		return
	}
	ready := false
	if response, err := r.http.Do(request); err == nil {
		ready = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ready {
		r.missed[number], r.seen[number] = 0, true
		return
	}
	r.missed[number]++
}

func (r *router) readyCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for number, missed := range r.missed {
		if r.seen[number] && missed < 2 {
			count++
		}
	}
	return count
}

// route returns the balancer that gets the packets of a flow now.
func (r *router) route(key segment.FlowKey) (netip.AddrPort, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var in, all []int
	for number, missed := range r.missed {
		all = append(all, number)
		if missed < 2 {
			in = append(in, number)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	chosen, weight := 0, uint64(0)
	for _, number := range in {
		scored := (key.Hash() ^ uint64(number+1)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
		scored ^= scored >> 31
		if scored >= weight {
			chosen, weight = number, scored
		}
	}
	return r.d.at(kindBalancer, chosen, r.d.ports.datagram), chosen
}
