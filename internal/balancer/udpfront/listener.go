// Package udpfront moves UDP datagrams in batches between sockets that share
// one port and a handler that decides about each datagram.
//
// One system call receives or sends a whole batch (recvmmsg and sendmmsg), and
// each socket has one goroutine with its own handler, so that no lock is taken
// for a datagram.
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

// Handler decides about the datagrams of one socket. It is called from one
// goroutine.
type Handler interface {
	// Handle returns what to send because of a received datagram, or false to
	// send nothing. It may build the payload in output, which has length 0
	// and room for MaxDatagram bytes. Both buffers are the front's.
	Handle(datagram, output []byte) (Datagram, bool)
	// BatchSent is called after the datagrams of a batch have been sent, with
	// the number of those that the kernel refused.
	BatchSent(failed int)
}

// Listener is a group of UDP sockets that share one port.
type Listener struct {
	connections []*net.UDPConn
}

// Listen opens the given number of sockets on one IPv4 address. Port 0 takes
// a free port for all of them. It fails if the number is not positive or a
// socket cannot be bound.
func Listen(address netip.AddrPort, sockets int) (*Listener, error) {
	if sockets < 1 {
		return nil, errors.Errorf("number of sockets is %d: must be at least 1", sockets)
	}
	front := &Listener{}
	for range sockets {
		connection, err := listenShared(address)
		if err != nil {
			front.Close()
			return nil, err
		}
		front.connections = append(front.connections, connection)
		address = front.Address()
	}
	return front, nil
}

// Address returns the address that the sockets share.
func (f *Listener) Address() netip.AddrPort {
	return f.connections[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// Connections returns the sockets.
func (f *Listener) Connections() []*net.UDPConn { return f.connections }

// Close closes the sockets. Closing again does nothing.
func (f *Listener) Close() {
	for _, connection := range f.connections {
		// The only error is that the socket is closed already.
		_ = connection.Close()
	}
}

// Run serves every socket, each with a handler of its own, until ctx ends,
// then closes the sockets and returns nil. If a socket fails before, Run
// closes the sockets and returns that error.
func (f *Listener) Run(ctx context.Context, newHandler func() Handler) error {
	group, groupContext := errgroup.WithContext(ctx)
	stop := context.AfterFunc(groupContext, f.Close)
	defer stop()
	for _, connection := range f.connections {
		handler := newHandler()
		group.Go(func() error { return newPump(connection, handler).run() })
	}
	err := group.Wait()
	f.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
