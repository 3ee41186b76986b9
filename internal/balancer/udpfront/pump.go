package udpfront

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
)

const (
	// BatchSize is the largest number of datagrams that one system call
	// receives or sends.
	BatchSize = 64
	// MaxDatagram is the room in bytes for one datagram. A longer one is cut
	// to this size, which leaves more than the largest packet that is carried
	// behind the largest Geneve header, so the handler sees it is oversized.
	MaxDatagram = 9472
)

// pump moves datagrams from one socket through a handler.
type pump struct {
	connection *ipv4.PacketConn
	handler    Handler
	received   []ipv4.Message
	sending    []ipv4.Message
	outputs    [][]byte
	addresses  []net.UDPAddr
}

func newPump(connection *net.UDPConn, handler Handler) *pump {
	created := &pump{
		connection: ipv4.NewPacketConn(connection),
		handler:    handler,
		received:   make([]ipv4.Message, BatchSize),
		sending:    make([]ipv4.Message, BatchSize),
		outputs:    make([][]byte, BatchSize),
		addresses:  make([]net.UDPAddr, BatchSize),
	}
	for i := range BatchSize {
		created.received[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
		created.outputs[i] = make([]byte, 0, MaxDatagram)
		created.addresses[i].IP = make(net.IP, net.IPv4len)
		created.sending[i].Buffers = make([][]byte, 1)
		created.sending[i].Addr = &created.addresses[i]
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
		ready := p.handle(p.received[:count])
		p.handler.Finish(p.send(p.sending[:ready]))
	}
}

// handle fills the sending messages from the received ones and returns their
// number.
func (p *pump) handle(received []ipv4.Message) int {
	ready := 0
	for i := range received {
		message := &received[i]
		datagram, forward := p.handler.Handle(message.Buffers[0][:message.N], p.outputs[ready])
		if !forward {
			continue
		}
		p.address(ready, datagram)
		ready++
	}
	return ready
}

func (p *pump) address(index int, datagram Datagram) {
	address := &p.addresses[index]
	destination := datagram.Destination.Addr().As4()
	copy(address.IP, destination[:])
	address.Port = int(datagram.Destination.Port())
	p.sending[index].Buffers[0] = datagram.Payload
}

// send returns how many of the messages the kernel refused. The kernel stops
// at the first message that it refuses, so that one is skipped.
func (p *pump) send(messages []ipv4.Message) int {
	failed := 0
	for len(messages) > 0 {
		sent, err := p.connection.WriteBatch(messages, 0)
		if err != nil {
			sent = 1
			failed++
		}
		messages = messages[sent:]
	}
	return failed
}
