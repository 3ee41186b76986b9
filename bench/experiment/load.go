// This file implements the load of an experiment. A fixed number of callers of each service run
// one flow after the other until the load ends.

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
	// rampTime is the time over which the callers of a service are started.
	rampTime = 3 * time.Second
	// failurePause is how long a caller waits after a flow that did not complete.
	failurePause = 200 * time.Millisecond
	// meanSubmitPause is the mean wait between two submissions of a caller.
	meanSubmitPause = 500 * time.Millisecond
	// lengthSpread is the largest fraction of the pieces of a flow that is left out at random.
	lengthSpread = 0.5
)

// load keeps flows open and collects their results.
type load struct {
	client *caller.Client
	seed   uint64
	// stopping is closed when no new flow may start.
	stopping chan struct{}
	// active counts the running callers.
	active sync.WaitGroup
	// open is the number of flows that are running.
	open atomic.Int64

	mutex   sync.Mutex
	results []caller.Result
}

func newLoad(client *caller.Client, seed uint64) *load {
	return &load{client: client, seed: seed, stopping: make(chan struct{})}
}

// start starts the callers of one service, spread over rampTime.
func (l *load) start(ctx context.Context, service ServiceShape) {
	for number := range service.Callers {
		delay := rampTime * time.Duration(number) / time.Duration(service.Callers)
		l.active.Go(func() { l.runCaller(ctx, service, number, delay) })
	}
}

// finish prevents new flows and waits until the open flows have ended.
func (l *load) finish() {
	close(l.stopping)
	l.active.Wait()
}

func (l *load) runCaller(ctx context.Context, service ServiceShape, number int, delay time.Duration) {
	random := rand.New(rand.NewPCG(l.seed, uint64(service.ID)<<32|uint64(number)))
	flows := service.flowsOf(number)
	for sequence := 0; l.waitForNext(ctx, delay); sequence++ {
		plan := newPlan(service, flows, fmt.Sprintf("%s-%d-%d", service.Name, number, sequence), random)
		l.open.Add(1)
		result := l.client.Run(ctx, plan)
		l.open.Add(-1)
		l.record(result)
		delay = pauseAfter(result, random)
	}
}

// waitForNext waits for the delay. It returns false if no further flow may start, also if the
// load stops at the same moment as the delay ends.
func (l *load) waitForNext(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-l.stopping:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return !l.isStopping() && ctx.Err() == nil
	}
}

func (l *load) isStopping() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// newPlan returns a plan for a flow. Its length is random, so that flows do not all end at once.
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
		return failurePause
	case result.Plan.Kind == caller.KindSubmit:
		return time.Duration(random.Int64N(int64(2 * meanSubmitPause)))
	}
	return 0
}

func (l *load) record(result caller.Result) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results = append(l.results, result)
}

// resultsSoFar returns the results so far.
func (l *load) resultsSoFar() []caller.Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.results[:len(l.results):len(l.results)]
}
