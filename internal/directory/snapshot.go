package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// Candidate is an endpoint together with the state that placement needs.
type Candidate struct {
	ID       EndpointID
	Endpoint Endpoint
	// Leaving is set if the endpoint must receive no new flows.
	Leaving bool
	// Gone is set if the entry was deleted, became unusable, or is older than another one with
	// the same IP address.
	Gone bool
	// Refused is set if the endpoint is gone because its entry became unusable.
	Refused bool
	// GoneAt is when this process recorded the endpoint as gone.
	GoneAt time.Duration
	// PresentAt is the latest time at which the store is known to have had the entry of an
	// endpoint that is gone. The entry was removed between PresentAt and GoneAt, which are seconds
	// apart if this process had no news of the store for a while.
	PresentAt time.Duration
	// StoreFailedAt is when the latest call to the store began that had failed by GoneAt.
	StoreFailedAt time.Duration
	// WarmAt is when the endpoint stops being cold.
	WarmAt time.Duration
	// WarmAtRevision is the revision of the entry that determines WarmAt.
	WarmAtRevision Revision
	// ZoneClosed is set if the endpoint's zone is closed. The endpoint must receive no new
	// flows but may hold open ones for a long time.
	ZoneClosed bool
}

// Draining reports whether the endpoint has announced that it will stop.
func (c Candidate) Draining() bool { return c.Endpoint.Draining }

// never is later than any time. longAgo is earlier than any time, and far enough from the limits
// of the type for differences of times.
const (
	never   = time.Duration(math.MaxInt64)
	longAgo = time.Duration(math.MinInt64 / 2)
)

// ExpiredFor returns for how long this process has recorded the entry as gone of an endpoint that
// did not announce its stop. It returns the longest duration for all other endpoints, including
// those whose entry became unusable.
func (c Candidate) ExpiredFor(now time.Duration) time.Duration {
	if !c.Gone || c.Refused || c.Draining() {
		return never
	}
	return now - c.GoneAt
}

// Snapshot is an immutable view of routes and endpoints.
type Snapshot struct {
	version              uint64
	routes               map[segment.Address]*Route
	services             map[string][]Candidate
	byID                 map[EndpointID]Candidate
	byIP                 map[[4]byte]Candidate
	all                  []Candidate
	formerServices       map[segment.Address][]string
	departuresKnownSince time.Duration
	closedZones          []ClosedZone
	coldStarts           map[string]ColdStart
}

// Version returns the version of the configuration, or 0 if there is none.
func (s *Snapshot) Version() uint64 { return s.version }

// DepartureHistory returns the length of the period before now for which the snapshot contains all
// departures of endpoints, at most Retention. It is 0 before the first listing.
func (s *Snapshot) DepartureHistory(now time.Duration) time.Duration {
	return min(max(now-s.departuresKnownSince, 0), Retention)
}

// Route returns the route of an address that clients connect to.
func (s *Snapshot) Route(address segment.Address) (*Route, bool) {
	route, exists := s.routes[address]
	return route, exists
}

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int { return len(s.routes) }

// Candidates returns the endpoints of a service ordered by identifier, including leaving ones.
// The caller must not modify the result.
func (s *Snapshot) Candidates(service string) []Candidate { return s.services[service] }

// Candidate returns the endpoint with an identifier.
func (s *Snapshot) Candidate(id EndpointID) (Candidate, bool) {
	candidate, exists := s.byID[id]
	return candidate, exists
}

// CandidateAt returns the endpoint at an IP address. If several endpoints have used the
// address, it returns the one whose entry exists.
func (s *Snapshot) CandidateAt(ip [4]byte) (Candidate, bool) {
	candidate, exists := s.byIP[ip]
	return candidate, exists
}

// FormerServices returns the services that earlier configurations assigned to an address, the
// latest ones last.
func (s *Snapshot) FormerServices(address segment.Address) []string { return s.formerServices[address] }

// All returns all endpoints ordered by identifier, including leaving ones. The caller must not
// modify the result.
func (s *Snapshot) All() []Candidate { return s.all }

// ClosedZones returns the zones that are closed to new flows, ordered by name. The caller must
// not modify the result.
func (s *Snapshot) ClosedZones() []ClosedZone { return s.closedZones }

// ColdStart returns the load limit of a service's cold endpoints, or false if the service has
// none.
func (s *Snapshot) ColdStart(service string) (ColdStart, bool) {
	coldStart, limited := s.coldStarts[service]
	return coldStart, limited
}

func coldStartsOf(configuration *Configuration) map[string]ColdStart {
	coldStarts := make(map[string]ColdStart)
	if configuration == nil {
		return coldStarts
	}
	for _, start := range configuration.ColdStarts {
		coldStarts[start.Service] = start
	}
	return coldStarts
}

// snapshotData holds the input of newSnapshot.
type snapshotData struct {
	configuration        *Configuration
	formerServices       map[segment.Address][]string
	candidates           []Candidate
	closedZones          []ClosedZone
	departuresKnownSince time.Duration
}

func newSnapshot(data snapshotData) *Snapshot {
	configuration, candidates := data.configuration, data.candidates
	snapshot := &Snapshot{
		routes:               make(map[segment.Address]*Route),
		services:             make(map[string][]Candidate),
		byID:                 make(map[EndpointID]Candidate, len(candidates)),
		byIP:                 make(map[[4]byte]Candidate, len(candidates)),
		all:                  candidates,
		formerServices:       data.formerServices,
		departuresKnownSince: data.departuresKnownSince,
		closedZones:          data.closedZones,
		coldStarts:           coldStartsOf(configuration),
	}
	if configuration != nil {
		snapshot.version = configuration.Version
		for index := range configuration.Routes {
			route := &configuration.Routes[index]
			snapshot.routes[route.Address()] = route
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	for _, candidate := range candidates {
		service := candidate.Endpoint.Service
		snapshot.services[service] = append(snapshot.services[service], candidate)
		snapshot.byID[candidate.ID] = candidate
		if other, taken := snapshot.byIP[candidate.Endpoint.IP]; !taken || other.Gone {
			snapshot.byIP[candidate.Endpoint.IP] = candidate
		}
	}
	return snapshot
}
