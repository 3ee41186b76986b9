// Package directory holds what a balancer knows of the configuration that an
// operator wrote and of the endpoints that announce themselves.
//
// Machine merges items that come from the platform's store, or from other
// balancers, in any order: the newest revision of each item wins, and the
// configuration never goes back to an older version. Snapshot is the immutable
// view that decisions are made with.
package directory

import (
	"strconv"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

//go:generate go tool msgp -tests=false
//msgp:limit arrays:65536
//msgp:ignore Candidate Snapshot Replica endpointRecord Item Page Changes StoreError Follower Confirmer Call PeerFetcher Timing pacer
//msgp:ignore Refusal refusals RefusalReason
//msgp:tuple WeightedService Route Configuration ColdStart Endpoint EndpointID

// Revision orders the changes of the store. It rises with every change.
type Revision uint64

// EndpointID identifies one incarnation of an endpoint: a process that has been started
// again under its name holds no flow of the one before, and nothing that was learned of
// that one holds for it.
type EndpointID struct {
	// Name is the name under which the endpoint announces itself.
	Name string
	// Started is when it was started, in milliseconds of Unix time by its own clock; 0 if
	// it does not tell. It tells incarnations apart and does not order them, since that
	// clock may step back: the revision of the entry does.
	Started int64
}

// NameOnlyID returns the identifier of an endpoint that does not tell when it was started.
func NameOnlyID(name string) EndpointID { return EndpointID{Name: name} }

// String returns the name, and the time of the start if it is known.
func (id EndpointID) String() string {
	if id.Started == 0 {
		return id.Name
	}
	return id.Name + "@" + strconv.FormatInt(id.Started, 10)
}

// Share is a service that takes part in a route.
type WeightedService struct {
	Service string
	// Weight is the part of new flows relative to the other shares.
	Weight uint32
}

// Route tells which services take the new flows of one address.
type Route struct {
	Name             string
	IP               [4]byte
	Port             uint16
	WeightedServices []WeightedService
	// Priority orders routes under overload; 0 is served first.
	Priority uint8
	// Target is the latency objective and Timeout the longest useful time of a
	// request.
	TargetLatency time.Duration
	Timeout       time.Duration
	// Repeatable is set if clients may send a request again after any failure.
	Retryable bool
}

// Address returns the address that clients connect to.
func (r *Route) Address() segment.Address { return segment.Address{IP: r.IP, Port: r.Port} }

// Configuration is one accepted version of what operators configure.
type Configuration struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may rest before it may be forgotten.
	IdleTimeout time.Duration
	// ColdStarts are those of services whose endpoints carry little after a start.
	ColdStarts []ColdStart
	// Services are the names of all services; it is empty if they are not told.
	Services []string
}

// ColdStart tells how much an endpoint of a service carries at first. One that gets more
// fails and starts again, cold (a metastable failure: Bronson et al., HotOS 2021).
type ColdStart struct {
	Service string
	// Lasts is how long an endpoint is cold after a start.
	Duration time.Duration
	// Rate is how many requests a second it carries meanwhile. It is above 0: services
	// without such a limit are left out.
	RequestsPerSecond float64
}

// Endpoint is what an endpoint announces of itself.
type Endpoint struct {
	Service string
	IP      [4]byte
	Port    uint16
	Zone    string
	// Slots is how many requests it works on at the same time.
	Slots uint32
	// Draining is set once it is about to leave.
	Draining bool
	// Warming is how much longer it is slow after its start, as of the time at
	// which it was announced.
	ColdRemaining time.Duration
}

// Address returns the endpoint's own address.
func (e *Endpoint) Address() segment.Address { return segment.Address{IP: e.IP, Port: e.Port} }

// Item is one entry of the store at one revision. Neither Configuration nor
// Endpoint is set if the entry is gone or refused; both may be nil for entries that
// concern nobody.
//
// An entry with a Zone closes that zone to new flows for as long as it is there.
type Item struct {
	Key           string
	Revision      Revision
	Configuration *Configuration
	// EndpointID is set for entries of endpoints; when gone or refused it has the name
	// alone.
	EndpointID EndpointID
	Endpoint   *Endpoint
	// Refused is set for an entry that is there and cannot be used.
	RefusalReason RefusalReason
	// Zone is set for entries that close a zone, also when gone; Closed is set while
	// the entry is there.
	Zone       string
	ZoneClosed bool
}
