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

// earliestDeadline serves by when the client gives up, whatever can be in time.
type earliestDeadline struct{}

func (earliestDeadline) Next(_ time.Duration, _ requestqueue.Capacity, waiting []requestqueue.Request) requestqueue.Choice {
	index := least(waiting, func(request requestqueue.Request) time.Duration { return request.StartedAt + request.Timeout })
	return requestqueue.Choice{Index: index, Reason: requestqueue.ReasonLate}
}

// least returns the index of the request with the least time.
func least(waiting []requestqueue.Request, of func(requestqueue.Request) time.Duration) int {
	index := 0
	for other := range waiting {
		if of(waiting[other]) < of(waiting[index]) {
			index = other
		}
	}
	return index
}

// slackFirst serves what can be in time by slack, whatever its priority, while all of it
// can be, and newest first once it cannot. If lateFirst is set, a late request whose client
// is about to give up goes first while all others stay in time after it.
type slackFirst struct{ lateFirst bool }

// reserved is how many requests that are yet to come leave those in time enough slack.
const reserved = 4

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
		begun := now + time.Duration(position+reserved)*capacity.ProcessingTime/time.Duration(capacity.Concurrency)
		feasible = feasible && begun+capacity.ProcessingTime <= due(request)
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

var _ = Describe("Orders on the same load", func() {
	newOrders := map[string]func() requestqueue.Scheduler{
		"newest first":           func() requestqueue.Scheduler { return requestqueue.NewestFirst{} },
		"earliest deadline":      func() requestqueue.Scheduler { return earliestDeadline{} },
		"slack":                  func() requestqueue.Scheduler { return slackFirst{} },
		"slack, late before":     func() requestqueue.Scheduler { return slackFirst{lateFirst: true} },
		"earliest due":           func() requestqueue.Scheduler { return requestqueue.EarliestDue{} },
		"newest first, half":     func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5) },
		"earliest due, a fifth":  func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.2) },
		"earliest due, one half": func() requestqueue.Scheduler { return requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.5) },
	}
	loads := map[string]func(*rand.Rand) load{"power loss": afterPowerLoss, "overload": overload, "returning": returning}
	results := map[string]map[string]summary{}

	BeforeEach(func() {
		if len(results) > 0 {
			return
		}
		for name, newLoad := range loads {
			results[name] = map[string]summary{}
			for order, newOrder := range newOrders {
				results[name][order] = total(newOrder, newLoad)
			}
		}
	})

	It("accounts for every arrival exactly once in each order, and prints what becomes of the kinds", func() {
		for _, name := range []string{"power loss", "overload", "returning"} {
			for _, order := range slices.Sorted(maps.Keys(newOrders)) {
				result := results[name][order]
				kinds := result.kinds
				GinkgoWriter.Printf("%-11s %-23s priority 1 %v priority 2 %v\n", name, order, kinds[1], kinds[2])
				Expect(result.offered).To(BeNumerically(">", 10_000), "a load is replayed")
				Expect(result.once).To(Equal(result.offered), order)
				Expect(kinds[1].asked()+kinds[2].asked()).To(Equal(result.offered), order)
			}
		}
	})

	DescribeTable("has no fewer in time and no more failed of the urgent kind by earliest due than by newest first, and more and fewer of the other",
		func(name string) {
			newest, earliest := results[name]["newest first"].kinds, results[name]["earliest due"].kinds
			Expect(earliest[1].inTime).To(BeNumerically(">=", newest[1].inTime))
			Expect(earliest[2].inTime).To(BeNumerically(">", newest[2].inTime))
			Expect(earliest[1].failed).To(BeNumerically("<=", newest[1].failed))
			Expect(earliest[2].failed).To(BeNumerically("<", newest[2].failed))
		},
		Entry("after a loss of power", "power loss"),
		Entry("under overload", "overload"),
		Entry("when late ones return", "returning"),
	)

	It("has fewer failed of the less urgent kind under overload with a fair share of one half than without", func() {
		without, with := results["overload"]["earliest due"].kinds, results["overload"]["earliest due, one half"].kinds
		Expect(with[2].failed).To(BeNumerically("<", without[2].failed))
	})
})
