// This file implements the course of a run.

package hollow

import (
	"context"
	"io"
	"runtime"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

// progressInterval is the virtual time between looks at the context.
const progressInterval = time.Second

// Run starts a fleet, fills it with flows, measures it, and returns the report.
// It fails for impossible options and when ctx ends.
func Run(ctx context.Context, options Options) (Report, Cost, error) {
	if err := options.validate(); err != nil {
		return Report{}, Cost{}, err
	}
	began := time.Now()
	logger := newLogger(options.Progress)
	var cost Cost
	started := newFleet(options)
	started.schedule()
	end := options.Starting + options.Filling + options.Duration
	for at := time.Duration(0); at < end; at += progressInterval {
		if err := ctx.Err(); err != nil {
			return Report{}, Cost{}, errors.Wrap(err, "hollow")
		}
		started.network.Run(min(at+progressInterval, end))
		cost.Heap = max(cost.Heap, heapInUse())
		started.logProgress(logger, time.Since(began))
	}
	report := started.report()
	cost.Wall = time.Since(began)
	return report, cost, nil
}

func newLogger(progress io.Writer) *log.Logger {
	if progress == nil {
		progress = io.Discard
	}
	return log.NewWithOptions(progress, log.Options{Formatter: log.JSONFormatter})
}

// logInterval is the virtual time between log lines.
const logInterval = 10 * time.Second

func (f *fleet) logProgress(logger *log.Logger, wall time.Duration) {
	if now := f.network.Now(); now%logInterval == 0 {
		logger.Info("running", "virtual", now.String(), "wall", wall.Round(time.Second).String(),
			"open_flows", len(f.traffic.flows.open), "events", f.network.Counters().Events)
	}
}

func heapInUse() uint64 {
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapInuse
}

// schedule plans all that happens by itself.
func (f *fleet) schedule() {
	f.network.At(0, f.start)
	f.network.At(f.options.Starting, f.updateFabric)
	if f.options.Liveness == LivenessAgreed {
		f.network.At(0, f.agreeOnLiveness)
	}
	f.network.At(f.options.Starting, f.traffic.batch)
	f.network.At(f.options.Starting+f.options.Filling, f.measure)
	f.scheduleFaults()
}

// measure begins the measured time.
func (f *fleet) measure() {
	f.measuring = true
	f.tally.atStart = f.tally.FlowCounts
	f.network.StartMeters()
	if f.options.ChangeInterval > 0 {
		f.changeTable()
		f.network.At(f.network.Now()+forceInterval, f.watchForce)
	}
}
