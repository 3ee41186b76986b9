package udpfront

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// BatchSize is the largest number of datagrams that one system call
	// receives, and the largest number of messages that one system call sends.
	BatchSize = 64
	// MaxDatagramSize is the buffer size in bytes for one datagram. A longer
	// datagram is truncated to this size. The size exceeds the largest packet
	// with the largest Geneve header, so that the handler can recognize a
	// truncated datagram as oversized.
	MaxDatagramSize = 9472
)

// socketWorker passes the datagrams of one socket to a handler and sends the
// results.
type socketWorker struct {
	connection    *ipv4.PacketConn
	handler       Handler
	received      []ipv4.Message
	outputs       [][]byte
	coalescer     *coalescer
	singleMessage []ipv4.Message
}

func newSocketWorker(connection *net.UDPConn, handler Handler) *socketWorker {
	created := &socketWorker{
		connection:    ipv4.NewPacketConn(connection),
		handler:       handler,
		received:      make([]ipv4.Message, BatchSize),
		outputs:       make([][]byte, BatchSize),
		coalescer:     newCoalescer(BatchSize),
		singleMessage: make([]ipv4.Message, 1),
	}
	for i := range BatchSize {
		created.received[i].Buffers = [][]byte{make([]byte, MaxDatagramSize)}
		created.outputs[i] = make([]byte, 0, MaxDatagramSize)
	}
	return created
}

// run handles batches until the socket is closed or fails.
func (w *socketWorker) run() error {
	for {
		count, err := w.connection.ReadBatch(w.received, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		w.handle(w.received[:count])
		w.handler.BatchSent(w.send(w.coalescer.takeMessages()))
	}
}

// handle passes every received datagram to the handler and collects the datagrams to
// send.
func (w *socketWorker) handle(received []ipv4.Message) {
	for i := range received {
		message := &received[i]
		datagram, forward := w.handler.Handle(message.Buffers[0][:message.N], w.outputs[i])
		if forward {
			w.coalescer.add(datagram)
		}
	}
}

// send sends messages and returns the number of datagrams that the kernel refused.
// The kernel stops at the first message that it refuses, so send continues with the
// message after it.
func (w *socketWorker) send(messages []ipv4.Message) int {
	failed := 0
	for len(messages) > 0 {
		sent, err := w.connection.WriteBatch(messages, 0)
		if err != nil {
			failed += w.retryRefused(&messages[0], err)
			sent = 1
		}
		messages = messages[sent:]
	}
	return failed
}

// retryRefused sends the datagrams of a refused message individually if there are
// several. It returns the number of datagrams that cannot be sent.
func (w *socketWorker) retryRefused(refused *ipv4.Message, cause error) int {
	if len(refused.Buffers) == 1 {
		return 1
	}
	if errors.Is(cause, unix.EIO) {
		// The path has no checksum offload and therefore never accepts
		// UDP_SEGMENT.
		w.coalescer.disableCoalescing()
	}
	return w.sendIndividually(refused)
}

// sendIndividually sends the datagrams of a refused message without UDP_SEGMENT and
// returns the number of datagrams that are refused again. Some paths refuse
// UDP_SEGMENT for datagrams that they send without it.
func (w *socketWorker) sendIndividually(refused *ipv4.Message) int {
	failed := 0
	for i := range refused.Buffers {
		w.singleMessage[0] = ipv4.Message{Buffers: refused.Buffers[i : i+1], Addr: refused.Addr}
		if _, err := w.connection.WriteBatch(w.singleMessage, 0); err != nil {
			failed++
		}
	}
	return failed
}
