package placement_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
)

// addReport adds the result of a simulation to the report of the test.
func addReport(name string, outcome result) {
	AddReportEntry(name, fmt.Sprintf(
		"%d requests: %.3f waited, %.3f while another endpoint had a free slot; %.3f returns per request; %.3f forced; "+
			"%.4f late; %.3f placed in other zones; the busiest endpoint got %.2f times the mean",
		outcome.requests, outcome.share(outcome.waited), outcome.share(outcome.waitedNeedlessly), outcome.share(outcome.returned),
		outcome.share(outcome.forced), outcome.share(outcome.late), outcome.share(outcome.crossZone), outcome.peakLoad,
	))
}

var _ = Describe("Placement under load", func() {
	// uneven returns an oscillating workload with a mean rate in flows per second. Its
	// endpoints differ in speed and can answer about 3,080 requests per second together.
	uneven := func(perSecond float64) workload {
		return workload{endpoints: 42, balancers: 20, rate: oscillating(perSecond), closed: -1, seed: 7, duration: 15 * time.Second}
	}

	It("makes fewer requests wait beside free slots and returns fewer flows than least utilization at half of the capacity", func() {
		baseline, improved := simulate(uneven(1486), leastUtilization{}), simulate(uneven(1486), newShortestTime())
		addReport("least utilization", baseline)
		addReport("shortest time", improved)
		Expect(improved.waitedNeedlessly).To(BeNumerically("<", baseline.waitedNeedlessly))
		Expect(improved.returned).To(BeNumerically("<", baseline.returned))
		Expect(improved.share(improved.late)).To(BeNumerically("<", baseline.share(baseline.late)+0.002))
		Expect(improved.crossZone).To(BeNumerically("<=", baseline.crossZone))
	})

	It("halves the late requests of least utilization if peaks of demand nearly reach the capacity", func() {
		baseline, improved := simulate(uneven(1932), leastUtilization{}), simulate(uneven(1932), newShortestTime())
		addReport("least utilization", baseline)
		addReport("shortest time", improved)
		Expect(improved.waitedNeedlessly).To(BeNumerically("<", baseline.waitedNeedlessly))
		Expect(improved.returned).To(BeNumerically("<", baseline.returned))
		Expect(improved.late).To(BeNumerically("<", baseline.late/2))
	})

	It("returns fewer flows than least utilization in a burst beyond the capacity, with at most 5% more late requests", func() {
		peaks := func(now time.Duration, zone int) float64 {
			phase := []float64{0.1, 0.18, 0.26}[zone]
			perSecond := 1486.0 / zones * (1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/15+phase)))
			if now >= 15500*time.Millisecond && now < 19500*time.Millisecond {
				return 1.7 * perSecond
			}
			return perSecond
		}
		lateBaseline, lateImproved := 0, 0
		for seed := range uint64(3) {
			burst := workload{endpoints: 42, balancers: 20, rate: peaks, closed: -1, seed: seed + 1, duration: 22 * time.Second}
			baseline, improved := simulate(burst, leastUtilization{}), simulate(burst, newShortestTime())
			addReport("least utilization", baseline)
			addReport("shortest time", improved)
			lateBaseline, lateImproved = lateBaseline+baseline.late, lateImproved+improved.late
			Expect(improved.waitedNeedlessly).To(BeNumerically("<", baseline.waitedNeedlessly))
			Expect(improved.returned).To(BeNumerically("<", baseline.returned))
			Expect(improved.crossZone).To(BeNumerically("<", baseline.crossZone))
		}
		Expect(float64(lateImproved)).To(BeNumerically("<=", 1.05*float64(lateBaseline)))
	})

	It("spreads the flows of 300 choosers with the same idle endpoint as a candidate", func() {
		const endpoints, choosers = 100, 300
		random := newRandom()
		local := make([]bool, endpoints)
		received := make([]int, endpoints)
		for range choosers {
			for index := range local {
				local[index] = index%zones == 0
			}
			sample := placement.Sample(local, random)
			var candidates []placement.Candidate
			for _, index := range sample {
				candidate := placement.Candidate{Slots: slotsEach, Slowness: 1, Local: local[index], SlotsUsedByOthers: 3}
				if index == 0 {
					candidate.SlotsUsedByOthers = 0
				}
				candidates = append(candidates, candidate)
			}
			best, _ := placement.Best(candidates)
			received[sample[best]]++
		}
		AddReportEntry("the idle endpoint got", received[0])
		Expect(received[0]).To(BeNumerically("<", choosers/5), "4 of the 34 endpoints of the zone are drawn")
	})

	It("gives no endpoint more than twice the mean with 300 choosers", func() {
		baseline, improved := simulate(workload{endpoints: 60, balancers: 300, rate: oscillating(2100), closed: -1, seed: 7, duration: 8 * time.Second}, leastUtilization{}),
			simulate(workload{endpoints: 60, balancers: 300, rate: oscillating(2100), closed: -1, seed: 7, duration: 8 * time.Second}, newShortestTime())
		addReport("least utilization", baseline)
		addReport("shortest time", improved)
		Expect(improved.peakLoad).To(BeNumerically("<", 2))
	})

	It("uses the local zone while it has capacity and other zones beyond that, without oscillating", func() {
		const perZone = 550.0
		opposite := func(now time.Duration, zone int) float64 {
			swing := 0.8 * math.Sin(2*math.Pi*now.Seconds()/12)
			return perZone * (1 + []float64{swing, -swing, 0}[zone])
		}
		outcome := simulate(workload{endpoints: 48, balancers: 21, rate: opposite, closed: 2, seed: 7, duration: 26 * time.Second}, newShortestTime())
		addReport("opposite phases, one zone closed", outcome)
		// crossZone returns the share of a zone's flows that were placed in other zones during one
		// second.
		crossZone := func(zone int, second int) float64 {
			placed, elsewhere := 0, 0
			for quarter := 4 * second; quarter < 4*second+4; quarter++ {
				placed += outcome.placements[zone][quarter][0]
				elsewhere += outcome.placements[zone][quarter][1]
			}
			return float64(elsewhere) / float64(placed)
		}
		for _, peak := range []int{3, 15} {
			Expect(crossZone(0, peak)).To(BeNumerically(">", 0.05), "the local zone has no capacity left")
			Expect(crossZone(1, peak)).To(BeNumerically("<", 0.05))
		}
		for _, peak := range []int{9, 21} {
			Expect(crossZone(1, peak)).To(BeNumerically(">", 0.05), "the local zone has no capacity left")
			Expect(crossZone(0, peak)).To(BeNumerically("<", 0.05))
		}
		for second := 2; second < 26; second++ {
			Expect(crossZone(2, second)).To(Equal(1.0), "its zone is closed")
			for zone := range 2 {
				Expect(crossZone(zone, second) - crossZone(zone, second-1)).To(BeNumerically("~", 0, 0.15))
			}
		}
		Expect(outcome.share(outcome.late)).To(BeNumerically("<", 0.03), "about 3% of the requests take seven times as long")
	})
})
