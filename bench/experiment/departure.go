// This file implements the check that a back end which is leaving gets no new
// flows.

package experiment

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
)

// lateAfter is how long after a drain or the start of a planned stop a new flow
// may still be accepted, apart from the time that the experiment lets a table
// revision take to reach the daemons.
const lateAfter = 3 * time.Second

// departure is the time for which a back end was to get no new flows.
type departure struct {
	backend string
	from    time.Time
	// until is the zero time while the departure lasts.
	until time.Time
}

// depart records that a back end is leaving from now on.
func (c *Cluster) depart(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.departures = append(c.departures, departure{backend: name, from: time.Now()})
}

// comeBack records that a back end may get new flows again.
func (c *Cluster) comeBack(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index := range c.departures {
		left := &c.departures[index]
		if left.backend == name && left.until.IsZero() {
			left.until = time.Now()
		}
	}
}

// countLate counts the acceptances by back ends that had been leaving for longer
// than the grace.
func countLate(connections [][]backend.FirstContact, departures []departure, grace time.Duration) int {
	late := 0
	for _, accepted := range connections {
		for _, sighting := range accepted {
			if isLate(sighting, departures, grace) {
				late++
			}
		}
	}
	return late
}

func isLate(sighting backend.FirstContact, departures []departure, grace time.Duration) bool {
	return slices.ContainsFunc(departures, func(left departure) bool {
		over := !left.until.IsZero() && !sighting.At.Before(left.until)
		return left.backend == sighting.Backend && sighting.At.After(left.from.Add(grace)) && !over
	})
}
