package balancer

import (
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
)

// ReasonLabel is the label of Metrics.Dropped. Its values are those of
// Reason.String.
const ReasonLabel = "reason"

// Metrics holds the counters of a balancer. A nil counter discards its values.
type Metrics struct {
	// Forwarded counts the packets sent to agents.
	Forwarded metrics.Counter
	// Dropped counts the dropped datagrams, labelled with ReasonLabel.
	Dropped metrics.Counter
}

// reasonCounts counts the datagrams of one batch by reason. It makes it possible to
// update the shared counters once for each batch instead of once for each packet.
type reasonCounts [reasonCount]uint32

// counters holds the shared counter for each reason.
type counters [reasonCount]metrics.Counter

func newCounters(exported Metrics) *counters {
	created := &counters{}
	for _, reason := range Reasons() {
		created[reason] = counterOrDiscard(exported.Dropped).With(ReasonLabel, reason.String())
	}
	created[Forwarded] = counterOrDiscard(exported.Forwarded)
	return created
}

func counterOrDiscard(counter metrics.Counter) metrics.Counter {
	if counter == nil {
		return discard.NewCounter()
	}
	return counter
}

// add adds the counts of a batch to the shared counters and clears them.
func (c *counters) add(batch *reasonCounts) {
	for reason, count := range batch {
		if count > 0 {
			c[reason].Add(float64(count))
		}
	}
	*batch = reasonCounts{}
}
