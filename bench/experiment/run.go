// This file implements the phases of a run.

package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/timing"
)

const (
	// startTime lets the agents obtain leases for longer than the longest one
	// lasts, so that the start of a whole fleet does not count as an event.
	startTime = 5 * time.Second
	// steadyTime lets the first flows end, so that open flows are spread over
	// their whole length before imbalance is measured.
	steadyTime = 6 * time.Second
	// settleTime follows the last event.
	settleTime = time.Second
)

// Run does one experiment and reports what happened. It fails when the cluster
// cannot be started; broken promises are part of the report.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := NewCluster(ctx, options)
	defer cluster.close(cancel)
	if err != nil {
		return Report{}, err
	}
	timing.Sleep(ctx, startTime)
	load := newLoad(cluster.client, options.Seed)
	imbalance := cluster.openFlows(ctx, load)
	events := Schedule(options.Shape, options.Experiment, options.Duration, options.Seed)
	cluster.ApplyEvents(ctx, events)
	timing.Sleep(ctx, settleTime)
	cluster.progress("letting %d flows finish", load.open.Load())
	load.end()
	if ctx.Err() != nil {
		return Report{}, errors.Wrap(ctx.Err(), "run")
	}
	cluster.saveMetrics(ctx)
	cluster.Stop()
	results := load.finished()
	if err := cluster.writeTrace(results); err != nil {
		return Report{}, err
	}
	report := cluster.report(results)
	report.Events = len(events)
	report.Imbalance, report.ImbalancePeak, report.ImbalanceFlows = imbalance.Mean, imbalance.Peak, imbalance.Open
	return report, nil
}

// openFlows starts the callers and measures imbalance once their flows are
// spread.
func (c *Cluster) openFlows(ctx context.Context, load *load) Imbalance {
	c.progress("opening flows")
	for _, service := range c.options.Shape.Services {
		load.start(ctx, service)
	}
	timing.Sleep(ctx, rampTime+steadyTime)
	imbalance := c.measureImbalance(ctx)
	c.progress("%d flows open, imbalance %.2f", imbalance.Open, imbalance.Mean)
	return imbalance
}

// close ends everything that is still running.
func (c *Cluster) close(cancel context.CancelFunc) {
	c.Stop()
	cancel()
	if err := c.running.Wait(); err != nil {
		c.progress("fault: %v", err)
	}
}

func (c *Cluster) report(results []caller.Result) Report {
	c.mutex.Lock()
	seen := evidence{
		options: c.options, results: results, ledger: c.ledger, openings: c.openings,
		kills: slices.Clone(c.kills), departures: slices.Clone(c.departures), faults: slices.Clone(c.faults),
	}
	c.mutex.Unlock()
	report := newReport(seen)
	report.Fabric = c.fabric.Counters()
	report.Seconds = time.Since(c.started).Seconds()
	for _, member := range c.endpoints {
		report.UnusedConnections += member.backend.Counters().ClosedUnused
	}
	return report
}
