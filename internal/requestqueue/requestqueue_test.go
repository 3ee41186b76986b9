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
	return requestqueue.Request{Priority: priority, Began: began, Objective: 300 * ms, Timeout: 2 * time.Second}
}

// served returns the indices of requests in the order in which they are served, all at once.
func served(order requestqueue.Order, now time.Duration, capacity requestqueue.Capacity, waiting ...requestqueue.Request) []int {
	indices := make([]int, len(waiting))
	for index := range indices {
		indices[index] = index
	}
	var result []int
	for len(waiting) > 0 {
		next := order.Next(now, capacity, waiting)
		result = append(result, indices[next])
		waiting = append(waiting[:next:next], waiting[next+1:]...)
		indices = append(indices[:next:next], indices[next+1:]...)
	}
	return result
}

var _ = Describe("Outlook", func() {
	DescribeTable("follows from the age and the expected work",
		func(now, work time.Duration, expected requestqueue.Outlook) {
			Expect(request(0, 0).Outlook(now, work)).To(Equal(expected))
		},
		Entry("just in time", 200*ms, 100*ms, requestqueue.InTime),
		Entry("just late", 201*ms, 100*ms, requestqueue.Late),
		Entry("just before the client gives up", 1900*ms, 100*ms, requestqueue.Late),
		Entry("after it has", 1901*ms, 100*ms, requestqueue.Expired),
	)

	It("never expires without a timeout", func() {
		endless := requestqueue.Request{Objective: 300 * ms}
		Expect(endless.Outlook(time.Hour, 0)).To(Equal(requestqueue.Late))
	})
})

var _ = Describe("NewestFirst", func() {
	capacity := requestqueue.Capacity{Slots: 3, Work: 50 * ms}

	It("serves what can be in time first, by priority and newest first, then what gives up first", func() {
		Expect(served(requestqueue.NewestFirst{}, time.Second, capacity,
			request(300*ms, 1), request(200*ms, 1), request(100*ms, 2),
			request(900*ms, 2), request(800*ms, 1), request(850*ms, 1),
		)).To(Equal([]int{5, 4, 3, 1, 0, 2}))
	})
})
