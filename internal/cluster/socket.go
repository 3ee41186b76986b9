// This file implements the address of a Node: a UDP socket for datagrams and a
// TCP listener for what does not fit in one.

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
	// maximumDatagram bounds a datagram in bytes; what is longer goes over a
	// connection.
	maximumDatagram = membership.MaximumDatagramSize + 16
	// maximumStream bounds what is read from a connection, in bytes.
	maximumStream = 64 << 20
	// streamTimeout bounds the life of a connection.
	streamTimeout = 10 * time.Second
	// maximumStreams bounds the connections accepted at a time.
	maximumStreams = 32
)

// socket is the address of a Node. It is safe for concurrent use.
type socket struct {
	address  netip.AddrPort
	packets  *net.UDPConn
	listener *net.TCPListener
	logger   *log.Logger
	metrics  Metrics
	accepted chan struct{}
}

// newSocket binds the address. It fails if UDP or TCP is in use there.
func newSocket(address netip.AddrPort, logger *log.Logger, metrics Metrics) (*socket, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "cluster: listen on %s", address)
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		_ = packets.Close()
		return nil, errors.Wrapf(err, "cluster: listen on %s", address)
	}
	return &socket{
		address:  address,
		packets:  packets,
		listener: listener,
		logger:   logger,
		metrics:  metrics,
		accepted: make(chan struct{}, maximumStreams),
	}, nil
}

func (s *socket) close() {
	_ = s.packets.Close()
	_ = s.listener.Close()
}

// send transmits a datagram, which may be lost.
func (s *socket) send(to netip.AddrPort, encoded []byte) {
	if _, err := s.packets.WriteToUDPAddrPort(encoded, to); err != nil {
		s.logger.Debug("cluster datagram not sent", "to", to, "error", err)
		return
	}
	s.metrics.countDatagram(directionSent, len(encoded))
}

// receive hands on datagrams until the socket is closed.
func (s *socket) receive(accept func(from netip.AddrPort, datagram []byte)) error {
	buffer := make([]byte, 2*maximumDatagram)
	for {
		count, from, err := s.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.logger.Debug("cluster datagram not received", "error", err)
			continue
		}
		s.metrics.countDatagram(directionReceived, count)
		accept(from, buffer[:count])
	}
}

// exchange sends a request over a connection and returns the answer. The
// connection comes from the own address, by which the receiver knows it.
func (s *socket) exchange(ctx context.Context, to netip.AddrPort, request []byte) ([]byte, error) {
	dialer := net.Dialer{
		Timeout:   streamTimeout,
		LocalAddr: &net.TCPAddr{IP: s.address.Addr().AsSlice()},
	}
	connection, err := dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "cluster connection")
	}
	defer func() { _ = connection.Close() }()
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer release()
	_ = connection.SetDeadline(time.Now().Add(streamTimeout))
	if _, err := connection.Write(request); err != nil {
		return nil, errors.Wrap(err, "cluster connection")
	}
	if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, errors.Wrap(err, "cluster connection")
	}
	s.metrics.countStream(directionSent, len(request))
	answer, err := readAll(connection)
	s.metrics.countStream(directionReceived, len(answer))
	return answer, err
}

func readAll(connection net.Conn) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(connection, maximumStream+1))
	if err != nil {
		return nil, errors.Wrap(err, "cluster connection")
	}
	if len(read) > maximumStream {
		return nil, errors.Errorf("cluster connection: more than %d bytes", maximumStream)
	}
	return read, nil
}

// serve accepts connections until the listener is closed. The answer to a
// request may be empty.
func (s *socket) serve(ctx context.Context, answer func(from netip.AddrPort, request []byte) []byte) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		connection, err := s.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.logger.Debug("cluster connection not accepted", "error", err)
			continue
		}
		select {
		case s.accepted <- struct{}{}:
			serving.Go(func() {
				s.serveConnection(ctx, connection, answer)
				<-s.accepted
			})
		default:
			_ = connection.Close()
		}
	}
}

func (s *socket) serveConnection(ctx context.Context, connection *net.TCPConn, answer func(netip.AddrPort, []byte) []byte) {
	defer func() { _ = connection.Close() }()
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer release()
	_ = connection.SetDeadline(time.Now().Add(streamTimeout))
	request, err := readAll(connection)
	if err != nil {
		s.logger.Debug("cluster request not read", "error", err)
		return
	}
	s.metrics.countStream(directionReceived, len(request))
	from := connection.RemoteAddr().(*net.TCPAddr).AddrPort()
	answered := answer(from, request)
	if _, err := connection.Write(answered); err != nil {
		s.logger.Debug("cluster answer not sent", "error", err)
		return
	}
	s.metrics.countStream(directionSent, len(answered))
}
