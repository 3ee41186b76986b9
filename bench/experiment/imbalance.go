// This file measures the imbalance between the back ends of a service.

package experiment

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/bench/timing"
)

// Imbalance is the ratio between the largest load of a back end and the mean load of its
// service, where load is open flows per weight. 1 means perfect balance.
type Imbalance struct {
	// Mean is the mean of all samples. Each sample is the imbalance of the worst service.
	Mean float64 `json:"mean"`
	// Peak is the largest sample.
	Peak float64 `json:"peak"`
	// Open is the smallest number of open flows in any sample.
	Open    int64 `json:"open"`
	Samples int   `json:"samples"`
}

const (
	imbalanceSamples  = 20
	imbalanceInterval = 250 * time.Millisecond
)

// measureImbalance samples the number of open connections of the back ends.
func (c *Cluster) measureImbalance(ctx context.Context) Imbalance {
	var measured Imbalance
	for timing.Sleep(ctx, imbalanceInterval) {
		worst, open := c.sampleImbalance()
		measured.Samples++
		measured.Mean += (worst - measured.Mean) / float64(measured.Samples)
		measured.Peak = max(measured.Peak, worst)
		if measured.Samples == 1 || open < measured.Open {
			measured.Open = open
		}
		if measured.Samples == imbalanceSamples {
			break
		}
	}
	return measured
}

// sampleImbalance returns the largest imbalance of any service and the number of open flows of
// all services.
func (c *Cluster) sampleImbalance() (float64, int64) {
	worst := 0.0
	var total int64
	for _, service := range c.options.Shape.Services {
		var shares []float64
		for _, member := range c.endpoints {
			if member.service != service.Name || !member.listed || !member.row.AcceptsNewFlows() {
				continue
			}
			open := member.backend.Counters().Open
			total += open
			shares = append(shares, float64(open)/float64(member.row.Weight))
		}
		worst = max(worst, maxOverMean(shares))
	}
	return worst, total
}

func maxOverMean(shares []float64) float64 {
	sum, largest := 0.0, 0.0
	for _, share := range shares {
		sum += share
		largest = max(largest, share)
	}
	if sum == 0 {
		return 0
	}
	return largest * float64(len(shares)) / sum
}
