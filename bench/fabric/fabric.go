// Package fabric simulates the network between callers and balancers for experiments with
// real daemons. It sprays the IPv4 packets of callers over all balancers, choosing one for
// each packet, in Geneve over UDP. It delivers the answers of agents to the callers. Seeded
// impairments drop, duplicate and delay packets in both directions.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
)

// Settings configure a Fabric.
type Settings struct {
	// Listen is the UDP address to which agents send answers. Port 0 picks a free port.
	Listen netip.AddrPort
	// Requests impairs packets from callers to balancers.
	Requests Impairment
	// Answers impairs packets from agents to callers.
	Answers Impairment
	// Seed determines the balancer of each packet and which packets are impaired.
	Seed uint64
	// OnAccept, if set, is called when an agent accepts a TCP connection, before impairments
	// affect the answer. It must not block.
	OnAccept func(AcceptedConnection)
}

// Receiver handles an answer packet. It must not keep the slice.
type Receiver = func(packet []byte)

// Counters count packets since the start.
type Counters struct {
	Injected      uint64 `json:"injected"`
	Sprayed       uint64 `json:"sprayed"`
	Lost          uint64 `json:"lost"`
	Duplicated    uint64 `json:"duplicated"`
	Reordered     uint64 `json:"reordered"`
	NoBalancer    uint64 `json:"no_balancer"`
	SendFailed    uint64 `json:"send_failed"`
	Answers       uint64 `json:"answers"`
	Delivered     uint64 `json:"delivered"`
	Malformed     uint64 `json:"malformed"`
	UnknownCaller uint64 `json:"unknown_caller"`
}

type counters struct {
	injected, sprayed, lost, duplicated, reordered, noBalancer, sendFailed atomic.Uint64
	answers, delivered, malformed, unknownCaller                           atomic.Uint64
}

// Fabric is the simulated network. It is safe for concurrent use.
type Fabric struct {
	socket   *net.UDPConn
	counters counters
	onAccept func(AcceptedConnection)

	mutex     sync.Mutex
	balancers []netip.AddrPort
	random    *rand.Rand
	requests  *Impairer
	encoder   *encap.Encoder

	answers *Impairer

	receiversMutex sync.RWMutex
	receivers      map[netip.Addr]Receiver
}

const (
	socketBufferSize = 8 << 20
	answerSeedOffset = 1
)

// New opens the socket of a fabric. It returns an error if the address is not available.
func New(settings Settings) (*Fabric, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "fabric: open UDP socket")
	}
	if err := socket.SetReadBuffer(socketBufferSize); err != nil {
		return nil, errors.Wrap(err, "fabric: set size of receive buffer")
	}
	return &Fabric{
		socket:    socket,
		onAccept:  settings.OnAccept,
		random:    rand.New(rand.NewPCG(settings.Seed, 0)),
		requests:  NewImpairer(settings.Requests, settings.Seed),
		answers:   NewImpairer(settings.Answers, settings.Seed+answerSeedOffset),
		encoder:   encap.NewEncoder(),
		receivers: make(map[netip.Addr]Receiver),
	}, nil
}

// Address returns the UDP address of the fabric.
func (f *Fabric) Address() netip.AddrPort {
	return f.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetBalancers replaces the list of balancers.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = slices.Clone(balancers)
}

// AddBalancer adds a balancer unless it is already listed.
func (f *Fabric) AddBalancer(balancer netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !slices.Contains(f.balancers, balancer) {
		f.balancers = append(f.balancers, balancer)
	}
}

// RemoveBalancer removes a balancer from the list.
func (f *Fabric) RemoveBalancer(balancer netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(listed netip.AddrPort) bool { return listed == balancer })
}

// Attach registers the receiver of answers to a caller address.
func (f *Fabric) Attach(caller netip.Addr, receiver Receiver) {
	f.receiversMutex.Lock()
	defer f.receiversMutex.Unlock()
	f.receivers[caller] = receiver
}

// Inject sends one IPv4 packet of a caller to a random balancer.
func (f *Fabric) Inject(packet []byte) {
	f.counters.injected.Add(1)
	decision, datagram, targets := f.chooseTargets(packet)
	f.count(decision)
	for _, target := range targets {
		f.runAfter(decision.Delay, func() { f.send(datagram, target) })
	}
}

// chooseTargets decides the impairment of a packet and the balancer of each copy.
func (f *Fabric) chooseTargets(packet []byte) (Decision, []byte, []netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	decision := f.requests.Next()
	if decision.Copies > 0 && len(f.balancers) == 0 {
		f.counters.noBalancer.Add(1)
		return decision, nil, nil
	}
	targets := make([]netip.AddrPort, decision.Copies)
	for i := range targets {
		targets[i] = f.balancers[f.random.IntN(len(f.balancers))]
	}
	return decision, f.encoder.AppendPlain(nil, packet), targets
}

func (f *Fabric) count(decision Decision) {
	switch {
	case decision.Copies == 0:
		f.counters.lost.Add(1)
	case decision.Copies > 1:
		f.counters.duplicated.Add(1)
	}
	if decision.Delay > 0 {
		f.counters.reordered.Add(1)
	}
}

func (f *Fabric) runAfter(delay time.Duration, action func()) {
	if delay == 0 {
		action()
		return
	}
	time.AfterFunc(delay, action)
}

func (f *Fabric) send(datagram []byte, target netip.AddrPort) {
	if _, err := f.socket.WriteToUDPAddrPort(datagram, target); err != nil {
		f.counters.sendFailed.Add(1)
		return
	}
	f.counters.sprayed.Add(1)
}

// Run delivers answers until ctx ends, then closes the socket and returns nil.
func (f *Fabric) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.socket.Close() })
	defer stop()
	decoder := encap.NewDecoder()
	buffer := make([]byte, packet.MaxSize+encap.Overhead)
	for {
		size, agent, err := f.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "fabric: receive answer")
		}
		if err != nil {
			continue
		}
		f.handleAnswer(decoder, agent, buffer[:size])
	}
}

func (f *Fabric) handleAnswer(decoder *encap.Decoder, agent netip.AddrPort, data []byte) {
	f.counters.answers.Add(1)
	datagram, outcome := decoder.Decode(data)
	if outcome != encap.Decoded || datagram.Control {
		f.counters.malformed.Add(1)
		return
	}
	destination, valid := destinationAddress(datagram.Packet)
	if !valid {
		f.counters.malformed.Add(1)
		return
	}
	if connection, accepted := parseAccept(agent, datagram.Packet); accepted && f.onAccept != nil {
		f.onAccept(connection)
	}
	f.receiversMutex.RLock()
	receiver, attached := f.receivers[destination]
	f.receiversMutex.RUnlock()
	if !attached {
		f.counters.unknownCaller.Add(1)
		return
	}
	f.deliver(receiver, datagram.Packet)
}

func (f *Fabric) deliver(receiver Receiver, packet []byte) {
	decision := f.answers.Next()
	f.count(decision)
	if decision.Delay > 0 {
		packet = slices.Clone(packet)
	}
	for range decision.Copies {
		f.runAfter(decision.Delay, func() {
			receiver(packet)
			f.counters.delivered.Add(1)
		})
	}
}

const (
	ipv4HeaderSize        = 20
	ipv4DestinationOffset = 16
	ipv4Version           = 4
)

func destinationAddress(packet []byte) (netip.Addr, bool) {
	if len(packet) < ipv4HeaderSize || packet[0]>>4 != ipv4Version {
		return netip.Addr{}, false
	}
	return netip.AddrFromSlice(packet[ipv4DestinationOffset:ipv4HeaderSize])
}

// Counters returns the current counts.
func (f *Fabric) Counters() Counters {
	return Counters{
		Injected:      f.counters.injected.Load(),
		Sprayed:       f.counters.sprayed.Load(),
		Lost:          f.counters.lost.Load(),
		Duplicated:    f.counters.duplicated.Load(),
		Reordered:     f.counters.reordered.Load(),
		NoBalancer:    f.counters.noBalancer.Load(),
		SendFailed:    f.counters.sendFailed.Load(),
		Answers:       f.counters.answers.Load(),
		Delivered:     f.counters.delivered.Load(),
		Malformed:     f.counters.malformed.Load(),
		UnknownCaller: f.counters.unknownCaller.Load(),
	}
}
