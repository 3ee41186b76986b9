package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/placement"
)

// typicalProcessingTime returns the median of the known processing times, 0 without any.
func typicalProcessingTime(views []*view) time.Duration {
	var known []time.Duration
	for _, each := range views {
		if each.processingTime > 0 {
			known = append(known, each.processingTime)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// slowness returns the processing time of the endpoint relative to the typical one. Less than
// 1.5 counts as 1, since it may be chance.
func (v *view) slowness(typical time.Duration) float64 {
	if typical == 0 || float64(v.processingTime) < 1.5*float64(typical) {
		return 1
	}
	return float64(v.processingTime) / float64(typical)
}

// leastUtilization chooses the endpoint with the least utilization by the chooser's own flows.
// Balancers used it before agents reported their load.
type leastUtilization struct{}

func (leastUtilization) choose(_ time.Duration, views []*view, random *rand.Rand) *view {
	var best *view
	least, ties := 0.0, 0
	typical := typicalProcessingTime(views)
	for _, each := range views {
		score := each.slowness(typical) * float64(each.outstanding+1) / slotsEach
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

func (leastUtilization) observe(time.Duration, *view, int, []*view) {}

// shortestTime chooses the endpoint with the shortest expected time to an answer.
type shortestTime struct {
	groups map[groupKey]*placement.GroupUtilization
}

// groupKey identifies a group of endpoints as seen by one balancer.
type groupKey struct {
	balancer int
	zone     int
	slow     bool
}

func newShortestTime() *shortestTime {
	return &shortestTime{groups: make(map[groupKey]*placement.GroupUtilization)}
}

func (s *shortestTime) groupOf(viewed *view, slowness float64) *placement.GroupUtilization {
	key := groupKey{viewed.balancer, viewed.endpoint.zone, slowness > 1}
	if s.groups[key] == nil {
		s.groups[key] = &placement.GroupUtilization{}
	}
	return s.groups[key]
}

func (s *shortestTime) choose(now time.Duration, views []*view, random *rand.Rand) *view {
	var local []bool
	for _, each := range views {
		local = append(local, each.local)
	}
	var candidates []placement.Candidate
	typical := typicalProcessingTime(views)
	sample := placement.Sample(local, random)
	for _, index := range sample {
		candidates = append(candidates, s.candidate(now, views[index], typical))
	}
	best, _ := placement.Best(candidates)
	return views[sample[best]]
}

func (s *shortestTime) candidate(now time.Duration, viewed *view, typical time.Duration) placement.Candidate {
	slowness := viewed.slowness(typical)
	groupMean := s.groupOf(viewed, slowness).At(now) * slotsEach
	return placement.Candidate{
		Slots: slotsEach, Outstanding: viewed.outstanding, SlotsUsedByOthers: viewed.report.Estimate(now, viewed.processingTime, groupMean),
		Slowness: slowness, Local: viewed.local,
	}
}

func (s *shortestTime) observe(now time.Duration, reporting *view, ownFlows int, views []*view) {
	others := float64(max(reporting.used-ownFlows, 0))
	reporting.report = placement.LoadReport{SlotsUsedByOthers: others, ReceivedAt: now, Received: true}
	s.groupOf(reporting, reporting.slowness(typicalProcessingTime(views))).Observe(now, others/slotsEach)
}
