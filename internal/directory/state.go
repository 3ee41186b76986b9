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
//msgp:ignore zoneRecord ClosedZone contents serviceSet

// Digest is the version and the revision of a directory. It is small enough to travel with
// every message between balancers.
type Digest struct {
	ConfigurationVersion uint64
	Revision             Revision
}

// ahead reports whether a digest shows something that other does not have.
func (d Digest) ahead(other Digest) bool {
	return d.ConfigurationVersion > other.ConfigurationVersion || d.Revision > other.Revision
}

// State is the delta between two directories, or a whole one.
type State struct {
	// Complete is the revision up to which all changes are in it, given what the
	// other knew: all changes after From or, if Whole is set, everything.
	Through Revision
	From    Revision
	Whole   bool
	// Confirmed is set if the store has confirmed Complete to somebody, Age ago at the
	// most.
	Confirmed bool
	Age       time.Duration
	// Version is that of the newest configuration known.
	ConfigurationVersion uint64
	// Configuration is nil if the other has that version, or none is known.
	Configuration *Configuration
	// ConfigurationRevision is the revision of Configuration.
	ConfigurationRevision Revision
	Endpoints             []EndpointState
	// Former are the services that addresses had in earlier configurations.
	FormerRoutes []FormerRoute
	// KnownFor is how far back it reaches: endpoints that have left since are in
	// it.
	DepartureHistory time.Duration
	// Zones are those that were closed or opened since.
	Zones []ZoneState
	// Members is how many balancers the membership of its sender has.
	MemberCount uint32
}

// FormerRoute lists the services that an address had in earlier configurations, the latest
// ones last.
type FormerRoute struct {
	IP       [4]byte
	Port     uint16
	Services []string
}

// ZoneState is the state of the entry that closes a zone to new flows. One that has gone is
// remembered, so that nothing older closes the zone again.
type ZoneState struct {
	Zone     string
	Revision Revision
	Closed   bool
	// For is how long it has been closed or open.
	Age time.Duration
}

// EndpointState is the state of an endpoint's entry.
type EndpointState struct {
	ID       EndpointID
	Revision Revision
	Endpoint Endpoint
	// Gone is set if its entry is gone, for as long as GoneFor.
	Gone    bool
	GoneFor time.Duration
	// Refused is set if it has gone since its entry became one that cannot be used.
	Refused bool
}

// Digest returns how much is known.
func (m *Replica) Digest() Digest { return Digest{m.snapshot.Version(), m.complete} }

// State returns everything that is known.
func (m *Replica) FullState(now time.Duration) State { return m.StateAfter(now, Digest{}) }

// StateAfter returns what is known beyond what a digest shows, to be adopted by the process
// whose digest it is. Endpoints that have gone are always in it, since the store shows them
// only when they go. So are, if the other is ahead, those that are there: they may be stale.
// If the other has not followed the changes that are remembered here, it is everything.
func (m *Replica) StateAfter(now time.Duration, known Digest) State {
	state := m.stateFrom(known.Revision)
	state.FormerRoutes = describeFormer(m.former)
	state.DepartureHistory = m.knownFor(now)
	// Those that are closed are always in it, as the other may have seen that they were
	// opened.
	state.Zones = m.zonesAfter(now, 0)
	if m.configuration != nil && state.ConfigurationVersion > known.ConfigurationVersion {
		state.Configuration = m.configuration.Configuration
		state.ConfigurationRevision = m.configuration.Revision
	}
	for name, each := range m.endpoints {
		behind := state.Through < known.Revision
		if state.Whole || behind || each.gone || each.revision > known.Revision {
			state.Endpoints = append(state.Endpoints, each.describe(now, name))
		}
	}
	return state
}

// stateFrom returns the head of a state for a process that knows all changes up to a
// revision.
func (m *Replica) stateFrom(known Revision) State {
	return State{
		Through: m.complete, From: known, Whole: known == 0 || known < m.floor, ConfigurationVersion: m.snapshot.Version(),
	}
}

// ChangesAfter returns the changes of endpoints after a revision, in the order of
// revisions and without what goes with a new configuration. It is whole if changes since
// then are not remembered, and has no endpoints then.
func (m *Replica) ChangesAfter(now time.Duration, known Revision) State {
	state := m.stateFrom(known)
	if state.Whole {
		return state
	}
	state.Zones = m.zonesAfter(now, known)
	for name, each := range m.endpoints {
		if each.revision > known {
			state.Endpoints = append(state.Endpoints, each.describe(now, name))
		}
	}
	slices.SortFunc(state.Endpoints, func(a, b EndpointState) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return state
}

func (r *endpointRecord) describe(now time.Duration, name string) EndpointState {
	described := EndpointState{
		ID: EndpointID{name, r.started}, Revision: r.revision, Endpoint: r.endpoint, Gone: r.gone, Refused: r.refused,
	}
	described.Endpoint.ColdRemaining = max(r.warmAt-now, 0)
	if r.gone {
		described.GoneFor = now - r.goneAt
	}
	return described
}

// Adopt merges a state of another process. It reports whether the snapshot changed.
func (m *Replica) ApplyState(now time.Duration, state State) bool {
	if m.refutes(state.Through) {
		return false
	}
	changed := false
	if state.Configuration != nil {
		changed = m.mergeConfiguration(Item{Revision: state.ConfigurationRevision, Configuration: state.Configuration})
	}
	follows := m.CompletesWith(state)
	for _, described := range state.Endpoints {
		changed = m.adoptEndpoint(now, described) || changed
	}
	for _, described := range state.Zones {
		changed = m.adoptZone(now, described) || changed
	}
	changed = m.adoptFormer(state.FormerRoutes) || changed
	if state.DepartureHistory > 0 {
		changed = m.reachBack(now-state.DepartureHistory) || changed
	}
	if !follows {
		return m.advance(now, 0, changed)
	}
	if state.Whole {
		changed = m.leaveMissing(now, state) || changed
		changed = m.openMissing(now, state) || changed
		m.floor = max(m.floor, state.Through)
	}
	return m.advance(now, state.Through, changed)
}

// Follows reports whether the machine knows all changes up to the state's Complete once
// it has adopted it.
func (m *Replica) CompletesWith(state State) bool {
	version := uint64(0)
	if m.configuration != nil {
		version = m.configuration.Configuration.Version
	}
	if state.Configuration != nil {
		version = max(version, state.Configuration.Version)
	}
	if version < state.ConfigurationVersion {
		return false
	}
	return state.Through >= m.complete && (state.Whole || state.From <= m.complete)
}

// leaveMissing notes that endpoints have gone which are not there in a whole state. One that
// has gone in it may have come back and gone again, which its sender has missed.
func (m *Replica) leaveMissing(now time.Duration, state State) bool {
	there := make(map[string]bool, len(state.Endpoints))
	for _, described := range state.Endpoints {
		there[described.ID.Name] = !described.Gone
	}
	return m.leaveUnless(now, there, state.Through)
}

// adoptFormer merges the former services of another process. It reports whether there are new
// ones. Snapshots share the map, so it is replaced.
func (m *Replica) adoptFormer(described []FormerRoute) bool {
	merged := maps.Clone(m.former)
	if merged == nil {
		merged = make(map[segment.Address][]string)
	}
	for _, route := range described {
		address := segment.Address{IP: route.IP, Port: route.Port}
		merged[address] = withServices(route.Services, merged[address])
	}
	if maps.EqualFunc(merged, m.former, slices.Equal) {
		return false
	}
	m.former = merged
	return true
}

func describeFormer(former map[segment.Address][]string) []FormerRoute {
	var described []FormerRoute
	for address, services := range former {
		described = append(described, FormerRoute{IP: address.IP, Port: address.Port, Services: services})
	}
	return described
}

// adoptEndpoint takes the state of an endpoint's entry if it is newer. An entry that this
// process does not have, though it has all changes since it was written, has gone: the other
// is stale. The same endpoint may have had one before. One that cannot be used, as a fault of
// the other may bring, is left out.
func (m *Replica) adoptEndpoint(now time.Duration, described EndpointState) bool {
	known, exists := m.endpoints[described.ID.Name]
	if exists && described.Revision <= known.revision || !described.usable() {
		return false
	}
	adopted := &endpointRecord{
		started:  described.ID.Started,
		revision: described.Revision,
		endpoint: described.Endpoint,
		warmAt:   now + described.Endpoint.ColdRemaining,
		gone:     described.Gone,
		goneAt:   now - described.GoneFor,
		refused:  described.Refused,
	}
	if !described.Gone && described.Revision <= m.complete {
		adopted.leave(now, m.complete)
	}
	m.endpoints[described.ID.Name] = adopted
	m.latest = max(m.latest, described.Revision)
	return true
}
