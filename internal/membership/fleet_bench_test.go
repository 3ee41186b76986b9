// This file measures fleets of the sizes of the capacity target in virtual time: go test
// -run '^$' -bench Fleet -benchtime 1x ./internal/membership

package membership_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const (
	measureSeed   = 1
	measuredTime  = 2 * time.Minute
	startSpread   = 30 * time.Second
	settleLimit   = 10 * time.Minute
	killedMembers = 9
)

// targetLayout returns the layout of the capacity target with the given number of members.
func targetLayout(members int) layout {
	return layout{members: members, zones: 11, zonesInRegion: 2, regions: 5}
}

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
	heapBefore := heapInUse()
	measured := newFleet(measureSeed, targetLayout(members), virtualnet.Config{Loss: loss, Jitter: time.Millisecond})
	measured.startAll(startSpread, 0)
	settled := waitForAgreement(b, measured)
	b.ReportMetric(settled.Seconds(), "cold-start-s")

	began := measured.network.Now()
	messages, clock := measured.messages, time.Now()
	measured.network.Run(measuredTime)
	perMessage := time.Since(clock) / time.Duration(measured.messages-messages)
	mean, worst := trafficOf(measured, began, measured.network.Now())
	b.ReportMetric(mean, "bytes/s-mean")
	b.ReportMetric(worst, "bytes/s-worst-10s")
	b.ReportMetric(float64(perMessage.Nanoseconds()), "ns/message")
	b.ReportMetric(float64(countEffects(measured, membership.EffectFailed)), "false-failures")
	b.ReportMetric(float64(heapInUse()-heapBefore)/float64(members*members), "heap-B/known-member")

	detection := measureDetection(b, measured)
	b.ReportMetric(detection[len(detection)/2].Seconds(), "detected-everywhere-s-median")
	b.ReportMetric(detection[len(detection)-1].Seconds(), "detected-everywhere-s-max")
	measureRestart(b, measured)
	measureZoneReturn(b, measured)
	measureRackLoss(b, measured)
	b.ReportMetric(float64(measured.largestDatagram), "largest-datagram-B")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func waitForAgreement(b *testing.B, measured *fleet) time.Duration {
	taken, wrong := measured.runUntilAgreed(settleLimit)
	if wrong != "" {
		b.Fatalf("views did not agree in time: %s", wrong)
	}
	return taken
}

func countEffects(measured *fleet, kind membership.EffectKind) int {
	count := 0
	for _, observed := range measured.running() {
		count += observed.effects[kind]
	}
	return count
}

func trafficOf(measured *fleet, began, ended time.Duration) (mean, worst float64) {
	running := measured.running()
	for _, observed := range running {
		traffic := measured.network.Traffic(virtualnet.NodeID(observed.address))
		mean += traffic.Mean(began, ended) / float64(len(running))
		worst = max(worst, traffic.Peak(began, ended))
	}
	return mean, worst
}

// measureDetection kills members one after the other. It returns, in ascending order, the
// times until all other members had marked the member as failed.
func measureDetection(b *testing.B, measured *fleet) []time.Duration {
	var times []time.Duration
	for number := range killedMembers {
		victim := measured.processes[measured.addresses[number*17+3]]
		measured.kill(victim.address)
		began := measured.network.Now()
		waitForAgreement(b, measured)
		times = append(times, lastFailure(measured, victim.identity)-began)
	}
	slices.Sort(times)
	return times
}

func lastFailure(measured *fleet, victim membership.Identity) time.Duration {
	var last time.Duration
	for _, observer := range measured.running() {
		last = max(last, observer.failures[victim])
	}
	return last
}

// measureRestart restarts one member. It measures the time until all views are right again
// and the traffic of the member in that time.
func measureRestart(b *testing.B, measured *fleet) {
	address := measured.addresses[len(measured.addresses)-1]
	began := measured.network.Now()
	measured.kill(address)
	measured.start(address)
	taken := waitForAgreement(b, measured)
	worst := measured.network.Traffic(virtualnet.NodeID(address)).Peak(began, began+30*time.Second)
	b.ReportMetric(taken.Seconds(), "restart-known-everywhere-s")
	b.ReportMetric(worst, "bytes/s-worst-10s-of-joiner")
}

// measureZoneReturn stops all processes of a zone, starts them again a minute later within
// five seconds, and measures the time until all views are right.
func measureZoneReturn(b *testing.B, measured *fleet) {
	const lost = membership.Zone(7)
	var returning []membership.Address
	for _, address := range measured.addresses {
		if measured.zoneAt(address) == lost {
			returning = append(returning, address)
			measured.kill(address)
		}
	}
	measured.network.Run(time.Minute)
	began := measured.network.Now()
	for _, address := range returning {
		measured.network.After(time.Duration(measured.random.Int64N(int64(5*time.Second))), func() {
			measured.start(address)
		})
	}
	measured.network.Run(5 * time.Second)
	waitForAgreement(b, measured)
	_, worst := trafficOf(measured, began, measured.network.Now())
	b.ReportMetric((measured.network.Now() - began).Seconds(), "zone-return-s")
	b.ReportMetric(worst, "zone-return-bytes/s-worst-10s")
}

// measureRackLoss stops two fifths of a zone at once and measures the time until all other
// members have marked them as failed.
func measureRackLoss(b *testing.B, measured *fleet) {
	const zone = membership.Zone(4)
	var members []membership.Address
	for _, address := range measured.addresses {
		if _, runs := measured.processes[address]; runs && measured.zoneAt(address) == zone {
			members = append(members, address)
		}
	}
	for _, address := range members[:len(members)*2/5] {
		measured.kill(address)
	}
	began := measured.network.Now()
	taken := waitForAgreement(b, measured)
	_, worst := trafficOf(measured, began, measured.network.Now())
	b.ReportMetric(taken.Seconds(), "rack-loss-known-everywhere-s")
	b.ReportMetric(worst, "rack-loss-bytes/s-worst-10s")
}
