package directory

import (
	"math"
	"time"
)

const (
	// askingTime is how long a seed takes at least to answer a process that starts: some
	// round trips.
	askingTime = 20 * time.Millisecond
	// suppressionTime is the longest time for which a process that starts leaves it to others
	// to list the store, beside askingTime. Seeds have the directory after a part of it.
	suppressionTime = 250 * time.Millisecond
	// suppressionSlope is the logarithm of the number of processes among which one or two
	// list within the first eighth of suppressionTime.
	suppressionSlope = 8
)

// FirstListing returns how long a process that starts waits for a snapshot of a peer, before
// it lists the store itself; random is from 0 to below 1. A seed lists at once, since all
// others ask it. When the whole fleet starts for the first time there is no traffic that would
// wait. Later there is: a process waits no longer than a seed takes to answer, and goes on
// waiting only if one does.
func FirstListingDelay(seed, firstStart bool, random float64) time.Duration {
	switch {
	case seed:
		return 0
	case firstStart:
		return ListingDelay(random)
	}
	return askingTime
}

// ListingDelay draws how long a process leaves it to others to list the store; random is
// from 0 to below 1.
//
// When a whole fleet returns at once and each process lists, the store's own link is what all
// of them wait for. So processes draw delays of which few are short (exponentially distributed
// timers for feedback suppression: Nonnenmacher and Biersack, "Optimal Multicast Feedback",
// INFOCOM 1998). The number that list hardly grows with the fleet, and the others fetch from
// them.
func ListingDelay(random float64) time.Duration {
	drawn := math.Log1p(random*math.Expm1(suppressionSlope)) / suppressionSlope
	return askingTime + time.Duration(drawn*float64(suppressionTime))
}
