package relaydaemon

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// receiveBufferSize is the requested size of the kernel buffer for unread datagrams, in
// bytes.
const receiveBufferSize = 1 << 20

// socket is a UDP socket that passes received datagrams to a handler.
type socket struct {
	connection *net.UDPConn
	// handle is called for each datagram. The datagram is valid only until handle returns.
	handle func(from netip.AddrPort, datagram []byte)
}

func listen(address netip.AddrPort, handle func(netip.AddrPort, []byte)) (*socket, error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, address.String())
	}
	// The system may grant a smaller buffer; that is no error.
	_ = connection.SetReadBuffer(receiveBufferSize)
	return &socket{connection, handle}, nil
}

// run reads datagrams until ctx ends.
func (s *socket) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.connection.Close() })
	defer stop()
	buffer := make([]byte, relay.MaxMessageSize)
	for {
		length, from, err := s.connection.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "read from UDP socket")
		}
		if err == nil {
			s.handle(from, buffer[:length])
		}
	}
}

// send transmits a datagram. Errors are ignored because the network may lose datagrams
// anyway.
func (s *socket) send(to segment.Address, datagram []byte) {
	_, _ = s.connection.WriteToUDPAddrPort(datagram, to.AddrPort())
}
