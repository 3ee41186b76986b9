package flownet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// probeInterval is how often the fabric asks balancers whether they are
	// ready; one that misses missedProbes in a row is out.
	probeInterval = 500 * time.Millisecond
	missedProbes  = 2
)

// fabric stands in for the platform's routers: it hashes flows over the ready
// balancers of the client's zone.
type fabric struct {
	world  *world
	missed map[*balancerNode]int
	in     map[*balancerNode]bool
}

func newFabric(w *world) *fabric {
	created := &fabric{world: w, missed: make(map[*balancerNode]int), in: make(map[*balancerNode]bool)}
	w.net.At(0, created.probe)
	return created
}

func (f *fabric) probe() {
	for _, each := range f.world.balancers {
		if each.ready() {
			f.missed[each] = 0
			f.in[each] = true
			continue
		}
		f.missed[each]++
		if f.missed[each] >= missedProbes {
			f.in[each] = false
		}
	}
	f.world.net.At(f.world.net.Now()+probeInterval, f.probe)
}

// route returns the balancer for a packet of a flow, nil if there is none.
func (f *fabric) route(zone int, key segment.FlowKey) *balancerNode {
	candidates := f.members(zone)
	if len(candidates) == 0 {
		candidates = f.anywhere()
	}
	if len(candidates) == 0 {
		return nil
	}
	if f.world.options.Hash == HashModulo {
		return candidates[key.Hash()%uint64(len(candidates))]
	}
	return steadiest(candidates, key)
}

// members returns the balancers in use of a zone: all of them if fewer than
// half are in.
func (f *fabric) members(zone int) []*balancerNode {
	var all, in []*balancerNode
	for _, each := range f.world.balancers {
		if each.zone != zone || each.removed {
			continue
		}
		all = append(all, each)
		if f.in[each] {
			in = append(in, each)
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

func (f *fabric) anywhere() []*balancerNode {
	var in []*balancerNode
	for _, each := range f.world.balancers {
		if f.in[each] {
			in = append(in, each)
		}
	}
	return in
}

// steadiest returns the balancer with the highest hash, so that a balancer that
// comes or goes moves only its own flows.
func steadiest(candidates []*balancerNode, key segment.FlowKey) *balancerNode {
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
