package flownet

import (
	"encoding/binary"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// maximumTries is how often a request is sent at most.
	maximumTries = 3
	// retryDelay is how long a client waits before a further try.
	retryDelay = 50 * time.Millisecond
	// openTimeout is how long a client waits for the answer to an opening
	// packet, which it repeats at openRepeats.
	openTimeout = 1400 * time.Millisecond
	// firstRepeat is the wait before a packet is first sent again.
	firstRepeat = 200 * time.Millisecond
	// firstClientPort is the first port that clients use.
	firstClientPort = 20000
)

var openRepeats = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// clientHost is the machine of all clients of a zone.
type clientHost struct {
	world *world
	id    simnet.NodeID
	ip    [4]byte
	zone  int
	port  uint16
	flows map[uint16]*clientFlow
}

func (w *world) addClients(zone int) {
	created := &clientHost{
		world: w, ip: [4]byte{100, 64, 0, byte(zone + 1)}, zone: zone, port: firstClientPort, flows: make(map[uint16]*clientFlow),
	}
	created.id = w.net.AddNode(simnet.ZoneID(zone), created)
	w.nodes[created.ip] = created.id
	w.clients = append(w.clients, created)
}

// clientFlow is one try of a request.
type clientFlow struct {
	host     *clientHost
	request  *request
	key      segment.FlowKey
	sequence uint32
	// answer is the initial sequence number of the chosen endpoint.
	answer uint32
	open   bool
	// sending is the number of the piece of the request that is under way.
	sending byte
	parts   map[byte]bool
	done    bool
}

// try sends a request in a new flow.
func (c *clientHost) try(sent *request) {
	sent.tries++
	c.port++
	if c.port < firstClientPort {
		c.port = firstClientPort
	}
	flow := &clientFlow{
		host: c, request: sent, sequence: c.world.random.Uint32(), parts: make(map[byte]bool),
		key: segment.FlowKey{Client: segment.Address{IP: c.ip, Port: c.port}, Service: sent.class.Address},
	}
	c.flows[c.port] = flow
	began := c.world.net.Now()
	for _, after := range openRepeats {
		c.world.net.At(began+after, func() {
			if !flow.open && !flow.done {
				flow.sendOpening(after)
			}
		})
	}
	c.world.net.At(began+openTimeout, func() {
		if !flow.open {
			flow.fail("not_opened", true)
		}
	})
	c.world.net.At(sent.deadline, func() { flow.fail("deadline", false) })
}

// sendOpening sends a copy of the opening packet, some time after the first.
func (f *clientFlow) sendOpening(after time.Duration) {
	f.transmit(segment.Header{
		Flags: segment.Synchronize, Sequence: f.sequence, Acknowledgment: uint32(after.Milliseconds()),
	}, nil)
}

func (f *clientFlow) send(flags segment.Flags, data []byte) {
	header := segment.Header{Flags: flags, Sequence: f.sequence}
	if f.open {
		header.Sequence++
		header.Acknowledgment = f.answer + 1
	}
	f.transmit(header, data)
}

func (f *clientFlow) transmit(header segment.Header, data []byte) {
	w := f.host.world
	header.Source, header.Destination = f.key.Client, f.key.Service
	packet := w.codec.Encode(header, data)
	chosen := w.fabric.route(f.host.zone, f.key)
	if chosen == nil {
		return
	}
	w.net.Send(f.host.id, chosen.id, simnet.Payload, len(packet), datagram{port: packetPort, packet: packet})
}

// sendToClient sends a packet to the client at an address.
func (w *world) sendToClient(from simnet.NodeID, to segment.Address, packet []byte) {
	if target, exists := w.nodes[to.IP]; exists {
		copied := append([]byte(nil), packet...)
		w.net.Send(from, target, simnet.Payload, len(copied), datagram{port: packetPort, packet: copied})
	}
}

// HandleTimer implements simnet.Handler.
func (c *clientHost) HandleTimer(time.Duration, uint32) {}

// Receive implements simnet.Handler.
func (c *clientHost) Receive(_ time.Duration, _ simnet.NodeID, received datagram) {
	header, outcome := c.world.codec.Decode(received.packet)
	if outcome != segment.Decoded {
		return
	}
	flow, exists := c.flows[header.Destination.Port]
	if !exists || flow.done {
		return
	}
	if header.Flags.Has(segment.Reset) && !flow.accepts(header) {
		return
	}
	if header.Flags.Has(segment.Reset) {
		c.world.ledger.reset(flow)
		flow.fail("reset", !flow.open)
		return
	}
	if !c.world.codec.Sealed(received.packet) {
		c.world.ledger.forgedToClient++
		return
	}
	flow.receive(header, c.world.codec.Data(received.packet))
}

// resetWindow is how far the sequence number of a reset may be from what the
// client of an open flow acknowledged last.
const resetWindow = 76_800

// accepts reports whether a client takes a reset: any before its flow is open,
// then only one with a fitting sequence number (RFC 5961, section 3).
func (f *clientFlow) accepts(header segment.Header) bool {
	distance := int32(header.Sequence - f.answer - 1)
	return !f.open || distance <= resetWindow && distance >= -resetWindow
}

func (f *clientFlow) receive(header segment.Header, data []byte) {
	if header.Flags.Has(segment.Synchronize) {
		if !f.open {
			f.open = true
			f.answer = header.Sequence
			f.sendPiece(0, firstRepeat)
		}
		return
	}
	if !f.open || len(data) < 11 {
		return
	}
	if binary.BigEndian.Uint64(data[3:]) != f.request.id {
		f.host.world.ledger.mixed++
		return
	}
	if data[0] == answerPiece {
		f.continueAfter(data[1])
		return
	}
	if data[0] == answerRefused {
		f.send(segment.Acknowledge|segment.Finish, nil)
		f.fail("refused", true)
		return
	}
	f.parts[data[1]] = true
	if len(f.parts) == int(data[2]) {
		f.send(segment.Acknowledge|segment.Finish, nil)
		f.succeed()
	}
}

func (f *clientFlow) pieces() byte { return byte(max(f.request.class.RequestPackets, 1)) }

// sendPiece sends a piece of the request and repeats it until the endpoint has
// acknowledged it or begun to answer.
func (f *clientFlow) sendPiece(number byte, after time.Duration) {
	f.sending = number
	f.send(segment.Acknowledge, piece{request: f.request.id, number: number, count: f.pieces()}.encode())
	w := f.host.world
	w.net.At(w.net.Now()+after, func() {
		if !f.done && len(f.parts) == 0 && f.sending == number {
			f.sendPiece(number, min(2*after, longestRepeat))
		}
	})
}

// continueAfter sends the piece that follows an acknowledged one.
func (f *clientFlow) continueAfter(acknowledged byte) {
	if acknowledged != f.sending || f.sending+1 >= f.pieces() {
		return
	}
	f.sending++
	number := f.sending
	w := f.host.world
	w.net.At(w.net.Now()+f.request.class.PacketInterval, func() {
		if !f.done {
			f.sendPiece(number, firstRepeat)
		}
	})
}

func (f *clientFlow) succeed() {
	f.done = true
	f.host.world.ledger.served(f.request)
	delete(f.host.flows, f.key.Client.Port)
}

// fail ends a try. A request that cannot have run is sent again, as are all
// that may be repeated.
func (f *clientFlow) fail(reason string, notRun bool) {
	if f.done {
		return
	}
	f.done = true
	delete(f.host.flows, f.key.Client.Port)
	w := f.host.world
	again := f.request.tries < maximumTries && (notRun || f.request.class.Retryable)
	if again && w.net.Now()+retryDelay < f.request.deadline {
		w.net.At(w.net.Now()+retryDelay, func() { f.host.try(f.request) })
		return
	}
	w.ledger.lost(f.request, reason)
}
