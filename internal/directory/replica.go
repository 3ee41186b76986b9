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
	// warmAt is when the cold start that the entry announced ends.
	warmAt time.Duration
	gone   bool
	// goneAt is when this process recorded that the endpoint is gone. presentAt is the latest
	// time at which the store is known to have had the entry. The entry was removed between the
	// two. storeFailedAt is Replica.storeFailedAt when the removal was recorded.
	goneAt        time.Duration
	presentAt     time.Duration
	storeFailedAt time.Duration
	// refused is set if the endpoint is gone because its entry became unusable.
	refused bool
}

// Replica is this process's copy of the directory, merged from items of the store and states of
// other processes. It is not safe for concurrent use.
type Replica struct {
	configuration *Item
	// endpoints holds the latest incarnation by name. Earlier ones are not kept, because a
	// restarted endpoint holds none of their flows.
	endpoints map[string]*endpointRecord
	refusals  refusals
	// appliedRevision is the revision up to which all changes are known.
	appliedRevision Revision
	// historyFloor is the revision after which all changes are kept. A process with an older
	// revision needs a full state.
	historyFloor Revision
	// latestSeen is the highest revision received from any source. It is above
	// appliedRevision while changes between the two may be missing.
	latestSeen Revision
	// currentAt is the latest time for which the replica is known to have all changes that the
	// store had accepted. storeFailedAt is when the latest call began to which the store did not
	// respond or responded that it is unavailable. Both are longAgo if there is no such time.
	currentAt     time.Duration
	storeFailedAt time.Duration
	// invalidFrom is the lowest revision that was received although the store has not reached
	// it, or 0. States of peers at this revision or later are ignored.
	invalidFrom Revision
	// invalidations counts the calls of Invalidate.
	invalidations uint64
	// formerServices holds the services that earlier configurations assigned to addresses.
	formerServices map[segment.Address][]string
	// zones holds the zones that are closed or were closed recently.
	zones      map[string]zoneRecord
	departures departureHistory
	snapshot   *Snapshot
}

// maxFormerServices limits the former services kept for one address.
const maxFormerServices = 4

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		endpoints:     make(map[string]*endpointRecord),
		refusals:      newRefusals(),
		zones:         make(map[string]zoneRecord),
		currentAt:     longAgo,
		storeFailedAt: longAgo,
		departures:    newDepartureHistory(),
		snapshot:      newSnapshot(snapshotData{departuresKnownSince: never}),
	}
}

// MarkCurrent records that the replica has all changes that the store had accepted by a time.
func (r *Replica) MarkCurrent(at time.Duration) { r.currentAt = max(r.currentAt, at) }

// CurrentAt returns the latest time recorded by MarkCurrent.
func (r *Replica) CurrentAt() time.Duration { return r.currentAt }

// MarkStoreFailed records that the store did not respond to a call that began at a time, or
// responded that it is unavailable.
func (r *Replica) MarkStoreFailed(at time.Duration) { r.storeFailedAt = max(r.storeFailedAt, at) }

// Snapshot returns the current view.
func (r *Replica) Snapshot() *Snapshot { return r.snapshot }

// AppliedRevision returns the revision up to which all changes are known, or 0 before the first
// listing.
func (r *Replica) AppliedRevision() Revision { return r.appliedRevision }

// Loaded reports whether the endpoints are known, from a listing or from another process. It
// does not require a configuration: during the first start of a fleet there may be none yet,
// and it then arrives as an ordinary change, without another listing.
func (r *Replica) Loaded() bool { return r.appliedRevision > 0 }

// Ready reports whether the replica is loaded, as Loaded reports, and has a configuration.
func (r *Replica) Ready() bool {
	return r.configuration != nil && r.appliedRevision > 0
}

// ApplyListing merges a full listing of the store, which began when the store was at the given
// revision. An entry of an endpoint or zone that is not listed counts as deleted if its known
// revision is not later than the given one. ApplyListing reports whether the snapshot changed.
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
	changed = r.recordListedDepartures(now, revision) || changed
	r.historyFloor = max(r.historyFloor, revision)
	r.recordStoreRevision(revision)
	return r.advance(now, revision, changed)
}

// markUnlistedGone marks the endpoints as gone that a listing at the given revision does not
// contain, except those with a later revision. It reports whether it marked any.
func (r *Replica) markUnlistedGone(now time.Duration, listed map[string]bool, revision Revision) bool {
	marked := false
	for name, record := range r.endpoints {
		if !record.gone && !listed[name] && record.revision <= revision {
			r.markGone(now, record, revision)
			marked = true
		}
	}
	return marked
}

// ApplyChanges merges changes of the store. The items must contain all changes after
// AppliedRevision, up to and including through. It reports whether the snapshot changed.
func (r *Replica) ApplyChanges(now time.Duration, items []Item, through Revision) bool {
	r.recordStoreRevision(through)
	if r.needsFullState() {
		// The call to the store began before the directory was invalidated, so changes before
		// these items may be missing.
		return false
	}
	changed := false
	for _, item := range items {
		changed = r.merge(now, item) || changed
	}
	return r.advance(now, through, changed)
}

// advance records that all changes up to a revision are known, removes expired records, and
// rebuilds the snapshot if the merged items or the removals changed it. It reports whether the
// snapshot was rebuilt.
func (r *Replica) advance(now time.Duration, through Revision, changed bool) bool {
	r.appliedRevision = max(r.appliedRevision, through)
	r.latestSeen = max(r.latestSeen, r.appliedRevision)
	if r.expireRecords(now) || changed {
		r.rebuildSnapshot()
		return true
	}
	return false
}

// merge applies an item of the store according to its kind. It reports whether the snapshot has
// to be rebuilt.
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

// recordFormerServices records the previous services of each address whose route the new
// configuration changes or removes, so that the open flows of the address can still be found.
// It replaces the map, because snapshots share it.
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

// appendServices returns the services with the later ones moved to the end. It keeps the last
// maxFormerServices of them.
func appendServices(services, later []string) []string {
	merged := slices.Clone(services)
	for _, service := range later {
		merged = slices.DeleteFunc(merged, func(existing string) bool { return existing == service })
		merged = append(merged, service)
	}
	return merged[max(len(merged)-maxFormerServices, 0):]
}

// mergeEndpoint accepts the higher revision and ignores the start times, because an endpoint's
// clock may step back. An item with an endpoint replaces the whole record, even if the record
// belongs to another incarnation.
func (r *Replica) mergeEndpoint(now time.Duration, item Item) bool {
	record, exists := r.endpoints[item.EndpointID.Name]
	if exists && item.Revision <= record.revision {
		return false
	}
	if item.Endpoint == nil {
		if !exists || record.gone && !item.RefusalReason.Refused() {
			return false
		}
		r.markGone(now, record, item.Revision)
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

// markGone records at now that a present endpoint is gone. Its entry was removed after the latest
// time for which the replica, which contains the endpoint, is known to be current. markGone raises
// the revision of the record to the given one if that is later.
func (r *Replica) markGone(now time.Duration, record *endpointRecord, revision Revision) {
	record.gone = true
	record.goneAt = now
	record.presentAt = r.currentAt
	record.storeFailedAt = r.storeFailedAt
	record.revision = max(record.revision, revision)
}

// expireRecords removes zones and endpoints that have been open or gone for longer than
// Retention. It reports whether it removed an endpoint, which changes the snapshot.
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

// rebuildSnapshot builds the snapshot from the configuration and the records. It omits
// endpoints of unknown services and records a refusal for those that are not gone.
func (r *Replica) rebuildSnapshot() {
	data := snapshotData{formerServices: r.formerServices, departuresKnownSince: r.departures.since, closedZones: r.closedZones()}
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
			PresentAt:      record.presentAt,
			StoreFailedAt:  record.storeFailedAt,
			WarmAt:         r.warmAt(record, coldStarts),
			WarmAtRevision: max(record.revision, zone.revision),
			ZoneClosed:     zone.closed,
		})
	}
	r.refusals.setUnknownService(unknownService)
	data.candidates = candidates
	r.snapshot = newSnapshot(data)
}

// latestByIP returns, for each IP address, the record with the highest revision among those
// that are not gone and belong to a known service. A restarted endpoint writes a new entry
// before the entry of its predecessor, which is no longer renewed, has expired. The snapshot
// shows the predecessor as gone.
func (r *Replica) latestByIP(services serviceSet) map[[4]byte]*endpointRecord {
	latest := make(map[[4]byte]*endpointRecord, len(r.endpoints))
	for _, record := range r.endpoints {
		newest := latest[record.endpoint.IP]
		usable := !record.gone && services.has(record.endpoint.Service)
		if usable && (newest == nil || newest.revision < record.revision) {
			latest[record.endpoint.IP] = record
		}
	}
	return latest
}
