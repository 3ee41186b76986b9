// This file measures daemons with membership and dissemination in virtual time: go test
// -run '^$' -bench Fleet -benchtime 1x ./internal/dissemination

package dissemination_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const (
	measureSeed = 1
	// settleLimit limits the time in which the fleet starts. drainTime is for the messages
	// that the start left in queues.
	settleLimit = 15 * time.Minute
	drainTime   = 40 * time.Second
	// measuredVersions versions are published at versionInterval, the mean interval of the
	// target of 1,500 changes a day.
	measuredVersions = 5
	versionInterval  = 58 * time.Second
	versionLimit     = time.Minute
)

func BenchmarkFleet(b *testing.B) {
	for _, members := range []int{275, 550, 1100} {
		for _, loss := range []float64{0.01, 0.05} {
			b.Run(fmt.Sprintf("members=%d/loss=%v", members, loss), func(b *testing.B) {
				for b.Loop() {
					measureFleet(b, members, loss)
				}
			})
		}
	}
}

func measureFleet(b *testing.B, members int, loss float64) {
	measured := newFleet(measureSeed, members, 11, 2, virtualnet.Config{Loss: loss, Jitter: time.Millisecond})
	measured.regions = 5
	measured.startAll(30*time.Second, time.Minute)
	for !measured.settled() {
		if measured.network.Now() > settleLimit {
			b.Fatal("not every daemon listed every other one in time")
		}
		measured.network.Run(time.Second)
	}
	measured.network.Run(drainTime)

	began := measured.network.Now()
	times := measureVersions(b, measured)
	reportTraffic(b, measured, began)
	b.ReportMetric(times[len(times)/2].Seconds(), "in-force-everywhere-s-median")
	b.ReportMetric(times[len(times)-1].Seconds(), "in-force-everywhere-s-max")
	measureSurvey(b, measured)
}

// settled reports whether every daemon lists every other one.
func (f *fleet) settled() bool {
	return !slices.ContainsFunc(f.running(), func(observed *daemon) bool {
		return observed.members.LiveCount() != len(f.addresses)
	})
}

func measureVersions(b *testing.B, measured *fleet) []time.Duration {
	var times []time.Duration
	for number := range measuredVersions {
		version := measured.publish(measured.addresses[number*31])
		taken, behind := measured.runUntilApplied(version, versionLimit)
		if len(behind) > 0 || len(measured.violations) > 0 {
			b.Fatalf("version %d: %d daemons have not applied it, violations %v", version, len(behind), measured.violations)
		}
		times = append(times, taken)
		measured.network.Run(versionInterval - taken)
	}
	slices.Sort(times)
	return times
}

func reportTraffic(b *testing.B, measured *fleet, began time.Duration) {
	var mean, worst float64
	for _, observed := range measured.running() {
		traffic := measured.network.Traffic(virtualnet.NodeID(observed.identity.Address))
		mean += traffic.Mean(began, measured.network.Now()) / float64(len(measured.addresses))
		worst = max(worst, traffic.Peak(began, measured.network.Now()))
	}
	b.ReportMetric(mean, "bytes/s-mean")
	b.ReportMetric(worst, "bytes/s-worst-10s")
}

// measureSurvey pauses one daemon and measures how long another one takes to find it by a
// survey.
func measureSurvey(b *testing.B, measured *fleet) {
	paused := measured.addresses[5]
	measured.network.Pause(virtualnet.NodeID(paused))
	version := measured.publish(measured.addresses[0])
	measured.network.Run(2 * time.Second)
	asking := measured.daemons[measured.addresses[0]]
	effects, err := asking.machine.Survey(measured.network.Now(), version)
	must(err)
	began := measured.network.Now()
	asking.apply(effects)
	for len(asking.surveys) == 0 && measured.network.Now() < began+versionLimit {
		measured.network.Run(dissemination.TickInterval)
	}
	var named []membership.Address
	for _, zone := range asking.surveys[0].Zones {
		named = append(named, zone.BehindMembers...)
	}
	if !slices.Contains(named, paused) {
		known, _ := asking.members.Member(paused)
		b.Errorf("the survey lists %v and not %v, which is %s, after %s", named, paused, known.State, measured.network.Now()-began)
	}
	b.ReportMetric((measured.network.Now() - began).Seconds(), "survey-s")
	b.ReportMetric(float64(len(named)), "survey-named")
}
