package placement_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/placement"
)

// report tells what a replay has shown.
func report(name string, shown outcome) {
	AddReportEntry(name, fmt.Sprintf(
		"%d requests: %.3f waited, %.3f while another endpoint had a free slot; %.3f returns each; %.3f forced; "+
			"%.4f late; %.3f placed in other zones; the busiest endpoint got %.2f times the mean",
		shown.requests, shown.share(shown.waited), shown.share(shown.waitedInVain), shown.share(shown.returned),
		shown.share(shown.forced), shown.share(shown.late), shown.share(shown.away), shown.busiest,
	))
}

var _ = Describe("Placement under load", func() {
	// uneven is a demand, in flows a second, on endpoints of unlike speed that can answer
	// some 3,080 a second.
	uneven := func(perSecond float64) load {
		return load{endpoints: 42, balancers: 20, rate: swinging(perSecond), closed: -1, seed: 7, lasts: 15 * time.Second}
	}

	It("lets fewer requests wait beside free slots, and fewer flows return, at half of what endpoints can do", func() {
		before, after := play(uneven(1486), byUtilization{}), play(uneven(1486), newByTime())
		report("before", before)
		report("after", after)
		Expect(after.waitedInVain).To(BeNumerically("<", before.waitedInVain))
		Expect(after.returned).To(BeNumerically("<", before.returned))
		Expect(after.share(after.late)).To(BeNumerically("<", before.share(before.late)+0.002))
		Expect(after.away).To(BeNumerically("<=", before.away))
	})

	It("is in time at crests that leave hardly any room", func() {
		before, after := play(uneven(1932), byUtilization{}), play(uneven(1932), newByTime())
		report("before", before)
		report("after", after)
		Expect(after.waitedInVain).To(BeNumerically("<", before.waitedInVain))
		Expect(after.returned).To(BeNumerically("<", before.returned))
		Expect(after.late).To(BeNumerically("<", before.late/2))
	})

	It("turns fewer flows back in a burst beyond what endpoints can do, and leaves hardly more late", func() {
		crests := func(now time.Duration, zone int) float64 {
			phase := []float64{0.1, 0.18, 0.26}[zone]
			perSecond := 1486.0 / zones * (1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/15+phase)))
			if now >= 15500*time.Millisecond && now < 19500*time.Millisecond {
				return 1.7 * perSecond
			}
			return perSecond
		}
		lateBefore, lateAfter := 0, 0
		for seed := range uint64(3) {
			burst := load{endpoints: 42, balancers: 20, rate: crests, closed: -1, seed: seed + 1, lasts: 22 * time.Second}
			before, after := play(burst, byUtilization{}), play(burst, newByTime())
			report("before", before)
			report("after", after)
			lateBefore, lateAfter = lateBefore+before.late, lateAfter+after.late
			Expect(after.waitedInVain).To(BeNumerically("<", before.waitedInVain))
			Expect(after.returned).To(BeNumerically("<", before.returned))
			Expect(after.away).To(BeNumerically("<", before.away))
		}
		Expect(float64(lateAfter)).To(BeNumerically("<=", 1.05*float64(lateBefore)))
	})

	It("does not send 300 choosers with the same news to the same endpoint", func() {
		const endpoints, choosers = 100, 300
		random := newRandom()
		local := make([]bool, endpoints)
		given := make([]int, endpoints)
		for range choosers {
			for index := range local {
				local[index] = index%zones == 0
			}
			drawn := placement.Sample(local, random)
			var candidates []placement.Candidate
			for _, index := range drawn {
				candidate := placement.Candidate{Slots: slotsEach, Slowness: 1, Local: local[index], SlotsUsedByOthers: 3}
				if index == 0 {
					candidate.SlotsUsedByOthers = 0
				}
				candidates = append(candidates, candidate)
			}
			best, _ := placement.Best(candidates)
			given[drawn[best]]++
		}
		AddReportEntry("the idle endpoint got", given[0])
		Expect(given[0]).To(BeNumerically("<", choosers/5), "4 of the 34 endpoints of the zone are drawn")
	})

	It("loads no endpoint far beyond its share with 300 choosers", func() {
		before, after := play(load{endpoints: 60, balancers: 300, rate: swinging(2100), closed: -1, seed: 7, lasts: 8 * time.Second}, byUtilization{}),
			play(load{endpoints: 60, balancers: 300, rate: swinging(2100), closed: -1, seed: 7, lasts: 8 * time.Second}, newByTime())
		report("before", before)
		report("after", after)
		Expect(after.busiest).To(BeNumerically("<", 2))
	})

	It("uses the own zone while it has room, then others, and returns without swinging", func() {
		const perZone = 550.0
		opposite := func(now time.Duration, zone int) float64 {
			swing := 0.8 * math.Sin(2*math.Pi*now.Seconds()/12)
			return perZone * (1 + []float64{swing, -swing, 0}[zone])
		}
		shown := play(load{endpoints: 48, balancers: 21, rate: opposite, closed: 2, seed: 7, lasts: 26 * time.Second}, newByTime())
		report("opposite phases, a zone closed", shown)
		// away is the share of a zone's flows that went elsewhere from a second on, for one.
		away := func(zone int, second int) float64 {
			placed, elsewhere := 0, 0
			for quarter := 4 * second; quarter < 4*second+4; quarter++ {
				placed += shown.awayBy[zone][quarter][0]
				elsewhere += shown.awayBy[zone][quarter][1]
			}
			return float64(elsewhere) / float64(placed)
		}
		for _, crest := range []int{3, 15} {
			Expect(away(0, crest)).To(BeNumerically(">", 0.05), "the own zone has no room left")
			Expect(away(1, crest)).To(BeNumerically("<", 0.05))
		}
		for _, crest := range []int{9, 21} {
			Expect(away(1, crest)).To(BeNumerically(">", 0.05), "the own zone has no room left")
			Expect(away(0, crest)).To(BeNumerically("<", 0.05))
		}
		for second := 2; second < 26; second++ {
			Expect(away(2, second)).To(Equal(1.0), "its endpoints get nothing")
			for zone := range 2 {
				Expect(away(zone, second) - away(zone, second-1)).To(BeNumerically("~", 0, 0.15))
			}
		}
		Expect(shown.share(shown.late)).To(BeNumerically("<", 0.03), "as many take seven times as long")
	})
})
