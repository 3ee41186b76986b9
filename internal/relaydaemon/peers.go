package relaydaemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// executor carries out the effects of a deciding part. Its mutex guards that
// part.
type executor struct {
	mutex      sync.Mutex
	started    time.Time
	clientPort uint16
	journal    *journal
	peers      *socket
	// packets sends to clients and to the endpoint.
	packets  *socket
	endpoint segment.Address
	encoded  []byte
}

// now is the time since the process started, by the steady clock.
func (e *executor) now() time.Duration { return time.Since(e.started) }

func (e *executor) execute(effects []relay.Effect) {
	for index := range effects {
		effect := &effects[index]
		switch effect.Kind {
		case relay.EffectPeer:
			e.sendPeer(effect.To, &effect.Message)
		case relay.EffectClient:
			e.packets.send(effect.To.WithPort(e.clientPort), effect.Packet)
		case relay.EffectEndpoint:
			e.packets.send(e.endpoint, effect.Packet)
		case relay.EffectEvent:
			e.journal.record(effect.Event)
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

// receiver is a deciding part that gets messages.
type receiver interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
}

// handleMessage returns what handles datagrams of other daemons.
func (e *executor) handleMessage(part receiver) func(netip.AddrPort, []byte) {
	return func(from netip.AddrPort, datagram []byte) {
		var message relay.Message
		if _, err := message.UnmarshalMsg(datagram); err != nil {
			e.malformed(from)
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.execute(part.Receive(e.now(), segment.AddressOf(from), message))
	}
}

func (e *executor) malformed(from netip.AddrPort) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.journal.record(relay.Event{Kind: relay.EventMalformed, Peer: segment.AddressOf(from), Reason: "message"})
}
