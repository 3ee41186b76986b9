package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// openTimeout is how long a client waits for the answer to an opening packet,
	// which it repeats after openRepeats.
	openTimeout = 1400 * time.Millisecond
	// requestTimeout is how long a client waits for the answer to a request in all, and
	// lastingTimeout for that to one whose flow it keeps open before.
	requestTimeout = 3 * time.Second
	lastingTimeout = 12 * time.Second
	// shortestRest and longestRest bound how long such a flow rests, with a packet in
	// each restInterval.
	shortestRest = 2 * time.Second
	longestRest  = 8 * time.Second
	restInterval = 400 * time.Millisecond
	// maximumTries is how often a request is sent at most, retryDelay apart.
	maximumTries = 3
	retryDelay   = 50 * time.Millisecond
	// firstFlowPort is the first port of flows.
	firstFlowPort = 30000
)

var openRepeats = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// request is what a client wants, in one or more flows.
type request struct {
	number     uint64
	service    int
	repeatable bool
	// rest is how long the flow is kept open before the request is sent. Whether the
	// answer comes is not judged then, since endpoints end meanwhile.
	rest  time.Duration
	sent  time.Duration
	tries int
	// over is set once the ledger was told what became of it.
	over bool
}

// flow is one try of a request.
type flow struct {
	host     *clientHost
	request  *request
	key      segment.FlowKey
	sequence uint32
	answer   uint32
	open     bool
	done     bool
	parts    [answerParts]bool
}

// clientHost is all clients of a zone.
type clientHost struct {
	world  *world
	zone   int
	ip     [4]byte
	socket *net.UDPConn

	mutex  sync.Mutex
	number uint64
	port   uint16
	flows  map[uint16]*flow
}

func newClientHost(w *world, zone int) (*clientHost, error) {
	at := w.network.address(netClients, zone, packetPort)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, errors.Wrap(err, "clients")
	}
	return &clientHost{
		world: w, zone: zone, ip: at.IP, socket: socket, number: uint64(zone) << 48, port: firstFlowPort,
		flows: make(map[uint16]*flow),
	}, nil
}

// run handles packets until the socket is closed.
func (c *clientHost) run() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := c.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			c.receive(buffer[:count])
		}
	}
}

// ask numbers and sends a new request.
func (c *clientHost) ask(wanted *request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.number++
	wanted.number = c.number
	c.try(wanted)
	timeout := requestTimeout
	if wanted.rest > 0 {
		timeout = lastingTimeout
	}
	time.AfterFunc(timeout, func() { c.giveUp(wanted) })
}

// try sends a request in a new flow. The mutex must be held.
func (c *clientHost) try(wanted *request) {
	wanted.tries++
	c.port++
	if c.port < firstFlowPort {
		c.port = firstFlowPort
	}
	created := &flow{
		host: c, request: wanted, sequence: rand.Uint32(),
		key: segment.FlowKey{Client: segment.Address{IP: c.ip, Port: c.port}, Service: routeAddress(wanted.service)},
	}
	c.flows[c.port] = created
	for _, after := range openRepeats {
		c.later(after, created, func() {
			if !created.open {
				created.send(segment.Synchronize, created.sequence, nil)
			}
		})
	}
	c.later(openTimeout, created, func() {
		if !created.open {
			c.fail(created, true)
		}
	})
}

// later calls a function with the mutex held, unless the flow is done by then.
func (c *clientHost) later(after time.Duration, of *flow, call func()) {
	time.AfterFunc(after, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if !of.done {
			call()
		}
	})
}

func (f *flow) send(flags segment.Flags, sequence uint32, data []byte) {
	w := f.host.world
	to, exists := w.fabric.route(f.host.zone, f.key)
	if !exists {
		return
	}
	header := segment.Header{Source: f.key.Client, Destination: f.key.Service, Flags: flags, Sequence: sequence}
	if flags.Has(segment.Acknowledge) {
		header.Acknowledgment = f.answer + 1
	}
	_, _ = f.host.socket.WriteToUDPAddrPort(w.codec.Encode(header, data), to)
}

func (c *clientHost) receive(packet []byte) {
	codec := c.world.codec
	header, outcome := codec.Decode(packet)
	if outcome != segment.Decoded {
		c.world.ledger.forged("a client")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, exists := c.flows[header.Destination.Port]
	if !exists || known.done || header.Source != known.key.Service {
		return
	}
	if header.Flags.Has(segment.Reset) {
		c.receiveReset(known)
		return
	}
	if !codec.ChecksumValid(packet) {
		c.world.ledger.forged("a client")
		return
	}
	known.receive(header, codec.Data(packet))
}

// receiveReset handles a reset of the daemons' own: endpoints write none.
func (c *clientHost) receiveReset(known *flow) {
	if known.open {
		c.world.ledger.reset(known.key)
	}
	c.fail(known, !known.open)
}

func (f *flow) receive(header segment.Header, data []byte) {
	if header.Flags.Has(segment.Synchronize) {
		if !f.open {
			f.open = true
			f.answer = header.Sequence
			f.keepOpen(f.request.rest)
		}
		return
	}
	if !f.open || len(data) < answerSize || data[offsetPart] >= answerParts {
		return
	}
	if binary.BigEndian.Uint64(data[offsetRequest:]) != f.request.number {
		f.host.world.ledger.mixed(f.key)
		return
	}
	if kind := data[offsetKind]; kind != answerServed {
		f.send(segment.Acknowledge|segment.Finish, f.sequence+1+requestSize, nil)
		f.host.fail(f, kind == answerRefused)
		return
	}
	f.parts[data[offsetPart]] = true
	if f.parts == [answerParts]bool{true, true, true} {
		f.send(segment.Acknowledge|segment.Finish, f.sequence+1+requestSize, nil)
		f.host.succeed(f)
	}
}

// keepOpen keeps the flow open for a time, then sends the request.
func (f *flow) keepOpen(rest time.Duration) {
	if rest <= 0 {
		f.ask(firstRepeat)
		return
	}
	f.send(segment.Acknowledge, f.sequence+1, nil)
	f.host.later(restInterval, f, func() { f.keepOpen(rest - restInterval) })
}

// ask sends the request and repeats it until the answer begins.
func (f *flow) ask(after time.Duration) {
	data := make([]byte, requestSize)
	binary.BigEndian.PutUint64(data, f.request.number)
	if f.request.repeatable {
		data[8] = 1
	}
	f.send(segment.Acknowledge, f.sequence+1, data)
	f.host.later(after, f, func() {
		if f.parts == [answerParts]bool{} {
			f.ask(min(2*after, longestRepeat))
		}
	})
}

// end forgets a flow. The mutex must be held.
func (c *clientHost) end(of *flow) {
	of.done = true
	delete(c.flows, of.key.Client.Port)
	c.world.ledger.closed(of.key)
}

func (c *clientHost) succeed(of *flow) {
	c.end(of)
	c.conclude(of.request, true)
}

// conclude tells the ledger, once, what became of a request. The mutex must be held.
func (c *clientHost) conclude(wanted *request, served bool) {
	if wanted.over {
		return
	}
	wanted.over = true
	if wanted.rest == 0 {
		c.world.ledger.ended(wanted.sent, served)
	}
}

// fail ends a try. What cannot have run, or may run again, is tried again.
func (c *clientHost) fail(of *flow, notRun bool) {
	c.end(of)
	wanted := of.request
	if wanted.tries >= maximumTries || !notRun && !wanted.repeatable {
		c.conclude(wanted, false)
		return
	}
	time.AfterFunc(retryDelay, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if !wanted.over {
			c.try(wanted)
		}
	})
}

// giveUp ends a request whose time is over.
func (c *clientHost) giveUp(wanted *request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, each := range c.flows {
		if each.request == wanted {
			c.end(each)
		}
	}
	c.conclude(wanted, false)
}
