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

// request returns one that began at a time, with an objective of 300 ms and a timeout of 2 s.
func request(began time.Duration, priority uint8) requestqueue.Request {
	return requestqueue.Request{Priority: priority, StartedAt: began, Objective: 300 * ms, Timeout: 2 * time.Second}
}

// served returns the indices of requests in the order in which they are served, all at once.
func served(order requestqueue.Scheduler, now time.Duration, capacity requestqueue.Capacity, waiting ...requestqueue.Request) []int {
	indices := make([]int, len(waiting))
	for index := range indices {
		indices[index] = index
	}
	var result []int
	for len(waiting) > 0 {
		next := order.Next(now, capacity, waiting).Index
		result = append(result, indices[next])
		waiting = append(waiting[:next:next], waiting[next+1:]...)
		indices = append(indices[:next:next], indices[next+1:]...)
	}
	return result
}

var _ = Describe("Outlook", func() {
	DescribeTable("follows from the age and the expected work",
		func(now, work time.Duration, expected requestqueue.Timeliness) {
			Expect(request(0, 0).Timeliness(now, work)).To(Equal(expected))
		},
		Entry("just in time", 200*ms, 100*ms, requestqueue.InTime),
		Entry("just late", 201*ms, 100*ms, requestqueue.Late),
		Entry("just before the client gives up", 1900*ms, 100*ms, requestqueue.Late),
		Entry("after it has", 1901*ms, 100*ms, requestqueue.Expired),
	)

	It("never expires without a timeout", func() {
		endless := requestqueue.Request{Objective: 300 * ms}
		Expect(endless.Timeliness(time.Hour, 0)).To(Equal(requestqueue.Late))
	})
})

var _ = Describe("NewestFirst", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	It("serves what can be in time first, by priority and newest first, then what gives up first", func() {
		Expect(served(requestqueue.NewestFirst{}, time.Second, capacity,
			request(300*ms, 1), request(200*ms, 1), request(100*ms, 2),
			request(900*ms, 2), request(800*ms, 1), request(850*ms, 1),
		)).To(Equal([]int{5, 4, 3, 1, 0, 2}))
	})

	It("gives up last what never expires", func() {
		endless := requestqueue.Request{Priority: 1, StartedAt: 100 * ms, Objective: 300 * ms}
		Expect(served(requestqueue.NewestFirst{}, time.Second, capacity,
			endless, request(600*ms, 1), request(500*ms, 1),
		)).To(Equal([]int{2, 1, 0}))
	})
})

var _ = Describe("EarliestDue", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}
	order := requestqueue.EarliestDue{}

	It("serves what is safely in time by when its objective ends, by priority first", func() {
		Expect(served(order, time.Second, capacity,
			request(900*ms, 2), request(850*ms, 2), request(950*ms, 1), request(800*ms, 1),
		)).To(Equal([]int{3, 2, 1, 0}))
	})

	It("serves what is just in time after what is safely so, the newest first", func() {
		Expect(served(order, time.Second, capacity,
			request(755*ms, 1), request(900*ms, 1), request(765*ms, 1),
		)).To(Equal([]int{1, 2, 0}))
	})

	It("serves the late last, in the order in which their clients give up", func() {
		Expect(served(order, time.Second, capacity,
			request(600*ms, 1), request(500*ms, 1), request(900*ms, 2),
		)).To(Equal([]int{2, 1, 0}))
	})

	It("serves a late one whose client is about to give up before those with ample slack", func() {
		Expect(served(order, 1910*ms, capacity,
			request(1900*ms, 2), request(1850*ms, 1), request(100*ms, 0), request(0, 1),
		)).To(Equal([]int{3, 1, 0, 2}))
	})

	It("serves it after others of its priority that have less, and before the less urgent", func() {
		Expect(served(order, 1910*ms, capacity,
			request(1900*ms, 2), request(1750*ms, 1), request(100*ms, 0), request(0, 1),
		)).To(Equal([]int{1, 3, 0, 2}))
	})

	It("takes for a last chance what would have less than twice the work", func() {
		waiting := []requestqueue.Request{request(1900*ms, 1), request(0, 1)}
		Expect(order.Next(1900*ms, capacity, waiting).Reason).To(Equal(requestqueue.ReasonEarliestDue))
		Expect(order.Next(1901*ms, capacity, waiting).Reason).To(Equal(requestqueue.ReasonLastChance))
	})

	It("serves one that never expires after the other late ones, and never as a last chance", func() {
		endless := requestqueue.Request{Priority: 1, Objective: 300 * ms}
		Expect(served(order, 1910*ms, capacity, endless, request(100*ms, 1), request(200*ms, 1))).To(Equal([]int{1, 2, 0}))
		Expect(order.Next(time.Hour, capacity, []requestqueue.Request{endless}).Reason).To(Equal(requestqueue.ReasonLate))
	})
})

var _ = Describe("Choice", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	DescribeTable("tells why a request is served next",
		func(order requestqueue.Scheduler, expected string, waiting ...requestqueue.Request) {
			Expect(order.Next(2*time.Second, capacity, waiting).Reason.String()).To(Equal(expected))
		},
		Entry("all can be in time", requestqueue.EarliestDue{}, "earliest_due", request(1900*ms, 1), request(1950*ms, 1)),
		Entry("not all can", requestqueue.EarliestDue{}, "newest", request(1751*ms, 1), request(1950*ms, 1)),
		Entry("its client is about to give up", requestqueue.EarliestDue{}, "last_chance", request(80*ms, 1), request(1950*ms, 1)),
		Entry("nothing can be in time", requestqueue.EarliestDue{}, "late", request(time.Second, 1)),
		Entry("newest first, in time", requestqueue.NewestFirst{}, "newest", request(1900*ms, 1)),
		Entry("newest first, late", requestqueue.NewestFirst{}, "late", request(time.Second, 1)),
		Entry("late, while a late one that is more urgent waits", requestqueue.NewestFirst{}, "late",
			request(time.Second, 2), request(time.Second, 1)),
	)

	// second returns the second choice of an order of which half of the slots are owed to
	// the less urgent, so that the second is the first that they are owed.
	second := func(waiting ...requestqueue.Request) requestqueue.Choice {
		order := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		order.Next(2*time.Second, capacity, []requestqueue.Request{request(1900*ms, 1), request(1900*ms, 2)})
		return order.Next(2*time.Second, capacity, waiting)
	}

	It("tells of a fair share if the order alone would have chosen another", func() {
		Expect(second(request(1900*ms, 1), request(1900*ms, 2))).
			To(Equal(requestqueue.Choice{Index: 1, Reason: requestqueue.ReasonFairShare}))
	})

	It("tells the reason of the order if that would have chosen the same", func() {
		Expect(second(request(time.Second, 1), request(1900*ms, 2))).
			To(Equal(requestqueue.Choice{Index: 1, Reason: requestqueue.ReasonNewest}))
	})
})

var _ = Describe("FairShare", func() {
	capacity := requestqueue.Capacity{Concurrency: 4, ProcessingTime: 50 * ms}

	// countOf returns how many of a hundred slots go to a priority while requests of all
	// the given ones always wait.
	countOf := func(order requestqueue.Scheduler, counted uint8, priorities ...uint8) int {
		count := 0
		for slot := range 100 {
			now := time.Duration(slot) * 10 * ms
			var waiting []requestqueue.Request
			for _, priority := range priorities {
				waiting = append(waiting, request(now, priority))
			}
			if waiting[order.Next(now, capacity, waiting).Index].Priority == counted {
				count++
			}
		}
		return count
	}

	It("gives the less urgent their share, and no more, while they wait", func() {
		Expect(countOf(requestqueue.EarliestDue{}, 2, 1, 2)).To(BeZero())
		Expect(countOf(requestqueue.NewFairShare(requestqueue.EarliestDue{}, 0.25), 2, 1, 2)).To(Equal(25))
	})

	It("divides the share among several priorities", func() {
		for _, priority := range []uint8{1, 2} {
			Expect(countOf(requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5), priority, 0, 1, 2)).
				To(BeNumerically("~", 25, 1), "both are owed a slot at the same time, and one is still due")
		}
	})

	It("changes nothing while one priority waits, and saves nothing up", func() {
		order := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		Expect(countOf(order, 2, 2)).To(Equal(100))
		now := time.Duration(0)
		Expect(order.Next(now, capacity, []requestqueue.Request{request(now, 2), request(now, 1)}).Index).To(Equal(1))
	})

	It("counts what the order gives to the less urgent", func() {
		order := requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.5)
		late := request(-time.Second, 1)
		for range 10 {
			Expect(order.Next(0, capacity, []requestqueue.Request{late, request(0, 2)}).Index).To(Equal(1))
		}
		Expect(order.Next(0, capacity, []requestqueue.Request{request(0, 1), request(0, 2)}).Index).To(Equal(0))
	})
})

var _ = Describe("Policy", func() {
	It("is newest first without a fair share unless set", func() {
		Expect(requestqueue.Policy{}.NewScheduler()).To(Equal(requestqueue.NewestFirst{}))
	})

	It("names its order", func() {
		Expect(requestqueue.Policy{Discipline: requestqueue.DisciplineEarliestDue}.NewScheduler()).To(Equal(requestqueue.EarliestDue{}))
		Expect(requestqueue.Policy{FairShare: 0.2}.NewScheduler()).To(Equal(requestqueue.NewFairShare(requestqueue.NewestFirst{}, 0.2)))
	})
})
