// Package fabric stands in for the network between callers and balancers. It
// sprays the IPv4 packets of callers over all balancers, one packet at a time,
// in Geneve over UDP, and delivers the answers of agents to the callers.
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

// Settings configures a Fabric.
type Settings struct {
	// Listen is the UDP address to which agents send answers; port 0 picks a
	// free one.
	Listen netip.AddrPort
	// Requests disturbs packets from callers to balancers.
	Requests Impairment
	// Answers disturbs packets from agents to callers.
	Answers Impairment
	// Seed determines which balancer each packet goes to and which packets
	// are disturbed.
	Seed uint64
	// OnAccept, if set, is told of every acceptance of a TCP connection,
	// before the answer is disturbed. It must not block.
	OnAccept func(AcceptedConnection)
}

// Receiver takes an answer packet. It must not keep the slice.
type Receiver = func(packet []byte)

// Counters are the numbers of packets since the start.
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

// Fabric is safe for concurrent use.
type Fabric struct {
	socket   *net.UDPConn
	counters counters
	observe  func(AcceptedConnection)

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

// New opens the socket of a fabric. It fails when the address is taken.
func New(settings Settings) (*Fabric, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "fabric")
	}
	if err := socket.SetReadBuffer(socketBufferSize); err != nil {
		return nil, errors.Wrap(err, "fabric receive buffer")
	}
	return &Fabric{
		socket:    socket,
		observe:   settings.OnAccept,
		random:    rand.New(rand.NewPCG(settings.Seed, 0)),
		requests:  NewImpairer(settings.Requests, settings.Seed),
		answers:   NewImpairer(settings.Answers, settings.Seed+answerSeedOffset),
		encoder:   encap.NewEncoder(),
		receivers: make(map[netip.Addr]Receiver),
	}, nil
}

// Address is the UDP address of the fabric.
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

// Attach makes receiver get the answers to one caller address.
func (f *Fabric) Attach(caller netip.Addr, receiver Receiver) {
	f.receiversMutex.Lock()
	defer f.receiversMutex.Unlock()
	f.receivers[caller] = receiver
}

// Inject sends one IPv4 packet of a caller to one of the balancers.
func (f *Fabric) Inject(packet []byte) {
	f.counters.injected.Add(1)
	fate, datagram, targets := f.prepare(packet)
	f.count(fate)
	for _, target := range targets {
		f.after(fate.Delay, func() { f.send(datagram, target) })
	}
}

// prepare decides what happens to a packet and which balancer gets each copy.
func (f *Fabric) prepare(packet []byte) (Decision, []byte, []netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fate := f.requests.Next()
	if fate.Copies > 0 && len(f.balancers) == 0 {
		f.counters.noBalancer.Add(1)
		return fate, nil, nil
	}
	targets := make([]netip.AddrPort, fate.Copies)
	for i := range targets {
		targets[i] = f.balancers[f.random.IntN(len(f.balancers))]
	}
	return fate, f.encoder.AppendPlain(nil, packet), targets
}

func (f *Fabric) count(fate Decision) {
	switch {
	case fate.Copies == 0:
		f.counters.lost.Add(1)
	case fate.Copies > 1:
		f.counters.duplicated.Add(1)
	}
	if fate.Delay > 0 {
		f.counters.reordered.Add(1)
	}
}

func (f *Fabric) after(delay time.Duration, action func()) {
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
			return errors.Wrap(err, "fabric")
		}
		if err != nil {
			continue
		}
		f.answer(decoder, agent, buffer[:size])
	}
}

func (f *Fabric) answer(decoder *encap.Decoder, agent netip.AddrPort, data []byte) {
	f.counters.answers.Add(1)
	datagram, outcome := decoder.Decode(data)
	if outcome != encap.Decoded || datagram.Control {
		f.counters.malformed.Add(1)
		return
	}
	destination, valid := destinationOf(datagram.Packet)
	if !valid {
		f.counters.malformed.Add(1)
		return
	}
	if opening, accepted := openingOf(agent, datagram.Packet); accepted && f.observe != nil {
		f.observe(opening)
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
	fate := f.answers.Next()
	f.count(fate)
	if fate.Delay > 0 {
		packet = slices.Clone(packet)
	}
	for range fate.Copies {
		f.after(fate.Delay, func() {
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

func destinationOf(packet []byte) (netip.Addr, bool) {
	if len(packet) < ipv4HeaderSize || packet[0]>>4 != ipv4Version {
		return netip.Addr{}, false
	}
	return netip.AddrFromSlice(packet[ipv4DestinationOffset:ipv4HeaderSize])
}

// Counters returns the numbers of packets so far.
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
