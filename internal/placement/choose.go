package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
)

const (
	// warmingFactor is how many times as long as usual an endpoint takes while it is slow
	// after its start.
	warmingFactor = 1.6
	// detour is what the way to another zone and back counts, in usual answers. It is more
	// than packets take, so that the own zone is used while callers hardly wait there.
	detour = 1.0
	// resolution is the step in which expected times are compared, in usual answers. Less
	// is no difference that a caller notices, and would give all flows to one of equals.
	resolution = 0.02
	// draws is how many candidates are compared, and localDraws how many of them may be
	// in the chooser's zone.
	draws      = 5
	localDraws = 4
)

// Candidate is an endpoint that may get a new flow, with what the chooser knows of it.
type Candidate struct {
	// Slots is the number of requests that the endpoint works on at the same time; 0 means
	// that this is not known.
	Slots uint32
	// Outstanding is the number of flows with a request that the chooser has placed there.
	Outstanding int
	// IdleFlowSlots is the number of slots that the other flows which it has placed there take on
	// average.
	IdleFlowSlots float64
	// SlotsUsedByOthers is the number of slots that what others have placed there is believed to take.
	SlotsUsedByOthers float64
	// Slowness is how many times as long as usual the endpoint takes for an answer, 1 if
	// that is not known.
	Slowness float64
	// Warming is set while the endpoint is slow after its start.
	Warming bool
	// Local is set if the endpoint is in the chooser's zone.
	Local bool
}

// expected is the time to an answer that a new flow can expect, in usual answers.
func (c Candidate) expected() float64 {
	slowness := c.Slowness
	if c.Warming {
		slowness = max(slowness, warmingFactor)
	}
	expected := slowness * (1 + c.wait())
	if !c.Local {
		expected += detour
	}
	return expected
}

// wait is for how many answers a new request is expected to wait. What is known is never
// exact: below full use it is the chance that the request comes when all slots and one more
// are taken, above it grows as steeply as it does there.
func (c Candidate) wait() float64 {
	slots := float64(max(c.Slots, 1))
	utilization := c.given() + c.SlotsUsedByOthers/slots
	if utilization <= 1 {
		return math.Pow(utilization, slots+1)
	}
	return 1 + (slots+1)*(utilization-1)
}

// Best returns the index of the candidate with the least expected time to an answer, among
// equals of the one to which the chooser has given the least, the first of these. It returns
// false if there is no candidate.
func Best(candidates []Candidate) (best int, found bool) {
	for index, candidate := range candidates {
		if !found || candidate.before(candidates[best]) {
			best, found = index, true
		}
	}
	return best, found
}

// before reports whether a flow is better placed here than at another candidate.
func (c Candidate) before(other Candidate) bool {
	order := cmp.Compare(math.Round(c.expected()/resolution), math.Round(other.expected()/resolution))
	return cmp.Or(order, cmp.Compare(c.given(), other.given())) < 0
}

// given is the share of the slots which what the chooser has placed there takes.
func (c Candidate) given() float64 {
	return (float64(c.Outstanding) + c.IdleFlowSlots) / float64(max(c.Slots, 1))
}

// Sample returns the indices of a few candidates in random order, most of them in the
// chooser's zone; local tells of each candidate whether it is. The best of those gets the
// flow.
//
// Choosers with the same news draw different candidates, so that no endpoint gets more than
// a few times its share (the power of two choices: Mitzenmacher, 2001). The best of all
// would get the flows of all choosers until they know better.
func Sample(local []bool, random *rand.Rand) []int {
	drawn := make([]int, 0, draws)
	drawn = appendDrawn(drawn, local, true, localDraws, random)
	drawn = appendDrawn(drawn, local, false, draws-len(drawn), random)
	random.Shuffle(len(drawn), func(a, b int) { drawn[a], drawn[b] = drawn[b], drawn[a] })
	return drawn
}

// appendDrawn draws up to a number of candidates of the chooser's zone, or of the others, by
// reservoir sampling (Vitter, 1985).
func appendDrawn(drawn []int, local []bool, wanted bool, number int, random *rand.Rand) []int {
	first, seen := len(drawn), 0
	for index, each := range local {
		if each != wanted {
			continue
		}
		seen++
		if seen <= number {
			drawn = append(drawn, index)
			continue
		}
		if place := random.IntN(seen); place < number {
			drawn[first+place] = index
		}
	}
	return drawn
}
