package placement_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/placement"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	slotsEach = 4
	zones     = 3
	// One endpoint in slowEach has slowSpeed of the others' speed.
	slowEach  = 4
	slowSpeed = 0.46
	// One request in tailEach takes tailTimes as long.
	tailEach  = 33
	tailTimes = 7
	usualWork = 40 * time.Millisecond
	// spread is the standard deviation of the logarithm of the work.
	spread    = 0.47
	objective = 300 * time.Millisecond

	wayWithin   = 300 * time.Microsecond
	wayBetween  = 1200 * time.Microsecond
	wayOfClient = 1300 * time.Microsecond
	// returnLimit is the number of returns after which an endpoint has to take a flow.
	returnLimit = 3
	warmUp      = time.Second
)

// load is what a replay brings about.
type load struct {
	endpoints, balancers int
	// rate is the number of flows a second of a zone's clients.
	rate func(now time.Duration, zone int) float64
	// closed tells which zone gets no flows, none if it is negative.
	closed int
	lasts  time.Duration
	seed   uint64
}

// swinging is a demand that swings in all zones alike.
func swinging(perSecond float64) func(time.Duration, int) float64 {
	return func(now time.Duration, _ int) float64 {
		return perSecond / zones * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
	}
}

// view is what one balancer knows of one endpoint.
type view struct {
	balancer    int
	endpoint    *endpoint
	local       bool
	outstanding int
	used        int
	pace        time.Duration
	news        placement.LoadReport
}

// chooser decides where a balancer places a flow.
type chooser interface {
	choose(now time.Duration, views []*view, random *rand.Rand) *view
	// told is called with what an agent tells.
	told(now time.Duration, told *view, own int, views []*view)
}

type endpoint struct {
	zone    int
	speed   float64
	working int
	pending int
	given   int
	waiting []request
	meter   placement.ProcessingTimeEstimator
}

// request waits at its endpoint.
type request struct {
	began time.Duration
	start func(now time.Duration)
}

// next removes and returns the request that is served next: the newest that can be answered
// in time or, if there is none, the oldest.
func (e *endpoint) next(now time.Duration) request {
	chosen := 0
	for index := len(e.waiting) - 1; index > 0; index-- {
		if now-e.waiting[index].began+e.meter.Estimate() <= objective {
			chosen = index
			break
		}
	}
	next := e.waiting[chosen]
	e.waiting = slices.Delete(e.waiting, chosen, chosen+1)
	return next
}

type event struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int)   { e[i], e[j] = e[j], e[i] }
func (e *events) Push(added any) { *e = append(*e, added.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome counts what became of the requests of a replay.
type outcome struct {
	requests, waited, waitedInVain, returned, forced, late, away int
	// awayBy counts by clients' zone and quarter of a second how many flows were placed, and
	// how many of them in other zones.
	awayBy [zones]map[int][2]int
	// busiest is the most that an endpoint got, in mean shares.
	busiest float64
}

func (o outcome) share(count int) float64 { return float64(count) / float64(o.requests) }

type replay struct {
	load      load
	chooser   chooser
	random    *rand.Rand
	queue     events
	order     int
	endpoints []*endpoint
	views     [][]*view
	outcome   outcome
}

// play replays a load with one way to choose.
func play(given load, way chooser) outcome {
	r := &replay{load: given, chooser: way, random: rand.New(rand.NewPCG(given.seed, 1))}
	for number := range given.endpoints {
		made := &endpoint{zone: number / slowEach % zones, speed: 1}
		if number%slowEach == 0 {
			made.speed = slowSpeed
		}
		r.endpoints = append(r.endpoints, made)
	}
	for balancer := range given.balancers {
		var views []*view
		for _, each := range r.endpoints {
			views = append(views, &view{balancer: balancer, endpoint: each, local: each.zone == balancer%zones})
		}
		r.views = append(r.views, views)
	}
	for zone := range zones {
		r.outcome.awayBy[zone] = make(map[int][2]int)
		r.after(0, 0, func(now time.Duration) { r.arrive(now, zone) })
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		next.run(next.at)
	}
	most, total := 0, 0
	for _, each := range r.endpoints {
		most, total = max(most, each.given), total+each.given
	}
	r.outcome.busiest = float64(most) * float64(given.endpoints) / float64(total)
	return r.outcome
}

func (r *replay) after(now, wait time.Duration, run func(now time.Duration)) {
	r.order++
	heap.Push(&r.queue, event{now + wait, r.order, run})
}

// arrive lets a client of a zone open a flow, through a balancer of its zone at random.
func (r *replay) arrive(now time.Duration, zone int) {
	if now > r.load.lasts {
		return
	}
	gap := r.random.ExpFloat64() / r.load.rate(now, zone)
	r.after(now, time.Duration(gap*float64(time.Second)), func(now time.Duration) { r.arrive(now, zone) })
	opened := &flow{began: now, zone: zone, counted: now >= warmUp, work: r.work()}
	opened.balancer = zone + zones*r.random.IntN((r.load.balancers-zone+zones-1)/zones)
	if opened.counted {
		r.outcome.requests++
	}
	r.offer(now, opened)
}

func (r *replay) work() time.Duration {
	work := float64(usualWork) * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
	if r.random.IntN(tailEach) == 0 {
		work *= tailTimes
	}
	return time.Duration(work)
}

type flow struct {
	began    time.Duration
	zone     int
	balancer int
	work     time.Duration
	counted  bool
	tried    []*view
}

func (r *replay) offer(now time.Duration, opened *flow) {
	views := r.views[opened.balancer]
	forced := len(opened.tried) >= returnLimit
	var chosen *view
	if forced {
		chosen = slices.MinFunc(opened.tried, func(a, b *view) int { return a.used - b.used })
	} else {
		untried := slices.DeleteFunc(slices.Clone(views), func(v *view) bool {
			return slices.Contains(opened.tried, v) || v.endpoint.zone == r.load.closed
		})
		chosen = r.chooser.choose(now, untried, r.random)
	}
	chosen.outstanding++
	r.after(now, chosen.way(), func(now time.Duration) {
		if chosen.endpoint.pending <= slotsEach || forced {
			r.accept(now, opened, chosen, forced)
			return
		}
		r.outcome.returned += opened.one()
		used, pace := chosen.endpoint.pending, chosen.endpoint.meter.Estimate()
		r.after(now, chosen.way(), func(now time.Duration) {
			chosen.outstanding--
			r.tell(now, opened.balancer, chosen, used, pace)
			opened.tried = append(opened.tried, chosen)
			r.offer(now, opened)
		})
	})
}

// one is what a flow counts: nothing while the replay warms up.
func (f *flow) one() int {
	if f.counted {
		return 1
	}
	return 0
}

func (v *view) way() time.Duration {
	if v.local {
		return wayWithin
	}
	return wayBetween
}

func (r *replay) tell(now time.Duration, balancer int, of *view, used int, pace time.Duration) {
	of.used, of.pace = used, pace
	r.chooser.told(now, of, of.outstanding, r.views[balancer])
}

func (r *replay) accept(now time.Duration, opened *flow, chosen *view, forced bool) {
	at := chosen.endpoint
	at.pending++
	at.given += opened.one()
	used, pace := at.pending, at.meter.Estimate()
	r.after(now, chosen.way(), func(now time.Duration) { r.tell(now, opened.balancer, chosen, used, pace) })
	counts := r.outcome.awayBy[opened.zone][int(now/(250*time.Millisecond))]
	counts[0]++
	if !chosen.local {
		counts[1]++
		r.outcome.away += opened.one()
	}
	r.outcome.awayBy[opened.zone][int(now/(250*time.Millisecond))] = counts
	if forced {
		r.outcome.forced += opened.one()
	}
	r.after(now, 2*wayOfClient+chosen.way(), func(now time.Duration) { r.ask(now, opened, chosen) })
}

// ask lets the request of a flow come to its endpoint.
func (r *replay) ask(now time.Duration, opened *flow, chosen *view) {
	at := chosen.endpoint
	start := func(now time.Duration) {
		at.working++
		took := time.Duration(float64(opened.work) / at.speed)
		r.after(now, took, func(now time.Duration) { r.answer(now, opened, chosen, took) })
	}
	if at.working < slotsEach {
		start(now)
		return
	}
	r.outcome.waited += opened.one()
	if slices.ContainsFunc(r.endpoints, func(other *endpoint) bool { return other.pending < slotsEach }) {
		r.outcome.waitedInVain += opened.one()
	}
	at.waiting = append(at.waiting, request{opened.began, start})
}

func (r *replay) answer(now time.Duration, opened *flow, chosen *view, took time.Duration) {
	at := chosen.endpoint
	at.working--
	at.pending--
	at.meter.Observe(segment.Address{}, took)
	if now+wayOfClient-opened.began > objective {
		r.outcome.late += opened.one()
	}
	r.after(now, 2*wayOfClient, func(time.Duration) { chosen.outstanding-- })
	if len(at.waiting) > 0 {
		at.next(now).start(now)
	}
}
