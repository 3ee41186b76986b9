package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
)

// RefusalReason is the reason why an entry of the store cannot be used.
type RefusalReason uint8

// The reasons why an entry is refused. Other writers than the endpoints themselves may have
// put it there.
const (
	// RefusedNot: it can be used.
	NotRefused RefusalReason = iota
	// RefusedUnreadable: its bytes cannot be read, or are too many.
	RefusedUnreadable
	// RefusedMissingField: a field is missing.
	RefusedMissingField
	// RefusedWrongType: a field is not of its type.
	RefusedWrongType
	// RefusedUnknownState: it tells a state that is not known.
	RefusedUnknownState
	// RefusedUnknownService: it tells a service that is not configured.
	RefusedUnknownService
	// RefusedOutOfRange: a number, a text or an address is out of range.
	RefusedOutOfRange
	refusalReasonCount
)

var refusalReasonNames = []string{
	"none", "unreadable", "missing_field", "wrong_type", "unknown_state", "unknown_service", "out_of_range",
}

// RefusalReasons lists every reason, for counters that are kept by reason.
func RefusalReasons() []RefusalReason { return label.All(refusalReasonCount)[RefusedUnreadable:] }

// String returns the reason in the form used as a metric label.
func (r RefusalReason) String() string { return label.Of(refusalReasonNames, r) }

// Refused reports whether an entry with this reason cannot be used.
func (r RefusalReason) Refused() bool { return r != NotRefused }

const (
	// MaximumSlots is more requests at the same time than a process on one machine works
	// on: one that tells of more would get the flows of all others.
	MaxSlots = 1 << 16
	// LongestWarming is longer than any process takes to become as fast as usual.
	MaxColdTime = time.Hour
	// MaximumName bounds names, in bytes: as many as the store takes for a key.
	MaxNameLength = 200
)

// Check returns why an endpoint that announces itself so cannot be used.
func (e *Endpoint) Validate() RefusalReason {
	named := len(e.Service) > 0 && len(e.Service) <= MaxNameLength && len(e.Zone) <= MaxNameLength
	sized := e.Slots > 0 && e.Slots <= MaxSlots
	warming := e.ColdRemaining >= 0 && e.ColdRemaining <= MaxColdTime
	if !named || !sized || !warming || e.Port == 0 || e.IP == [4]byte{} {
		return RefusedOutOfRange
	}
	return NotRefused
}

// usable reports whether what another process announces of an endpoint can be used.
func (e *EndpointState) usable() bool {
	named := len(e.ID.Name) > 0 && len(e.ID.Name) <= MaxNameLength
	return named && e.GoneFor >= 0 && !e.Endpoint.Validate().Refused()
}

// Refusal is an entry of the store that is there and cannot be used.
type Refusal struct {
	Key      string
	Revision Revision
	Reason   RefusalReason
}

// refusalLimit bounds the refused entries that are remembered. Of more than that, only
// their number tells.
const refusalLimit = 1024

// refusals remembers the entries that cannot be used, so that each is reported once.
type refusals struct {
	// known are refused for what they are, by key, and foreign since their service is not
	// known, by the name of the endpoint.
	known   map[string]Refusal
	foreign map[string]Refusal
	// fresh are those that have not been reported.
	fresh []Refusal
}

func newRefusals() refusals { return refusals{known: make(map[string]Refusal)} }

// note takes account of an entry of the store.
func (r *refusals) note(item Item) {
	if !item.RefusalReason.Refused() {
		if known, exists := r.known[item.Key]; exists && known.Revision <= item.Revision {
			delete(r.known, item.Key)
		}
		return
	}
	r.refuse(Refusal{item.Key, item.Revision, item.RefusalReason})
}

// refuse notes that an entry cannot be used, unless that is known.
func (r *refusals) refuse(refusal Refusal) {
	known, exists := r.known[refusal.Key]
	if exists && refusal.Revision <= known.Revision || !exists && len(r.known) >= refusalLimit {
		return
	}
	r.known[refusal.Key] = refusal
	r.report(refusal)
}

func (r *refusals) report(refusal Refusal) {
	if len(r.fresh) < refusalLimit {
		r.fresh = append(r.fresh, refusal)
	}
}

// setForeign replaces those whose service is not known.
func (r *refusals) setForeign(foreign map[string]Refusal) {
	for name, refusal := range foreign {
		if r.foreign[name].Revision != refusal.Revision {
			r.report(refusal)
		}
	}
	r.foreign = foreign
}

// forgetUnless forgets those that a whole listing does not have.
func (r *refusals) forgetUnless(listed []Item) {
	if len(r.known) == 0 {
		return
	}
	there := make(map[string]bool, len(listed))
	for _, item := range listed {
		there[item.Key] = true
	}
	for key := range r.known {
		if !there[key] {
			delete(r.known, key)
		}
	}
}

// Refused returns how many entries of the store cannot be used, by the reason.
func (m *Replica) RefusalCounts() map[RefusalReason]int {
	counts := make(map[RefusalReason]int)
	for _, each := range m.refusals.known {
		counts[each.Reason]++
	}
	counts[RefusedUnknownService] += len(m.refusals.foreign)
	return counts
}

// TakeRefusals returns the entries that have been refused since it was called last, each
// once for a revision, in the order of their revisions.
func (m *Replica) TakeRefusals() []Refusal {
	taken := m.refusals.fresh
	m.refusals.fresh = nil
	slices.SortFunc(taken, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return taken
}

// serviceSet are the services whose endpoints are used; nil takes all.
type serviceSet map[string]bool

func (s serviceSet) has(service string) bool { return s == nil || s[service] }

// knownServices returns the services that are configured, or were given an address by an
// earlier configuration: their endpoints may hold flows. An entry that names another takes
// no address from an endpoint that has it.
func (m *Replica) knownServices() serviceSet {
	if m.configuration == nil || len(m.configuration.Configuration.Services) == 0 {
		return nil
	}
	known := make(serviceSet)
	for _, service := range m.configuration.Configuration.Services {
		known[service] = true
	}
	for _, route := range m.configuration.Configuration.Routes {
		for _, share := range route.WeightedServices {
			known[share.Service] = true
		}
	}
	for _, services := range m.former {
		for _, service := range services {
			known[service] = true
		}
	}
	return known
}
