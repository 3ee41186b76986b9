// This file implements the callers of an experiment: a fixed number of flows
// is kept open for each service until the load ends.

package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanetiller/vanetiller/bench/caller"
)

const (
	rampTime = 3 * time.Second
	// refusedPause is how long a caller waits after a flow that did not
	// complete.
	refusedPause = 200 * time.Millisecond
	// submitPause is the mean time between two submissions of one caller.
	submitPause = 500 * time.Millisecond
	// lengthSpread is the part by which the number of pieces varies.
	lengthSpread = 0.5
)

// load keeps flows open and collects their results.
type load struct {
	client *caller.Client
	seed   uint64
	// ending is closed when no new flow shall start.
	ending chan struct{}
	active sync.WaitGroup
	open   atomic.Int64

	mutex   sync.Mutex
	results []caller.Result
}

func newLoad(client *caller.Client, seed uint64) *load {
	return &load{client: client, seed: seed, ending: make(chan struct{})}
}

// start begins the callers of one service, spread over the ramp.
func (l *load) start(ctx context.Context, service ServiceShape) {
	for number := range service.Callers {
		delay := rampTime * time.Duration(number) / time.Duration(service.Callers)
		l.active.Go(func() { l.caller(ctx, service, number, delay) })
	}
}

// end lets the open flows finish and waits for them.
func (l *load) end() {
	close(l.ending)
	l.active.Wait()
}

func (l *load) caller(ctx context.Context, service ServiceShape, number int, delay time.Duration) {
	random := rand.New(rand.NewPCG(l.seed, uint64(service.ID)<<32|uint64(number)))
	flows := service.flowsOf(number)
	for sequence := 0; l.wait(ctx, delay); sequence++ {
		plan := newPlan(service, flows, fmt.Sprintf("%s-%d-%d", service.Name, number, sequence), random)
		l.open.Add(1)
		result := l.client.Run(ctx, plan)
		l.open.Add(-1)
		l.record(result)
		delay = pauseAfter(result, random)
	}
}

// wait returns false when no further flow shall start, also when the load ends
// in the same moment as the delay.
func (l *load) wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-l.ending:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return !l.isEnding() && ctx.Err() == nil
	}
}

func (l *load) isEnding() bool {
	select {
	case <-l.ending:
		return true
	default:
		return false
	}
}

// newPlan varies the length of the flow, so that flows do not end in step.
func newPlan(service ServiceShape, flows Flows, id string, random *rand.Rand) caller.Plan {
	factor := 1 - lengthSpread + random.Float64()*lengthSpread
	return caller.Plan{
		ID:        id,
		Service:   caller.Service{Name: service.Name, Address: service.Address},
		Kind:      flows.Kind,
		Pieces:    max(1, int(float64(flows.Pieces)*factor)),
		PieceSize: flows.PieceSize,
		Pause:     flows.Pause,
	}
}

func pauseAfter(result caller.Result, random *rand.Rand) time.Duration {
	switch {
	case result.Outcome != caller.OutcomeCompleted:
		return refusedPause
	case result.Plan.Kind == caller.KindSubmit:
		return time.Duration(random.Int64N(int64(2 * submitPause)))
	}
	return 0
}

func (l *load) record(result caller.Result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results = append(l.results, result)
}

// finished returns the results so far.
func (l *load) finished() []caller.Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.results[:len(l.results):len(l.results)]
}
