package flownet

import (
	"encoding/binary"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// maxAttempts is the maximum number of attempts of a request.
	maxAttempts = 3
	// retryDelay is the wait before another attempt.
	retryDelay = 50 * time.Millisecond
	// openTimeout is how long a client waits for the answer to an opening packet. It sends
	// the packet at each of openingSendTimes.
	openTimeout = 1400 * time.Millisecond
	// initialRetransmitDelay is the wait before a packet is first retransmitted.
	initialRetransmitDelay = 200 * time.Millisecond
	// firstClientPort is the lowest port that clients use.
	firstClientPort = 20000
)

var openingSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// clientHost simulates all clients of a zone on one machine.
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

// clientFlow is one attempt of a request.
type clientFlow struct {
	host           *clientHost
	request        *request
	key            segment.FlowKey
	clientSequence uint32
	// serverSequence is the initial sequence number of the endpoint.
	serverSequence uint32
	open           bool
	// currentPiece is the number of the request packet that awaits its acknowledgment.
	currentPiece  byte
	receivedParts map[byte]bool
	done          bool
}

// startAttempt sends a request in a new flow.
func (c *clientHost) startAttempt(sent *request) {
	sent.attempts++
	c.port++
	if c.port < firstClientPort {
		c.port = firstClientPort
	}
	flow := &clientFlow{
		host: c, request: sent, clientSequence: c.world.random.Uint32(), receivedParts: make(map[byte]bool),
		key: segment.FlowKey{Client: segment.Address{IP: c.ip, Port: c.port}, Service: sent.class.Address},
	}
	c.flows[c.port] = flow
	began := c.world.net.Now()
	for _, after := range openingSendTimes {
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

// sendOpening sends a copy of the opening packet, at the given time after the start of
// the attempt.
func (f *clientFlow) sendOpening(after time.Duration) {
	f.transmit(segment.Header{
		Flags: segment.Synchronize, Sequence: f.clientSequence, Acknowledgment: uint32(after.Milliseconds()),
	}, nil)
}

func (f *clientFlow) send(flags segment.Flags, data []byte) {
	header := segment.Header{Flags: flags, Sequence: f.clientSequence}
	if f.open {
		header.Sequence++
		header.Acknowledgment = f.serverSequence + 1
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

// sendToClient sends a packet to the client at the given address.
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
	if header.Flags.Has(segment.Reset) && !flow.acceptsReset(header) {
		return
	}
	if header.Flags.Has(segment.Reset) {
		c.world.checker.recordReset(flow)
		flow.fail("reset", !flow.open)
		return
	}
	if !c.world.codec.ChecksumValid(received.packet) {
		c.world.checker.corruptedAtClient++
		return
	}
	flow.receive(header, c.world.codec.Data(received.packet))
}

// resetWindow is the maximum distance between the sequence number of a reset and the number
// that the client of an open flow acknowledged last.
const resetWindow = 76_800

// acceptsReset reports whether a client accepts a reset. Before the flow is open it accepts
// any; afterwards only one whose sequence number is in the window (RFC 5961, section 3).
func (f *clientFlow) acceptsReset(header segment.Header) bool {
	distance := int32(header.Sequence - f.serverSequence - 1)
	return !f.open || distance <= resetWindow && distance >= -resetWindow
}

func (f *clientFlow) receive(header segment.Header, data []byte) {
	if header.Flags.Has(segment.Synchronize) {
		if !f.open {
			f.open = true
			f.serverSequence = header.Sequence
			f.sendPiece(0, initialRetransmitDelay)
		}
		return
	}
	if !f.open || len(data) < 11 {
		return
	}
	if binary.BigEndian.Uint64(data[3:]) != f.request.id {
		f.host.world.checker.mismatchedResponses++
		return
	}
	if data[0] == answerPiece {
		f.handlePieceAcknowledged(data[1])
		return
	}
	if data[0] == answerRefused {
		f.send(segment.Acknowledge|segment.Finish, nil)
		f.fail("refused", true)
		return
	}
	f.receivedParts[data[1]] = true
	if len(f.receivedParts) == int(data[2]) {
		f.send(segment.Acknowledge|segment.Finish, nil)
		f.succeed()
	}
}

func (f *clientFlow) pieces() byte { return byte(max(f.request.class.RequestPackets, 1)) }

// sendPiece sends a packet of the request and retransmits it until the endpoint
// acknowledges it or starts to respond.
func (f *clientFlow) sendPiece(number byte, after time.Duration) {
	f.currentPiece = number
	f.send(segment.Acknowledge, piece{request: f.request.id, number: number, count: f.pieces()}.encode())
	w := f.host.world
	w.net.At(w.net.Now()+after, func() {
		if !f.done && len(f.receivedParts) == 0 && f.currentPiece == number {
			f.sendPiece(number, min(2*after, maxRetransmitDelay))
		}
	})
}

// handlePieceAcknowledged sends the packet that follows an acknowledged one.
func (f *clientFlow) handlePieceAcknowledged(acknowledged byte) {
	if acknowledged != f.currentPiece || f.currentPiece+1 >= f.pieces() {
		return
	}
	f.currentPiece++
	number := f.currentPiece
	w := f.host.world
	w.net.At(w.net.Now()+f.request.class.PacketInterval, func() {
		if !f.done {
			f.sendPiece(number, initialRetransmitDelay)
		}
	})
}

func (f *clientFlow) succeed() {
	f.done = true
	f.host.world.checker.recordServed(f.request)
	delete(f.host.flows, f.key.Client.Port)
}

// fail ends an attempt. A request is retried if it certainly did not run, or if its class
// is retryable.
func (f *clientFlow) fail(reason string, notRun bool) {
	if f.done {
		return
	}
	f.done = true
	delete(f.host.flows, f.key.Client.Port)
	w := f.host.world
	again := f.request.attempts < maxAttempts && (notRun || f.request.class.Retryable)
	if again && w.net.Now()+retryDelay < f.request.deadline {
		w.net.At(w.net.Now()+retryDelay, func() { f.host.startAttempt(f.request) })
		return
	}
	w.checker.recordFailure(f.request, reason)
}
