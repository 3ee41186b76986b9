package requestqueue_test

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

// earliestDeadline serves by the time at which the client gives up and ignores objectives.
type earliestDeadline struct{}

func (earliestDeadline) Next(_ time.Duration, _ requestqueue.Capacity, waiting []requestqueue.Request) requestqueue.Choice {
	index := indexOfEarliest(waiting, func(request requestqueue.Request) time.Duration { return request.StartedAt + request.Timeout })
	return requestqueue.Choice{Index: index, Reason: requestqueue.ReasonLate}
}

// indexOfEarliest returns the index of the request with the earliest time.
func indexOfEarliest(waiting []requestqueue.Request, timeOf func(requestqueue.Request) time.Duration) int {
	index := 0
	for other := range waiting {
		if timeOf(waiting[other]) < timeOf(waiting[index]) {
			index = other
		}
	}
	return index
}

// slackFirst serves requests by slack and ignores their priority while all that can be in
// time fit, and newest first once they do not. If lateFirst is set, a late request whose
// client is about to give up goes first while the others stay in time after it.
type slackFirst struct{ lateFirst bool }

// reservedSlots is the number of future requests for which slackFirst leaves slack.
const reservedSlots = 4

func (s slackFirst) Next(now time.Duration, capacity requestqueue.Capacity, waiting []requestqueue.Request) requestqueue.Choice {
	due := func(request requestqueue.Request) time.Duration { return request.StartedAt + request.Objective }
	var inTime, late []requestqueue.Request
	for _, request := range waiting {
		if request.Timeliness(now, capacity.ProcessingTime) == requestqueue.InTime {
			inTime = append(inTime, request)
			continue
		}
		late = append(late, request)
	}
	slices.SortFunc(inTime, func(a, b requestqueue.Request) int { return cmp.Compare(due(a), due(b)) })
	feasible := len(inTime) > 0
	for position, request := range inTime {
		start := now + time.Duration(position+reservedSlots)*capacity.ProcessingTime/time.Duration(capacity.Concurrency)
		feasible = feasible && start+capacity.ProcessingTime <= due(request)
	}
	switch {
	case !feasible:
		return requestqueue.NewestFirst{}.Next(now, capacity, waiting)
	case s.lateFirst && len(late) > 0:
		urgent := late[earliestDeadline{}.Next(now, capacity, late).Index]
		if urgent.Timeliness(now, 2*capacity.ProcessingTime) == requestqueue.Expired {
			return requestqueue.Choice{Index: slices.Index(waiting, urgent), Reason: requestqueue.ReasonLastChance}
		}
	}
	return requestqueue.Choice{Index: slices.Index(waiting, inTime[0]), Reason: requestqueue.ReasonEarliestDue}
}

var _ = Describe("Schedulers on the same workload", func() {
	newSchedulers := map[string]func() requestqueue.Scheduler{
		"newest first":           func() requestqueue.Scheduler { return requestqueue.NewestFirst{} },
		"earliest deadline":      func() requestqueue.Scheduler { return earliestDeadline{} },
		"slack":                  func() requestqueue.Scheduler { return slackFirst{} },
		"slack, late first":      func() requestqueue.Scheduler { return slackFirst{lateFirst: true} },
		"earliest due":           func() requestqueue.Scheduler { return requestqueue.EarliestDue{} },
		"newest first, half":     func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5) },
		"earliest due, a fifth":  func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.2) },
		"earliest due, one half": func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.5) },
	}
	workloads := map[string]func(*rand.Rand) workload{"power loss": afterPowerLoss, "overload": overload, "retries": retries}
	results := map[string]map[string]summary{}

	BeforeEach(func() {
		if len(results) > 0 {
			return
		}
		for name, newWorkload := range workloads {
			results[name] = map[string]summary{}
			for scheduler, newScheduler := range newSchedulers {
				results[name][scheduler] = total(newScheduler, newWorkload)
			}
		}
	})

	It("account for every arrival exactly once, with the results of both priorities printed", func() {
		for _, name := range []string{"power loss", "overload", "retries"} {
			for _, scheduler := range slices.Sorted(maps.Keys(newSchedulers)) {
				result := results[name][scheduler]
				byPriority := result.byPriority
				GinkgoWriter.Printf("%-11s %-23s priority 1 %v priority 2 %v\n", name, scheduler, byPriority[1], byPriority[2])
				Expect(result.offered).To(BeNumerically(">", 10_000), "the workload is not empty")
				Expect(result.once).To(Equal(result.offered), scheduler)
				Expect(byPriority[1].requests()+byPriority[2].requests()).To(Equal(result.offered), scheduler)
			}
		}
	})

	DescribeTable("do no worse for urgent requests with earliest due than with newest first, and answer more of the other requests in time and fail fewer",
		func(name string) {
			newest, earliest := results[name]["newest first"].byPriority, results[name]["earliest due"].byPriority
			Expect(earliest[1].inTime).To(BeNumerically(">=", newest[1].inTime))
			Expect(earliest[2].inTime).To(BeNumerically(">", newest[2].inTime))
			Expect(earliest[1].failed).To(BeNumerically("<=", newest[1].failed))
			Expect(earliest[2].failed).To(BeNumerically("<", newest[2].failed))
		},
		Entry("after a power loss", "power loss"),
		Entry("under overload", "overload"),
		Entry("when late requests are retried", "retries"),
	)

	It("fail fewer of the less urgent requests under overload with a fair share of one half than without", func() {
		without, with := results["overload"]["earliest due"].byPriority, results["overload"]["earliest due, one half"].byPriority
		Expect(with[2].failed).To(BeNumerically("<", without[2].failed))
	})
})
