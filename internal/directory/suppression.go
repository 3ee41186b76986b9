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
	// to list the store, beside askingTime. Seeds take about a quarter of it from their start
	// to their directory.
	suppressionTime = 250 * time.Millisecond
	// suppressionSlope is the logarithm of the number of processes among which one or two
	// list within the first eighth of suppressionTime.
	suppressionSlope = 8
)

const (
	// listersAtOnce is how many processes a seed asks to list the store at first, so that all
	// of a small fleet do without waiting: 8 take a store's link of 1,000 Mbit/s for 15 ms.
	listersAtOnce = 8
	// listerInterval is the time after which it asks one more: by then one on a link of 200
	// Mbit/s has listed 682 endpoints.
	listerInterval = 30 * time.Millisecond
)

// listers bounds how many processes a seed that knows nothing asks to list the store. Those
// that ask it first are on the fastest machines.
type listers struct {
	asked int
	last  time.Duration
}

// appoint reports whether one more process shall list the store now.
func (l *listers) appoint(now time.Duration) bool {
	if l.asked >= listersAtOnce && now-l.last < listerInterval {
		return false
	}
	l.asked++
	l.last = now
	return true
}

// ListingDelay returns how long a process that starts leaves it to others to tell it the
// directory, before it lists the store itself; random is from 0 to below 1. A seed lists at
// once, since all others ask it.
//
// When a whole fleet returns at once and each process lists, the store's own link is what
// all of them wait for: 300 that list 682 endpoints on four pages take 0.5 s. So processes
// draw delays of which few are short (exponentially distributed timers for feedback
// suppression: Nonnenmacher and Biersack, "Optimal Multicast Feedback", INFOCOM 1998). Some
// fifteen list, whether there are 300 or 2,500, and the others hear of one of them.
func ListingDelay(seed bool, random float64) time.Duration {
	if seed {
		return 0
	}
	drawn := math.Log1p(random*math.Expm1(suppressionSlope)) / suppressionSlope
	return askingTime + time.Duration(drawn*float64(suppressionTime))
}
