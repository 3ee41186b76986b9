package relaydaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// minTickDelay bounds how often the timeouts of a state machine are checked.
const minTickDelay = 5 * time.Millisecond

// stateMachine is a relay.Balancer or a relay.Agent. It decides without I/O and returns
// effects to carry out.
type stateMachine interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	Tick(now time.Duration) []relay.Effect
	NextTick(now time.Duration) time.Duration
}

// executor passes inputs to a state machine one at a time and carries out the effects that
// it returns.
type executor struct {
	mutex      sync.Mutex
	machine    stateMachine
	startedAt  time.Time
	clientPort uint16
	recorder   *eventRecorder
	peerSocket *socket
	// packetSocket sends to clients or to the endpoint.
	packetSocket *socket
	endpoint     segment.Address
	encodeBuffer []byte
	timer        *time.Timer
	// timerDue is the time after startedAt at which the state machine has its next timeout.
	timerDue time.Duration
	// requestConfirmation handles relay.EffectConfirmDirectory. It is nil for an agent,
	// which does not return that effect.
	requestConfirmation func()
	// afterInput, if set, is called after each input.
	afterInput func(now time.Duration)
}

func newExecutor(machine stateMachine, clientPort uint16, recorder *eventRecorder) *executor {
	return &executor{
		machine:    machine,
		startedAt:  time.Now(),
		clientPort: clientPort,
		recorder:   recorder,
		timer:      time.NewTimer(0),
	}
}

// do calls input with the present time and carries out the effects that it returns. The time
// is monotonic and counted from startedAt.
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
		panic("relaydaemon: cannot encode message: " + err.Error())
	}
	e.encodeBuffer = encoded
	e.peerSocket.send(to, encoded)
}

// armTimer sets the timer to the next timeout if that is earlier than timerDue.
func (e *executor) armTimer(now time.Duration) {
	next := e.machine.NextTick(now)
	if next >= e.timerDue {
		return
	}
	e.timerDue = next
	e.timer.Reset(max(next-now, minTickDelay))
}

// runTimer calls Tick on the state machine when timeouts are due, until ctx ends.
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

// handleMessage decodes a datagram of another process and passes it to the state machine.
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
