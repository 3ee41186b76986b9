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

// reply is one scripted answer: a revision or, if that is 0, an error.
type reply struct {
	revision platform.Revision
	err      error
}

var (
	errDown    = platform.FetchError{URL: "http://x", Reason: platform.Unreachable, Cause: errors.New("refused")}
	errInvalid = platform.FetchError{URL: "http://x", Reason: platform.BadContent, Cause: errors.New("column weight")}
)

type run struct {
	delivered []platform.Revision
	confirmed int
	delays    []time.Duration
}

// play runs a poller over the replies in virtual time, without jitter.
func play(replies []reply) run {
	next := 0
	return playFetch(context.Background(), func(context.Context) (platform.Machines, error) {
		answer := replies[next]
		next++
		return platform.Machines{Revision: answer.revision}, answer.err
	}, len(replies))
}

// playClient polls the configuration of a client a number of times.
func playClient(ctx context.Context, client *platform.Client, polls int) run {
	return playFetch(ctx, client.Configuration, polls)
}

func playFetch[Answer platform.Revisioned](ctx context.Context, fetch func(context.Context) (Answer, error), polls int) run {
	var observed run
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	poller := platform.NewPoller(platform.PollerConfig[Answer]{
		Fetch: fetch,
		Deliver: func(answer Answer) {
			observed.delivered = append(observed.delivered, answer.CurrentRevision())
		},
		OnUnchanged: func() { observed.confirmed++ },
		Interval:    time.Second,
		Logger:      log.New(io.Discard),
		Random:      func() float64 { return 0 },
		Sleep: func(ctx context.Context, duration time.Duration) error {
			observed.delays = append(observed.delays, duration)
			if len(observed.delays) == polls {
				cancel()
			}
			return ctx.Err()
		},
	})
	Expect(poller.Run(ctx)).To(Succeed())
	return observed
}

var _ = Describe("Poller", func() {
	DescribeTable("delivers only newer revisions, and slows down only while there are no answers",
		func(replies []reply, delivered []platform.Revision, seconds ...int) {
			observed := play(replies)
			Expect(observed.delivered).To(Equal(delivered))
			expected := make([]time.Duration, len(seconds))
			for index, count := range seconds {
				expected[index] = time.Duration(count) * time.Second
			}
			Expect(observed.delays).To(Equal(expected))
		},
		Entry("rising", []reply{{1, nil}, {2, nil}, {5, nil}}, []platform.Revision{1, 2, 5}, 1, 1, 1),
		Entry("unchanged", []reply{{3, nil}, {3, nil}}, []platform.Revision{3}, 1, 1),
		Entry("stale replica", []reply{{3, nil}, {2, nil}, {3, nil}, {4, nil}}, []platform.Revision{3, 4}, 1, 1, 1, 1),
		Entry("down, then back", []reply{{1, nil}, {0, errDown}, {0, errDown}, {0, errDown}, {0, errDown}, {2, nil}, {0, errDown}},
			[]platform.Revision{1, 2}, 1, 2, 4, 5, 5, 1, 2),
		Entry("invalid, then mended at the same revision", []reply{{0, errInvalid}, {1, nil}}, []platform.Revision{1}, 2, 1),
		Entry("back with an old revision", []reply{{9, nil}, {0, errDown}, {8, nil}, {10, nil}}, []platform.Revision{9, 10}, 1, 2, 1, 1),
	)

	It("confirms only the newest revision", func() {
		observed := play([]reply{{2, nil}, {2, nil}, {1, nil}, {0, errDown}, {0, errInvalid}, {2, nil}, {3, nil}})
		Expect(observed.confirmed).To(Equal(2))
	})

	It("ends without delivering an answer that comes after its context", func() {
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
			step := decider.Decide(result, revision, rapid.Float64Range(0, 0.999).Draw(t, "random"))

			isNewer := result == platform.Succeeded && revision > newest
			if (step.Outcome == platform.OutcomeNew) != isNewer {
				t.Fatalf("revision %d after %d: %s", revision, newest, step.Outcome)
			}
			if isNewer {
				newest = revision
			}
			if step.Delay < interval/2 || step.Delay > longest {
				t.Fatalf("delay %s is outside %s to %s", step.Delay, interval/2, longest)
			}
		}
	})
}
