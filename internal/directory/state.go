package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:65536
//msgp:tuple Digest State EndpointState FormerRoute ZoneState
//msgp:ignore zoneRecord ClosedZone snapshotData serviceSet

// Digest holds the versions of a directory. It is small enough to accompany every message
// between balancers.
type Digest struct {
	ConfigurationVersion uint64
	Revision             Revision
}

// isAheadOf reports whether a digest covers a change that other lacks.
func (d Digest) isAheadOf(other Digest) bool {
	return d.ConfigurationVersion > other.ConfigurationVersion || d.Revision > other.Revision
}

// State is a full directory or the difference between two directories.
type State struct {
	// Through is the revision up to which the state covers all changes: those after From, or
	// everything if Full is set.
	Through Revision
	From    Revision
	Full    bool
	// Confirmed is set if the store confirmed the revision Through to some balancer, at most
	// Age ago.
	Confirmed bool
	Age       time.Duration
	// ConfigurationVersion is the newest version known to the sender.
	ConfigurationVersion uint64
	// Configuration is nil if the receiver has that version or the sender has none.
	Configuration *Configuration
	// ConfigurationRevision is the revision of Configuration.
	ConfigurationRevision Revision
	Endpoints             []EndpointState
	// FormerRoutes holds the services that earlier configurations assigned to addresses.
	FormerRoutes []FormerRoute
	// DepartureHistory is the period before the sending of the state for which all departures
	// of endpoints are included.
	DepartureHistory time.Duration
	// Zones holds zones that are closed or were opened recently. A datagram contains only those
	// that changed after From.
	Zones []ZoneState
	// MemberCount is the number of balancers in the sender's membership.
	MemberCount uint32
}

// FormerRoute lists the services that earlier configurations assigned to an address, the latest
// ones last.
type FormerRoute struct {
	IP       [4]byte
	Port     uint16
	Services []string
}

// ZoneState is the state of the entry that closes a zone to new flows. It is kept after the
// entry is deleted, so that no older state closes the zone again.
type ZoneState struct {
	Zone     string
	Revision Revision
	Closed   bool
	// Age is how long the zone has been closed or open.
	Age time.Duration
}

// EndpointState is the state of an endpoint's entry.
type EndpointState struct {
	ID       EndpointID
	Revision Revision
	Endpoint Endpoint
	// Gone is set if the entry was deleted or became unusable. The sender recorded that GoneFor
	// ago. PresentFor is how long ago the store is last known to have had the entry, or Retention
	// if that is longer ago or unknown. The entry was deleted between the two.
	Gone       bool
	GoneFor    time.Duration
	PresentFor time.Duration
	// Refused is set if the endpoint is gone because its entry became unusable.
	Refused bool
}

// Digest returns the versions of the replica.
func (r *Replica) Digest() Digest { return Digest{r.snapshot.Version(), r.appliedRevision} }

// FullState returns the whole content of the replica.
func (r *Replica) FullState(now time.Duration) State { return r.StateAfter(now, Digest{}) }

// StateAfter returns the content that the process with peerDigest lacks. It always includes
// endpoints that are gone, because the store reports them only once. If the peer is ahead, it
// also includes all existing endpoints, since the local entries may be stale. It is a full
// state if the peer's revision is older than the kept history.
func (r *Replica) StateAfter(now time.Duration, peerDigest Digest) State {
	state := r.stateHeader(peerDigest.Revision)
	state.FormerRoutes = formerRoutesOf(r.formerServices)
	state.DepartureHistory = r.snapshot.DepartureHistory(now)
	// Include every recorded zone. If the peer is ahead, a zone that is closed here may have
	// been opened since, and the peer then records the opening.
	state.Zones = r.zonesAfter(now, 0)
	if r.configuration != nil && state.ConfigurationVersion > peerDigest.ConfigurationVersion {
		state.Configuration = r.configuration.Configuration
		state.ConfigurationRevision = r.configuration.Revision
	}
	for name, record := range r.endpoints {
		peerAhead := state.Through < peerDigest.Revision
		if state.Full || peerAhead || record.gone || record.revision > peerDigest.Revision {
			state.Endpoints = append(state.Endpoints, record.toState(now, name))
		}
	}
	return state
}

// stateHeader returns a state without content for a process that has all changes up to a
// revision.
func (r *Replica) stateHeader(after Revision) State {
	return State{
		Through: r.appliedRevision, From: after, Full: after == 0 || after < r.historyFloor, ConfigurationVersion: r.snapshot.Version(),
	}
}

// ChangesAfter returns the changes of endpoints and zones after a revision, ordered by
// revision, without configuration data. If that history is no longer kept, the state has Full
// set and no content.
func (r *Replica) ChangesAfter(now time.Duration, after Revision) State {
	state := r.stateHeader(after)
	if state.Full {
		return state
	}
	state.Zones = r.zonesAfter(now, after)
	for name, record := range r.endpoints {
		if record.revision > after {
			state.Endpoints = append(state.Endpoints, record.toState(now, name))
		}
	}
	slices.SortFunc(state.Endpoints, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return state
}

func (r *endpointRecord) toState(now time.Duration, name string) EndpointState {
	state := EndpointState{
		ID: EndpointID{name, r.started}, Revision: r.revision, Endpoint: r.endpoint, Gone: r.gone, Refused: r.refused,
	}
	state.Endpoint.ColdRemaining = max(r.warmAt-now, 0)
	if r.gone {
		state.GoneFor = now - r.goneAt
		state.PresentFor = min(now-r.presentAt, Retention)
	}
	return state
}

// Delayed returns the state as of up to delay later. It raises the ages that must not seem less
// than they are: that of the confirmation, and the time since the store is known to have had the
// entry of an endpoint that is gone.
func (s State) Delayed(delay time.Duration) State {
	s.Age += delay
	s.Endpoints = slices.Clone(s.Endpoints)
	for index := range s.Endpoints {
		if s.Endpoints[index].Gone {
			s.Endpoints[index].PresentFor += delay
		}
	}
	return s
}

// ApplyState merges a state received from another process, which must include the time that it
// took to arrive, see State.Delayed. It reports whether the snapshot changed.
func (r *Replica) ApplyState(now time.Duration, state State) bool {
	if r.isInvalid(state.Through) {
		return false
	}
	changed := false
	if state.Configuration != nil {
		changed = r.mergeConfiguration(Item{Revision: state.ConfigurationRevision, Configuration: state.Configuration})
	}
	complete := r.CompletesWith(state)
	for _, received := range state.Endpoints {
		changed = r.applyEndpointState(now, received, state.presentAt(now)) || changed
	}
	for _, received := range state.Zones {
		changed = r.applyZoneState(now, received) || changed
	}
	changed = r.applyFormerRoutes(state.FormerRoutes) || changed
	if state.DepartureHistory > 0 || state.Full {
		changed = r.mergeDepartures(now, state, complete) || changed
	}
	if !complete {
		return r.advance(now, 0, changed)
	}
	if state.Full {
		changed = r.markMissingGone(now, state) || changed
		changed = r.openMissingZones(now, state) || changed
		r.historyFloor = max(r.historyFloor, state.Through)
	}
	return r.advance(now, state.Through, changed)
}

// CompletesWith reports whether the replica has all changes up to state.Through once it has
// applied the state.
func (r *Replica) CompletesWith(state State) bool {
	version := uint64(0)
	if r.configuration != nil {
		version = r.configuration.Configuration.Version
	}
	if state.Configuration != nil {
		version = max(version, state.Configuration.Version)
	}
	if version < state.ConfigurationVersion {
		return false
	}
	return state.Through >= r.appliedRevision && (state.Full || state.From <= r.appliedRevision)
}

// markMissingGone marks endpoints as gone that a full state does not contain as existing. An
// endpoint that is gone in the state may have returned and gone again unnoticed by the sender.
func (r *Replica) markMissingGone(now time.Duration, state State) bool {
	present := make(map[string]bool, len(state.Endpoints))
	for _, received := range state.Endpoints {
		present[received.ID.Name] = !received.Gone
	}
	return r.markUnlistedGone(now, present, state.Through)
}

// applyFormerRoutes merges the former services of another process. It reports whether any are
// new. It replaces the map, because snapshots share it.
func (r *Replica) applyFormerRoutes(routes []FormerRoute) bool {
	merged := maps.Clone(r.formerServices)
	if merged == nil {
		merged = make(map[segment.Address][]string)
	}
	for _, route := range routes {
		address := segment.Address{IP: route.IP, Port: route.Port}
		merged[address] = appendServices(route.Services, merged[address])
	}
	if maps.EqualFunc(merged, r.formerServices, slices.Equal) {
		return false
	}
	r.formerServices = merged
	return true
}

func formerRoutesOf(former map[segment.Address][]string) []FormerRoute {
	var routes []FormerRoute
	for address, services := range former {
		routes = append(routes, FormerRoute{IP: address.IP, Port: address.Port, Services: services})
	}
	return routes
}

// presentAt returns the latest time at which the store is known to have had the present endpoints
// of a state.
func (s *State) presentAt(now time.Duration) time.Duration {
	if !s.Confirmed {
		return longAgo
	}
	return now - max(s.Age, 0)
}

// presentAt returns the latest time at which this replica knows that the store had the entry.
func (r *Replica) presentAt(record *endpointRecord) time.Duration {
	if record.gone {
		return record.presentAt
	}
	return r.currentAt
}

// applyEndpointState accepts a newer state of an endpoint's entry. If this process already
// has all changes up to that revision, an entry that it lacks has since been deleted and the
// sender is stale: the store had the entry at senderPresentAt, and nothing is known of the time
// after that. That also holds if an older entry of the endpoint is recorded. Invalid states, which
// a faulty sender may produce, are skipped.
func (r *Replica) applyEndpointState(now time.Duration, received EndpointState, senderPresentAt time.Duration) bool {
	record, exists := r.endpoints[received.ID.Name]
	if exists && received.Revision <= record.revision || !received.valid() {
		return false
	}
	updated := &endpointRecord{
		started:  received.ID.Started,
		revision: received.Revision,
		endpoint: received.Endpoint,
		warmAt:   now + received.Endpoint.ColdRemaining,
		gone:     received.Gone,
		refused:  received.Refused,
	}
	switch {
	case received.Gone:
		updated.goneAt, updated.presentAt = now-received.GoneFor, now-received.PresentFor
	case received.Revision <= r.appliedRevision:
		r.markGone(now, updated, r.appliedRevision)
		updated.presentAt = senderPresentAt
	}
	if exists && updated.gone {
		updated.presentAt = max(updated.presentAt, r.presentAt(record))
	}
	updated.storeFailedAt = r.storeFailedAt
	r.endpoints[received.ID.Name] = updated
	r.latestSeen = max(r.latestSeen, received.Revision)
	return true
}
