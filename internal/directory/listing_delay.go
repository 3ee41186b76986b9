package directory

import (
	"math"
	"time"
)

const (
	// seedReplyTime is the shortest time in which a seed replies to a starting process: a few
	// round trips.
	seedReplyTime = 20 * time.Millisecond
	// maxSuppression is the longest time, in addition to seedReplyTime, that a starting process
	// leaves the listing of the store to others. Seeds have the directory after a part of that
	// time.
	maxSuppression = 250 * time.Millisecond
	// suppressionSlope is the logarithm of the number of processes of which one or two list
	// within the first eighth of maxSuppression.
	suppressionSlope = 8
)

// FirstListingDelay returns how long a starting process waits for a snapshot of a peer before
// it lists the store itself. random is in [0, 1). A seed lists at once, because all others ask
// it. During the first start of a whole fleet no traffic is waiting, so a process draws a
// random delay. Later it waits only as long as a seed takes to reply, and longer only if a seed
// does reply.
func FirstListingDelay(seed, firstStart bool, random float64) time.Duration {
	switch {
	case seed:
		return 0
	case firstStart:
		return ListingDelay(random)
	}
	return seedReplyTime
}

// ListingDelay draws the time for which a process leaves the listing of the store to others.
// random is in [0, 1).
//
// If a whole fleet restarts at once and every process lists, all of them wait for the store's
// network link. Processes therefore draw delays of which few are short (exponentially
// distributed timers for feedback suppression: Nonnenmacher and Biersack, "Optimal Multicast
// Feedback", INFOCOM 1998). The number of listings hardly grows with the fleet. All other
// processes fetch from those that listed.
func ListingDelay(random float64) time.Duration {
	drawn := math.Log1p(random*math.Expm1(suppressionSlope)) / suppressionSlope
	return seedReplyTime + time.Duration(drawn*float64(maxSuppression))
}
