// This file runs the phases of an experiment.

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
	// leaseWait is the wait between the start of the daemons and the first flow. It is longer
	// than the longest lease, so that agents have obtained leases and the start of the whole
	// fleet does not count as an event.
	leaseWait = 5 * time.Second
	// spreadWait is the wait between the ramp and the measurement of imbalance. The first
	// flows end in it, so that the ages of the open flows are spread over their whole length.
	spreadWait = 6 * time.Second
	// finalWait is the wait after the last event.
	finalWait = time.Second
)

// Run runs one experiment. It fails if the cluster cannot be started. Violations are part of the
// report.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := NewCluster(ctx, options)
	defer cluster.close(cancel)
	if err != nil {
		return Report{}, err
	}
	timing.Sleep(ctx, leaseWait)
	load := newLoad(cluster.client, options.Seed)
	imbalance := cluster.openFlows(ctx, load)
	events := Schedule(options.Shape, options.Experiment, options.Duration, options.Seed)
	cluster.ApplyEvents(ctx, events)
	timing.Sleep(ctx, finalWait)
	cluster.progress("letting %d flows finish", load.open.Load())
	load.finish()
	if ctx.Err() != nil {
		return Report{}, errors.Wrap(ctx.Err(), "experiment interrupted")
	}
	cluster.saveMetrics(ctx)
	cluster.Stop()
	results := load.resultsSoFar()
	if err := cluster.writeTrace(results); err != nil {
		return Report{}, err
	}
	report := cluster.report(results)
	report.Events = len(events)
	report.Imbalance, report.ImbalancePeak, report.ImbalanceFlows = imbalance.Mean, imbalance.Peak, imbalance.Open
	return report, nil
}

// openFlows starts the callers and measures the imbalance after the ramp and spreadWait.
func (c *Cluster) openFlows(ctx context.Context, load *load) Imbalance {
	c.progress("opening flows")
	for _, service := range c.options.Shape.Services {
		load.start(ctx, service)
	}
	timing.Sleep(ctx, rampTime+spreadWait)
	imbalance := c.measureImbalance(ctx)
	c.progress("%d flows open, imbalance %.2f", imbalance.Open, imbalance.Mean)
	return imbalance
}

// close stops the daemons and everything else that is still running.
func (c *Cluster) close(cancel context.CancelFunc) {
	c.Stop()
	cancel()
	if err := c.running.Wait(); err != nil {
		c.progress("fault: %v", err)
	}
}

func (c *Cluster) report(results []caller.Result) Report {
	c.mutex.Lock()
	observed := observations{
		options: c.options, results: results, recorder: c.recorder, acceptances: c.acceptances,
		kills: slices.Clone(c.agentKills), drainPeriods: slices.Clone(c.drainPeriods), faults: slices.Clone(c.faults),
	}
	c.mutex.Unlock()
	report := newReport(observed)
	report.Fabric = c.fabric.Counters()
	report.Seconds = time.Since(c.started).Seconds()
	for _, member := range c.endpoints {
		report.UnusedConnections += member.backend.Counters().ClosedUnused
	}
	return report
}
