package directory

import "time"

// fleetStartSpread is how long after the first start of a fleet a listing counts as earlier than all
// departures. An endpoint that such a listing misses would have to start, get a flow from a balancer
// that listed it, and leave, all within this time.
const fleetStartSpread = 3 * time.Second

// departureHistory is the period for which a Replica knows all departures of endpoints. A departure is
// the change of an endpoint to gone. A listing does not contain an endpoint that came and went since
// the last change that was received, so that the period ends where changes are skipped.
type departureHistory struct {
	// since is the start of the period, never if there is none.
	since time.Duration
	// continuousFrom is a revision after which no change was skipped.
	continuousFrom Revision
	// fleetListedBy is until when a listing, at the first start of the fleet, precedes all
	// departures. It is longAgo at any other start.
	fleetListedBy time.Duration
}

func newDepartureHistory() departureHistory {
	return departureHistory{since: never, fleetListedBy: longAgo}
}

// restart records that all departures after since are known and all changes after a revision. It
// reports whether since has changed.
func (h *departureHistory) restart(since time.Duration, from Revision) bool {
	changed := since != h.since
	h.since, h.continuousFrom = since, from
	return changed
}

// extend records that all departures after since are known. It reports whether that is news.
func (h *departureHistory) extend(since time.Duration) bool {
	if since >= h.since {
		return false
	}
	h.since = since
	return true
}

// MarkFirstStart records that the whole fleet starts for the first time at now, so that no endpoint
// has left before.
func (r *Replica) MarkFirstStart(now time.Duration) {
	r.departures.fleetListedBy = now + fleetStartSpread
}

// recordListedDepartures updates the departure history for a listing at a revision, which has not been
// applied yet. It reports whether the history has changed.
func (r *Replica) recordListedDepartures(now time.Duration, revision Revision) bool {
	skipsChanges := revision > r.appliedRevision || r.needsFullState()
	switch {
	case r.departures.since < never && !skipsChanges:
		return false
	case now <= r.departures.fleetListedBy:
		return r.departures.restart(longAgo, revision)
	}
	return r.departures.restart(now, revision)
}

// mergeDepartures updates the departure history for a state of another process, which has not been
// applied yet. The replica has all changes up to state.Through afterwards if complete is set.
// mergeDepartures reports whether the history has changed.
func (r *Replica) mergeDepartures(now time.Duration, state State, complete bool) bool {
	since := now - state.DepartureHistory
	skipsChanges := complete && state.Full && state.Through > r.appliedRevision
	switch {
	case r.appliedRevision == 0 && !complete:
		return false
	case r.appliedRevision == 0 || skipsChanges && since > r.currentAt:
		return r.departures.restart(since, state.Through)
	case state.DepartureHistory == 0:
		return false
	case state.Through < r.departures.continuousFrom:
		// Neither the sender nor this replica knows the changes between the two revisions.
		return false
	}
	return r.departures.extend(since)
}
