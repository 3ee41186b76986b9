// This file implements the course of a run and its report.

package members

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

// Report is the outcome of a run. Equal options give equal reports. Times are in
// seconds; zero for a time that was not measured, and negative if the views were
// not right within Options.Settling.
type Report struct {
	Options Options `json:"options"`
	// Start is until all views are right after a cold start.
	Start float64 `json:"start_s"`
	// MeanBytes, LargestMean and LargestWindow are bytes a second, sent and
	// received with headers, of a daemon on a usual day: the mean, that of the
	// busiest one, and the worst 10 seconds of any.
	MeanBytes     float64 `json:"mean_bytes_per_second"`
	LargestMean   float64 `json:"largest_mean_bytes_per_second"`
	LargestWindow float64 `json:"largest_window_bytes_per_second"`
	// Changes counts those of the usual day; InForceMedian and InForceLargest
	// are until they were in force on every running process, and Unfinished
	// counts those that never were.
	Changes        int     `json:"changes"`
	InForceMedian  float64 `json:"in_force_median_s"`
	InForceLargest float64 `json:"in_force_largest_s"`
	Unfinished     int     `json:"unfinished_changes"`
	// Fetches counts tables and deltas fetched over connections, whose bytes
	// are not counted.
	Fetches int `json:"fetches"`
	// Kills is, for each daemon killed, until all others knew it.
	Kills []float64 `json:"kills_s"`
	// ZoneBack is until all views are right after a lost zone came back.
	ZoneBack float64 `json:"zone_back_s"`
	// Healed is until all views are right after the cut of a region ended,
	// CaughtUp until the changes made meanwhile are in force on every running
	// process, and CutLargestWindow the worst 10 seconds of any daemon in the
	// cut and after.
	Healed           float64 `json:"healed_s"`
	CaughtUp         float64 `json:"caught_up_s"`
	CutLargestWindow float64 `json:"cut_largest_window_bytes_per_second"`
	// FalseFailures counts reports of a failure of a process that ran.
	FalseFailures int `json:"false_failures"`
	// LargestMessage is in bytes, without headers.
	LargestMessage int             `json:"largest_message"`
	Network        simnet.Counters `json:"network"`
}

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

// Encode returns the JSON form of the report.
func (r Report) Encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(r, "", "  ")
	return encoded, errors.Wrap(err, "report")
}

// Markdown returns the report as a table.
func (r Report) Markdown() string {
	var text strings.Builder
	row := func(quantity, format string, values ...any) {
		fmt.Fprintf(&text, "| %s | %s |\n", quantity, fmt.Sprintf(format, values...))
	}
	text.WriteString("| quantity | measured |\n|---|---|\n")
	row("fleet", "%d daemons, %d zones in %d regions, seed %d, loss %g",
		r.Options.Daemons, r.Options.Zones, r.Options.Regions, r.Options.Seed, r.Options.Loss)
	row("cold start until all views are right", "%s", seconds(r.Start))
	row("traffic on a usual day, mean, busiest daemon, worst 10 s", "%.0f, %.0f, %.0f bytes/s (%s; %d restarts and %d failures a day)",
		r.MeanBytes, r.LargestMean, r.LargestWindow, r.Options.Usual, r.Options.RestartsPerDay, r.Options.FailuresPerDay)
	row("changes in force on every running daemon", "%d of %d; median %.1f s, longest %.1f s; %d fetches over connections",
		r.Changes-r.Unfinished, r.Changes, r.InForceMedian, r.InForceLargest, r.Fetches)
	killed := make([]string, 0, len(r.Kills))
	for _, took := range r.Kills {
		killed = append(killed, seconds(took))
	}
	row("a killed daemon known to all", "%s", strings.Join(killed, ", "))
	row("views right after a lost zone came back", "%s", seconds(r.ZoneBack))
	row("views right after a region was cut off for "+r.Options.Cut.String(), "%s; the changes made meanwhile in force everywhere after %s; worst 10 s of traffic %.0f bytes/s",
		seconds(r.Healed), seconds(r.CaughtUp), r.CutLargestWindow)
	row("failures reported of processes that ran", "%d", r.FalseFailures)
	row("largest message", "%d bytes", r.LargestMessage)
	return text.String()
}

func seconds(value float64) string {
	if value < 0 {
		return "**not reached**"
	}
	return fmt.Sprintf("%.1f s", value)
}
