// Package directory maintains each balancer's copy of the directory: the routes that an
// operator configured and the endpoints that announced themselves. It decides when to call the
// metadata store, when to fetch from another balancer and which updates to send, and it merges
// whatever arrives. It performs no I/O.
//
// Replica merges items from the store and states from other balancers in any order. The newest
// revision of each item wins, and the configuration never returns to an older version. Snapshot
// is the immutable view used to place flows. Follower schedules the calls to the store,
// PeerFetcher the fetches from other balancers, and Confirmer the calls which prove that the
// directory is current. Disseminator selects the balancers that watch the store and addresses
// the updates between balancers.
package directory

import (
	"strconv"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:65536
//msgp:ignore Candidate Snapshot Replica endpointRecord Item Page Changes StoreError Follower Confirmer Call PeerFetcher Timing tokenBucket pauseDetector
//msgp:ignore Refusal refusals RefusalReason
//msgp:tuple WeightedService Route Configuration ColdStart Endpoint EndpointID

// Revision orders the changes in the store. Each change increases it.
type Revision uint64

// EndpointID identifies one incarnation of an endpoint. A process that restarts under the same
// name holds none of the flows of its predecessor, and nothing recorded about the predecessor
// applies to it.
type EndpointID struct {
	// Name is the name under which the endpoint announces itself.
	Name string
	// Started is the start time in milliseconds of Unix time by the endpoint's own clock, or 0
	// if it reports none. It distinguishes incarnations but does not order them, because that
	// clock may step back. The revision of the entry orders them.
	Started int64
}

// NameOnlyID returns the identifier of an endpoint that does not report its start time.
func NameOnlyID(name string) EndpointID { return EndpointID{Name: name} }

// String returns the name, followed by the start time if it is known.
func (id EndpointID) String() string {
	if id.Started == 0 {
		return id.Name
	}
	return id.Name + "@" + strconv.FormatInt(id.Started, 10)
}

// WeightedService is a service that receives part of the new flows of a route.
type WeightedService struct {
	Service string
	// Weight is the portion of new flows relative to the other services of the route.
	Weight uint32
}

// Route maps an address that clients connect to onto the services that receive its new flows.
type Route struct {
	Name             string
	IP               [4]byte
	Port             uint16
	WeightedServices []WeightedService
	// Priority orders routes under overload. Priority 0 is served first.
	Priority uint8
	// TargetLatency is the latency objective. Timeout is the longest time for which a response
	// is of use to the client.
	TargetLatency time.Duration
	Timeout       time.Duration
	// Retryable is set if clients may send a request again after any failure.
	Retryable bool
}

// Address returns the address that clients connect to.
func (r *Route) Address() segment.Address { return segment.Address{IP: r.IP, Port: r.Port} }

// Configuration is one accepted version of the operators' configuration.
type Configuration struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be idle before its state may be discarded.
	IdleTimeout time.Duration
	// ColdStarts holds the limits of services whose endpoints have reduced capacity after a
	// start.
	ColdStarts []ColdStart
	// Services holds the names of all services. It is empty if the configuration does not list
	// them.
	Services []string
}

// ColdStart limits the load of an endpoint after its start. An endpoint that receives more
// fails and restarts cold, a metastable failure (Bronson et al., HotOS 2021).
type ColdStart struct {
	Service string
	// Duration is how long an endpoint is cold after a start.
	Duration time.Duration
	// RequestsPerSecond is the load that a cold endpoint carries. It is above 0: services
	// without such a limit have no ColdStart.
	RequestsPerSecond float64
}

// Endpoint is the announcement of an endpoint.
type Endpoint struct {
	Service string
	IP      [4]byte
	Port    uint16
	Zone    string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots uint32
	// Draining is set once the endpoint prepares to stop.
	Draining bool
	// ColdRemaining is how long the endpoint stays cold, counted from the announcement.
	ColdRemaining time.Duration
}

// Address returns the endpoint's own address.
func (e *Endpoint) Address() segment.Address { return segment.Address{IP: e.IP, Port: e.Port} }

// Item is one entry of the store at one revision. Configuration and Endpoint are both nil if
// the entry was deleted or refused, or if it is of no use to a balancer.
//
// An entry with a Zone closes that zone to new flows for as long as the entry exists.
type Item struct {
	Key           string
	Revision      Revision
	Configuration *Configuration
	// EndpointID is set for entries of endpoints. It has only the name if the entry was deleted
	// or refused.
	EndpointID EndpointID
	Endpoint   *Endpoint
	// RefusalReason is set for an entry that exists but cannot be used.
	RefusalReason RefusalReason
	// Zone is set for entries that close a zone, including deleted ones. ZoneClosed is set
	// while the entry exists.
	Zone       string
	ZoneClosed bool
}
