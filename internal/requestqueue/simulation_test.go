package requestqueue_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

const (
	simulatedSlots = 3
	// simulatedConcurrency is the number of requests that the endpoint is given at a time.
	simulatedConcurrency = simulatedSlots + 1
	simulatedWork        = 44 * ms
	coldTime             = 2 * time.Second
	coldFactor           = 1.6
	// smoothingFactor is the weight of a new measurement in the mean processing time.
	smoothingFactor = 0.1
)

// simulatedRate is the number of requests per second that the warm endpoint can answer.
var simulatedRate = simulatedSlots / simulatedWork.Seconds()

// arrival is a request that reaches the agent.
type arrival struct {
	requestqueue.Request
	// at is when the request reaches the agent. actualStart is when its client started it,
	// which the agent may not have.
	at          time.Duration
	actualStart time.Duration
	// number identifies the arrival within its workload.
	number int
}

// outcome counts the requests of one priority by their results.
type outcome struct{ inTime, late, failed int }

func (o outcome) plus(other outcome) outcome {
	return outcome{o.inTime + other.inTime, o.late + other.late, o.failed + other.failed}
}

func (o outcome) requests() int { return o.inTime + o.late + o.failed }

// workload is a list of arrivals at an endpoint, which starts cold if cold is set.
type workload struct {
	arrivals []arrival
	cold     bool
}

// requestOf returns a request of priority 1 or 2 without its start.
func requestOf(priority uint8) requestqueue.Request {
	if priority == 1 {
		return requestqueue.Request{Priority: 1, Objective: 400 * ms, Timeout: 3 * time.Second}
	}
	return requestqueue.Request{Priority: 2, Objective: 300 * ms, Timeout: 2500 * ms}
}

// randomArrival returns an arrival of random priority; two thirds are less urgent. known says
// whether the agent is given when the client started.
func randomArrival(random *rand.Rand, at, actualStart time.Duration, known bool) arrival {
	request := requestOf(2)
	if random.IntN(3) == 0 {
		request = requestOf(1)
	}
	request.StartedAt = at
	if known {
		request.StartedAt = actualStart
	}
	return arrival{Request: request, at: at, actualStart: actualStart}
}

// stream returns fresh arrivals at a share of the capacity of the endpoint.
func stream(random *rand.Rand, from, to time.Duration, share float64) []arrival {
	var arrivals []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / (share * simulatedRate) * float64(time.Second))
		if at >= to {
			return arrivals
		}
		arrivals = append(arrivals, randomArrival(random, at, at, true))
	}
}

// backlog returns requests that arrive within 50 ms of the start and were started at most age
// before it. The agent is given the age of every other one.
func backlog(random *rand.Rand, share float64, age time.Duration) []arrival {
	count := int(share * simulatedRate * age.Seconds())
	arrivals := make([]arrival, count)
	for index := range arrivals {
		at := time.Duration(random.Int64N(int64(50 * ms)))
		arrivals[index] = randomArrival(random, at, -time.Duration(random.Int64N(int64(age))), index%2 == 0)
	}
	return arrivals
}

// afterPowerLoss returns a backlog and a stream at a cold endpoint.
func afterPowerLoss(random *rand.Rand) workload {
	return workload{append(backlog(random, 0.7, 700*ms), stream(random, 0, 6*time.Second, 0.7)...), true}
}

// overload returns a stream at 1.3 times the capacity for five seconds, then at 0.7 times.
func overload(random *rand.Rand) workload {
	return workload{append(stream(random, 0, 5*time.Second, 1.3), stream(random, 5*time.Second, 8*time.Second, 0.7)...), false}
}

// retries returns a stream that nearly fills the endpoint and some requests that arrive
// shortly before their clients give up.
func retries(random *rand.Rand) workload {
	arrivals := stream(random, 0, 6*time.Second, 0.9)
	for range 20 {
		at := time.Second + time.Duration(random.Int64N(int64(time.Second)))
		arrivals = append(arrivals, randomArrival(random, at, at-2*time.Second, true))
	}
	return workload{arrivals, false}
}

// simulate serves a workload with a scheduler and counts the results.
func simulate(scheduler requestqueue.Scheduler, offered workload, random *rand.Rand) *simulation {
	arrivals := slices.SortedFunc(slices.Values(offered.arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	run := &simulation{scheduler: scheduler, random: random, cold: offered.cold}
	run.priorities, run.counted = make(map[uint8]outcome), make([]int, len(arrivals))
	for number := range arrivals {
		arrivals[number].number = number
	}
	for len(arrivals) > 0 || len(run.waiting) > 0 || len(run.running) > 0 {
		if len(arrivals) > 0 && (len(run.running) == 0 || arrivals[0].at <= run.running[0].answered) {
			run.now = arrivals[0].at
			run.waiting = append(run.waiting, arrivals[0])
			arrivals = arrivals[1:]
		} else {
			run.finish()
		}
		run.admit()
	}
	return run
}

// runningRequest is a request that the endpoint has been given.
type runningRequest struct {
	arrival
	since    time.Duration
	answered time.Duration
}

// simulation is the state of a simulated endpoint and its agent.
type simulation struct {
	scheduler          requestqueue.Scheduler
	random             *rand.Rand
	cold               bool
	now                time.Duration
	meanProcessingTime time.Duration
	waiting            []arrival
	running            []runningRequest
	slots              [simulatedSlots]time.Duration
	// priorities holds the outcomes by priority.
	priorities map[uint8]outcome
	// counted holds, by number, how often each arrival was counted.
	counted []int
}

// finish answers the running request with the earliest answer.
func (r *simulation) finish() {
	done := r.running[0]
	r.running = r.running[1:]
	r.now = done.answered
	took := r.now - done.since
	if r.meanProcessingTime == 0 {
		r.meanProcessingTime = took
	}
	r.meanProcessingTime += time.Duration(smoothingFactor * float64(took-r.meanProcessingTime))
	r.count(done.arrival)
}

// count records the result of a request that is answered.
func (r *simulation) count(request arrival) {
	switch took := r.now - request.actualStart; {
	case took <= request.Objective:
		r.add(request, outcome{inTime: 1})
	case took <= request.Timeout:
		r.add(request, outcome{late: 1})
	default:
		r.add(request, outcome{failed: 1})
	}
}

func (r *simulation) add(request arrival, result outcome) {
	r.counted[request.number]++
	r.priorities[request.Priority] = r.priorities[request.Priority].plus(result)
}

// admit drops expired requests and gives the endpoint others up to its concurrency.
func (r *simulation) admit() {
	r.waiting = slices.DeleteFunc(r.waiting, func(waiting arrival) bool {
		expired := waiting.Timeliness(r.now, r.meanProcessingTime) == requestqueue.Expired
		if expired {
			r.add(waiting, outcome{failed: 1})
		}
		return expired
	})
	for len(r.waiting) > 0 && len(r.running) < simulatedConcurrency {
		requests := make([]requestqueue.Request, len(r.waiting))
		for index, waiting := range r.waiting {
			requests[index] = waiting.Request
		}
		next := r.scheduler.Next(r.now, requestqueue.Capacity{Concurrency: simulatedConcurrency, ProcessingTime: r.meanProcessingTime}, requests).Index
		r.begin(r.waiting[next])
		r.waiting = slices.Delete(r.waiting, next, next+1)
	}
}

// begin gives the endpoint a request, which takes the slot that becomes free first.
func (r *simulation) begin(request arrival) {
	slot := 0
	for index, free := range r.slots {
		if free < r.slots[slot] {
			slot = index
		}
	}
	work := simulatedWork.Seconds() * (0.5 + r.random.Float64())
	if r.cold && r.now < coldTime {
		work *= coldFactor
	}
	r.slots[slot] = max(r.now, r.slots[slot]) + time.Duration(work*float64(time.Second))
	r.running = append(r.running, runningRequest{request, r.now, r.slots[slot]})
	slices.SortFunc(r.running, func(a, b runningRequest) int { return cmp.Compare(a.answered, b.answered) })
}

// seedCount is the number of workloads that a comparison sums up.
const seedCount = 60

// summary sums up several simulations.
type summary struct {
	// byPriority holds the outcomes by priority.
	byPriority map[uint8]outcome
	// offered is the number of arrivals, and once the number that were counted exactly once.
	offered, once int
}

// total simulates a workload with several seeds.
func total(newScheduler func() requestqueue.Scheduler, newWorkload func(*rand.Rand) workload) summary {
	sum := summary{byPriority: map[uint8]outcome{}}
	for seed := range uint64(seedCount) {
		offered := newWorkload(rand.New(rand.NewPCG(seed, 1)))
		run := simulate(newScheduler(), offered, rand.New(rand.NewPCG(seed, 2)))
		for priority, counted := range run.priorities {
			sum.byPriority[priority] = sum.byPriority[priority].plus(counted)
		}
		sum.offered += len(offered.arrivals)
		for _, times := range run.counted {
			if times == 1 {
				sum.once++
			}
		}
	}
	return sum
}
