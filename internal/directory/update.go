package directory

import (
	"cmp"
	"slices"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:65536
//msgp:tuple Update
//msgp:ignore ConfirmationRequest ConfirmationQueue change

// Update announces directory changes between balancers in one datagram.
type Update struct {
	// RequestsChanges asks for an Update with the changes that the sender lacks beyond State.
	RequestsChanges bool
	// Confirmation asks the receiver to confirm its directory with the store before it replies.
	// RequestID identifies the request. The reply repeats both.
	Confirmation bool
	RequestID    uint32
	State        State
	// Source is the process to fetch the content of State from, or 0 for the sender.
	Source Peer
	// ListingStore is set while the sender is listing the store, so that the receiver need not
	// list it.
	ListingStore bool
}

// Peer identifies a balancer.
type Peer uint64

const (
	// MaxUpdateSize is the largest encoded Update in bytes. It fits into one Ethernet frame.
	MaxUpdateSize = 1400
	// updateHeaderSize is the space for everything in an Update except endpoints and zones, and
	// endpointOverhead for one endpoint without its strings, in bytes.
	updateHeaderSize = 100
	endpointOverhead = 64
	// goneOverhead is the additional space for the times of an endpoint that is gone, in bytes.
	goneOverhead = 8
	// zoneOverhead is the space for one zone without its name, in bytes.
	zoneOverhead = 32
	// maxUpdateParts limits the datagrams of one difference. Larger differences are announced
	// without content and fetched over a stream.
	maxUpdateParts = 4
)

// size returns the space reserved for the endpoint in an Update, in bytes.
func (e *EndpointState) size() int {
	size := endpointOverhead + len(e.ID.Name) + len(e.Endpoint.Service) + len(e.Endpoint.Zone)
	if e.Gone {
		size += goneOverhead
	}
	return size
}

// size returns the space reserved for the zone in an Update, in bytes.
func (z *ZoneState) size() int { return zoneOverhead + len(z.Zone) }

func zonesSize(zones []ZoneState) int {
	size := 0
	for index := range zones {
		size += zones[index].size()
	}
	return size
}

// change is a change of an endpoint or a zone.
type change struct {
	revision Revision
	// size is the space reserved for the change in an Update, in bytes.
	size  int
	addTo func(part *State)
}

// changesByRevision returns the changes of a state, ordered by revision.
func changesByRevision(state State) []change {
	changes := make([]change, 0, len(state.Endpoints)+len(state.Zones))
	for _, endpoint := range state.Endpoints {
		addTo := func(part *State) { part.Endpoints = append(part.Endpoints, endpoint) }
		changes = append(changes, change{endpoint.Revision, endpoint.size(), addTo})
	}
	for _, zone := range state.Zones {
		addTo := func(part *State) { part.Zones = append(part.Zones, zone) }
		changes = append(changes, change{zone.Revision, zone.size(), addTo})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	return changes
}

// splitUpdates divides changes of endpoints and zones into updates that fit into datagrams. Each
// update covers the changes from the revision of the previous one to its own, since a receiver that
// has applied a later one takes a zone that it does not know as closed for one that was opened again.
// If there are too many, it returns a single update without content, also if the zones alone need
// several.
func splitUpdates(changes State) []Update {
	remaining := MaxUpdateSize - updateHeaderSize
	if changes.Full || zonesSize(changes.Zones) > remaining {
		return []Update{announcement(changes)}
	}
	part := changes
	part.Endpoints, part.Zones = nil, nil
	var parts []Update
	last := Revision(0)
	for _, each := range changesByRevision(changes) {
		canSplit := last > 0 && last != each.revision
		if remaining < each.size && canSplit {
			part.Through, part.Confirmed = last, false
			parts = append(parts, Update{State: part})
			part = changes
			part.Endpoints, part.Zones = nil, nil
			part.From = last
			remaining = MaxUpdateSize - updateHeaderSize
		}
		each.addTo(&part)
		remaining -= each.size
		last = each.revision
	}
	parts = append(parts, Update{State: part})
	if len(parts) > maxUpdateParts || remaining < 0 {
		return []Update{announcement(changes)}
	}
	return parts
}

// announcement returns an update with the revision of a state and none of its content.
func announcement(changes State) Update {
	changes.Endpoints = nil
	changes.Zones = nil
	changes.Full = false
	changes.From = changes.Through
	return Update{State: changes}
}
