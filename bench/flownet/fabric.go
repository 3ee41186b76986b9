package flownet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// probeInterval is how often the fabric probes the readiness of balancers. A balancer that
	// fails missedProbes successive probes is taken out of use.
	probeInterval = 500 * time.Millisecond
	missedProbes  = 2
)

// fabric simulates the routers of the hosting platform. It hashes flows over the ready
// balancers of the client's zone.
type fabric struct {
	world  *world
	missed map[*balancerNode]int
	inUse  map[*balancerNode]bool
}

func newFabric(w *world) *fabric {
	created := &fabric{world: w, missed: make(map[*balancerNode]int), inUse: make(map[*balancerNode]bool)}
	w.net.At(0, created.probeBalancers)
	return created
}

func (f *fabric) probeBalancers() {
	for _, each := range f.world.balancers {
		if each.ready() {
			f.missed[each] = 0
			f.inUse[each] = true
			continue
		}
		f.missed[each]++
		if f.missed[each] >= missedProbes {
			f.inUse[each] = false
		}
	}
	f.world.net.At(f.world.net.Now()+probeInterval, f.probeBalancers)
}

// route returns the balancer for a packet of a flow, or nil if there is none.
func (f *fabric) route(zone int, key segment.FlowKey) *balancerNode {
	candidates := f.zoneBalancers(zone)
	if len(candidates) == 0 {
		candidates = f.allInUse()
	}
	if len(candidates) == 0 {
		return nil
	}
	if f.world.options.Hash == HashModulo {
		return candidates[key.Hash()%uint64(len(candidates))]
	}
	return rendezvous(candidates, key)
}

// zoneBalancers returns the balancers of a zone that are in use. If some are in use but fewer
// than half, it returns all balancers of the zone.
func (f *fabric) zoneBalancers(zone int) []*balancerNode {
	var all, in []*balancerNode
	for _, each := range f.world.balancers {
		if each.zone != zone || each.removed {
			continue
		}
		all = append(all, each)
		if f.inUse[each] {
			in = append(in, each)
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

func (f *fabric) allInUse() []*balancerNode {
	var in []*balancerNode
	for _, each := range f.world.balancers {
		if f.inUse[each] {
			in = append(in, each)
		}
	}
	return in
}

// rendezvous returns the balancer with the highest hash of flow and balancer. If a balancer
// is added or removed, only its own flows move.
func rendezvous(candidates []*balancerNode, key segment.FlowKey) *balancerNode {
	var best *balancerNode
	var highest uint64
	for _, each := range candidates {
		digest := xxhash.NewWithSeed(key.Hash())
		_, _ = digest.Write(each.ip[:])
		if score := digest.Sum64(); best == nil || score > highest {
			best, highest = each, score
		}
	}
	return best
}
