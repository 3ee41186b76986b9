package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/placement"
)

// usualPace is the median of what is known, 0 if nothing is.
func usualPace(views []*view) time.Duration {
	var paces []time.Duration
	for _, each := range views {
		if each.pace > 0 {
			paces = append(paces, each.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// slowness is how many times as long as usual an endpoint takes, 1 within chance.
func (v *view) slowness(usual time.Duration) float64 {
	if usual == 0 || float64(v.pace) < 1.5*float64(usual) {
		return 1
	}
	return float64(v.pace) / float64(usual)
}

// byUtilization chooses the endpoint with the least utilisation by what the chooser has
// placed itself, as balancers did before they knew more.
type byUtilization struct{}

func (byUtilization) choose(_ time.Duration, views []*view, random *rand.Rand) *view {
	var best *view
	least, ties := 0.0, 0
	usual := usualPace(views)
	for _, each := range views {
		score := each.slowness(usual) * float64(each.outstanding+1) / slotsEach
		if each.local {
			score -= 0.01
		}
		switch {
		case best == nil || score < least:
			best, least, ties = each, score, 1
		case score == least:
			ties++
			if random.IntN(ties) == 0 {
				best = each
			}
		}
	}
	return best
}

func (byUtilization) told(time.Duration, *view, int, []*view) {}

// byTime chooses by the expected time to an answer.
type byTime struct {
	levels map[levelKey]*placement.GroupUtilization
}

// levelKey is a group of endpoints as one balancer knows it.
type levelKey struct {
	balancer int
	zone     int
	slow     bool
}

func newByTime() *byTime { return &byTime{levels: make(map[levelKey]*placement.GroupUtilization)} }

func (b *byTime) levelOf(of *view, slowness float64) *placement.GroupUtilization {
	key := levelKey{of.balancer, of.endpoint.zone, slowness > 1}
	if b.levels[key] == nil {
		b.levels[key] = &placement.GroupUtilization{}
	}
	return b.levels[key]
}

func (b *byTime) choose(now time.Duration, views []*view, random *rand.Rand) *view {
	var local []bool
	for _, each := range views {
		local = append(local, each.local)
	}
	var candidates []placement.Candidate
	usual := usualPace(views)
	drawn := placement.Sample(local, random)
	for _, index := range drawn {
		candidates = append(candidates, b.candidate(now, views[index], usual))
	}
	best, _ := placement.Best(candidates)
	return views[drawn[best]]
}

func (b *byTime) candidate(now time.Duration, of *view, usual time.Duration) placement.Candidate {
	slowness := of.slowness(usual)
	level := b.levelOf(of, slowness).At(now) * slotsEach
	return placement.Candidate{
		Slots: slotsEach, Outstanding: of.outstanding, SlotsUsedByOthers: of.news.Estimate(now, of.pace, level),
		Slowness: slowness, Local: of.local,
	}
}

func (b *byTime) told(now time.Duration, told *view, own int, views []*view) {
	others := float64(max(told.used-own, 0))
	told.news = placement.LoadReport{UsedByOthers: others, ReceivedAt: now, Known: true}
	b.levelOf(told, told.slowness(usualPace(views))).Observe(now, others/slotsEach)
}
