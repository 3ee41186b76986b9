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

// Ports of the simulated machines.
const (
	packetPort   = 8100
	peerPort     = 7000
	endpointPort = 9000
)

// datagram is any message between two nodes. Exactly one of the fields after from is
// set, depending on the kind of message.
type datagram struct {
	// port is the destination port: packetPort or peerPort at daemons, endpointPort
	// at endpoints.
	port uint16
	// from is the address of the sender.
	from segment.Address
	// packet is a packet of a flow, and message a message between daemons. call and
	// reply are a store call and its reply. The remaining fields carry the directory
	// between balancers.
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

// world holds the state of one simulation run.
type world struct {
	options Options
	random  *rand.Rand
	net     *network
	codec   segmenttest.Codec
	checker *checker
	fabric  *fabric
	store   *store

	balancers     []*balancerNode
	endpointHosts []*endpointHost
	clients       []*clientHost
	nodes         map[[4]byte]simnet.NodeID
	agents        map[[4]byte]simnet.NodeID
	// isolated holds the machines that other daemons cannot reach.
	isolated     map[[4]byte]bool
	machineCount uint16
	// suspendedUntil is the time until which guarantees with a time bound are not checked.
	suspendedUntil time.Duration
}

// timeBoundsApply reports whether guarantees with a time bound are checked now.
func (w *world) timeBoundsApply() bool { return w.net.Now() > w.suspendedUntil }

// suspendTimeBounds suspends the check of guarantees with a time bound for the
// duration of a fault plus contactTime, in which the daemons regain contact.
func (w *world) suspendTimeBounds(lasts time.Duration) {
	w.suspendedUntil = max(w.suspendedUntil, w.net.Now()+lasts+contactTime)
}

func newWorld(options Options) *world {
	shape := options.Shape
	topology := simnet.Topology{
		WithinZone:   simnet.Link{Delay: 100 * time.Microsecond, Jitter: 50 * time.Microsecond, Loss: baseLoss},
		BetweenZones: simnet.Link{Delay: shape.InterZoneDelay, Jitter: 100 * time.Microsecond, Loss: baseLoss},
	}
	for _, zone := range shape.Zones {
		topology.Zones = append(topology.Zones, simnet.Zone{Name: zone, Region: "region"})
	}
	created := &world{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 77)),
		net:      simnet.New[datagram](topology, options.Seed),
		codec:    segmenttest.Codec{Key: options.Seed*2 + 1},
		nodes:    make(map[[4]byte]simnet.NodeID),
		agents:   make(map[[4]byte]simnet.NodeID),
		isolated: make(map[[4]byte]bool),
	}
	created.checker = newChecker(created)
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
			w.addEndpointHost(service, index%len(shape.Zones), true)
		}
	}
	for zone := range shape.Zones {
		w.addClients(zone)
	}
}

// newMachineAddress returns the IP address of a new machine.
func (w *world) newMachineAddress() [4]byte {
	w.machineCount++
	return [4]byte{10, 0, byte(w.machineCount >> 8), byte(w.machineCount)}
}

func (w *world) zoneName(zone int) string { return w.options.Shape.Zones[zone] }

// directoryEntry returns the directory entry that an endpoint registers in the store.
func directoryEntry(host *endpointHost) *directory.Endpoint {
	return &directory.Endpoint{
		Service: host.service.Name, IP: host.ip, Port: endpointPort, Zone: host.zoneName, Slots: uint32(host.service.Slots), Draining: host.draining,
		ColdRemaining: max(host.endpoint.coldUntil-host.world.net.Now(), 0),
	}
}
