// Package transport sends and receives the messages of package membership over UDP. It
// drives the state machine with the clock and the socket, and reports the changes of the
// membership to its caller.
package transport

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// metricsInterval is the interval at which the members are counted.
const metricsInterval = time.Second

// receiveBuffer is larger than any message, so that longer datagrams are detected rather
// than truncated.
const receiveBuffer = 2 * membership.MaxDatagramSize

// Config holds the settings of an Endpoint.
type Config struct {
	// Listen is the IPv4 address and UDP port at which other daemons reach this one. Port 0
	// selects a free port.
	Listen netip.AddrPort
	// Membership holds the settings of the machine. Self.Address is set from Listen.
	Membership membership.Config
	// OnEvent is called with every effect except EffectSend, in order and never
	// concurrently. It may call the endpoint.
	OnEvent func(membership.Effect)
	Logger  *log.Logger
	Metrics Metrics
}

// Endpoint runs a membership machine on a UDP socket. It is safe for concurrent use.
type Endpoint struct {
	config  Config
	socket  *net.UDPConn
	started time.Time
	// eventsPending signals that events are waiting for delivery.
	eventsPending chan struct{}

	mutex   sync.Mutex
	machine *membership.Machine
	events  []membership.Effect
}

// New binds the socket. It returns an error if Listen is not a single IPv4 address or in
// use, or if the settings of the machine are invalid.
func New(config Config) (*Endpoint, error) {
	if !config.Listen.Addr().Is4() || config.Listen.Addr().IsUnspecified() {
		return nil, errors.Errorf("membership address %s must be a single IPv4 address", config.Listen)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for membership on %s", config.Listen)
	}
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	config.Membership.Self.Address, _ = membership.AddressOf(bound)
	config.Metrics.setDefaults()
	machine, err := membership.New(config.Membership)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &Endpoint{
		config:        config,
		socket:        socket,
		started:       time.Now(),
		eventsPending: make(chan struct{}, 1),
		machine:       machine,
	}, nil
}

// Self returns the current identity of this process.
func (e *Endpoint) Self() membership.Identity {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Self()
}

// SetSeeds replaces the addresses that are pinged if no member is known there.
func (e *Endpoint) SetSeeds(seeds []membership.Address) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.machine.SetSeeds(seeds)
}

// SetAttachment sets the data that every message carries, at most
// membership.MaxAttachmentSize bytes.
func (e *Endpoint) SetAttachment(attachment []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.machine.SetAttachment(attachment)
}

// Members returns all known members, in no particular order.
func (e *Endpoint) Members() []membership.Member {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.Members()
}

// LiveCount returns the number of live members, this process included.
func (e *Endpoint) LiveCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.machine.LiveCount()
}

// Run takes part in the membership until ctx ends. It then announces that it leaves, closes
// the socket and returns nil. It must be called once.
func (e *Endpoint) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.tick(ctx) })
	group.Go(e.receive)
	group.Go(func() error { return e.deliver(ctx) })
	return group.Wait()
}

func (e *Endpoint) now() time.Duration { return time.Since(e.started) }

func (e *Endpoint) tick(ctx context.Context) error {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	metricsTicker := time.NewTicker(metricsInterval)
	defer metricsTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.leave()
			return e.socket.Close()
		case <-ticker.C:
			e.mutex.Lock()
			e.execute(e.machine.Tick(e.now()))
			e.mutex.Unlock()
		case <-metricsTicker.C:
			e.config.Metrics.setMembers(e.Members())
		}
	}
}

func (e *Endpoint) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.execute(e.machine.Leave(e.now()))
}

func (e *Endpoint) receive() error {
	buffer := make([]byte, receiveBuffer)
	for {
		count, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			e.config.Logger.Debug("cannot receive a membership datagram", "error", err)
			continue
		}
		e.accept(from, buffer[:count])
	}
}

// accept decodes a datagram and passes it to the machine.
func (e *Endpoint) accept(from netip.AddrPort, datagram []byte) {
	sender, isIPv4 := membership.AddressOf(from)
	var message membership.Message
	rest, err := message.UnmarshalMsg(datagram)
	if !isIPv4 || err != nil || len(rest) > 0 || len(datagram) > membership.MaxDatagramSize {
		e.config.Metrics.Malformed.Add(1)
		return
	}
	e.config.Metrics.count(directionReceived, len(datagram))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.execute(e.machine.Receive(e.now(), sender, message))
}

// execute carries out effects. The mutex must be held.
func (e *Endpoint) execute(effects []membership.Effect) {
	for _, effect := range effects {
		if effect.Kind == membership.EffectSend {
			e.transmit(effect)
			continue
		}
		e.events = append(e.events, effect)
	}
	if len(e.events) == 0 {
		return
	}
	select {
	case e.eventsPending <- struct{}{}:
	default:
	}
}

func (e *Endpoint) transmit(effect membership.Effect) {
	encoded, err := effect.Message.MarshalMsg(nil)
	if err != nil {
		panic("membership: cannot encode an outgoing message: " + err.Error())
	}
	// A lost datagram needs no retry: later ones compensate for it.
	if _, err := e.socket.WriteToUDPAddrPort(encoded, effect.To.AddrPort()); err != nil {
		e.config.Logger.Debug("cannot send a membership datagram", "to", effect.To.String(), "error", err)
		return
	}
	e.config.Metrics.count(directionSent, len(encoded))
}

// deliver calls OnEvent without holding the mutex, so that the callback may call the
// endpoint.
func (e *Endpoint) deliver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.eventsPending:
		}
		e.mutex.Lock()
		events := slices.Clone(e.events)
		e.events = e.events[:0]
		e.mutex.Unlock()
		for _, event := range events {
			e.logEvent(event)
			e.config.OnEvent(event)
		}
	}
}

// logEvent logs changes of the membership.
func (e *Endpoint) logEvent(event membership.Effect) {
	text, logged := logMessage(event.Kind)
	if !logged {
		return
	}
	if event.Member.Address == 0 {
		e.config.Logger.Info(text, "member_zone", event.Zone)
		return
	}
	e.config.Logger.Info(text, "member", event.Member.Address.String(), "member_zone", event.Member.Zone)
}

// logMessage returns the log message of an event. It returns false if the event is not
// logged.
func logMessage(kind membership.EffectKind) (string, bool) {
	switch kind {
	case membership.EffectJoined:
		return "member joined", true
	case membership.EffectFailed:
		return "member failed", true
	case membership.EffectLeft:
		return "member left", true
	case membership.EffectZoneUnreachable:
		return "zone unreachable", true
	case membership.EffectZoneReachable:
		return "zone reachable", true
	}
	return "", false
}
