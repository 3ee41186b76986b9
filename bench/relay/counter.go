package relay

import (
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
)

// packetCounter is a readable go-kit counter of packets. It ignores label values.
type packetCounter struct{ value atomic.Int64 }

// With implements metrics.Counter.
func (c *packetCounter) With(...string) metrics.Counter { return c }

// Add implements metrics.Counter.
func (c *packetCounter) Add(delta float64) { c.value.Add(int64(delta)) }

// Value returns the number of packets.
func (c *packetCounter) Value() int64 { return c.value.Load() }
