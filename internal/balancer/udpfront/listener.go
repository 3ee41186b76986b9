// Package udpfront receives UDP datagrams in batches on several sockets that share
// one port, passes each datagram to a handler, and sends the datagrams that the
// handler returns. The balancer uses it as its packet I/O.
//
// One system call receives or sends a whole batch (recvmmsg and sendmmsg). Each
// socket has one goroutine with its own handler, so that no lock is needed for a
// datagram.
package udpfront

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Datagram is a datagram to send.
type Datagram struct {
	Destination netip.AddrPort
	Payload     []byte
}

// Handler decides for each datagram received on one socket which datagram to send.
// Its methods are called from one goroutine.
type Handler interface {
	// Handle returns the datagram to send in response to a received one, or
	// false to send nothing. It may build the payload in output, which has
	// length 0 and capacity MaxDatagramSize. Both buffers belong to the
	// Listener and are reused.
	Handle(datagram, output []byte) (Datagram, bool)
	// BatchSent is called after the datagrams of a batch have been sent.
	// failed is the number of datagrams that the kernel refused to send.
	BatchSent(failed int)
}

// Listener is a group of UDP sockets that share one port.
type Listener struct {
	connections []*net.UDPConn
}

// Listen opens the given number of sockets on one IPv4 address. Port 0 selects a
// free port for all of them. Listen fails if the number is not positive or a socket
// cannot be bound.
func Listen(address netip.AddrPort, sockets int) (*Listener, error) {
	if sockets < 1 {
		return nil, errors.Errorf("number of sockets is %d: must be at least 1", sockets)
	}
	listener := &Listener{}
	for range sockets {
		connection, err := listenShared(address)
		if err != nil {
			listener.Close()
			return nil, err
		}
		listener.connections = append(listener.connections, connection)
		address = listener.Address()
	}
	return listener, nil
}

// Address returns the address that the sockets share.
func (l *Listener) Address() netip.AddrPort {
	return l.connections[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Connections returns the sockets of the listener.
func (l *Listener) Connections() []*net.UDPConn { return l.connections }

// Close closes the sockets. Further calls have no effect.
func (l *Listener) Close() {
	for _, connection := range l.connections {
		// The only possible error is that the socket is closed already.
		_ = connection.Close()
	}
}

// Run serves every socket with a handler of its own until ctx ends, then closes the
// sockets and returns nil. If a socket fails before ctx ends, Run closes the sockets
// and returns the error.
func (l *Listener) Run(ctx context.Context, newHandler func() Handler) error {
	group, groupContext := errgroup.WithContext(ctx)
	stop := context.AfterFunc(groupContext, l.Close)
	defer stop()
	for _, connection := range l.connections {
		handler := newHandler()
		group.Go(func() error { return newSocketWorker(connection, handler).run() })
	}
	err := group.Wait()
	l.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
