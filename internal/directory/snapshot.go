package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// Candidate is an endpoint as decisions see it.
type Candidate struct {
	ID       EndpointID
	Endpoint Endpoint
	// Leaving is set if the endpoint must get no new flow.
	Leaving bool
	// Gone is set if its entry is gone.
	Gone bool
	// Refused is set if it has gone since its entry became one that cannot be used.
	Refused bool
	// GoneAt is when its entry was found to be gone.
	GoneAt time.Duration
	// WarmAt is when it is no longer slow after its start.
	WarmAt time.Duration
	// Told is the revision of the entry that WarmAt is from.
	WarmAtRevision Revision
	// Closed is set if its zone is closed: it must get no new flow, but may hold open
	// ones for long.
	ZoneClosed bool
}

// Draining reports whether the endpoint itself has announced its end.
func (c Candidate) Draining() bool { return c.Endpoint.Draining }

const never = time.Duration(math.MaxInt64)

// LapsedSince returns how long the entry of an endpoint that did not announce
// its end has been gone; it is the longest duration for all others, those whose entry
// cannot be used among them.
func (c Candidate) ExpiredFor(now time.Duration) time.Duration {
	if !c.Gone || c.Refused || c.Draining() {
		return never
	}
	return now - c.GoneAt
}

// Snapshot is an immutable view of routes and endpoints.
type Snapshot struct {
	version  uint64
	routes   map[segment.Address]*Route
	services map[string][]Candidate
	byID     map[EndpointID]Candidate
	byIP     map[[4]byte]Candidate
	all      []Candidate
	former   map[segment.Address][]string
	since    time.Duration
	closed   []ClosedZone
	starts   map[string]ColdStart
}

// Version returns the version of the configuration, 0 if there is none.
func (s *Snapshot) Version() uint64 { return s.version }

// Since returns when the knowledge of endpoints that leave begins: all that have left
// later are known. It is the longest duration before the first listing.
func (s *Snapshot) DeparturesKnownSince() time.Duration { return s.since }

// Route returns the route of an address that clients connect to.
func (s *Snapshot) Route(address segment.Address) (*Route, bool) {
	route, exists := s.routes[address]
	return route, exists
}

// Routes returns the number of routes.
func (s *Snapshot) RouteCount() int { return len(s.routes) }

// Candidates returns the endpoints of a service, leaving ones included, in the
// order of their identifiers. The result must not be changed.
func (s *Snapshot) Candidates(service string) []Candidate { return s.services[service] }

// Candidate returns the endpoint with an identifier.
func (s *Snapshot) Candidate(id EndpointID) (Candidate, bool) {
	candidate, exists := s.byID[id]
	return candidate, exists
}

// At returns the endpoint at an IP address. If several have had the address, it
// is the one whose entry is there.
func (s *Snapshot) CandidateAt(ip [4]byte) (Candidate, bool) {
	candidate, exists := s.byIP[ip]
	return candidate, exists
}

// FormerServices returns the services that earlier configurations gave an
// address, the latest ones last.
func (s *Snapshot) FormerServices(address segment.Address) []string { return s.former[address] }

// All returns all endpoints, leaving ones included, in the order of their
// identifiers. The result must not be changed.
func (s *Snapshot) All() []Candidate { return s.all }

// Closed returns the zones that are closed to new flows, in the order of their names. The
// result must not be changed.
func (s *Snapshot) ClosedZones() []ClosedZone { return s.closed }

// ColdStart returns what endpoints of a service carry after a start, false if there is no
// limit.
func (s *Snapshot) ColdStart(service string) (ColdStart, bool) {
	start, limited := s.starts[service]
	return start, limited
}

func coldStartsOf(configuration *Configuration) map[string]ColdStart {
	starts := make(map[string]ColdStart)
	if configuration == nil {
		return starts
	}
	for _, start := range configuration.ColdStarts {
		starts[start.Service] = start
	}
	return starts
}

// contents is what a snapshot is built of.
type contents struct {
	configuration *Configuration
	former        map[segment.Address][]string
	candidates    []Candidate
	closed        []ClosedZone
	since         time.Duration
}

func newSnapshot(given contents) *Snapshot {
	configuration, candidates := given.configuration, given.candidates
	built := &Snapshot{
		routes:   make(map[segment.Address]*Route),
		services: make(map[string][]Candidate),
		byID:     make(map[EndpointID]Candidate, len(candidates)),
		byIP:     make(map[[4]byte]Candidate, len(candidates)),
		all:      candidates,
		former:   given.former,
		since:    given.since,
		closed:   given.closed,
		starts:   coldStartsOf(configuration),
	}
	if configuration != nil {
		built.version = configuration.Version
		for index := range configuration.Routes {
			route := &configuration.Routes[index]
			built.routes[route.Address()] = route
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	for _, candidate := range candidates {
		service := candidate.Endpoint.Service
		built.services[service] = append(built.services[service], candidate)
		built.byID[candidate.ID] = candidate
		if other, taken := built.byIP[candidate.Endpoint.IP]; !taken || other.Gone {
			built.byIP[candidate.Endpoint.IP] = candidate
		}
	}
	return built
}
