package requestqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/requestqueue"
)

func TestRequestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Request queue")
}

const ms = time.Millisecond

// request returns a request with an objective of 300 ms and a timeout of 2 s.
func request(startedAt time.Duration, priority uint8) requestqueue.Request {
	return requestqueue.Request{Priority: priority, StartedAt: startedAt, Objective: 300 * ms, Timeout: 2 * time.Second}
}

// servingOrder returns the indices of requests in the order in which they are served if
// enough slots become free at once.
func servingOrder(scheduler requestqueue.Scheduler, now time.Duration, capacity requestqueue.Capacity, waiting ...requestqueue.Request) []int {
	indices := make([]int, len(waiting))
	for index := range indices {
		indices[index] = index
	}
	var result []int
	for len(waiting) > 0 {
		next := scheduler.Next(now, capacity, waiting).Index
		result = append(result, indices[next])
		waiting = append(waiting[:next:next], waiting[next+1:]...)
		indices = append(indices[:next:next], indices[next+1:]...)
	}
	return result
}

var _ = Describe("Timeliness", func() {
	DescribeTable("depends on the age of the request and the processing time",
		func(now, processingTime time.Duration, expected requestqueue.Timeliness) {
			Expect(request(0, 0).Timeliness(now, processingTime)).To(Equal(expected))
		},
		Entry("just in time", 200*ms, 100*ms, requestqueue.InTime),
		Entry("just late", 201*ms, 100*ms, requestqueue.Late),
		Entry("just before the client gives up", 1900*ms, 100*ms, requestqueue.Late),
		Entry("after the client has given up", 1901*ms, 100*ms, requestqueue.Expired),
	)

	It("is late, never expired, without a timeout", func() {
		withoutTimeout := requestqueue.Request{Objective: 300 * ms}
		Expect(withoutTimeout.Timeliness(time.Hour, 0)).To(Equal(requestqueue.Late))
	})
})

var _ = Describe("NewestFirst", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	It("serves requests that can be in time by priority and newest first, then late ones by deadline", func() {
		Expect(servingOrder(requestqueue.NewestFirst{}, time.Second, capacity,
			request(300*ms, 1), request(200*ms, 1), request(100*ms, 2),
			request(900*ms, 2), request(800*ms, 1), request(850*ms, 1),
		)).To(Equal([]int{5, 4, 3, 1, 0, 2}))
	})

	It("serves a late request without a timeout last", func() {
		withoutTimeout := requestqueue.Request{Priority: 1, StartedAt: 100 * ms, Objective: 300 * ms}
		Expect(servingOrder(requestqueue.NewestFirst{}, time.Second, capacity,
			withoutTimeout, request(600*ms, 1), request(500*ms, 1),
		)).To(Equal([]int{2, 1, 0}))
	})
})

var _ = Describe("EarliestDue", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}
	scheduler := requestqueue.EarliestDue{}

	It("serves requests with enough slack by priority and then by due date", func() {
		Expect(servingOrder(scheduler, time.Second, capacity,
			request(900*ms, 2), request(850*ms, 2), request(950*ms, 1), request(800*ms, 1),
		)).To(Equal([]int{3, 2, 1, 0}))
	})

	It("serves the newest first if not all requests have enough slack", func() {
		Expect(servingOrder(scheduler, time.Second, capacity,
			request(755*ms, 1), request(900*ms, 1), request(765*ms, 1),
		)).To(Equal([]int{1, 2, 0}))
	})

	It("serves late requests last, by deadline", func() {
		Expect(servingOrder(scheduler, time.Second, capacity,
			request(600*ms, 1), request(500*ms, 1), request(900*ms, 2),
		)).To(Equal([]int{2, 1, 0}))
	})

	It("serves a late request at its last chance before requests with ample slack", func() {
		Expect(servingOrder(scheduler, 1910*ms, capacity,
			request(1900*ms, 2), request(1850*ms, 1), request(100*ms, 0), request(0, 1),
		)).To(Equal([]int{3, 1, 0, 2}))
	})

	It("serves a late request at its last chance after requests of its priority without ample slack, and before less urgent ones", func() {
		Expect(servingOrder(scheduler, 1910*ms, capacity,
			request(1900*ms, 2), request(1750*ms, 1), request(100*ms, 0), request(0, 1),
		)).To(Equal([]int{1, 3, 0, 2}))
	})

	It("gives a late request its last chance once its client gives up within twice the processing time", func() {
		waiting := []requestqueue.Request{request(1900*ms, 1), request(0, 1)}
		Expect(scheduler.Next(1900*ms, capacity, waiting).Reason).To(Equal(requestqueue.ReasonEarliestDue))
		Expect(scheduler.Next(1901*ms, capacity, waiting).Reason).To(Equal(requestqueue.ReasonLastChance))
	})

	It("serves a late request without a timeout after other late ones, and never as a last chance", func() {
		withoutTimeout := requestqueue.Request{Priority: 1, Objective: 300 * ms}
		Expect(servingOrder(scheduler, 1910*ms, capacity, withoutTimeout, request(100*ms, 1), request(200*ms, 1))).To(Equal([]int{1, 2, 0}))
		Expect(scheduler.Next(time.Hour, capacity, []requestqueue.Request{withoutTimeout}).Reason).To(Equal(requestqueue.ReasonLate))
	})
})

var _ = Describe("Choice", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	DescribeTable("has the reason for which a request is served next",
		func(scheduler requestqueue.Scheduler, expected string, waiting ...requestqueue.Request) {
			Expect(scheduler.Next(2*time.Second, capacity, waiting).Reason.String()).To(Equal(expected))
		},
		Entry("all requests can be in time", requestqueue.EarliestDue{}, "earliest_due", request(1900*ms, 1), request(1950*ms, 1)),
		Entry("not all requests can be in time", requestqueue.EarliestDue{}, "newest", request(1751*ms, 1), request(1950*ms, 1)),
		Entry("the client of a late request is about to give up", requestqueue.EarliestDue{}, "last_chance", request(80*ms, 1), request(1950*ms, 1)),
		Entry("no request can be in time", requestqueue.EarliestDue{}, "late", request(time.Second, 1)),
		Entry("newest first, request in time", requestqueue.NewestFirst{}, "newest", request(1900*ms, 1)),
		Entry("newest first, request late", requestqueue.NewestFirst{}, "late", request(time.Second, 1)),
		Entry("newest first, a late request beside a more urgent late one", requestqueue.NewestFirst{}, "late",
			request(time.Second, 2), request(time.Second, 1)),
	)

	// secondChoice returns the second choice with a fair share of one half. The less urgent
	// priority then has a credit of one slot for the first time.
	secondChoice := func(waiting ...requestqueue.Request) requestqueue.Choice {
		scheduler := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		scheduler.Next(2*time.Second, capacity, []requestqueue.Request{request(1900*ms, 1), request(1900*ms, 2)})
		return scheduler.Next(2*time.Second, capacity, waiting)
	}

	It("has the reason fair share if the wrapped scheduler would have chosen another request", func() {
		Expect(secondChoice(request(1900*ms, 1), request(1900*ms, 2))).
			To(Equal(requestqueue.Choice{Index: 1, Reason: requestqueue.ReasonFairShare}))
	})

	It("has the reason of the wrapped scheduler if that would have chosen the same request", func() {
		Expect(secondChoice(request(time.Second, 1), request(1900*ms, 2))).
			To(Equal(requestqueue.Choice{Index: 1, Reason: requestqueue.ReasonNewest}))
	})
})

var _ = Describe("FairShare", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	// countOf returns how many of 100 slots go to a priority while requests of all the given
	// priorities wait.
	countOf := func(scheduler requestqueue.Scheduler, counted uint8, priorities ...uint8) int {
		count := 0
		for slot := range 100 {
			now := time.Duration(slot) * 10 * ms
			var waiting []requestqueue.Request
			for _, priority := range priorities {
				waiting = append(waiting, request(now, priority))
			}
			if waiting[scheduler.Next(now, capacity, waiting).Index].Priority == counted {
				count++
			}
		}
		return count
	}

	It("gives the less urgent priority exactly its share while its requests wait", func() {
		Expect(countOf(requestqueue.EarliestDue{}, 2, 1, 2)).To(BeZero())
		Expect(countOf(requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.25), 2, 1, 2)).To(Equal(25))
	})

	It("divides the share equally among several less urgent priorities", func() {
		for _, priority := range []uint8{1, 2} {
			Expect(countOf(requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5), priority, 0, 1, 2)).
				To(BeNumerically("~", 25, 1), "both reach a credit of one slot at the same time, and one of them has not been served yet")
		}
	})

	It("has no effect and collects no credit while one priority waits", func() {
		scheduler := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		Expect(countOf(scheduler, 2, 2)).To(Equal(100))
		now := time.Duration(0)
		Expect(scheduler.Next(now, capacity, []requestqueue.Request{request(now, 2), request(now, 1)}).Index).To(Equal(1))
	})

	It("deducts slots that the wrapped scheduler gives to the less urgent priority", func() {
		scheduler := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		late := request(-time.Second, 1)
		for range 10 {
			Expect(scheduler.Next(0, capacity, []requestqueue.Request{late, request(0, 2)}).Index).To(Equal(1))
		}
		Expect(scheduler.Next(0, capacity, []requestqueue.Request{request(0, 1), request(0, 2)}).Index).To(Equal(0))
	})
})

var _ = Describe("Policy", func() {
	It("defaults to newest first without a fair share", func() {
		Expect(requestqueue.Policy{}.NewScheduler()).To(Equal(requestqueue.NewestFirst{}))
	})

	It("creates the scheduler of its discipline and fair share", func() {
		Expect(requestqueue.Policy{Discipline: requestqueue.DisciplineEarliestDue}.NewScheduler()).To(Equal(requestqueue.EarliestDue{}))
		Expect(requestqueue.Policy{FairShare: 0.2}.NewScheduler()).To(Equal(requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.2)))
	})
})
