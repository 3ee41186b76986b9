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
	// slowInterval: one endpoint in that many has slowSpeed, the others have speed 1.
	slowInterval = 4
	slowSpeed    = 0.46
	// tailInterval: one request in that many takes tailFactor times as long.
	tailInterval = 33
	tailFactor   = 7
	meanWork     = 40 * time.Millisecond
	// workSigma is the standard deviation of the logarithm of the work.
	workSigma        = 0.47
	latencyObjective = 300 * time.Millisecond

	delayWithinZone   = 300 * time.Microsecond
	delayBetweenZones = 1200 * time.Microsecond
	clientDelay       = 1300 * time.Microsecond
	// maxReturns is the number of returns after which an endpoint has to take a flow.
	maxReturns = 3
	warmUp     = time.Second
)

// workload is the input of a simulation.
type workload struct {
	endpoints, balancers int
	// rate returns how many flows per second the clients of a zone open.
	rate func(now time.Duration, zone int) float64
	// closed is the zone that gets no flows; a negative value means none.
	closed   int
	duration time.Duration
	seed     uint64
}

// oscillating returns a rate that oscillates with the same phase in all zones.
func oscillating(perSecond float64) func(time.Duration, int) float64 {
	return func(now time.Duration, _ int) float64 {
		return perSecond / zones * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
	}
}

// view is what one balancer has recorded about one endpoint.
type view struct {
	balancer       int
	endpoint       *endpoint
	local          bool
	outstanding    int
	used           int
	processingTime time.Duration
	report         placement.LoadReport
}

// chooser is a strategy by which balancers place flows.
type chooser interface {
	choose(now time.Duration, views []*view, random *rand.Rand) *view
	// observe is called for each load report of an agent; ownFlows is the number of flows
	// that the balancer itself has there.
	observe(now time.Duration, reporting *view, ownFlows int, views []*view)
}

type endpoint struct {
	zone      int
	speed     float64
	working   int
	pending   int
	received  int
	waiting   []request
	estimator placement.ProcessingTimeEstimator
}

// request is a request that waits for a slot at its endpoint.
type request struct {
	startedAt time.Duration
	start     func(now time.Duration)
}

// next removes and returns the request that is served next: the newest that can be answered
// within the objective, or the oldest if there is none.
func (e *endpoint) next(now time.Duration) request {
	chosen := 0
	for index := len(e.waiting) - 1; index > 0; index-- {
		if now-e.waiting[index].startedAt+e.estimator.Estimate() <= latencyObjective {
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

// result counts what became of the requests of a simulation.
type result struct {
	requests, waited, waitedNeedlessly, returned, forced, late, crossZone int
	// placements holds, by the clients' zone and quarter of a second, how many flows were
	// placed and how many of these in other zones.
	placements [zones]map[int][2]int
	// peakLoad is the largest number of flows of an endpoint, relative to the mean.
	peakLoad float64
}

func (r result) share(count int) float64 { return float64(count) / float64(r.requests) }

type simulation struct {
	workload  workload
	chooser   chooser
	random    *rand.Rand
	queue     events
	order     int
	endpoints []*endpoint
	views     [][]*view
	result    result
}

// simulate runs a workload with one strategy.
func simulate(input workload, strategy chooser) result {
	s := &simulation{workload: input, chooser: strategy, random: rand.New(rand.NewPCG(input.seed, 1))}
	for number := range input.endpoints {
		created := &endpoint{zone: number / slowInterval % zones, speed: 1}
		if number%slowInterval == 0 {
			created.speed = slowSpeed
		}
		s.endpoints = append(s.endpoints, created)
	}
	for balancer := range input.balancers {
		var views []*view
		for _, each := range s.endpoints {
			views = append(views, &view{balancer: balancer, endpoint: each, local: each.zone == balancer%zones})
		}
		s.views = append(s.views, views)
	}
	for zone := range zones {
		s.result.placements[zone] = make(map[int][2]int)
		s.after(0, 0, func(now time.Duration) { s.arrive(now, zone) })
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		next.run(next.at)
	}
	most, total := 0, 0
	for _, each := range s.endpoints {
		most, total = max(most, each.received), total+each.received
	}
	s.result.peakLoad = float64(most) * float64(input.endpoints) / float64(total)
	return s.result
}

func (s *simulation) after(now, wait time.Duration, run func(now time.Duration)) {
	s.order++
	heap.Push(&s.queue, event{now + wait, s.order, run})
}

// arrive opens a flow of a client of a zone through a random balancer of that zone, and
// schedules the next arrival.
func (s *simulation) arrive(now time.Duration, zone int) {
	if now > s.workload.duration {
		return
	}
	gap := s.random.ExpFloat64() / s.workload.rate(now, zone)
	s.after(now, time.Duration(gap*float64(time.Second)), func(now time.Duration) { s.arrive(now, zone) })
	opened := &flow{startedAt: now, zone: zone, counted: now >= warmUp, work: s.work()}
	opened.balancer = zone + zones*s.random.IntN((s.workload.balancers-zone+zones-1)/zones)
	if opened.counted {
		s.result.requests++
	}
	s.offer(now, opened)
}

func (s *simulation) work() time.Duration {
	work := float64(meanWork) * math.Exp(workSigma*s.random.NormFloat64()-workSigma*workSigma/2)
	if s.random.IntN(tailInterval) == 0 {
		work *= tailFactor
	}
	return time.Duration(work)
}

type flow struct {
	startedAt time.Duration
	zone      int
	balancer  int
	work      time.Duration
	counted   bool
	tried     []*view
}

func (s *simulation) offer(now time.Duration, opened *flow) {
	views := s.views[opened.balancer]
	forced := len(opened.tried) >= maxReturns
	var chosen *view
	if forced {
		chosen = slices.MinFunc(opened.tried, func(a, b *view) int { return a.used - b.used })
	} else {
		untried := slices.DeleteFunc(slices.Clone(views), func(v *view) bool {
			return slices.Contains(opened.tried, v) || v.endpoint.zone == s.workload.closed
		})
		chosen = s.chooser.choose(now, untried, s.random)
	}
	chosen.outstanding++
	s.after(now, chosen.delay(), func(now time.Duration) {
		if chosen.endpoint.pending <= slotsEach || forced {
			s.accept(now, opened, chosen, forced)
			return
		}
		s.result.returned += opened.weight()
		used, processingTime := chosen.endpoint.pending, chosen.endpoint.estimator.Estimate()
		s.after(now, chosen.delay(), func(now time.Duration) {
			chosen.outstanding--
			s.deliverReport(now, opened.balancer, chosen, used, processingTime)
			opened.tried = append(opened.tried, chosen)
			s.offer(now, opened)
		})
	})
}

// weight is 1 for a counted flow and 0 for one that arrived during the warm-up.
func (f *flow) weight() int {
	if f.counted {
		return 1
	}
	return 0
}

func (v *view) delay() time.Duration {
	if v.local {
		return delayWithinZone
	}
	return delayBetweenZones
}

func (s *simulation) deliverReport(now time.Duration, balancer int, reporting *view, used int, processingTime time.Duration) {
	reporting.used, reporting.processingTime = used, processingTime
	s.chooser.observe(now, reporting, reporting.outstanding, s.views[balancer])
}

func (s *simulation) accept(now time.Duration, opened *flow, chosen *view, forced bool) {
	at := chosen.endpoint
	at.pending++
	at.received += opened.weight()
	used, processingTime := at.pending, at.estimator.Estimate()
	s.after(now, chosen.delay(), func(now time.Duration) { s.deliverReport(now, opened.balancer, chosen, used, processingTime) })
	counts := s.result.placements[opened.zone][int(now/(250*time.Millisecond))]
	counts[0]++
	if !chosen.local {
		counts[1]++
		s.result.crossZone += opened.weight()
	}
	s.result.placements[opened.zone][int(now/(250*time.Millisecond))] = counts
	if forced {
		s.result.forced += opened.weight()
	}
	s.after(now, 2*clientDelay+chosen.delay(), func(now time.Duration) { s.deliverRequest(now, opened, chosen) })
}

// deliverRequest delivers the request of a flow to its endpoint.
func (s *simulation) deliverRequest(now time.Duration, opened *flow, chosen *view) {
	at := chosen.endpoint
	start := func(now time.Duration) {
		at.working++
		took := time.Duration(float64(opened.work) / at.speed)
		s.after(now, took, func(now time.Duration) { s.answer(now, opened, chosen, took) })
	}
	if at.working < slotsEach {
		start(now)
		return
	}
	s.result.waited += opened.weight()
	if slices.ContainsFunc(s.endpoints, func(other *endpoint) bool { return other.pending < slotsEach }) {
		s.result.waitedNeedlessly += opened.weight()
	}
	at.waiting = append(at.waiting, request{opened.startedAt, start})
}

func (s *simulation) answer(now time.Duration, opened *flow, chosen *view, took time.Duration) {
	at := chosen.endpoint
	at.working--
	at.pending--
	at.estimator.Observe(segment.Address{}, took)
	if now+clientDelay-opened.startedAt > latencyObjective {
		s.result.late += opened.weight()
	}
	s.after(now, 2*clientDelay, func(time.Duration) { chosen.outstanding-- })
	if len(at.waiting) > 0 {
		at.next(now).start(now)
	}
}
