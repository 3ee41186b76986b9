package placement

import "math/rand/v2"

const (
	// warmingFactor is how much busier an endpoint counts while it is slow after its start.
	warmingFactor = 1.6
	// zoneBonus is what an endpoint in the chooser's zone counts less busy. It decides only
	// between equals.
	zoneBonus = 0.01
)

// Candidate is an endpoint that may get a new flow, with what the chooser knows of it.
type Candidate struct {
	// Slots is the number of requests that the endpoint works on at the same time; 0 means
	// that this is not known.
	Slots uint32
	// Outstanding is the number of flows with a request that the chooser has placed there.
	Outstanding int
	// Kept is the number of slots that the other flows which it has placed there take on
	// average.
	Kept float64
	// Slowness is how many times as long as usual the endpoint takes for an answer, 1 if
	// that is not known.
	Slowness float64
	// Warming is set while the endpoint is slow after its start.
	Warming bool
	// Local is set if the endpoint is in the chooser's zone.
	Local bool
}

// score is the utilisation that the endpoint would have with one more flow.
func (c Candidate) score() float64 {
	slowness := c.Slowness
	if c.Warming {
		slowness = max(slowness, warmingFactor)
	}
	score := slowness * (float64(c.Outstanding+1) + c.Kept) / float64(max(c.Slots, 1))
	if c.Local {
		score -= zoneBonus
	}
	return score
}

// Choose returns the index of the candidate with the least utilisation, one of the equals
// at random. It returns false if there is no candidate.
func Choose(candidates []Candidate, random *rand.Rand) (index int, found bool) {
	leastScore := 0.0
	ties := 0
	for each, candidate := range candidates {
		score := candidate.score()
		switch {
		case !found || score < leastScore:
			index, found, leastScore, ties = each, true, score, 1
		case score == leastScore:
			ties++
			if random.IntN(ties) == 0 {
				index = each
			}
		}
	}
	return index, found
}
