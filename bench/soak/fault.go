package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/platform/platformtest"
)

// fault is something that happens during a run. Its run returns when it is over, or
// when ctx ends.
type fault struct {
	name string
	// calm is set for planned work, under which the rules with a time bound hold.
	calm bool
	run  func(ctx context.Context, w *world, random *rand.Rand)
}

// faults are all that a schedule draws from.
var faults = []fault{
	{name: "balancer killed", run: func(_ context.Context, w *world, random *rand.Rand) {
		w.anyBalancer(random).kill(between(random, 0, 2*time.Second))
	}},
	{name: "balancer paused", run: func(ctx context.Context, w *world, random *rand.Rand) {
		freeze(ctx, w.anyBalancer(random), between(random, 200*time.Millisecond, 4*time.Second))
	}},
	{name: "balancer stopped", calm: true, run: func(_ context.Context, w *world, random *rand.Rand) {
		w.anyBalancer(random).stop()
	}},
	{name: "balancers reload", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		for _, balancer := range w.balancers {
			balancer.reload()
		}
	}},
	{name: "agent killed", run: func(_ context.Context, w *world, random *rand.Rand) {
		w.anySide(random).agent.kill(between(random, 0, 2*time.Second))
	}},
	{name: "agent paused", run: func(ctx context.Context, w *world, random *rand.Rand) {
		freeze(ctx, w.anySide(random).agent, between(random, 200*time.Millisecond, 3*time.Second))
	}},
	{name: "endpoint crashes", run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.crash(ctx, w.takeSide(random), between(random, 300*time.Millisecond, 3*time.Second), random.IntN(2) == 0)
	}},
	{name: "endpoint fails", run: illnessFault(illnessFails)},
	{name: "endpoint hangs", run: illnessFault(illnessHangs)},
	{name: "endpoint returns all", run: illnessFault(illnessReturns)},
	{name: "endpoint replaced", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.replace(ctx, w.takeSide(random))
	}},
	{name: "another writer", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.putRubbish(random)
	}},
	{name: "configuration changes", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.configure()
	}},
	{name: "store link delayed", run: linkFault(ProxyDelayed)},
	{name: "store link deaf", run: linkFault(ProxyResponsesBlocked)},
	{name: "store link mute", run: linkFault(ProxyRequestsBlocked)},
	{name: "store link silent", run: linkFault(ProxyBlocked)},
	{name: "store links reset", run: func(ctx context.Context, w *world, random *rand.Rand) {
		for _, link := range w.links {
			link.Reset()
		}
	}},
	{name: "store connections silent", run: func(ctx context.Context, w *world, random *rand.Rand) {
		for _, link := range w.links {
			link.StallOpen()
		}
	}},
	{name: "zone closed", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.closeZone(ctx, random.IntN(zoneCount))
	}},
	{name: "store busy", run: storeFault(platformtest.Unavailable)},
	{name: "store throttles", run: storeFault(platformtest.Throttling)},
	{name: "store silent", run: storeFault(platformtest.Unresponsive)},
	{name: "store forgets", run: func(ctx context.Context, w *world, random *rand.Rand) { w.store.Compact() }},
	{name: "all balancers killed", run: func(ctx context.Context, w *world, random *rand.Rand) {
		for _, balancer := range w.balancers {
			balancer.kill(0)
		}
	}},
	{name: "all processes killed", run: func(ctx context.Context, w *world, random *rand.Rand) { w.killAll() }},
	{name: "all processes killed twice", run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.killAll()
		pause(ctx, between(random, time.Second, 8*time.Second))
		w.killAll()
	}},
	{name: "burst", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.burst(ctx, random, between(random, time.Second, 3*time.Second))
	}},
	{name: "kept flows ask at once", calm: true, run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.askAtOnce(random)
	}},
	{name: "all processes killed in a burst", run: func(ctx context.Context, w *world, random *rand.Rand) {
		w.askAtOnce(random)
		w.burst(ctx, random, between(random, 300*time.Millisecond, keptRest+300*time.Millisecond))
		w.killAll()
		w.burst(ctx, random, 2*time.Second)
	}},
}

// between draws a duration.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func freeze(ctx context.Context, victim *daemon, lasts time.Duration) {
	victim.setPaused(true)
	pause(ctx, lasts)
	victim.setPaused(false)
}

// linkFault lets the links of one or more balancers to the store fail.
func linkFault(mode ProxyMode) func(context.Context, *world, *rand.Rand) {
	return func(ctx context.Context, w *world, random *rand.Rand) {
		victims := random.Perm(len(w.links))[:1+random.IntN(len(w.links))]
		lasts := between(random, time.Second, 6*time.Second)
		for _, victim := range victims {
			w.links[victim].SetMode(mode)
		}
		pause(ctx, lasts)
		for _, victim := range victims {
			w.links[victim].SetMode(ProxyForwarding)
		}
	}
}

// illnessFault makes an endpoint ill for a while, which its entry in the store does not
// show.
func illnessFault(ill illness) func(context.Context, *world, *rand.Rand) {
	return func(ctx context.Context, w *world, random *rand.Rand) {
		victim := w.endpointOf(w.anySide(random))
		lasts := between(random, time.Second, 6*time.Second)
		victim.setIllness(ill)
		pause(ctx, lasts)
		victim.setIllness(illnessNone)
	}
}

func storeFault(mode platformtest.Mode) func(context.Context, *world, *rand.Rand) {
	return func(ctx context.Context, w *world, random *rand.Rand) {
		lasts := between(random, time.Second, 6*time.Second)
		w.store.SetMode(mode)
		pause(ctx, lasts)
		w.store.SetMode(platformtest.Serving)
	}
}

// planned is a fault with its time.
type planned struct {
	at    time.Duration
	fault fault
	seed  uint64
}

// schedule draws the faults of a run. It depends on its arguments alone.
func schedule(seed uint64, from, to time.Duration, count int) []planned {
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := make([]planned, count)
	for index := range drawn {
		drawn[index] = planned{
			at: between(random, from, to), fault: faults[random.IntN(len(faults))], seed: random.Uint64(),
		}
	}
	slices.SortFunc(drawn, func(a, b planned) int { return int(a.at - b.at) })
	return drawn
}
