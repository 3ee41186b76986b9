package directory

//go:generate go tool msgp -tests=false
//msgp:limit arrays:65536
//msgp:tuple Update
//msgp:ignore ConfirmationRequest ConfirmationQueue

// Update is an announcement of the directory among balancers, in one datagram.
type Update struct {
	// Asks wants an Update in return with what the sender lacks beyond State.
	RequestsChanges bool
	// Confirms wants the store to be asked first, and Number names the question. Both
	// are the same in the answer.
	Confirmation bool
	RequestID    uint32
	State        State
	// Source is who can be asked for what State shows, the sender if it is zero.
	Source Peer
	// Waits is set while the sender is listing the store, so that the receiver need not.
	ListingStore bool
}

// Peer names a balancer.
type Peer uint64

const (
	// MaximumUpdate bounds an encoded Update in bytes: one packet of an Ethernet.
	MaxUpdateSize = 1400
	// updateHead is room for all but the endpoints of an Update, and endpointRoom for one
	// beside its texts, in bytes.
	updateHead   = 100
	endpointRoom = 64
	// zoneRoom is room for one zone beside its name, in bytes.
	zoneRoom = 32
	// updateParts bounds the datagrams of one delta. More changes are announced without their
	// content, and fetched by a stream.
	updateParts = 4
)

// size returns how much room an endpoint takes in an Update, in bytes.
func (e *EndpointState) size() int {
	return endpointRoom + len(e.ID.Name) + len(e.Endpoint.Service) + len(e.Endpoint.Zone)
}

// updatesOf divides changes of endpoints, which are in the order of their revisions, into
// updates that fit into datagrams. Each leads from the revision of the one before to its own.
// If there are too many, one update announces them without their content.
func updatesOf(changes State) []Update {
	if changes.Whole {
		return []Update{announcement(changes)}
	}
	part := changes
	part.Endpoints = nil
	room := MaxUpdateSize - updateHead
	for _, zone := range changes.Zones {
		room -= zoneRoom + len(zone.Zone)
	}
	if room < 0 {
		return []Update{announcement(changes)}
	}
	var parts []Update
	for _, each := range changes.Endpoints {
		last := len(part.Endpoints) - 1
		splits := last >= 0 && part.Endpoints[last].Revision != each.Revision
		if room < each.size() && splits {
			part.Through = part.Endpoints[last].Revision
			part.Confirmed = false
			parts = append(parts, Update{State: part})
			part = changes
			part.Zones = nil
			part.From = parts[len(parts)-1].State.Through
			part.Endpoints = nil
			room = MaxUpdateSize - updateHead
		}
		part.Endpoints = append(part.Endpoints, each)
		room -= each.size()
	}
	parts = append(parts, Update{State: part})
	if len(parts) > updateParts || room < 0 {
		return []Update{announcement(changes)}
	}
	return parts
}

// announcement returns an update with the revision of a state and none of its content.
func announcement(changes State) Update {
	changes.Endpoints = nil
	changes.Zones = nil
	changes.Whole = false
	changes.From = changes.Through
	return Update{State: changes}
}
