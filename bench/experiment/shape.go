// Package experiment checks the guarantees that vanetillerd gives to its users while the fleet
// changes and fails. A run takes a shape (the fleet and its traffic), an experiment (the kinds
// of events), a duration and a seed. It starts real daemons and simulated callers and back
// ends, applies the events that the seed determines, and reports the violations and the
// latencies.
package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Flows describes the flows of one kind that callers run.
type Flows struct {
	// Kind is what the flows do.
	Kind caller.Kind
	// Share is the weight of this kind among the callers of the service.
	Share int
	// Pieces, PieceSize and Pause are as in caller.Plan.
	Pieces    int
	PieceSize int
	Pause     time.Duration
}

// ServiceShape describes one service.
type ServiceShape struct {
	ID      table.ServiceID
	Name    string
	Owner   string
	Address netip.AddrPort
	// Protocol is the transport; UDP services have only flows of
	// caller.KindDatagrams.
	Protocol table.Protocol
	// Endpoints is the number of back ends at the start.
	Endpoints int
	// Spares is the number of back ends that the schedule may add.
	Spares int
	// Slots is the number of submissions that one back end executes at a time.
	Slots int
	// Callers is the number of concurrent flows.
	Callers int
	// Mix lists the kinds of flows and their shares.
	Mix []Flows
}

// Shape describes the fleet and the traffic of one user.
type Shape struct {
	Name string
	// Zones is the number of zones over which processes are spread.
	Zones int
	// Balancers is the number of balancers at the start.
	Balancers int
	// SpareBalancers is the number of balancers that the schedule may add.
	SpareBalancers int
	// Callers are the inner addresses of the callers.
	Callers  []netip.Addr
	Services []ServiceShape
}

const (
	connectionLimit   = 2000
	initialWeight     = 100
	submissionSize    = 2 << 10
	submissionTime    = 50 * time.Millisecond
	callerAddresses   = 16
	spareEndpoints    = 1
	spareBalancers    = 1
	slotsCasablanca   = 7
	slotsKolkata      = 3
	serviceBurstSlots = 20
)

func callerRange(third byte) []netip.Addr {
	addresses := make([]netip.Addr, callerAddresses)
	for i := range addresses {
		addresses[i] = netip.AddrFrom4([4]byte{203, 0, third, byte(10 + i)})
	}
	return addresses
}

// Shapes lists the shapes of two users and one with a UDP service.
func Shapes() []Shape {
	return []Shape{casablanca(), kolkata(), datagrams()}
}

// ShapeByName returns the shape of that name. It fails for an unknown name.
func ShapeByName(name string) (Shape, error) {
	for _, shape := range Shapes() {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, errors.Errorf("unknown shape %q", name)
}

func casablanca() Shape {
	return Shape{
		Name:           "casablanca",
		Zones:          3,
		Balancers:      3,
		SpareBalancers: spareBalancers,
		Callers:        callerRange(113),
		Services: []ServiceShape{
			{
				ID: 1, Name: "transcription", Owner: "transcription-team",
				Address: netip.MustParseAddrPort("198.51.100.1:80"), Protocol: table.ProtocolTCP,
				Endpoints: 7, Spares: spareEndpoints, Slots: slotsCasablanca * serviceBurstSlots, Callers: 560,
				Mix: []Flows{
					{Kind: caller.KindUpload, Share: 5, Pieces: 20, PieceSize: 4 << 10, Pause: 400 * time.Millisecond},
					{Kind: caller.KindPoll, Share: 4, Pieces: 12, Pause: 600 * time.Millisecond},
					{Kind: caller.KindSubmit, Share: 1, Pieces: 1, PieceSize: submissionSize},
				},
			},
			{
				ID: 2, Name: "audio", Owner: "audio-team",
				Address: netip.MustParseAddrPort("198.51.100.2:80"), Protocol: table.ProtocolTCP,
				Endpoints: 3, Spares: spareEndpoints, Slots: slotsCasablanca * serviceBurstSlots, Callers: 240,
				Mix: []Flows{
					{Kind: caller.KindDownload, Share: 8, Pieces: 25, PieceSize: 4 << 10, Pause: 350 * time.Millisecond},
					{Kind: caller.KindPoll, Share: 2, Pieces: 10, Pause: 500 * time.Millisecond},
				},
			},
		},
	}
}

func kolkata() Shape {
	return Shape{
		Name:           "kolkata",
		Zones:          4,
		Balancers:      4,
		SpareBalancers: spareBalancers,
		Callers:        callerRange(113),
		Services: []ServiceShape{
			{
				ID: 11, Name: "memory-lookup", Owner: "memory-team",
				Address: netip.MustParseAddrPort("198.51.100.11:80"), Protocol: table.ProtocolTCP,
				Endpoints: 7, Spares: spareEndpoints, Slots: slotsKolkata * serviceBurstSlots, Callers: 560,
				Mix: []Flows{
					{Kind: caller.KindPoll, Share: 8, Pieces: 30, Pause: 250 * time.Millisecond},
					{Kind: caller.KindSubmit, Share: 1, Pieces: 1, PieceSize: submissionSize},
				},
			},
			{
				ID: 12, Name: "glossary-export", Owner: "glossary-team",
				Address: netip.MustParseAddrPort("198.51.100.12:80"), Protocol: table.ProtocolTCP,
				Endpoints: 4, Spares: spareEndpoints, Slots: slotsKolkata * serviceBurstSlots, Callers: 260,
				Mix: []Flows{
					{Kind: caller.KindDownload, Share: 9, Pieces: 30, PieceSize: 4 << 10, Pause: 300 * time.Millisecond},
					{Kind: caller.KindPoll, Share: 1, Pieces: 10, Pause: 500 * time.Millisecond},
				},
			},
		},
	}
}

func datagrams() Shape {
	return Shape{
		Name:           "datagrams",
		Zones:          2,
		Balancers:      3,
		SpareBalancers: spareBalancers,
		Callers:        callerRange(113),
		Services: []ServiceShape{{
			ID: 21, Name: "status", Owner: "status-team",
			Address: netip.MustParseAddrPort("198.51.100.21:53"), Protocol: table.ProtocolUDP,
			Endpoints: 5, Spares: spareEndpoints, Callers: 400,
			Mix: []Flows{{Kind: caller.KindDatagrams, Share: 1, Pieces: 25, Pause: 300 * time.Millisecond}},
		}},
	}
}

// balancerNames returns the names of all balancers. The spares come last.
func (s Shape) balancerNames() []string {
	names := make([]string, s.Balancers+s.SpareBalancers)
	for i := range names {
		names[i] = fmt.Sprintf("balancer-%d", i+1)
	}
	return names
}

// endpointNames returns the names of all back ends. The spares come last.
func (s ServiceShape) endpointNames() []string {
	names := make([]string, s.Endpoints+s.Spares)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", s.Name, i+1)
	}
	return names
}

// flowsOf returns the flows that the caller of the given number runs. Every full cycle of
// consecutive numbers has the shares of Mix.
func (s ServiceShape) flowsOf(number int) Flows {
	total := 0
	for _, flows := range s.Mix {
		total += flows.Share
	}
	position := number % total
	for _, flows := range s.Mix {
		if position < flows.Share {
			return flows
		}
		position -= flows.Share
	}
	panic("experiment: position exceeds the sum of the shares")
}
