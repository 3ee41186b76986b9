package flownet

import (
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/segment/segmenttest"
)

// The ports of the emulated machines.
const (
	packetPort   = 8100
	peerPort     = 7000
	endpointPort = 9000
)

// datagram is everything that nodes send each other.
type datagram struct {
	// port is where it arrives: packetPort or peerPort at daemons, endpointPort
	// at endpoints.
	port uint16
	// from is the address it was sent from.
	from segment.Address
	// packet is set for packets of flows, message for those between daemons,
	// call or reply for those of the store, and the others for what balancers
	// tell each other.
	packet  []byte
	message *relay.Message
	call    *storeCall
	reply   *storeReply
	digest  *directory.Digest
	update  *directory.Update
	fetch   *directory.Digest
	state   *directory.State
}

type network = simnet.Network[datagram]

// world is one run.
type world struct {
	options Options
	random  *rand.Rand
	net     *network
	codec   segmenttest.Codec
	ledger  *ledger
	fabric  *fabric
	store   *store

	balancers []*balancerNode
	sides     []*side
	clients   []*clientHost
	nodes     map[[4]byte]simnet.NodeID
	agents    map[[4]byte]simnet.NodeID
	// cutOff are the machines that no other daemon reaches.
	cutOff   map[[4]byte]bool
	machines uint16
	// disturbed is until when promises with a time bound do not hold.
	disturbed time.Duration
}

// calm reports whether promises with a time bound hold.
func (w *world) calm() bool { return w.net.Now() > w.disturbed }

// disturb suspends promises with a time bound until some time after a fault
// that lasts as given.
func (w *world) disturb(lasts time.Duration) {
	w.disturbed = max(w.disturbed, w.net.Now()+lasts+contactTime)
}

func newWorld(options Options) *world {
	shape := options.Shape
	layout := simnet.Topology{
		WithinZone:   simnet.Link{Delay: 100 * time.Microsecond, Jitter: 50 * time.Microsecond, Loss: baseLoss},
		BetweenZones: simnet.Link{Delay: shape.InterZoneDelay, Jitter: 100 * time.Microsecond, Loss: baseLoss},
	}
	for _, zone := range shape.Zones {
		layout.Zones = append(layout.Zones, simnet.Zone{Name: zone, Region: "region"})
	}
	created := &world{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 77)),
		net:     simnet.New[datagram](layout, options.Seed),
		codec:   segmenttest.Codec{Key: options.Seed*2 + 1},
		nodes:   make(map[[4]byte]simnet.NodeID),
		agents:  make(map[[4]byte]simnet.NodeID),
		cutOff:  make(map[[4]byte]bool),
	}
	created.ledger = newLedger(created)
	created.fabric = newFabric(created)
	created.store = newStore(created)
	created.populate()
	return created
}

func (w *world) populate() {
	shape := w.options.Shape
	w.store.configure(shape.routes())
	for index := range shape.Balancers {
		w.addBalancer(index % len(shape.Zones))
	}
	for _, service := range shape.Services {
		for index := range service.Endpoints {
			w.addSide(service, index%len(shape.Zones), true)
		}
	}
	for zone := range shape.Zones {
		w.addClients(zone)
	}
}

// machine returns the address of a new machine.
func (w *world) machine() [4]byte {
	w.machines++
	return [4]byte{10, 0, byte(w.machines >> 8), byte(w.machines)}
}

func (w *world) zoneName(zone int) string { return w.options.Shape.Zones[zone] }

// entryOf returns what an endpoint announces.
func entryOf(s *side) *directory.Endpoint {
	return &directory.Endpoint{
		Service: s.service.Name, IP: s.ip, Port: endpointPort, Zone: s.zoneName, Slots: uint32(s.service.Slots), Draining: s.draining,
		ColdRemaining: max(s.endpoint.coldUntil-s.world.net.Now(), 0),
	}
}
