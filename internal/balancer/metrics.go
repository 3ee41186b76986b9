package balancer

import (
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
)

// ReasonLabel is the label of Metrics.Dropped; its values are those of
// Reason.String.
const ReasonLabel = "reason"

// Metrics are the counters of a balancer. A nil counter is discarded.
type Metrics struct {
	// Forwarded counts the packets sent to an agent.
	Forwarded metrics.Counter
	// Dropped counts the datagrams not sent, by ReasonLabel.
	Dropped metrics.Counter
}

// tally counts the reasons of one batch, so that the shared counters are
// touched once a batch and not once a packet.
type tally [reasonCount]uint32

// counters holds one shared counter for each reason.
type counters [reasonCount]metrics.Counter

func newCounters(exported Metrics) *counters {
	prepared := &counters{}
	for _, reason := range Reasons() {
		prepared[reason] = orDiscard(exported.Dropped).With(ReasonLabel, reason.String())
	}
	prepared[Forwarded] = orDiscard(exported.Forwarded)
	return prepared
}

func orDiscard(counter metrics.Counter) metrics.Counter {
	if counter == nil {
		return discard.NewCounter()
	}
	return counter
}

// add moves the tally into the shared counters and clears it.
func (c *counters) add(counted *tally) {
	for reason, count := range counted {
		if count > 0 {
			c[reason].Add(float64(count))
		}
	}
	*counted = tally{}
}
