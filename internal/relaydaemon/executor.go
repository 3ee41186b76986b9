package relaydaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// minTickDelay bounds how often a deciding part looks at its timeouts.
const minTickDelay = 5 * time.Millisecond

// stateMachine is a deciding part: a relay.Balancer or a relay.Agent.
type stateMachine interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	Tick(now time.Duration) []relay.Effect
	NextTick(now time.Duration) time.Duration
}

// executor gives a deciding part its inputs, one at a time, and carries out the
// effects.
type executor struct {
	mutex      sync.Mutex
	machine    stateMachine
	startedAt  time.Time
	clientPort uint16
	recorder   *eventRecorder
	peerSocket *socket
	// packetSocket sends to clients and to the endpoint.
	packetSocket *socket
	endpoint     segment.Address
	encodeBuffer []byte
	timer        *time.Timer
	timerDue     time.Duration
	// requestConfirmation, if set, asks for a confirmation of the directory.
	requestConfirmation func()
	// afterInput, if set, is called afterInput each input.
	afterInput func(now time.Duration)
}

func newExecutor(decider stateMachine, clientPort uint16, journal *eventRecorder) *executor {
	return &executor{
		machine:    decider,
		startedAt:  time.Now(),
		clientPort: clientPort,
		recorder:   journal,
		timer:      time.NewTimer(0),
	}
}

// do gives the deciding part an input at the present time, by the steady clock,
// and carries out the effects.
func (e *executor) do(input func(now time.Duration) []relay.Effect) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Since(e.startedAt)
	e.executeEffects(now, input(now))
	e.recorder.loadReporter.flush(now)
	e.armTimer(now)
	if e.afterInput != nil {
		e.afterInput(now)
	}
}

func (e *executor) executeEffects(now time.Duration, effects []relay.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case relay.EffectSendMessage:
			e.sendPeer(effect.To, &effect.Message)
		case relay.EffectSendToClient:
			e.packetSocket.send(effect.To.WithPort(e.clientPort), effect.Packet)
		case relay.EffectSendToEndpoint:
			e.packetSocket.send(e.endpoint, effect.Packet)
		case relay.EffectEvent:
			e.recorder.record(now, effect.Event)
		case relay.EffectConfirmDirectory:
			e.requestConfirmation()
		}
	}
}

func (e *executor) sendPeer(to segment.Address, message *relay.Message) {
	encoded, err := message.MarshalMsg(e.encodeBuffer[:0])
	if err != nil {
		panic("relaydaemon: cannot encode a message: " + err.Error())
	}
	e.encodeBuffer = encoded
	e.peerSocket.send(to, encoded)
}

// armTimer sets the timer if the next timeout comes before it.
func (e *executor) armTimer(now time.Duration) {
	next := e.machine.NextTick(now)
	if next >= e.timerDue {
		return
	}
	e.timerDue = next
	e.timer.Reset(max(next-now, minTickDelay))
}

// runTimer lets the deciding part look at its timeouts until ctx ends.
func (e *executor) runTimer(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.timer.C:
		}
		e.do(func(now time.Duration) []relay.Effect {
			effects := e.machine.Tick(now)
			e.timerDue = e.machine.NextTick(now)
			e.timer.Reset(max(e.timerDue-now, minTickDelay))
			return effects
		})
	}
}

// handleMessage handles a datagram of another daemon.
func (e *executor) handleMessage(from netip.AddrPort, datagram []byte) {
	sender := segment.AddressOf(from)
	var message relay.Message
	if _, err := message.UnmarshalMsg(datagram); err != nil {
		e.recordEvent(relay.Event{Kind: relay.EventMalformed, Peer: sender, Reason: "message"})
		return
	}
	e.do(func(now time.Duration) []relay.Effect { return e.machine.Receive(now, sender, message) })
}

func (e *executor) recordEvent(event relay.Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recorder.record(time.Since(e.startedAt), event)
}
