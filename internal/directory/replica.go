package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// Retention is how long an endpoint is remembered after its entry is gone, so
// that its open flows can still be found. It is longer than a flow may last.
const Retention = 90 * time.Second

// endpointRecord is what the machine keeps of one endpoint.
type endpointRecord struct {
	// started is the incarnation.
	started  int64
	revision Revision
	endpoint Endpoint
	warmAt   time.Duration
	gone     bool
	goneAt   time.Duration
	// refused is set if it has gone since its entry became one that cannot be used.
	refused bool
}

// Machine merges items of the store. It is not safe for concurrent use.
type Replica struct {
	configuration *Item
	// endpoints are the latest incarnations, by name: those before hold no flow any more.
	endpoints map[string]*endpointRecord
	refusals  refusals
	// complete is the revision up to which all changes are known.
	complete Revision
	// floor is the revision from which on all changes are remembered: a process that is behind it
	// needs a whole state.
	floor Revision
	// latest is the highest revision that was taken from anybody, complete or not.
	latest Revision
	// refuted is the lowest revision that the store has shown to be false, zero if there is
	// none, and refutations is how often it has.
	refuted     Revision
	refutations uint64
	// former are the services that earlier configurations gave addresses.
	former map[segment.Address][]string
	// zones are those that are closed, or were lately.
	zones map[string]zoneRecord
	// since is when the knowledge of endpoints that leave begins, never if it has
	// not begun.
	since    time.Duration
	snapshot *Snapshot
}

// formerServices bounds the services remembered of an address.
const formerServices = 4

// New returns a machine without a directory.
func NewReplica() *Replica {
	return &Replica{
		endpoints: make(map[string]*endpointRecord),
		refusals:  newRefusals(),
		zones:     make(map[string]zoneRecord),
		since:     never,
		snapshot:  newSnapshot(contents{since: never}),
	}
}

// knownFor returns for how long endpoints that leave have been remembered.
func (m *Replica) knownFor(now time.Duration) time.Duration {
	return min(max(now-m.since, 0), Retention)
}

// reachBack notes that endpoints which have left since a time are known. It reports
// whether that is news.
func (m *Replica) reachBack(since time.Duration) bool {
	if since >= m.since {
		return false
	}
	m.since = since
	return true
}

// Snapshot returns the current view.
func (m *Replica) Snapshot() *Snapshot { return m.snapshot }

// Complete returns the revision up to which all changes are known, 0 before the
// first listing.
func (m *Replica) AppliedRevision() Revision { return m.complete }

// Known reports whether the endpoints are known, from a listing or from another process. There
// may be no configuration yet when a whole fleet starts: it comes like any later change, and
// nobody has to list the store for it.
func (m *Replica) Loaded() bool { return m.complete > 0 }

// Ready reports whether there is a configuration and the endpoints are known,
// from a listing or from another process.
func (m *Replica) Ready() bool {
	return m.configuration != nil && m.complete > 0
}

// Listing merges a full listing of the store that was begun at a revision:
// whatever was known before and is not in it has gone. It reports whether the
// snapshot changed.
func (m *Replica) ApplyListing(now time.Duration, items []Item, begun Revision) bool {
	changed := false
	listed := make(map[string]bool, len(items))
	closed := make(map[string]bool)
	m.refusals.forgetUnless(items)
	for _, item := range items {
		listed[item.EndpointID.Name] = item.Endpoint != nil
		closed[item.Zone] = item.ZoneClosed
		changed = m.merge(now, item) || changed
	}
	changed = m.leaveUnless(now, listed, begun) || changed
	changed = m.openUnless(now, closed, begun) || changed
	changed = m.reachBack(now) || changed
	m.floor = max(m.floor, begun)
	m.reached(begun)
	return m.advance(now, begun, changed)
}

// leaveUnless notes that endpoints have gone which are not among those that were there
// at a revision. It reports whether there are any.
func (m *Replica) leaveUnless(now time.Duration, there map[string]bool, at Revision) bool {
	left := false
	for name, known := range m.endpoints {
		if !known.gone && !there[name] && known.revision <= at {
			known.leave(now, at)
			left = true
		}
	}
	return left
}

// Changes merges all changes up to a revision, given that the machine knows all
// changes before them. It reports whether the snapshot changed.
func (m *Replica) ApplyChanges(now time.Duration, items []Item, through Revision) bool {
	m.reached(through)
	if m.corrects() {
		// The call was made before the refutation.
		return false
	}
	changed := false
	for _, item := range items {
		changed = m.merge(now, item) || changed
	}
	return m.advance(now, through, changed)
}

func (m *Replica) advance(now time.Duration, through Revision, changed bool) bool {
	m.complete = max(m.complete, through)
	m.latest = max(m.latest, m.complete)
	if m.forget(now) || changed {
		m.rebuild()
		return true
	}
	return false
}

func (m *Replica) merge(now time.Duration, item Item) bool {
	m.refusals.note(item)
	if item.Configuration != nil {
		return m.mergeConfiguration(item)
	}
	if item.EndpointID.Name != "" {
		return m.mergeEndpoint(now, item)
	}
	if item.Zone != "" {
		return m.mergeZone(now, item)
	}
	return false
}

// mergeConfiguration never goes back to an older version.
func (m *Replica) mergeConfiguration(item Item) bool {
	current := m.configuration
	if current != nil && item.Configuration.Version <= current.Configuration.Version {
		return false
	}
	if current != nil {
		m.rememberServices(current.Configuration, item.Configuration)
	}
	m.configuration = &item
	return true
}

// rememberServices keeps which services the addresses had that a configuration
// changes or drops, so that their open flows can still be found. Snapshots share
// the map, so it is replaced.
func (m *Replica) rememberServices(before, after *Configuration) {
	present := make(map[segment.Address][]WeightedService, len(after.Routes))
	for index := range after.Routes {
		present[after.Routes[index].Address()] = after.Routes[index].WeightedServices
	}
	former := maps.Clone(m.former)
	if former == nil {
		former = make(map[segment.Address][]string)
	}
	for index := range before.Routes {
		route := &before.Routes[index]
		if slices.Equal(present[route.Address()], route.WeightedServices) {
			continue
		}
		former[route.Address()] = withServices(former[route.Address()], servicesOf(route.WeightedServices))
	}
	m.former = former
}

func servicesOf(shares []WeightedService) []string {
	services := make([]string, 0, len(shares))
	for _, share := range shares {
		services = append(services, share.Service)
	}
	return services
}

// withServices returns the services with later ones at the end.
func withServices(services, later []string) []string {
	merged := slices.Clone(services)
	for _, service := range later {
		merged = slices.DeleteFunc(merged, func(known string) bool { return known == service })
		merged = append(merged, service)
	}
	return merged[max(len(merged)-formerServices, 0):]
}

// mergeEndpoint lets the later revision decide, whatever the starts: an endpoint's clock
// may step back. What comes under the name of another incarnation replaces it.
func (m *Replica) mergeEndpoint(now time.Duration, item Item) bool {
	known, exists := m.endpoints[item.EndpointID.Name]
	if exists && item.Revision <= known.revision {
		return false
	}
	if item.Endpoint == nil {
		if !exists || known.gone && !item.RefusalReason.Refused() {
			return false
		}
		known.leave(now, item.Revision)
		known.refused = item.RefusalReason.Refused()
		return true
	}
	m.endpoints[item.EndpointID.Name] = &endpointRecord{
		started:  item.EndpointID.Started,
		revision: item.Revision,
		endpoint: *item.Endpoint,
		warmAt:   now + item.Endpoint.ColdRemaining,
	}
	return true
}

func (r *endpointRecord) leave(now time.Duration, revision Revision) {
	r.gone = true
	r.goneAt = now
	r.revision = max(r.revision, revision)
}

func (m *Replica) forget(now time.Duration) bool {
	m.forgetZones(now)
	forgotten := false
	for name, known := range m.endpoints {
		if known.gone && now-known.goneAt > Retention {
			m.floor = max(m.floor, known.revision)
			delete(m.endpoints, name)
			forgotten = true
		}
	}
	return forgotten
}

func (m *Replica) rebuild() {
	built := contents{former: m.former, since: m.since, closed: m.closedZones()}
	if m.configuration != nil {
		built.configuration = m.configuration.Configuration
	}
	starts := coldStartsOf(built.configuration)
	services := m.knownServices()
	foreign := make(map[string]Refusal)
	latest := m.latestAt(services)
	candidates := make([]Candidate, 0, len(m.endpoints))
	for name, known := range m.endpoints {
		if !services.has(known.endpoint.Service) {
			if !known.gone {
				foreign[name] = Refusal{name, known.revision, RefusedUnknownService}
			}
			continue
		}
		gone := known.gone || latest[known.endpoint.IP] != known
		zone := m.zones[known.endpoint.Zone]
		candidates = append(candidates, Candidate{
			ID:             EndpointID{name, known.started},
			Endpoint:       known.endpoint,
			Leaving:        gone || known.endpoint.Draining,
			Gone:           gone,
			Refused:        known.refused,
			GoneAt:         known.goneAt,
			WarmAt:         m.warmAt(known, starts),
			WarmAtRevision: max(known.revision, zone.revision),
			ZoneClosed:     zone.closed,
		})
	}
	m.refusals.setForeign(foreign)
	built.candidates = candidates
	m.snapshot = newSnapshot(built)
}

// latestAt returns, by address, the entry that was written last of those that are there and
// of a known service. An endpoint that has been started again has a new entry, while that
// of the one before, which writes no more, takes some time to lapse.
func (m *Replica) latestAt(services serviceSet) map[[4]byte]*endpointRecord {
	latest := make(map[[4]byte]*endpointRecord, len(m.endpoints))
	for _, known := range m.endpoints {
		other := latest[known.endpoint.IP]
		usable := !known.gone && services.has(known.endpoint.Service)
		if usable && (other == nil || other.revision < known.revision) {
			latest[known.endpoint.IP] = known
		}
	}
	return latest
}
