package relay

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/internal/balancer/udpfront"
)

// bareRelay forwards each datagram to the next destination in a list, without parsing or
// copying it.
type bareRelay struct {
	listener     *udpfront.Listener
	destinations []netip.AddrPort
	sent         *packetCounter
}

func newBareRelay(listen netip.AddrPort, sockets int, destinations []netip.AddrPort, sent *packetCounter) (*bareRelay, error) {
	listener, err := udpfront.Listen(listen, sockets)
	if err != nil {
		return nil, err
	}
	return &bareRelay{listener: listener, destinations: destinations, sent: sent}, nil
}

// Address returns the address on which the relay receives.
func (r *bareRelay) Address() netip.AddrPort { return r.listener.Address() }

// Run forwards datagrams until ctx ends, then closes the sockets.
func (r *bareRelay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.listener.Close)
	defer stop()
	var group errgroup.Group
	for _, connection := range r.listener.Connections() {
		group.Go(func() error { return r.serve(connection) })
	}
	return group.Wait()
}

func (r *bareRelay) serve(connection *net.UDPConn) error {
	packets := ipv4.NewPacketConn(connection)
	received := newMessages(udpfront.BatchSize)
	sending := make([]ipv4.Message, udpfront.BatchSize)
	addresses := udpAddresses(r.destinations)
	for i := range sending {
		sending[i].Buffers = make([][]byte, 1)
	}
	next := 0
	for {
		count, err := packets.ReadBatch(received, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		for i := range count {
			sending[i].Buffers[0] = received[i].Buffers[0][:received[i].N]
			sending[i].Addr = addresses[next]
			next = (next + 1) % len(addresses)
		}
		sent, err := sendAll(packets, sending[:count])
		r.sent.Add(float64(sent))
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
}

func newMessages(count int) []ipv4.Message {
	messages := make([]ipv4.Message, count)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, udpfront.MaxDatagramSize)}
	}
	return messages
}

func udpAddresses(destinations []netip.AddrPort) []*net.UDPAddr {
	addresses := make([]*net.UDPAddr, len(destinations))
	for i, destination := range destinations {
		addresses[i] = net.UDPAddrFromAddrPort(destination)
	}
	return addresses
}

// sendAll sends all messages and returns the number sent.
func sendAll(packets *ipv4.PacketConn, messages []ipv4.Message) (int, error) {
	sent := 0
	for sent < len(messages) {
		count, err := packets.WriteBatch(messages[sent:], 0)
		if err != nil {
			return sent, errors.WithStack(err)
		}
		sent += count
	}
	return sent, nil
}
