package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	"github.com/pkg/errors"
)

// Snapshot is an answer that a poller can order.
type Revisioned interface {
	// CurrentRevision returns the platform's revision of the answer.
	CurrentRevision() Revision
}

// OutcomeLabel is the label of PollerMetrics.Polls; its values are those of
// Outcome.String.
const OutcomeLabel = "outcome"

// PollerMetrics are the metrics of a poller. Nil ones are discarded.
type PollerMetrics struct {
	// Polls counts requests by OutcomeLabel.
	Polls metrics.Counter
	// Revision is the newest revision delivered.
	Revision metrics.Gauge
}

// PollerConfig is the configuration of a Poller.
type PollerConfig[Answer Revisioned] struct {
	// Fetch makes one request, such as Client.Configuration.
	Fetch func(context.Context) (Answer, error)
	// Deliver receives answers in order of rising revisions, one at a time.
	Deliver func(Answer)
	// Confirm is called when the service gives the revision that was
	// delivered last once more. It may be nil.
	OnUnchanged func()
	// Interval is the time from one answer to the next request.
	Interval time.Duration
	Logger   *log.Logger
	Metrics  PollerMetrics
	// Wait pauses for a duration or until ctx ends, when it returns the
	// error of ctx. Nil means by the system's clock.
	Sleep func(ctx context.Context, duration time.Duration) error
	// Random returns numbers from 0 to below 1. Nil means the generator of
	// math/rand/v2.
	Random func() float64
}

// Poller asks a service of the platform again and again and delivers the
// answers that are newer than all before. A service that is down, slow, stale
// or wrong only delays it.
type Poller[Answer Revisioned] struct {
	config  PollerConfig[Answer]
	decider *Decider
	last    Outcome
}

// NewPoller returns a poller that starts with Run.
func NewPoller[Answer Revisioned](config PollerConfig[Answer]) *Poller[Answer] {
	if config.Sleep == nil {
		config.Sleep = wait
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.OnUnchanged == nil {
		config.OnUnchanged = func() {}
	}
	if config.Metrics.Polls == nil {
		config.Metrics.Polls = discard.NewCounter()
	}
	if config.Metrics.Revision == nil {
		config.Metrics.Revision = discard.NewGauge()
	}
	return &Poller[Answer]{config: config, decider: NewDecider(config.Interval)}
}

// Run polls until ctx ends and then returns nil.
func (p *Poller[Answer]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := p.poll(ctx)
		if err := p.config.Sleep(ctx, delay); err != nil {
			break
		}
	}
	return nil
}

func (p *Poller[Answer]) poll(ctx context.Context) time.Duration {
	answer, err := p.config.Fetch(ctx)
	if ctx.Err() != nil {
		return 0
	}
	var revision Revision
	if err == nil {
		revision = answer.CurrentRevision()
	}
	step := p.decider.Decide(resultOf(err), revision, p.config.Random())
	p.config.Metrics.Polls.With(OutcomeLabel, step.Outcome.String()).Add(1)
	p.report(step, revision, err)
	switch step.Outcome {
	case OutcomeNew:
		p.config.Metrics.Revision.Set(float64(revision))
		p.config.Deliver(answer)
	case OutcomeUnchanged:
		p.config.OnUnchanged()
	}
	return step.Delay
}

// report logs changes of the outcome only, since a service may fail for hours.
func (p *Poller[Answer]) report(step Decision, revision Revision, err error) {
	changed := step.Outcome != p.last
	failedBefore := p.last == OutcomeFailed || p.last == OutcomeInvalid
	p.last = step.Outcome
	switch step.Outcome {
	case OutcomeNew:
		p.config.Logger.Info("platform revision received", "revision", uint64(revision))
	case OutcomeUnchanged:
		if failedBefore {
			p.config.Logger.Info("platform answers again", "revision", uint64(revision))
		}
	case OutcomeStale:
		if changed {
			p.config.Logger.Warn("platform gives an old revision", "revision", uint64(revision))
		}
	case OutcomeFailed, OutcomeInvalid:
		if changed {
			p.config.Logger.Warn("platform gives no usable answer", "outcome", step.Outcome, "error", err)
		}
	}
}

func resultOf(err error) Result {
	if err == nil {
		return Succeeded
	}
	var failed FetchError
	if errors.As(err, &failed) && failed.Reason == BadContent {
		return Invalid
	}
	return Failed
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
