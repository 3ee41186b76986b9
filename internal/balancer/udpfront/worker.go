package udpfront

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// BatchSize is the largest number of datagrams that one system call
	// receives, and of messages that one sends.
	BatchSize = 64
	// MaxDatagramSize is the room in bytes for one datagram. A longer one is cut
	// to this size, which leaves more than the largest packet that is carried
	// behind the largest Geneve header, so the handler sees it is oversized.
	MaxDatagramSize = 9472
)

// pump moves datagrams from one socket through a handler.
type pump struct {
	connection *ipv4.PacketConn
	handler    Handler
	received   []ipv4.Message
	outputs    [][]byte
	grouper    *grouper
	single     []ipv4.Message
}

func newPump(connection *net.UDPConn, handler Handler) *pump {
	created := &pump{
		connection: ipv4.NewPacketConn(connection),
		handler:    handler,
		received:   make([]ipv4.Message, BatchSize),
		outputs:    make([][]byte, BatchSize),
		grouper:    newGrouper(BatchSize),
		single:     make([]ipv4.Message, 1),
	}
	for i := range BatchSize {
		created.received[i].Buffers = [][]byte{make([]byte, MaxDatagramSize)}
		created.outputs[i] = make([]byte, 0, MaxDatagramSize)
	}
	return created
}

// run handles batches until the socket is closed or fails.
func (p *pump) run() error {
	for {
		count, err := p.connection.ReadBatch(p.received, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		p.handle(p.received[:count])
		p.handler.BatchSent(p.send(p.grouper.finish()))
	}
}

// handle lets the handler decide about every received datagram and collects
// what is to be sent.
func (p *pump) handle(received []ipv4.Message) {
	for i := range received {
		message := &received[i]
		datagram, forward := p.handler.Handle(message.Buffers[0][:message.N], p.outputs[i])
		if forward {
			p.grouper.add(datagram)
		}
	}
}

// send returns how many datagrams the kernel refused. The kernel stops at the
// first message that it refuses, so sending goes on behind that one.
func (p *pump) send(messages []ipv4.Message) int {
	failed := 0
	for len(messages) > 0 {
		sent, err := p.connection.WriteBatch(messages, 0)
		if err != nil {
			failed += p.recover(&messages[0], err)
			sent = 1
		}
		messages = messages[sent:]
	}
	return failed
}

// recover handles a message that the kernel refused, and returns how many of
// its datagrams cannot be sent.
func (p *pump) recover(refused *ipv4.Message, cause error) int {
	if len(refused.Buffers) == 1 {
		return 1
	}
	if errors.Is(cause, unix.EIO) {
		// The path has no checksum offload, so it never takes UDP_SEGMENT.
		p.grouper.stopGrouping()
	}
	return p.sendSingly(refused)
}

// sendSingly sends the datagrams of a refused message without UDP_SEGMENT,
// which some paths refuse for datagrams that they send otherwise, and returns
// how many are refused again.
func (p *pump) sendSingly(refused *ipv4.Message) int {
	failed := 0
	for i := range refused.Buffers {
		p.single[0] = ipv4.Message{Buffers: refused.Buffers[i : i+1], Addr: refused.Addr}
		if _, err := p.connection.WriteBatch(p.single, 0); err != nil {
			failed++
		}
	}
	return failed
}
