// This file checks that a draining back end gets no new flows.

package experiment

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
)

// drainGrace is how long after the start of a drain or of a planned stop new flows may still be
// accepted. The revision skew of the experiment is added to it, since a table revision may
// take that long to reach all daemons.
const drainGrace = 3 * time.Second

// drainPeriod is a period in which a back end must get no new flows.
type drainPeriod struct {
	backend string
	from    time.Time
	// until is the end of the period, or the zero time if it has not ended.
	until time.Time
}

// startDrain records that a back end must get no new flows from now on.
func (c *Cluster) startDrain(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drainPeriods = append(c.drainPeriods, drainPeriod{backend: name, from: time.Now()})
}

// endDrain records that a back end may get new flows again.
func (c *Cluster) endDrain(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index := range c.drainPeriods {
		period := &c.drainPeriods[index]
		if period.backend == name && period.until.IsZero() {
			period.until = time.Now()
		}
	}
}

// countLateConnections counts the connections that back ends accepted later than grace after the
// start of a drain period.
func countLateConnections(connections [][]backend.FirstContact, periods []drainPeriod, grace time.Duration) int {
	late := 0
	for _, accepted := range connections {
		for _, contact := range accepted {
			if isLate(contact, periods, grace) {
				late++
			}
		}
	}
	return late
}

func isLate(contact backend.FirstContact, periods []drainPeriod, grace time.Duration) bool {
	return slices.ContainsFunc(periods, func(period drainPeriod) bool {
		ended := !period.until.IsZero() && !contact.At.Before(period.until)
		return period.backend == contact.Backend && contact.At.After(period.from.Add(grace)) && !ended
	})
}
