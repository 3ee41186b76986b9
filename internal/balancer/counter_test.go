package balancer_test

import (
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
)

// reasonCounter is a go-kit counter that keeps a total and one value for each of the
// given label values.
type reasonCounter struct {
	total    *atomic.Int64
	byReason map[string]*atomic.Int64
	reason   string
}

func newReasonCounter(reasons ...string) *reasonCounter {
	created := &reasonCounter{total: &atomic.Int64{}, byReason: map[string]*atomic.Int64{}}
	for _, reason := range reasons {
		created.byReason[reason] = &atomic.Int64{}
	}
	return created
}

func (c *reasonCounter) With(labelValues ...string) metrics.Counter {
	return &reasonCounter{total: c.total, byReason: c.byReason, reason: labelValues[1]}
}

func (c *reasonCounter) Add(delta float64) {
	c.total.Add(int64(delta))
	if counter, exists := c.byReason[c.reason]; exists {
		counter.Add(int64(delta))
	}
}

func (c *reasonCounter) Value() int64 { return c.total.Load() }

func (c *reasonCounter) Of(reason string) int64 { return c.byReason[reason].Load() }
