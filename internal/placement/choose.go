package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
)

const (
	// warmUpSlowness is the least slowness that is assumed of an endpoint while it warms up
	// after its start.
	warmUpSlowness = 1.6
	// crossZonePenalty is the cost of placing a flow in another zone, in typical processing
	// times. It exceeds the actual round trip, so that the local zone is used while callers
	// hardly wait there.
	crossZonePenalty = 1.0
	// timeResolution is the step in which expected times are compared, in typical processing
	// times. Callers do not notice smaller differences, and an exact comparison would give
	// all flows to one of several equal endpoints.
	timeResolution = 0.02
	// sampleSize is the number of candidates that are compared, and localSampleSize the
	// largest number of them in the chooser's zone.
	sampleSize      = 5
	localSampleSize = 4
)

// Candidate is an endpoint that may get a new flow, as recorded by the chooser.
type Candidate struct {
	// Slots is the number of requests that the endpoint processes concurrently; 0 means
	// unknown.
	Slots uint32
	// Outstanding is the number of flows of the chooser that wait for an answer there.
	Outstanding int
	// IdleFlowSlots is the mean number of slots that the chooser's other flows there occupy.
	IdleFlowSlots float64
	// SlotsUsedByOthers is the estimated number of slots that flows of other choosers occupy.
	SlotsUsedByOthers float64
	// Slowness is the processing time of the endpoint relative to the typical one of its
	// service, 1 if unknown.
	Slowness float64
	// Warming is set while the endpoint is slow after its start.
	Warming bool
	// Local is set if the endpoint is in the chooser's zone.
	Local bool
}

// expectedTime returns the expected time from opening a flow to its answer, in typical
// processing times.
func (c Candidate) expectedTime() float64 {
	slowness := c.Slowness
	if c.Warming {
		slowness = max(slowness, warmUpSlowness)
	}
	expected := slowness * (1 + c.expectedWait())
	if !c.Local {
		expected += crossZonePenalty
	}
	return expected
}

// expectedWait returns the expected wait of a new request for a slot, in processing times of
// the endpoint. The wait rises gradually with the utilization, which is only an estimate. Up
// to full utilization it is the probability that a request arrives while all slots and one
// more are taken; above, it continues with the slope at full utilization.
func (c Candidate) expectedWait() float64 {
	slots := float64(max(c.Slots, 1))
	utilization := c.ownUtilization() + c.SlotsUsedByOthers/slots
	if utilization <= 1 {
		return math.Pow(utilization, slots+1)
	}
	return 1 + (slots+1)*(utilization-1)
}

// Best returns the index of the candidate with the shortest expected time to an answer. Ties
// go to the candidate with the least utilization by the chooser's own flows, then to the
// first. It returns false if there is no candidate.
func Best(candidates []Candidate) (best int, found bool) {
	for index, candidate := range candidates {
		if !found || candidate.betterThan(candidates[best]) {
			best, found = index, true
		}
	}
	return best, found
}

// betterThan reports whether a flow is better placed at c than at other.
func (c Candidate) betterThan(other Candidate) bool {
	order := cmp.Compare(math.Round(c.expectedTime()/timeResolution), math.Round(other.expectedTime()/timeResolution))
	return cmp.Or(order, cmp.Compare(c.ownUtilization(), other.ownUtilization())) < 0
}

// ownUtilization returns the share of the slots that the chooser's own flows occupy.
func (c Candidate) ownUtilization() float64 {
	return (float64(c.Outstanding) + c.IdleFlowSlots) / float64(max(c.Slots, 1))
}

// Sample returns the indices of a few random candidates in random order, most of them in the
// chooser's zone. local holds, for each candidate, whether it is in that zone. The caller
// gives the flow to the best candidate of the sample.
//
// Choosers with the same information draw different samples, so that no endpoint gets more
// than a few times its share (the power of two choices: Mitzenmacher, 2001). If each chooser
// compared all candidates, one endpoint would get the flows of all choosers until they
// received its load.
func Sample(local []bool, random *rand.Rand) []int {
	sample := make([]int, 0, sampleSize)
	sample = appendSample(sample, local, true, localSampleSize, random)
	sample = appendSample(sample, local, false, sampleSize-len(sample), random)
	random.Shuffle(len(sample), func(a, b int) { sample[a], sample[b] = sample[b], sample[a] })
	return sample
}

// appendSample appends the indices of up to count random candidates whose locality is
// wanted, by reservoir sampling (Vitter, 1985).
func appendSample(sample []int, local []bool, wanted bool, count int, random *rand.Rand) []int {
	first, seen := len(sample), 0
	for index, isLocal := range local {
		if isLocal != wanted {
			continue
		}
		seen++
		if seen <= count {
			sample = append(sample, index)
			continue
		}
		if position := random.IntN(seen); position < count {
			sample[first+position] = index
		}
	}
	return sample
}
