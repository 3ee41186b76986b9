package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// Retention is how long an endpoint is kept after its entry is deleted, so that its open flows
// can still be found. It exceeds the longest lifetime of a flow.
const Retention = 90 * time.Second

// endpointRecord is the state that a Replica keeps of one endpoint.
type endpointRecord struct {
	// started identifies the incarnation, as EndpointID.Started does.
	started  int64
	revision Revision
	endpoint Endpoint
	warmAt   time.Duration
	gone     bool
	goneAt   time.Duration
	// refused is set if the endpoint is gone because its entry became unusable.
	refused bool
}

// Replica is this process's copy of the directory, merged from items of the store and states of
// other processes. It is not safe for concurrent use.
type Replica struct {
	configuration *Item
	// endpoints holds the latest incarnation by name. Earlier incarnations hold no flows.
	endpoints map[string]*endpointRecord
	refusals  refusals
	// appliedRevision is the revision up to which all changes are known.
	appliedRevision Revision
	// historyFloor is the revision after which all changes are kept. A process with an older
	// revision needs a full state.
	historyFloor Revision
	// latestSeen is the highest revision received from any source, including revisions above
	// appliedRevision.
	latestSeen Revision
	// invalidFrom is the lowest revision that the store has shown to be false, or 0.
	// invalidations counts how often the store has done so.
	invalidFrom   Revision
	invalidations uint64
	// formerServices holds the services that earlier configurations assigned to addresses.
	formerServices map[segment.Address][]string
	// zones holds the zones that are closed or were closed recently.
	zones map[string]zoneRecord
	// A departure is the change of an endpoint to gone. departuresKnownSince is the start of
	// the period for which all departures of endpoints are known, or never.
	departuresKnownSince time.Duration
	snapshot             *Snapshot
}

// maxFormerServices limits the former services kept for one address.
const maxFormerServices = 4

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		endpoints:            make(map[string]*endpointRecord),
		refusals:             newRefusals(),
		zones:                make(map[string]zoneRecord),
		departuresKnownSince: never,
		snapshot:             newSnapshot(snapshotData{departuresKnownSince: never}),
	}
}

// departureHistory returns how far back departures of endpoints are known.
func (r *Replica) departureHistory(now time.Duration) time.Duration {
	return min(max(now-r.departuresKnownSince, 0), Retention)
}

// extendDepartureHistory records that all departures after since are known. It reports whether
// that extends the known period.
func (r *Replica) extendDepartureHistory(since time.Duration) bool {
	if since >= r.departuresKnownSince {
		return false
	}
	r.departuresKnownSince = since
	return true
}

// Snapshot returns the current view.
func (r *Replica) Snapshot() *Snapshot { return r.snapshot }

// AppliedRevision returns the revision up to which all changes are known, or 0 before the first
// listing.
func (r *Replica) AppliedRevision() Revision { return r.appliedRevision }

// Loaded reports whether the endpoints are known, from a listing or from another process.
// During the first start of a fleet there may be no configuration yet. It arrives as an
// ordinary change, without another listing.
func (r *Replica) Loaded() bool { return r.appliedRevision > 0 }

// Ready reports whether the replica has a configuration and the endpoints are known, from a
// listing or from another process.
func (r *Replica) Ready() bool {
	return r.configuration != nil && r.appliedRevision > 0
}

// ApplyListing merges a full listing of the store that began at a revision. Endpoints and zones
// that were known by then and are not listed count as deleted. It reports whether the snapshot
// changed.
func (r *Replica) ApplyListing(now time.Duration, items []Item, revision Revision) bool {
	changed := false
	listed := make(map[string]bool, len(items))
	closed := make(map[string]bool)
	r.refusals.removeUnlisted(items)
	for _, item := range items {
		listed[item.EndpointID.Name] = item.Endpoint != nil
		closed[item.Zone] = item.ZoneClosed
		changed = r.merge(now, item) || changed
	}
	changed = r.markUnlistedGone(now, listed, revision) || changed
	changed = r.openUnlistedZones(now, closed, revision) || changed
	changed = r.extendDepartureHistory(now) || changed
	r.historyFloor = max(r.historyFloor, revision)
	r.recordStoreRevision(revision)
	return r.advance(now, revision, changed)
}

// markUnlistedGone marks endpoints as gone whose entry was not listed at a revision. It reports
// whether it marked any.
func (r *Replica) markUnlistedGone(now time.Duration, listed map[string]bool, revision Revision) bool {
	marked := false
	for name, record := range r.endpoints {
		if !record.gone && !listed[name] && record.revision <= revision {
			record.markGone(now, revision)
			marked = true
		}
	}
	return marked
}

// ApplyChanges merges all changes up to a revision. The replica must contain all changes before
// them. It reports whether the snapshot changed.
func (r *Replica) ApplyChanges(now time.Duration, items []Item, through Revision) bool {
	r.recordStoreRevision(through)
	if r.needsFullState() {
		// The call began before the directory was invalidated, so its changes may not connect.
		return false
	}
	changed := false
	for _, item := range items {
		changed = r.merge(now, item) || changed
	}
	return r.advance(now, through, changed)
}

func (r *Replica) advance(now time.Duration, through Revision, changed bool) bool {
	r.appliedRevision = max(r.appliedRevision, through)
	r.latestSeen = max(r.latestSeen, r.appliedRevision)
	if r.expireRecords(now) || changed {
		r.rebuildSnapshot()
		return true
	}
	return false
}

func (r *Replica) merge(now time.Duration, item Item) bool {
	r.refusals.note(item)
	if item.Configuration != nil {
		return r.mergeConfiguration(item)
	}
	if item.EndpointID.Name != "" {
		return r.mergeEndpoint(now, item)
	}
	if item.Zone != "" {
		return r.mergeZone(now, item)
	}
	return false
}

// mergeConfiguration accepts only a newer version of the configuration.
func (r *Replica) mergeConfiguration(item Item) bool {
	current := r.configuration
	if current != nil && item.Configuration.Version <= current.Configuration.Version {
		return false
	}
	if current != nil {
		r.recordFormerServices(current.Configuration, item.Configuration)
	}
	r.configuration = &item
	return true
}

// recordFormerServices keeps the services of addresses that a configuration changes or drops,
// so that their open flows can still be found. It replaces the map, because snapshots share it.
func (r *Replica) recordFormerServices(before, after *Configuration) {
	present := make(map[segment.Address][]WeightedService, len(after.Routes))
	for index := range after.Routes {
		present[after.Routes[index].Address()] = after.Routes[index].WeightedServices
	}
	former := maps.Clone(r.formerServices)
	if former == nil {
		former = make(map[segment.Address][]string)
	}
	for index := range before.Routes {
		route := &before.Routes[index]
		if slices.Equal(present[route.Address()], route.WeightedServices) {
			continue
		}
		former[route.Address()] = appendServices(former[route.Address()], servicesOf(route.WeightedServices))
	}
	r.formerServices = former
}

func servicesOf(weightedServices []WeightedService) []string {
	services := make([]string, 0, len(weightedServices))
	for _, weighted := range weightedServices {
		services = append(services, weighted.Service)
	}
	return services
}

// appendServices returns the services with the later ones moved to the end.
func appendServices(services, later []string) []string {
	merged := slices.Clone(services)
	for _, service := range later {
		merged = slices.DeleteFunc(merged, func(existing string) bool { return existing == service })
		merged = append(merged, service)
	}
	return merged[max(len(merged)-maxFormerServices, 0):]
}

// mergeEndpoint accepts the higher revision and ignores the start times, because an endpoint's
// clock may step back. An entry of another incarnation replaces the record.
func (r *Replica) mergeEndpoint(now time.Duration, item Item) bool {
	record, exists := r.endpoints[item.EndpointID.Name]
	if exists && item.Revision <= record.revision {
		return false
	}
	if item.Endpoint == nil {
		if !exists || record.gone && !item.RefusalReason.Refused() {
			return false
		}
		record.markGone(now, item.Revision)
		record.refused = item.RefusalReason.Refused()
		return true
	}
	r.endpoints[item.EndpointID.Name] = &endpointRecord{
		started:  item.EndpointID.Started,
		revision: item.Revision,
		endpoint: *item.Endpoint,
		warmAt:   now + item.Endpoint.ColdRemaining,
	}
	return true
}

func (r *endpointRecord) markGone(now time.Duration, revision Revision) {
	r.gone = true
	r.goneAt = now
	r.revision = max(r.revision, revision)
}

func (r *Replica) expireRecords(now time.Duration) bool {
	r.expireZones(now)
	removed := false
	for name, record := range r.endpoints {
		if record.gone && now-record.goneAt > Retention {
			r.historyFloor = max(r.historyFloor, record.revision)
			delete(r.endpoints, name)
			removed = true
		}
	}
	return removed
}

func (r *Replica) rebuildSnapshot() {
	data := snapshotData{formerServices: r.formerServices, departuresKnownSince: r.departuresKnownSince, closedZones: r.closedZones()}
	if r.configuration != nil {
		data.configuration = r.configuration.Configuration
	}
	coldStarts := coldStartsOf(data.configuration)
	services := r.knownServices()
	unknownService := make(map[string]Refusal)
	latest := r.latestByIP(services)
	candidates := make([]Candidate, 0, len(r.endpoints))
	for name, record := range r.endpoints {
		if !services.has(record.endpoint.Service) {
			if !record.gone {
				unknownService[name] = Refusal{name, record.revision, RefusedUnknownService}
			}
			continue
		}
		gone := record.gone || latest[record.endpoint.IP] != record
		zone := r.zones[record.endpoint.Zone]
		candidates = append(candidates, Candidate{
			ID:             EndpointID{name, record.started},
			Endpoint:       record.endpoint,
			Leaving:        gone || record.endpoint.Draining,
			Gone:           gone,
			Refused:        record.refused,
			GoneAt:         record.goneAt,
			WarmAt:         r.warmAt(record, coldStarts),
			WarmAtRevision: max(record.revision, zone.revision),
			ZoneClosed:     zone.closed,
		})
	}
	r.refusals.setUnknownService(unknownService)
	data.candidates = candidates
	r.snapshot = newSnapshot(data)
}

// latestByIP returns, for each IP address, the most recently written entry among the existing
// entries of known services. A restarted endpoint has a new entry while the entry of its
// predecessor, which is no longer renewed, takes time to expire.
func (r *Replica) latestByIP(services serviceSet) map[[4]byte]*endpointRecord {
	latest := make(map[[4]byte]*endpointRecord, len(r.endpoints))
	for _, record := range r.endpoints {
		other := latest[record.endpoint.IP]
		usable := !record.gone && services.has(record.endpoint.Service)
		if usable && (other == nil || other.revision < record.revision) {
			latest[record.endpoint.IP] = record
		}
	}
	return latest
}
