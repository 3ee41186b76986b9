package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
)

// RefusalReason is the reason for which an entry of the store cannot be used.
type RefusalReason uint8

// The reasons for which an entry is refused. Writers other than the endpoints may have created
// the entry.
const (
	// NotRefused means that the entry can be used.
	NotRefused RefusalReason = iota
	// RefusedUnreadable means that the value cannot be decoded or is too long.
	RefusedUnreadable
	// RefusedMissingField means that a required field is missing.
	RefusedMissingField
	// RefusedWrongType means that a field has the wrong type.
	RefusedWrongType
	// RefusedUnknownState means that the announced state is not defined.
	RefusedUnknownState
	// RefusedUnknownService means that the service is not configured.
	RefusedUnknownService
	// RefusedOutOfRange means that a number, a string or an address is out of range.
	RefusedOutOfRange
	refusalReasonCount
)

var refusalReasonNames = []string{
	"none", "unreadable", "missing_field", "wrong_type", "unknown_state", "unknown_service", "out_of_range",
}

// RefusalReasons lists every reason, for counters labelled by reason.
func RefusalReasons() []RefusalReason { return label.All(refusalReasonCount)[RefusedUnreadable:] }

// String returns the reason as a metric label value.
func (r RefusalReason) String() string { return label.Of(refusalReasonNames, r) }

// Refused reports whether an entry with this reason cannot be used.
func (r RefusalReason) Refused() bool { return r != NotRefused }

const (
	// MaxSlots exceeds the concurrent requests of any process on one machine. An endpoint that
	// announced more would attract the flows of all others.
	MaxSlots = 1 << 16
	// MaxColdTime exceeds the time that any process takes to reach its usual speed.
	MaxColdTime = time.Hour
	// MaxNameLength is the longest name in bytes. The store has the same limit for a key.
	MaxNameLength = 200
)

// Validate returns the reason for which the announcement cannot be used, or NotRefused.
func (e *Endpoint) Validate() RefusalReason {
	validNames := len(e.Service) > 0 && len(e.Service) <= MaxNameLength && len(e.Zone) <= MaxNameLength
	validSlots := e.Slots > 0 && e.Slots <= MaxSlots
	validColdTime := e.ColdRemaining >= 0 && e.ColdRemaining <= MaxColdTime
	if !validNames || !validSlots || !validColdTime || e.Port == 0 || e.IP == [4]byte{} {
		return RefusedOutOfRange
	}
	return NotRefused
}

// valid reports whether a state received from another process can be used.
func (e *EndpointState) valid() bool {
	validName := len(e.ID.Name) > 0 && len(e.ID.Name) <= MaxNameLength
	return validName && e.GoneFor >= 0 && e.PresentFor >= 0 && !e.Endpoint.Validate().Refused()
}

// Refusal is an entry that exists in the store but cannot be used.
type Refusal struct {
	Key      string
	Revision Revision
	Reason   RefusalReason
}

// maxRefusals limits the entries kept in byKey and in unreported. Refusals beyond it are not
// reported, and only those for an unknown service are still counted.
const maxRefusals = 1024

// refusals keeps the entries that cannot be used, so that each is reported once.
type refusals struct {
	// byKey holds entries refused for their content, by key. unknownService holds entries of
	// services that are not configured, by endpoint name.
	byKey          map[string]Refusal
	unknownService map[string]Refusal
	// unreported holds the refusals that TakeRefusals has not returned yet.
	unreported []Refusal
}

func newRefusals() refusals { return refusals{byKey: make(map[string]Refusal)} }

// note updates the refusals for an entry of the store.
func (r *refusals) note(item Item) {
	if !item.RefusalReason.Refused() {
		if existing, exists := r.byKey[item.Key]; exists && existing.Revision <= item.Revision {
			delete(r.byKey, item.Key)
		}
		return
	}
	r.add(Refusal{item.Key, item.Revision, item.RefusalReason})
}

// add records a refused entry unless that revision is recorded.
func (r *refusals) add(refusal Refusal) {
	existing, exists := r.byKey[refusal.Key]
	if exists && refusal.Revision <= existing.Revision || !exists && len(r.byKey) >= maxRefusals {
		return
	}
	r.byKey[refusal.Key] = refusal
	r.report(refusal)
}

func (r *refusals) report(refusal Refusal) {
	if len(r.unreported) < maxRefusals {
		r.unreported = append(r.unreported, refusal)
	}
}

// setUnknownService replaces the entries of services that are not configured.
func (r *refusals) setUnknownService(unknownService map[string]Refusal) {
	for name, refusal := range unknownService {
		if r.unknownService[name].Revision != refusal.Revision {
			r.report(refusal)
		}
	}
	r.unknownService = unknownService
}

// removeUnlisted drops the refusals of entries that a full listing does not contain.
func (r *refusals) removeUnlisted(listed []Item) {
	if len(r.byKey) == 0 {
		return
	}
	present := make(map[string]bool, len(listed))
	for _, item := range listed {
		present[item.Key] = true
	}
	for key := range r.byKey {
		if !present[key] {
			delete(r.byKey, key)
		}
	}
}

// RefusalCounts returns the number of unusable entries by reason.
func (r *Replica) RefusalCounts() map[RefusalReason]int {
	counts := make(map[RefusalReason]int)
	for _, each := range r.refusals.byKey {
		counts[each.Reason]++
	}
	counts[RefusedUnknownService] += len(r.refusals.unknownService)
	return counts
}

// TakeRefusals returns the entries refused since the previous call, once per revision and
// ordered by revision.
func (r *Replica) TakeRefusals() []Refusal {
	taken := r.refusals.unreported
	r.refusals.unreported = nil
	slices.SortFunc(taken, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return taken
}

// serviceSet holds the services whose endpoints are used. A nil set contains every service.
type serviceSet map[string]bool

func (s serviceSet) has(service string) bool { return s == nil || s[service] }

// knownServices returns the services that are configured, have a route, or had an address in an
// earlier configuration, since their endpoints may hold flows. An entry of any other service
// cannot take over the address of an existing endpoint.
func (r *Replica) knownServices() serviceSet {
	if r.configuration == nil || len(r.configuration.Configuration.Services) == 0 {
		return nil
	}
	services := make(serviceSet)
	for _, service := range r.configuration.Configuration.Services {
		services[service] = true
	}
	for _, route := range r.configuration.Configuration.Routes {
		for _, weighted := range route.WeightedServices {
			services[weighted.Service] = true
		}
	}
	for _, former := range r.formerServices {
		for _, service := range former {
			services[service] = true
		}
	}
	return services
}
