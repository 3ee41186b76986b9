package relaydaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// minimumTick bounds how often a deciding part looks at its timeouts.
const minimumTick = 5 * time.Millisecond

// decider is a deciding part: a relay.Balancer or a relay.Agent.
type decider interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	Tick(now time.Duration) []relay.Effect
	NextTick(now time.Duration) time.Duration
}

// executor gives a deciding part its inputs, one at a time, and carries out the
// effects.
type executor struct {
	mutex      sync.Mutex
	decider    decider
	started    time.Time
	clientPort uint16
	journal    *journal
	peers      *socket
	// packets sends to clients and to the endpoint.
	packets  *socket
	endpoint segment.Address
	encoded  []byte
	timer    *time.Timer
	armed    time.Duration
	// confirm, if set, asks for a confirmation of the directory.
	confirm func()
	// after, if set, is called after each input.
	after func(now time.Duration)
}

func newExecutor(decider decider, clientPort uint16, journal *journal) *executor {
	return &executor{
		decider:    decider,
		started:    time.Now(),
		clientPort: clientPort,
		journal:    journal,
		timer:      time.NewTimer(0),
	}
}

// do gives the deciding part an input at the present time, by the steady clock,
// and carries out the effects.
func (e *executor) do(input func(now time.Duration) []relay.Effect) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Since(e.started)
	e.execute(now, input(now))
	e.journal.load.flush(now)
	e.arm(now)
	if e.after != nil {
		e.after(now)
	}
}

func (e *executor) execute(now time.Duration, effects []relay.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case relay.EffectSendMessage:
			e.sendPeer(effect.To, &effect.Message)
		case relay.EffectSendToClient:
			e.packets.send(effect.To.WithPort(e.clientPort), effect.Packet)
		case relay.EffectSendToEndpoint:
			e.packets.send(e.endpoint, effect.Packet)
		case relay.EffectEvent:
			e.journal.record(now, effect.Event)
		case relay.EffectConfirmDirectory:
			e.confirm()
		}
	}
}

func (e *executor) sendPeer(to segment.Address, message *relay.Message) {
	encoded, err := message.MarshalMsg(e.encoded[:0])
	if err != nil {
		panic("relaydaemon: cannot encode a message: " + err.Error())
	}
	e.encoded = encoded
	e.peers.send(to, encoded)
}

// arm sets the timer if the next timeout comes before it.
func (e *executor) arm(now time.Duration) {
	next := e.decider.NextTick(now)
	if next >= e.armed {
		return
	}
	e.armed = next
	e.timer.Reset(max(next-now, minimumTick))
}

// tick lets the deciding part look at its timeouts until ctx ends.
func (e *executor) tick(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.timer.C:
		}
		e.do(func(now time.Duration) []relay.Effect {
			effects := e.decider.Tick(now)
			e.armed = e.decider.NextTick(now)
			e.timer.Reset(max(e.armed-now, minimumTick))
			return effects
		})
	}
}

// message handles a datagram of another daemon.
func (e *executor) message(from netip.AddrPort, datagram []byte) {
	sender := segment.AddressOf(from)
	var message relay.Message
	if _, err := message.UnmarshalMsg(datagram); err != nil {
		e.record(relay.Event{Kind: relay.EventMalformed, Peer: sender, Reason: "message"})
		return
	}
	e.do(func(now time.Duration) []relay.Effect { return e.decider.Receive(now, sender, message) })
}

func (e *executor) record(event relay.Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.journal.record(time.Since(e.started), event)
}
