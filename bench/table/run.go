// This file implements a run: start, disturbance, and the check at its end.

package table

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
)

const (
	// startTimeout bounds the start of the cluster, and settleTimeout the time
	// in which all daemons must have the newest version at the end.
	startTimeout  = 2 * time.Minute
	settleTimeout = time.Minute
	// experimentName is that of the report.
	experimentName = "table"
)

// Run does one run. It fails if the daemons cannot be run; broken promises are
// in the report.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.Validate(); err != nil {
		return Result{}, err
	}
	running, err := newCluster(ctx, options)
	if err != nil {
		return Result{}, err
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	parts.Go(func() { _ = running.platform.Run(serving) })
	watching := newWatcher(running)
	parts.Go(func() { watching.run(serving) })
	defer func() {
		running.stop()
		stopServing()
		parts.Wait()
	}()
	return running.run(ctx, watching)
}

func (c *cluster) run(ctx context.Context, watching *watcher) (Result, error) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.start(starting); err != nil {
		return Result{}, err
	}
	c.progress("%d daemons have a table", len(c.daemons))
	kept := &ledger{}
	disturbing := c.disturb(ctx, watching, kept)
	c.settle(ctx, kept)
	return c.report(ctx, watching, kept, disturbing), ctx.Err()
}

// disturb changes the table and disturbs daemons for the duration of the run.
func (c *cluster) disturb(ctx context.Context, watching *watcher, kept *ledger) *disturber {
	disturbed, cancel := context.WithTimeout(ctx, c.options.Duration)
	defer cancel()
	disturbing := newDisturber(c, watching)
	watching.countGaps(true)
	var acting sync.WaitGroup
	acting.Go(func() { disturbing.run(disturbed) })
	for number := range operators {
		acting.Go(func() { newOperator(number, c, kept).run(disturbed) })
	}
	acting.Wait()
	watching.countGaps(false)
	return disturbing
}

// settle waits until all daemons have the platform's last revision and the last
// accepted change. What is not reached in time is found by the check.
func (c *cluster) settle(ctx context.Context, kept *ledger) {
	settling, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_ = c.await(settling, "all daemons agree", func() bool {
		versions := make([]uint64, 0, len(c.daemons))
		for _, settled := range c.daemons {
			answer, err := settled.client.Table(settling, "")
			if err != nil || len(answer.Table.Backends) < rows || answer.Table.Backends[0].ConnectionLimit != c.platformLimit() {
				return false
			}
			versions = append(versions, uint64(answer.Table.Version))
		}
		return slices.Max(versions) == slices.Min(versions) && slices.Max(versions) >= newest(kept.accepted)
	})
}

func newest(changes []accepted) uint64 {
	var version uint64
	for _, change := range changes {
		version = max(version, change.version)
	}
	return version
}

func (c *cluster) report(ctx context.Context, watching *watcher, kept *ledger, disturbing *disturber) Result {
	report := Result{
		Experiment: experimentName, Seed: c.options.Seed, Daemons: len(c.daemons), Voters: voters,
		Seconds: c.options.Duration.Seconds(), Kills: disturbing.kills, Pauses: disturbing.pauses,
		ChangesAccepted: len(kept.accepted), ChangesRefused: kept.refused, ChangesUndecided: len(kept.undecided),
		LeaderGapMax: watching.leaderGap.Seconds(),
	}
	report.InForceP50, report.InForceMax = middleAndMost(watching.delays(kept.accepted))
	report.AnswerP50, report.AnswerMax = middleAndMost(kept.answers)
	final := newest(kept.accepted)
	for _, checked := range c.daemons {
		c.check(ctx, checked, kept, final, &report)
	}
	return report
}

// check adds to the report what is wrong on one daemon.
func (c *cluster) check(ctx context.Context, checked *daemon, kept *ledger, final uint64, report *Result) {
	answer, err := checked.client.Table(ctx, "")
	if err != nil || uint64(answer.Table.Version) < final {
		report.Behind++
		c.progress("%s is behind: version %d of %d, error %v", checked.name, versionOf(answer), final, err)
		return
	}
	history, err := checked.client.History(ctx, 0, adminapi.MaxHistoryLimit)
	if err != nil {
		report.Behind++
		return
	}
	known := make(map[string]uint64, len(history.Records))
	for _, record := range history.Records {
		known[record.ID] = uint64(record.Version)
	}
	for _, change := range kept.accepted {
		if known[change.id] != change.version {
			report.Lost++
			c.progress("%s has lost %s of version %d", checked.name, change.id, change.version)
		}
	}
	report.Reverted += reverted(kept, answer)
	for _, row := range answer.Table.Backends {
		if row.ConnectionLimit != c.platformLimit() {
			report.PlatformReverted++
		}
	}
}

func versionOf(answer adminapi.TableAnswer) uint64 {
	if answer.Table == nil {
		return 0
	}
	return uint64(answer.Table.Version)
}

// reverted counts the rows whose weight is not that of the last accepted change
// of them. A row with a change that was never decided may have either.
func reverted(kept *ledger, answer adminapi.TableAnswer) int {
	last := make(map[uint32]accepted)
	for _, change := range kept.accepted {
		if change.version > last[change.row].version {
			last[change.row] = change
		}
	}
	count := 0
	for _, row := range answer.Table.Backends {
		change, changed := last[uint32(row.ID)]
		if changed && row.Weight != change.weight && !slices.Contains(kept.undecided, uint32(row.ID)) {
			count++
		}
	}
	return count
}

// middleAndMost returns the median and the largest of some values, zeros if
// there are none.
func middleAndMost(values []float64) (middle, most float64) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
