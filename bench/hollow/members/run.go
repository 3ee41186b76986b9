// This file implements the course of a run.

package members

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

const (
	notReached    = -1
	startSpread   = 30 * time.Second
	checkInterval = 250 * time.Millisecond
	betweenFaults = 30 * time.Second
	day           = 24 * time.Hour
)

// Run starts the fleet, lets it settle, and puts it through a usual day and the
// faults one after another. Progress may be nil. It fails for impossible options
// and when ctx ends.
func Run(ctx context.Context, options Options, progress io.Writer) (Report, error) {
	if err := options.validate(); err != nil {
		return Report{}, err
	}
	if progress == nil {
		progress = io.Discard
	}
	course := &course{
		fleet:  newFleet(options),
		report: Report{Options: options},
		logger: log.NewWithOptions(progress, log.Options{Formatter: log.JSONFormatter}),
	}
	phases := []struct {
		name string
		run  func()
	}{
		{"start", course.start},
		{"usual day", course.usualDay},
		{"kills", course.kills},
		{"zone", course.loseZone},
		{"cut", course.cut},
	}
	for _, phase := range phases {
		if err := ctx.Err(); err != nil {
			return Report{}, errors.Wrap(err, "members")
		}
		phase.run()
		course.logger.Info("done", "phase", phase.name, "virtual", course.fleet.network.Now().String())
	}
	course.reportChanges()
	course.reportAgents()
	course.report.FalseFailures = course.fleet.falseFailures
	course.report.LargestMessage = course.fleet.largest
	course.report.Network = course.fleet.network.Counters()
	return course.report, nil
}

// course is a run that goes on.
type course struct {
	fleet  *fleet
	report Report
	logger *log.Logger
}

func (c *course) wait(length time.Duration) { c.fleet.network.Run(c.fleet.network.Now() + length) }

// settle returns the seconds until all views are right.
func (c *course) settle() float64 { return c.until(c.fleet.agreed) }

// until returns the seconds until a condition holds.
func (c *course) until(holds func() bool) float64 {
	began := c.fleet.network.Now()
	for !holds() {
		if c.fleet.network.Now()-began >= c.fleet.options.Settling {
			return notReached
		}
		c.wait(checkInterval)
	}
	return (c.fleet.network.Now() - began).Seconds()
}

// firstVersion is the version of the table that the fleet begins with. It is
// older than the changes that daemons keep for others, so that a process that
// restarts has to fetch the whole table.
const firstVersion = 10_000

func (c *course) start() {
	for _, starting := range c.fleet.daemons {
		at := time.Duration(c.fleet.random.Int64N(int64(startSpread)))
		c.fleet.network.At(at, func() {
			starting.start()
			starting.install(c.fleet.network.Now(), firstVersion)
		})
	}
	c.wait(startSpread)
	c.report.Start = c.settle()
	c.fleet.network.At(c.fleet.network.Now(), c.fleet.watchForce)
}

// usualDay measures traffic while processes restart and machines fail.
func (c *course) usualDay() {
	c.fleet.network.StartMeters()
	began := c.fleet.network.Now()
	c.scheduleEach(c.fleet.options.RestartsPerDay, c.restartOne)
	c.scheduleEach(c.fleet.options.FailuresPerDay, func() { c.random().stop() })
	c.scheduleEach(c.fleet.options.ChangesPerDay, c.fleet.publish)
	c.scheduleEach(c.fleet.options.AgentRestartsPerDay, c.fleet.restartAgent)
	c.wait(c.fleet.options.Usual)
	seconds := (c.fleet.network.Now() - began).Seconds()
	for _, metered := range c.fleet.daemons {
		usage := c.fleet.network.Usage(metered.id)
		mean := float64(usage.Bytes()) / seconds
		c.report.MeanBytes += mean / float64(len(c.fleet.daemons))
		c.report.LargestMean = max(c.report.LargestMean, mean)
	}
	c.report.LargestWindow = c.largestWindow()
}

func (c *course) largestWindow() float64 {
	var largest float64
	for _, metered := range c.fleet.daemons {
		window := c.fleet.network.Usage(metered.id).WorstWindowBytes
		largest = max(largest, float64(window)/simnet.WindowSeconds)
	}
	return largest
}

// scheduleEach plans an action at even intervals within the usual day.
func (c *course) scheduleEach(perDay int, action func()) {
	c.scheduleWithin(c.fleet.options.Usual, perDay, action)
}

func (c *course) scheduleWithin(length time.Duration, perDay int, action func()) {
	if perDay == 0 {
		return
	}
	interval := day / time.Duration(perDay)
	end := c.fleet.network.Now() + length
	for at := c.fleet.network.Now() + interval; at < end; at += interval {
		c.fleet.network.At(at, action)
	}
}

func (c *course) random() *daemon {
	for {
		chosen := c.fleet.daemons[c.fleet.random.IntN(len(c.fleet.daemons))]
		if c.fleet.runs(chosen) {
			return chosen
		}
	}
}

func (d *daemon) stop() { d.fleet.network.Stop(d.id) }

func (c *course) restartOne() {
	restarted := c.random()
	restarted.stop()
	c.fleet.network.At(c.fleet.network.Now()+time.Second, restarted.start)
}

// kills stops daemons one after another and starts them again later.
func (c *course) kills() {
	for range c.fleet.options.Kills {
		c.settle()
		killed := c.random()
		killed.stop()
		began := c.fleet.network.Now()
		took := c.settle()
		if took != notReached {
			took = (c.lastLearned(began) - began).Seconds()
		}
		c.report.Kills = append(c.report.Kills, took)
		killed.start()
		c.wait(betweenFaults)
	}
}

// lastLearned returns when the last process learned of a failure.
func (c *course) lastLearned(since time.Duration) time.Duration {
	last := since
	for _, asked := range c.fleet.daemons {
		if c.fleet.runs(asked) {
			last = max(last, asked.failed)
		}
	}
	return last
}

// loseZone stops a zone for a minute. What others think of it meanwhile is not
// judged: they cannot tell a lost zone from one that is cut off.
func (c *course) loseZone() {
	zone := c.fleet.daemons[len(c.fleet.daemons)-1].zone
	var lost []*daemon
	for _, candidate := range c.fleet.daemons {
		if candidate.zone == zone && c.fleet.runs(candidate) {
			lost = append(lost, candidate)
			candidate.stop()
		}
	}
	c.wait(time.Minute)
	for _, returning := range lost {
		returning.start()
	}
	c.report.ZoneBack = c.settle()
}

// cut separates the first region from all others for a time.
func (c *course) cut() {
	if c.fleet.options.Cut == 0 || c.fleet.options.Regions < 2 {
		return
	}
	c.fleet.network.StartMeters()
	c.setCut(true)
	c.scheduleWithin(c.fleet.options.Cut, c.fleet.options.ChangesPerDay, c.fleet.publish)
	c.wait(c.fleet.options.Cut)
	c.setCut(false)
	healed := c.fleet.network.Now()
	c.report.CaughtUp = c.until(func() bool { return c.fleet.lowest() == c.fleet.newest() })
	c.report.Healed = c.settle()
	if c.report.Healed != notReached {
		c.report.Healed = (c.fleet.network.Now() - healed).Seconds()
	}
	c.report.CutLargestWindow = c.largestWindow()
}

// setCut separates the first region from the others, or ends that.
func (c *course) setCut(cut bool) {
	c.fleet.cut = cut
	for region := 1; region < c.fleet.options.Regions; region++ {
		if cut {
			c.fleet.network.Cut(regionName(0), regionName(region))
			continue
		}
		c.fleet.network.Heal(regionName(0), regionName(region))
	}
}

func (c *course) reportChanges() {
	times, unfinished := c.fleet.force()
	slices.Sort(times)
	c.report.Changes = len(times) + unfinished
	c.report.Unfinished = unfinished
	c.report.Fetches = c.fleet.fetches
	if len(times) > 0 {
		c.report.InForceMedian = times[len(times)/2]
		c.report.InForceLargest = times[len(times)-1]
	}
}

func (c *course) reportAgents() {
	times, unfinished := c.fleet.agentsKnown()
	c.report.AgentRestarts = len(times) + unfinished
	c.report.AgentsUnknown = unfinished
	if len(times) > 0 {
		c.report.AgentsKnownMedian = times[len(times)/2]
		c.report.AgentsKnownLargest = times[len(times)-1]
	}
}
