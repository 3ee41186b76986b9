package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

const (
	programName = "vanetiller-relay"
	// readyTimeout is how long all balancers may take to be ready at the start.
	readyTimeout = 20 * time.Second
	// settleTime is how long after the last fault has ended requests count for the
	// recovery, judgeTime how long they do, and endTime how long the last take.
	settleTime = 5 * time.Second
	judgeTime  = 4 * time.Second
	endTime    = requestTimeout + 500*time.Millisecond
	// askInterval is the time between two requests of a zone.
	askInterval = 30 * time.Millisecond
	// repeatableShare is the share of requests that may be repeated.
	repeatableShare = 0.7
	// lastingShare is the share of requests whose flows are kept open for seconds.
	lastingShare = 0.08
)

// Options are those of a run.
type Options struct {
	Seed uint64
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Faults is their number.
	Faults int
	// Directory takes the program, settings and logs of the processes.
	Directory string
	// Progress gets a line for each fault.
	Progress io.Writer
}

// Result is what came of a run.
type Result struct {
	Experiment string     `json:"experiment"`
	Seed       uint64     `json:"seed"`
	Seconds    float64    `json:"seconds"`
	Faults     int        `json:"faults"`
	Requests   int        `json:"asked"`
	Served     int        `json:"served"`
	Violations Violations `json:"broken"`
	// Descriptions describe the first broken promises.
	Descriptions []string `json:"causes,omitempty"`
}

// Run plays one run. It fails if the program cannot be built or started.
func Run(ctx context.Context, options Options) (Result, error) {
	report := Result{Experiment: "soak", Seed: options.Seed, Faults: options.Faults}
	binary, err := fleet.Build(ctx, options.Directory, programName)
	if err != nil {
		return report, err
	}
	begun := time.Now()
	w := &world{
		options: options, binary: binary, network: newNetwork(), codec: platformtest.Codec{Key: options.Seed + 1},
		store: platformtest.NewStore(), ledger: newLedger(func() time.Duration { return time.Since(begun) }),
	}
	running, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		w.stop()
		w.running.Wait()
	}()
	if err := w.begin(running); err != nil {
		return report, err
	}
	if err := w.awaitReady(running); err != nil {
		return report, err
	}
	w.play(running)
	report.Seconds = time.Since(begun).Seconds()
	w.ledger.conclude(&report)
	return report, errors.Wrap(ctx.Err(), "soak")
}

func (w *world) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	// The fabric takes balancers for ready until it has asked them.
	pause(ctx, (missedProbes+1)*probeInterval)
	for w.fabric.ready() < balancerCount {
		if time.Now().After(deadline) || !pause(ctx, probeInterval) {
			return errors.Errorf("%d of %d balancers are ready", w.fabric.ready(), balancerCount)
		}
	}
	return nil
}

// play lets clients ask while faults come, and some time beyond.
func (w *world) play(ctx context.Context) {
	asking, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	for zone, host := range w.clients {
		w.running.Go(func() { w.ask(asking, host, rand.New(rand.NewPCG(w.options.Seed, uint64(2+zone)))) })
	}
	w.playFaults(ctx)
	pause(ctx, settleTime)
	w.ledger.judge()
	pause(ctx, judgeTime)
	stopAsking()
	pause(ctx, endTime)
}

// ask sends requests until ctx ends.
func (w *world) ask(ctx context.Context, host *clientHost, random *rand.Rand) {
	for pause(ctx, askInterval) {
		wanted := w.drawRequest(random)
		if random.Float64() < lastingShare {
			wanted.rest = shortestRest + time.Duration(random.Int64N(int64(longestRest-shortestRest)))
		}
		host.ask(wanted)
	}
}

// drawRequest draws a request that has a flow of its own.
func (w *world) drawRequest(random *rand.Rand) *request {
	return &request{
		service: random.IntN(len(services)), repeatable: random.Float64() < repeatableShare, sent: w.ledger.now(),
	}
}

// playFaults begins the faults at their times and returns when all have ended.
func (w *world) playFaults(ctx context.Context) {
	begun := time.Now()
	var lasting sync.WaitGroup
	defer lasting.Wait()
	for _, next := range schedule(w.options.Seed, 0, w.options.Duration, w.options.Faults) {
		if !pause(ctx, next.at-time.Since(begun)) {
			return
		}
		fmt.Fprintf(w.options.Progress, "%8.3f s  %s\n", w.ledger.now().Seconds(), next.fault.name)
		lasting.Go(func() { w.playFault(ctx, next) })
	}
}

func (w *world) playFault(ctx context.Context, played planned) {
	if !played.fault.calm {
		w.ledger.disturb()
		defer w.ledger.disturb()
	}
	played.fault.run(ctx, w, rand.New(rand.NewPCG(played.seed, 0)))
}

// stop ends all processes of the run.
func (w *world) stop() {
	for _, each := range w.daemons() {
		each.mutex.Lock()
		each.removed = true
		each.mutex.Unlock()
		each.kill(0)
	}
}
