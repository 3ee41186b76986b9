package relay

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/vanetiller/vanetiller/internal/balancer/udpfront"
)

// socketsPerSender is the number of source ports of a sender. Several ports let the kernel
// distribute its datagrams over all sockets of the relay.
const socketsPerSender = 16

// sender sends datagrams to a relay from several source ports in turn.
type sender struct {
	connections []*ipv4.PacketConn
	messages    []ipv4.Message
}

// openSender opens the sockets of a sender. It copies the datagrams, because pace writes a
// time stamp at the end of their payload.
func openSender(destination netip.AddrPort, datagrams [][]byte) (*sender, error) {
	opened := &sender{}
	for range socketsPerSender {
		connection, err := net.ListenUDP("udp4", loopback())
		if err != nil {
			opened.close()
			return nil, errors.WithStack(err)
		}
		opened.connections = append(opened.connections, ipv4.NewPacketConn(connection))
	}
	address := net.UDPAddrFromAddrPort(destination)
	opened.messages = make([]ipv4.Message, len(datagrams))
	for i, datagram := range datagrams {
		opened.messages[i].Buffers = [][]byte{append([]byte(nil), datagram...)}
		opened.messages[i].Addr = address
	}
	return opened, nil
}

func loopback() *net.UDPAddr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (s *sender) close() {
	for _, connection := range s.connections {
		// Close fails only if the socket is already closed.
		_ = connection.Close()
	}
}

// flood sends as fast as possible until ctx ends.
func (s *sender) flood(ctx context.Context) error {
	for next := 0; ctx.Err() == nil; next++ {
		start := next * udpfront.BatchSize % len(s.messages)
		end := min(start+udpfront.BatchSize, len(s.messages))
		if _, err := sendAll(s.connections[next%socketsPerSender], s.messages[start:end]); err != nil {
			return err
		}
	}
	return nil
}

// pace sends single stamped datagrams at a constant rate until ctx ends.
func (s *sender) pace(ctx context.Context, packetsPerSecond int, clock stampClock) error {
	interval := time.Second / time.Duration(packetsPerSecond)
	due := time.Now()
	for next := 0; ctx.Err() == nil; next++ {
		time.Sleep(time.Until(due))
		due = due.Add(interval)
		message := s.messages[next%len(s.messages):][:1]
		clock.stamp(message[0].Buffers[0])
		if _, err := sendAll(s.connections[next%socketsPerSender], message); err != nil {
			return err
		}
	}
	return nil
}

// stampMark identifies stamped datagrams.
const stampMark = 0x76616e6574696c65

// stampClock stamps datagrams with the time since its start.
type stampClock struct{ start time.Time }

func (c stampClock) stamp(datagram []byte) {
	field := datagram[len(datagram)-stampSize:]
	binary.BigEndian.PutUint64(field, stampMark)
	binary.BigEndian.PutUint64(field[8:], uint64(time.Since(c.start)))
}

// age returns the time since a datagram was stamped, or false if it has no stamp.
func (c stampClock) age(datagram []byte) (time.Duration, bool) {
	if len(datagram) < stampSize {
		return 0, false
	}
	field := datagram[len(datagram)-stampSize:]
	if binary.BigEndian.Uint64(field) != stampMark {
		return 0, false
	}
	return time.Since(c.start) - time.Duration(binary.BigEndian.Uint64(field[8:])), true
}
