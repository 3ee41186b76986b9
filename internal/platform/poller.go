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

// Revisioned is a response that a poller can order by revision.
type Revisioned interface {
	// CurrentRevision returns the platform's revision of the response.
	CurrentRevision() Revision
}

// OutcomeLabel is the label of PollerMetrics.Polls. Its values are those of Outcome.String.
const OutcomeLabel = "outcome"

// PollerMetrics holds the metrics of a poller. Nil metrics are discarded.
type PollerMetrics struct {
	// Polls counts requests by OutcomeLabel.
	Polls metrics.Counter
	// Revision is the newest revision delivered.
	Revision metrics.Gauge
}

// PollerConfig is the configuration of a Poller.
type PollerConfig[Response Revisioned] struct {
	// Fetch makes one request, such as Client.Configuration.
	Fetch func(context.Context) (Response, error)
	// Deliver receives responses in order of increasing revisions, one at a time.
	Deliver func(Response)
	// OnUnchanged is called when the service returns the revision delivered last again. It may
	// be nil.
	OnUnchanged func()
	// Interval is the time from one response to the next request.
	Interval time.Duration
	Logger   *log.Logger
	Metrics  PollerMetrics
	// Sleep waits for a duration. If ctx ends first, it returns the error of ctx. Nil means to
	// wait by the system clock.
	Sleep func(ctx context.Context, duration time.Duration) error
	// Random returns numbers in [0, 1). Nil means the generator of math/rand/v2.
	Random func() float64
}

// Poller polls a service of the platform and delivers the responses that are newer than all
// earlier ones. A service that is unavailable, slow, stale or faulty only delays it.
type Poller[Response Revisioned] struct {
	config      PollerConfig[Response]
	decider     *Decider
	lastOutcome Outcome
}

// NewPoller returns a poller. Run starts it.
func NewPoller[Response Revisioned](config PollerConfig[Response]) *Poller[Response] {
	if config.Sleep == nil {
		config.Sleep = sleep
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
	return &Poller[Response]{config: config, decider: NewDecider(config.Interval)}
}

// Run polls until ctx ends and then returns nil.
func (p *Poller[Response]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := p.poll(ctx)
		if err := p.config.Sleep(ctx, delay); err != nil {
			break
		}
	}
	return nil
}

func (p *Poller[Response]) poll(ctx context.Context) time.Duration {
	response, err := p.config.Fetch(ctx)
	if ctx.Err() != nil {
		return 0
	}
	var revision Revision
	if err == nil {
		revision = response.CurrentRevision()
	}
	decision := p.decider.Decide(resultOf(err), revision, p.config.Random())
	p.config.Metrics.Polls.With(OutcomeLabel, decision.Outcome.String()).Add(1)
	p.report(decision, revision, err)
	switch decision.Outcome {
	case OutcomeNew:
		p.config.Metrics.Revision.Set(float64(revision))
		p.config.Deliver(response)
	case OutcomeUnchanged:
		p.config.OnUnchanged()
	}
	return decision.Delay
}

// report logs each new revision. It logs failures, stale revisions and recoveries only when the
// outcome changes, since a service may fail for hours.
func (p *Poller[Response]) report(decision Decision, revision Revision, err error) {
	changed := decision.Outcome != p.lastOutcome
	failedBefore := p.lastOutcome == OutcomeFailed || p.lastOutcome == OutcomeInvalid
	p.lastOutcome = decision.Outcome
	switch decision.Outcome {
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
			p.config.Logger.Warn("platform gives no usable answer", "outcome", decision.Outcome, "error", err)
		}
	}
}

func resultOf(err error) Result {
	if err == nil {
		return Succeeded
	}
	var fetchError FetchError
	if errors.As(err, &fetchError) && fetchError.Reason == BadContent {
		return Invalid
	}
	return Failed
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
