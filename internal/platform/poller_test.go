package platform_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/platform"
)

// scriptedResult is the result of one fetch: a revision or, if that is 0, an error.
type scriptedResult struct {
	revision platform.Revision
	err      error
}

var (
	errUnreachable = platform.FetchError{URL: "http://x", Reason: platform.Unreachable, Cause: errors.New("refused")}
	errInvalid     = platform.FetchError{URL: "http://x", Reason: platform.BadContent, Cause: errors.New("column weight")}
)

type pollResult struct {
	delivered []platform.Revision
	unchanged int
	delays    []time.Duration
}

// pollScript runs a poller over scripted results in virtual time, without jitter.
func pollScript(results []scriptedResult) pollResult {
	next := 0
	return pollFetch(context.Background(), func(context.Context) (platform.Machines, error) {
		result := results[next]
		next++
		return platform.Machines{Revision: result.revision}, result.err
	}, len(results))
}

// pollClient polls the configuration of a client a number of times.
func pollClient(ctx context.Context, client *platform.Client, polls int) pollResult {
	return pollFetch(ctx, client.Configuration, polls)
}

func pollFetch[Response platform.Revisioned](ctx context.Context, fetch func(context.Context) (Response, error), polls int) pollResult {
	var result pollResult
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poller := platform.NewPoller(platform.PollerConfig[Response]{
		Fetch: fetch,
		Deliver: func(response Response) {
			result.delivered = append(result.delivered, response.CurrentRevision())
		},
		OnUnchanged: func() { result.unchanged++ },
		Interval:    time.Second,
		Logger:      log.New(io.Discard),
		Random:      func() float64 { return 0 },
		Sleep: func(ctx context.Context, duration time.Duration) error {
			result.delays = append(result.delays, duration)
			if len(result.delays) == polls {
				cancel()
			}
			return ctx.Err()
		},
	})
	Expect(poller.Run(ctx)).To(Succeed())
	return result
}

var _ = Describe("Poller", func() {
	DescribeTable("delivers only newer revisions and backs off only while requests fail",
		func(results []scriptedResult, delivered []platform.Revision, seconds ...int) {
			result := pollScript(results)
			Expect(result.delivered).To(Equal(delivered))
			expected := make([]time.Duration, len(seconds))
			for index, count := range seconds {
				expected[index] = time.Duration(count) * time.Second
			}
			Expect(result.delays).To(Equal(expected))
		},
		Entry("rising", []scriptedResult{{1, nil}, {2, nil}, {5, nil}}, []platform.Revision{1, 2, 5}, 1, 1, 1),
		Entry("unchanged", []scriptedResult{{3, nil}, {3, nil}}, []platform.Revision{3}, 1, 1),
		Entry("stale replica", []scriptedResult{{3, nil}, {2, nil}, {3, nil}, {4, nil}}, []platform.Revision{3, 4}, 1, 1, 1, 1),
		Entry("unavailable, then recovered", []scriptedResult{{1, nil}, {0, errUnreachable}, {0, errUnreachable}, {0, errUnreachable}, {0, errUnreachable}, {2, nil}, {0, errUnreachable}},
			[]platform.Revision{1, 2}, 1, 2, 4, 5, 5, 1, 2),
		Entry("invalid, then corrected at the same revision", []scriptedResult{{0, errInvalid}, {1, nil}}, []platform.Revision{1}, 2, 1),
		Entry("recovered with an old revision", []scriptedResult{{9, nil}, {0, errUnreachable}, {8, nil}, {10, nil}}, []platform.Revision{9, 10}, 1, 2, 1, 1),
	)

	It("reports only the newest revision as unchanged", func() {
		result := pollScript([]scriptedResult{{2, nil}, {2, nil}, {1, nil}, {0, errUnreachable}, {0, errInvalid}, {2, nil}, {3, nil}})
		Expect(result.unchanged).To(Equal(2))
	})

	It("ends without delivering a response that arrives after the end of its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		poller := platform.NewPoller(platform.PollerConfig[platform.Machines]{
			Fetch: func(context.Context) (platform.Machines, error) {
				cancel()
				return platform.Machines{Revision: 1}, nil
			},
			Deliver:  func(platform.Machines) { Fail("delivered after the end") },
			Interval: time.Hour,
			Logger:   log.New(io.Discard),
		})
		Expect(poller.Run(ctx)).To(Succeed())
	})
})

func TestDeciderProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "interval"))
		longest := max(interval, platform.MaxBackoff)
		decider := platform.NewDecider(interval)
		var newest platform.Revision
		for range rapid.IntRange(1, 40).Draw(t, "polls") {
			result := platform.Result(rapid.IntRange(0, 2).Draw(t, "result"))
			revision := platform.Revision(rapid.Uint64Range(1, 20).Draw(t, "revision"))
			decision := decider.Decide(result, revision, rapid.Float64Range(0, 0.999).Draw(t, "random"))

			isNewer := result == platform.Succeeded && revision > newest
			if (decision.Outcome == platform.OutcomeNew) != isNewer {
				t.Fatalf("revision %d after %d has outcome %s", revision, newest, decision.Outcome)
			}
			if isNewer {
				newest = revision
			}
			if decision.Delay < interval/2 || decision.Delay > longest {
				t.Fatalf("delay %s is outside %s to %s", decision.Delay, interval/2, longest)
			}
		}
	})
}
