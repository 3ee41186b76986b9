// This file implements the measurement of how many flows change their primary
// row when the table changes.

package slopes

import (
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	costMoved  = "flows moved beside the fewest possible"
	movedFlows = 200_000
)

func movementExperiments() []experiment {
	rows := []int{4, 8, 16, 32, 64, 128}
	return []experiment{
		{"row removed", costMoved, "rows of the service", rows, exactly(movedByRemoval)},
		{"row added", costMoved, "rows of the service", []int{4, 8, 9, 16, 64}, exactly(movedByAddition)},
		// Package lookup takes more slots for services with more rows than
		// these.
		{"row added at a step of slots", costMoved, "rows of the service", []int{32, 128}, exactly(movedByAddition)},
		{"weight halved", costMoved, "rows of the service", rows, exactly(movedByWeight)},
	}
}

func movedByRemoval(rows int) float64 {
	before := sampleTable(1, rows)
	after := before.Clone()
	after.Backends[0].Removed = true
	return movedShare(before, after) * float64(rows)
}

func movedByAddition(rows int) float64 {
	before := sampleTable(1, rows)
	after := before.Clone()
	after.Backends = append(after.Backends, sampleRow(1, rows, rows))
	return movedShare(before, after) * float64(rows+1)
}

func movedByWeight(rows int) float64 {
	before := sampleTable(1, rows)
	after := before.Clone()
	after.Backends[0].Weight /= 2
	weights := float64(rows)
	fewest := 1/weights - 0.5/(weights-0.5)
	return movedShare(before, after) / fewest
}

// movedShare returns the part of flows whose primary differs.
func movedShare(before, after *table.Table) float64 {
	first := lookup.Build(before, lookup.AllAlive)
	second := lookup.Build(after, lookup.AllAlive)
	moved := 0
	for caller := range movedFlows {
		flow := flowTo(0, caller)
		was, _ := first.Route(flow)
		is, _ := second.Route(flow)
		if was.Backend != is.Backend {
			moved++
		}
	}
	return float64(moved) / movedFlows
}
