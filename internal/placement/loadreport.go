package placement

import (
	"math"
	"time"
)

const (
	// minReportDecay is the smallest time constant with which a load report decays.
	minReportDecay = 10 * time.Millisecond
	// defaultReportDecay is the time constant if the processing time is not known.
	defaultReportDecay = 50 * time.Millisecond
	// minObservationWeight is the smallest weight of an observation in the mean of a group.
	minObservationWeight = 0.05
	// groupDecay is the time constant with which the mean of a group decays, both against new
	// observations and without any.
	groupDecay = 2 * time.Second
	// maxObservedUtilization caps a single observation, so that the report of one agent has a
	// bounded effect on the mean of its group.
	maxObservedUtilization = 4.0
	// groupLifetime is how long a mean without observations is kept. It has decayed to almost
	// nothing by then.
	groupLifetime = 30 * time.Second
)

// LoadReport is the latest load that an agent has reported for its endpoint.
type LoadReport struct {
	// SlotsUsedByOthers is the number of slots that flows of other choosers occupied at
	// ReceivedAt.
	SlotsUsedByOthers float64
	ReceivedAt        time.Duration
	// Received is set once a report has been received.
	Received bool
}

// Estimate returns how many slots flows of other choosers occupy now. The report decays
// towards groupMean, the mean of the endpoint's group: within one processing time, most of the
// requests that it counted have been answered, and the endpoint is then used about as much as
// the others of its group.
func (r LoadReport) Estimate(now, processingTime time.Duration, groupMean float64) float64 {
	if !r.Received {
		return groupMean
	}
	decay := defaultReportDecay
	if processingTime > 0 {
		decay = max(processingTime, minReportDecay)
	}
	return groupMean + (r.SlotsUsedByOthers-groupMean)*math.Exp(-float64(now-r.ReceivedAt)/float64(decay))
}

// GroupUtilization is the mean utilization of a group of endpoints by other choosers: the
// slots that their flows occupy, as a share of all slots.
type GroupUtilization struct {
	mean float64
	at   time.Duration
}

// Observe adds the reported utilization of one endpoint of the group.
func (g *GroupUtilization) Observe(now time.Duration, utilization float64) {
	aged := 1 - math.Exp(-float64(now-g.at)/float64(groupDecay))
	g.mean += max(minObservationWeight, aged) * (min(utilization, maxObservedUtilization) - g.mean)
	g.at = now
}

// Expired reports whether the group has had no observation for so long that it can be
// dropped.
func (g *GroupUtilization) Expired(now time.Duration) bool { return now-g.at > groupLifetime }

// At returns the mean at a time. It decays without observations, so that a group that was
// full is tried again.
func (g *GroupUtilization) At(now time.Duration) float64 {
	return g.mean * math.Exp(-float64(now-g.at)/float64(groupDecay))
}
