package requestqueue_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

const (
	replaySlots = 3
	// replayGiven is how many requests the endpoint is given at once.
	replayGiven = replaySlots + 1
	replayWork  = 44 * ms
	coldFor     = 2 * time.Second
	coldFactor  = 1.6
	// replayWeight is that of a new measurement of the time to an answer.
	replayWeight = 0.1
)

// replayRate is how many requests a second the endpoint can do when it is warm.
var replayRate = replaySlots / replayWork.Seconds()

// arrival is a request of a replay.
type arrival struct {
	requestqueue.Request
	// at is when it reaches the agent, and began when its client began, which the agent
	// need not know.
	at    time.Duration
	began time.Duration
	// number tells it from the others of its load.
	number int
}

// outcome counts what became of the requests of a kind.
type outcome struct{ inTime, late, failed int }

func (o outcome) plus(other outcome) outcome {
	return outcome{o.inTime + other.inTime, o.late + other.late, o.failed + other.failed}
}

func (o outcome) asked() int { return o.inTime + o.late + o.failed }

// load is a list of arrivals at an endpoint, which is cold at first if cold is set.
type load struct {
	arrivals []arrival
	cold     bool
}

// kinds are requests of priority 1 and 2.
func kindOf(priority uint8) requestqueue.Request {
	if priority == 1 {
		return requestqueue.Request{Priority: 1, Objective: 400 * ms, Timeout: 3 * time.Second}
	}
	return requestqueue.Request{Priority: 2, Objective: 300 * ms, Timeout: 2500 * ms}
}

// drawn returns a request of a kind drawn, two thirds of them less urgent.
func drawn(random *rand.Rand, at, began time.Duration, known bool) arrival {
	request := kindOf(2)
	if random.IntN(3) == 0 {
		request = kindOf(1)
	}
	request.StartedAt = at
	if known {
		request.StartedAt = began
	}
	return arrival{Request: request, at: at, began: began}
}

// stream returns fresh arrivals at a share of what the endpoint can do.
func stream(random *rand.Rand, from, to time.Duration, share float64) []arrival {
	var arrivals []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / (share * replayRate) * float64(time.Second))
		if at >= to {
			return arrivals
		}
		arrivals = append(arrivals, drawn(random, at, at, true))
	}
}

// backlog returns requests that come within 50 ms of the start and began at most age
// before it; the age of every other one is known.
func backlog(random *rand.Rand, share float64, age time.Duration) []arrival {
	count := int(share * replayRate * age.Seconds())
	arrivals := make([]arrival, count)
	for index := range arrivals {
		at := time.Duration(random.Int64N(int64(50 * ms)))
		arrivals[index] = drawn(random, at, -time.Duration(random.Int64N(int64(age))), index%2 == 0)
	}
	return arrivals
}

// afterPowerLoss is a cold endpoint with a backlog.
func afterPowerLoss(random *rand.Rand) load {
	return load{append(backlog(random, 0.7, 700*ms), stream(random, 0, 6*time.Second, 0.7)...), true}
}

// overload asks 1.3 times what the endpoint can do for five seconds.
func overload(random *rand.Rand) load {
	return load{append(stream(random, 0, 5*time.Second, 1.3), stream(random, 5*time.Second, 8*time.Second, 0.7)...), false}
}

// returning adds requests that come late, close before their clients give up, to ones that
// nearly fill the endpoint.
func returning(random *rand.Rand) load {
	arrivals := stream(random, 0, 6*time.Second, 0.9)
	for range 20 {
		at := time.Second + time.Duration(random.Int64N(int64(time.Second)))
		arrivals = append(arrivals, drawn(random, at, at-2*time.Second, true))
	}
	return load{arrivals, false}
}

// replay serves a load in an order and counts what becomes of it.
func replay(order requestqueue.Scheduler, offered load, random *rand.Rand) *replayed {
	arrivals := slices.SortedFunc(slices.Values(offered.arrivals), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	run := &replayed{order: order, random: random, cold: offered.cold}
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

// given is a request that the endpoint has.
type given struct {
	arrival
	since    time.Duration
	answered time.Duration
}

// replayed is the state of a replay.
type replayed struct {
	order   requestqueue.Scheduler
	random  *rand.Rand
	cold    bool
	now     time.Duration
	working time.Duration
	waiting []arrival
	running []given
	slots   [replaySlots]time.Duration
	// priorities is what became of the requests of each.
	priorities map[uint8]outcome
	// counted is how often each arrival was counted, by its number.
	counted []int
}

// finish answers the request that is answered next.
func (r *replayed) finish() {
	done := r.running[0]
	r.running = r.running[1:]
	r.now = done.answered
	took := r.now - done.since
	if r.working == 0 {
		r.working = took
	}
	r.working += time.Duration(replayWeight * float64(took-r.working))
	r.count(done.arrival)
}

// count notes what became of a request that is answered.
func (r *replayed) count(request arrival) {
	switch took := r.now - request.began; {
	case took <= request.Objective:
		r.add(request, outcome{inTime: 1})
	case took <= request.Timeout:
		r.add(request, outcome{late: 1})
	default:
		r.add(request, outcome{failed: 1})
	}
}

func (r *replayed) add(request arrival, result outcome) {
	r.counted[request.number]++
	r.priorities[request.Priority] = r.priorities[request.Priority].plus(result)
}

// admit gives the endpoint what it may have, and drops what has expired.
func (r *replayed) admit() {
	r.waiting = slices.DeleteFunc(r.waiting, func(waiting arrival) bool {
		expired := waiting.Timeliness(r.now, r.working) == requestqueue.Expired
		if expired {
			r.add(waiting, outcome{failed: 1})
		}
		return expired
	})
	for len(r.waiting) > 0 && len(r.running) < replayGiven {
		requests := make([]requestqueue.Request, len(r.waiting))
		for index, waiting := range r.waiting {
			requests[index] = waiting.Request
		}
		next := r.order.Next(r.now, requestqueue.Capacity{Concurrency: replayGiven, ProcessingTime: r.working}, requests).Index
		r.begin(r.waiting[next])
		r.waiting = slices.Delete(r.waiting, next, next+1)
	}
}

// begin gives the endpoint a request, which takes the slot that is free first.
func (r *replayed) begin(request arrival) {
	slot := 0
	for index, free := range r.slots {
		if free < r.slots[slot] {
			slot = index
		}
	}
	work := replayWork.Seconds() * (0.5 + r.random.Float64())
	if r.cold && r.now < coldFor {
		work *= coldFactor
	}
	r.slots[slot] = max(r.now, r.slots[slot]) + time.Duration(work*float64(time.Second))
	r.running = append(r.running, given{request, r.now, r.slots[slot]})
	slices.SortFunc(r.running, func(a, b given) int { return cmp.Compare(a.answered, b.answered) })
}

// replaySeeds is the number of loads that a comparison sums up.
const replaySeeds = 60

// summary sums up replays.
type summary struct {
	// kinds is what became of the requests of each priority.
	kinds map[uint8]outcome
	// offered is the number of arrivals, once that of those that were counted exactly once.
	offered, once int
}

// total replays a kind of load with several seeds.
func total(newOrder func() requestqueue.Scheduler, newLoad func(*rand.Rand) load) summary {
	sum := summary{kinds: map[uint8]outcome{}}
	for seed := range uint64(replaySeeds) {
		offered := newLoad(rand.New(rand.NewPCG(seed, 1)))
		run := replay(newOrder(), offered, rand.New(rand.NewPCG(seed, 2)))
		for priority, counted := range run.priorities {
			sum.kinds[priority] = sum.kinds[priority].plus(counted)
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
