package soak

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// probeInterval is the time between two health probes of a balancer, and probeTimeout the
	// longest time one may take.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// missedProbes is the number of failed probes in a row after which a balancer counts as
	// not ready.
	missedProbes = 2
)

// fabric simulates the platform's routers. It spreads flows over the ready balancers of the
// client's zone by rendezvous hashing (highest random weight, Thaler and Ravishankar 1998).
type fabric struct {
	network network
	client  *http.Client

	mutex  sync.Mutex
	missed []int
}

func newFabric(n network, balancers int) *fabric {
	return &fabric{network: n, client: &http.Client{Timeout: probeTimeout}, missed: make([]int, balancers)}
}

// probe requests the health of every balancer each probeInterval until ctx ends.
func (f *fabric) probe(ctx context.Context) {
	for {
		for number := range f.missed {
			go f.probeOne(ctx, number)
		}
		if !sleep(ctx, probeInterval) {
			return
		}
	}
}

func (f *fabric) probeOne(ctx context.Context, number int) {
	target := "http://" + f.network.addrPort(netBalancers, number, healthPort).String() + "/healthz"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return
	}
	ready := false
	if response, failed := f.client.Do(request); failed == nil {
		ready = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ready {
		f.missed[number] = 0
		return
	}
	f.missed[number]++
}

// ready returns the number of ready balancers.
func (f *fabric) ready() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, missed := range f.missed {
		if missed < missedProbes {
			count++
		}
	}
	return count
}

// route returns the balancer address for a packet of a flow from a zone. If at least half of the
// zone's balancers are ready, it chooses among these. If fewer are, it chooses among all balancers
// of the zone, ready or not. If none is ready, it chooses among the ready balancers of the other
// zones, if there are any. It returns false if there is no balancer to choose.
func (f *fabric) route(zone int, key segment.FlowKey) (netip.AddrPort, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var allInZone, readyInZone, ready []int
	for number, missed := range f.missed {
		if missed < missedProbes {
			ready = append(ready, number)
		}
		if number%zoneCount != zone {
			continue
		}
		allInZone = append(allInZone, number)
		if missed < missedProbes {
			readyInZone = append(readyInZone, number)
		}
	}
	candidates := readyInZone
	switch {
	case len(readyInZone) == 0 && len(ready) > 0:
		candidates = ready
	case 2*len(readyInZone) < len(allInZone):
		candidates = allInZone
	}
	chosen, weight := -1, uint64(0)
	for _, number := range candidates {
		if scored := mix(key.Hash() ^ uint64(number+1)*0x9e3779b97f4a7c15); chosen < 0 || scored > weight {
			chosen, weight = number, scored
		}
	}
	return f.network.addrPort(netBalancers, max(chosen, 0), packetPort), chosen >= 0
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
