// This file implements the network address of a Node: a UDP socket for datagrams and a TCP
// listener for what does not fit in one.

package cluster

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
)

const (
	// maxDatagramSize limits a datagram in bytes. Longer messages are sent over a
	// connection.
	maxDatagramSize = membership.MaxDatagramSize + 16
	// maxStreamSize limits the bytes read from a connection.
	maxStreamSize = 64 << 20
	// streamTimeout limits the duration of a connection.
	streamTimeout = 10 * time.Second
	// maxStreams limits the connections served at a time.
	maxStreams = 32
)

// socket holds the UDP socket and the TCP listener of a Node. It is safe for concurrent
// use.
type socket struct {
	address         netip.AddrPort
	datagrams       *net.UDPConn
	listener        *net.TCPListener
	logger          *log.Logger
	metrics         Metrics
	connectionSlots chan struct{}
}

// newSocket binds the address. It returns an error if UDP or TCP is in use there.
func newSocket(address netip.AddrPort, logger *log.Logger, metrics Metrics) (*socket, error) {
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "cluster: listen for datagrams on %s", address)
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		_ = datagrams.Close()
		return nil, errors.Wrapf(err, "cluster: listen for connections on %s", address)
	}
	return &socket{
		address:         address,
		datagrams:       datagrams,
		listener:        listener,
		logger:          logger,
		metrics:         metrics,
		connectionSlots: make(chan struct{}, maxStreams),
	}, nil
}

func (s *socket) close() {
	_ = s.datagrams.Close()
	_ = s.listener.Close()
}

// send transmits a datagram without confirmation of its delivery.
func (s *socket) send(to netip.AddrPort, encoded []byte) {
	if _, err := s.datagrams.WriteToUDPAddrPort(encoded, to); err != nil {
		s.logger.Debug("cannot send a cluster datagram", "to", to, "error", err)
		return
	}
	s.metrics.countDatagram(directionSent, len(encoded))
}

// receive passes datagrams to accept until the socket is closed.
func (s *socket) receive(accept func(from netip.AddrPort, datagram []byte)) error {
	buffer := make([]byte, 2*maxDatagramSize)
	for {
		count, from, err := s.datagrams.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.logger.Debug("cannot receive a cluster datagram", "error", err)
			continue
		}
		s.metrics.countDatagram(directionReceived, count)
		accept(from, buffer[:count])
	}
}

// exchange sends a request over a connection and returns the response. The connection
// originates from the own address, by which the receiver identifies this daemon.
func (s *socket) exchange(ctx context.Context, to netip.AddrPort, request []byte) ([]byte, error) {
	dialer := net.Dialer{
		Timeout:   streamTimeout,
		LocalAddr: &net.TCPAddr{IP: s.address.Addr().AsSlice()},
	}
	connection, err := dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "cluster: open a connection")
	}
	defer func() { _ = connection.Close() }()
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer release()
	_ = connection.SetDeadline(time.Now().Add(streamTimeout))
	if _, err := connection.Write(request); err != nil {
		return nil, errors.Wrap(err, "cluster: send a request")
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, errors.Wrap(err, "cluster: close the sending side of a connection")
	}
	s.metrics.countStream(directionSent, len(request))
	response, err := readAll(connection)
	s.metrics.countStream(directionReceived, len(response))
	return response, err
}

func readAll(connection net.Conn) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(connection, maxStreamSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "cluster: read from a connection")
	}
	if len(read) > maxStreamSize {
		return nil, errors.Errorf("cluster: the peer sent more than the maximum of %d bytes over a connection", maxStreamSize)
	}
	return read, nil
}

// serve accepts connections until the listener is closed. A response may be empty.
func (s *socket) serve(ctx context.Context, respond func(from netip.AddrPort, request []byte) []byte) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		connection, err := s.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.logger.Debug("cannot accept a cluster connection", "error", err)
			continue
		}
		select {
		case s.connectionSlots <- struct{}{}:
			serving.Go(func() {
				s.serveConnection(ctx, connection, respond)
				<-s.connectionSlots
			})
		default:
			_ = connection.Close()
		}
	}
}

func (s *socket) serveConnection(ctx context.Context, connection *net.TCPConn, respond func(netip.AddrPort, []byte) []byte) {
	defer func() { _ = connection.Close() }()
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer release()
	_ = connection.SetDeadline(time.Now().Add(streamTimeout))
	request, err := readAll(connection)
	if err != nil {
		s.logger.Debug("cannot read a request on a cluster connection", "error", err)
		return
	}
	s.metrics.countStream(directionReceived, len(request))
	from := connection.RemoteAddr().(*net.TCPAddr).AddrPort()
	response := respond(from, request)
	if _, err := connection.Write(response); err != nil {
		s.logger.Debug("cannot send the answer on a cluster connection", "error", err)
		return
	}
	s.metrics.countStream(directionSent, len(response))
}
