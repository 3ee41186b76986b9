package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

const (
	// answerParts is the number of packets of an answer.
	answerParts = 3
	// partSize is the number of data bytes in each packet of an answer.
	partSize = 400
	// minServiceTime and maxServiceTime bound how long the fastest endpoints process a request.
	minServiceTime = 10 * time.Millisecond
	maxServiceTime = 40 * time.Millisecond
	// maxQueued is the highest number of queued requests of an endpoint. It refuses more.
	maxQueued = 16
	// firstRetransmit is the wait before the first retransmission of a request or an answer.
	// The wait doubles each time up to maxRetransmit.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
)

// slowdowns are the factors by which endpoints are slower than the fastest, by machine number
// modulo their count. Each service has endpoints with different factors.
var slowdowns = []time.Duration{1, 2, 1, 4}

func slowdownOf(machine int) time.Duration { return slowdowns[machine%len(slowdowns)] }

// The kinds of answers. The kind is the first byte of the data behind the response head.
const (
	answerServed byte = iota + 1
	answerRefused
	answerFailed
)

// The offsets of the fields in the data of each packet of an answer, behind the response head.
const (
	offsetKind = platformtest.ResponseHeadSize + iota
	offsetPart
	offsetRequest
	answerSize = offsetRequest + 8
)

// failureMode is how an endpoint fails while its entry in the store stays unchanged.
type failureMode uint8

// The failure modes of an endpoint.
const (
	failureNone failureMode = iota
	// failureErrors answers every request with a failure.
	failureErrors
	// failureHangs accepts requests and answers none.
	failureHangs
	// failureRejectsFlows returns the opening packets of new flows.
	failureRejectsFlows
)

// requestSize is the encoded size of a request: its ID and whether it is idempotent.
const requestSize = 9

// serverFlow is the state of a flow at its endpoint.
type serverFlow struct {
	key            segment.FlowKey
	clientSequence uint32
	serverSequence uint32
	established    bool
	requested      bool
	answered       bool
	refused        bool
	failed         bool
	closed         bool
	request        uint64
	// idempotent is set if the request may be executed more than once.
	idempotent bool
}

// endpoint simulates an application beside an agent. It receives packets at its address and
// sends all of its packets to the agent.
type endpoint struct {
	harness *harness
	id      directory.EndpointID
	service int
	zone    string
	socket  *net.UDPConn
	agent   *net.UDPAddr
	running atomic.Bool
	// slowdown multiplies the processing time of a request.
	slowdown time.Duration

	mutex   sync.Mutex
	flows   map[segment.FlowKey]*serverFlow
	active  int
	queue   []*serverFlow
	failure failureMode
}

func newEndpoint(h *harness, id directory.EndpointID, service int, ip [4]byte) (*endpoint, error) {
	at := segment.Address{IP: ip, Port: appPort}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, errors.Wrapf(err, "open the socket of endpoint %s", id)
	}
	created := &endpoint{
		harness: h, id: id, service: service, socket: socket,
		agent: net.UDPAddrFromAddrPort(at.WithPort(emittedPort).AddrPort()), flows: make(map[segment.FlowKey]*serverFlow),
	}
	created.running.Store(true)
	return created, nil
}

// isRunning reports whether the endpoint is running. It takes no lock, so callers may hold any.
func (e *endpoint) isRunning() bool { return e.running.Load() }

// stop ends the endpoint and closes its socket. Its flows are lost: the next incarnation starts
// without any.
func (e *endpoint) stop() {
	e.running.Store(false)
	_ = e.socket.Close()
}

// run handles packets until the endpoint stops.
func (e *endpoint) run() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := e.socket.ReadFromUDP(buffer)
		if err != nil {
			if !e.isRunning() {
				return
			}
			continue
		}
		e.receive(buffer[:count])
	}
}

func (e *endpoint) receive(packet []byte) {
	codec := e.harness.codec
	header, outcome := codec.Decode(packet)
	unexpected := header.Flags.Has(segment.Returned) || header.Flags.Has(segment.Synchronize|segment.Acknowledge)
	if outcome != segment.Decoded || unexpected || !codec.ChecksumValid(packet) {
		e.harness.checker.invalidPacket(e.id.String())
		return
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	if header.OpensFlow() {
		e.harness.checker.openingReceived(e.id, e.zone)
		e.receiveOpening(key, header, packet)
		return
	}
	e.receiveSegment(key, header, packet)
}

// setFailure makes the endpoint fail in a given mode, or recover.
func (e *endpoint) setFailure(failure failureMode) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failure = failure
}

func (e *endpoint) receiveOpening(key segment.FlowKey, header segment.Header, packet []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f, exists := e.flows[key]
	if !exists && e.failure == failureRejectsFlows {
		e.returnPacket(packet)
		return
	}
	if !exists || f.clientSequence != header.Sequence {
		f = &serverFlow{key: key, clientSequence: header.Sequence, serverSequence: rand.Uint32()}
		e.flows[key] = f
	}
	e.sendPacket(f, segment.Synchronize|segment.Acknowledge, f.serverSequence, nil)
}

func (e *endpoint) receiveSegment(key segment.FlowKey, header segment.Header, packet []byte) {
	e.mutex.Lock()
	f, exists := e.flows[key]
	holds := exists && header.Acknowledgment-f.serverSequence-1 < 1<<20
	newlyEstablished := holds && !f.established
	if newlyEstablished {
		f.established = true
	}
	e.mutex.Unlock()
	if newlyEstablished {
		e.harness.checker.flowOpened(key, e)
	}
	e.harness.checker.packetArrived(key, e)
	if !holds {
		e.returnPacket(packet)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if header.Length >= requestSize {
		e.receiveRequest(f, e.harness.codec.Data(packet))
	}
	if header.Flags.Has(segment.Finish) {
		f.closed = true
		e.sendPacket(f, segment.Acknowledge|segment.Finish, f.serverSequence+1, nil)
	}
}

// returnPacket sends a packet of a flow that the endpoint does not hold back to the agent,
// marked as returned.
func (e *endpoint) returnPacket(packet []byte) {
	returned := append([]byte(nil), packet...)
	e.harness.codec.MarkReturned(returned)
	_, _ = e.socket.WriteToUDP(returned, e.agent)
}

// receiveRequest handles a request or its retransmission. The mutex must be held.
func (e *endpoint) receiveRequest(f *serverFlow, data []byte) {
	if f.answered {
		e.respond(f)
	}
	if f.requested {
		return
	}
	f.requested = true
	f.request = binary.BigEndian.Uint64(data)
	f.idempotent = data[8] != 0
	switch {
	case e.failure == failureHangs:
	case e.active < int(services[e.service].slots):
		e.process(f)
	case len(e.queue) < maxQueued:
		e.queue = append(e.queue, f)
	default:
		f.refused = true
		f.answered = true
		e.respond(f)
	}
}

// process starts to process a request. The mutex must be held.
func (e *endpoint) process(f *serverFlow) {
	e.active++
	e.harness.checker.requestStarted(f.request, f.idempotent)
	serviceTime := minServiceTime + time.Duration(rand.Int64N(int64(maxServiceTime-minServiceTime)))
	time.AfterFunc(e.slowdown*serviceTime, func() { e.finish(f) })
}

func (e *endpoint) finish(f *serverFlow) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.active--
	f.answered = true
	f.failed = e.failure == failureErrors
	e.respond(f)
	e.scheduleRetransmit(f, firstRetransmit)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.process(next)
	}
}

// respond sends all packets of the answer. The mutex must be held.
func (e *endpoint) respond(f *serverFlow) {
	kind, head := answerServed, platformtest.ResponseHead(segment.AnswerSuccess)
	switch {
	case f.refused:
		kind, head = answerRefused, platformtest.ResponseHead(segment.AnswerRefusal)
	case f.failed:
		kind, head = answerFailed, platformtest.ResponseHead(segment.AnswerFailure)
	}
	for part := range answerParts {
		data := make([]byte, partSize)
		copy(data, head)
		data[offsetKind], data[offsetPart] = kind, byte(part)
		binary.BigEndian.PutUint64(data[offsetRequest:], f.request)
		e.sendPacket(f, segment.Acknowledge, f.serverSequence+1+uint32(part*partSize), data)
	}
}

// scheduleRetransmit retransmits an answer until the client has closed the flow or the wait
// exceeds maxRetransmit.
func (e *endpoint) scheduleRetransmit(f *serverFlow, after time.Duration) {
	time.AfterFunc(after, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if f.closed || !e.isRunning() || after > maxRetransmit {
			return
		}
		e.respond(f)
		e.scheduleRetransmit(f, 2*after)
	})
}

func (e *endpoint) sendPacket(f *serverFlow, flags segment.Flags, sequence uint32, data []byte) {
	packet := e.harness.codec.Encode(segment.Header{
		Source: f.key.Service, Destination: f.key.Client,
		Flags: flags, Sequence: sequence, Acknowledgment: f.clientSequence + 1 + requestSize,
	}, data)
	_, _ = e.socket.WriteToUDP(packet, e.agent)
}
