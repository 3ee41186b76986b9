// Package caller simulates the callers of the services for the bench. A Client runs
// the flow that a Plan describes, over HTTP or UDP, and checks every answer. A Stack provides the TCP and UDP
// sockets of many caller addresses in user space and sends their packets through the simulated
// fabric.
package caller

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"
)

// Network transports packets from the callers and delivers the answers.
type Network interface {
	// Inject sends one IPv4 packet.
	Inject(packet []byte)
	// Attach registers the receiver of the packets to a caller address.
	Attach(caller netip.Addr, receiver func(packet []byte))
}

// Stack is a user-space network stack with many caller addresses. It is safe for concurrent use.
type Stack struct {
	stack     *stack.Stack
	link      *channel.Endpoint
	network   Network
	addresses []netip.Addr
	next      atomic.Uint64
}

const (
	nicID         = 1
	linkQueueSize = 4096
	linkMTU       = 1400
	minimumRTO    = 200 * time.Millisecond
	maximumRTO    = 4 * time.Second
	addressBits   = 32
)

// NewStack returns a stack that has the given IPv4 addresses and sends through the network.
func NewStack(network Network, addresses []netip.Addr) (*Stack, error) {
	created := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
		}),
		link:      channel.New(linkQueueSize, linkMTU, ""),
		network:   network,
		addresses: addresses,
	}
	if err := created.configure(); err != nil {
		return nil, err
	}
	for _, address := range addresses {
		if err := created.addAddress(address); err != nil {
			return nil, err
		}
		network.Attach(address, created.receive)
	}
	return created, nil
}

func (s *Stack) configure() error {
	sack := tcpip.TCPSACKEnabled(true)
	minimum := tcpip.TCPMinRTOOption(minimumRTO)
	maximum := tcpip.TCPMaxRTOOption(maximumRTO)
	for _, option := range []tcpip.SettableTransportProtocolOption{&sack, &minimum, &maximum} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return errors.Errorf("set a TCP option of the caller stack: %s", err)
		}
	}
	if err := s.stack.CreateNIC(nicID, s.link); err != nil {
		return errors.Errorf("create the interface of the caller stack: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	return nil
}

func (s *Stack) addAddress(address netip.Addr) error {
	err := s.stack.AddProtocolAddress(nicID, tcpip.ProtocolAddress{
		Protocol: ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddressWithPrefix{
			Address:   tcpip.AddrFrom4(address.As4()),
			PrefixLen: addressBits,
		},
	}, stack.AddressProperties{})
	if err != nil {
		return errors.Errorf("add the caller address %s to the stack: %s", address, err)
	}
	return nil
}

// Run sends the packets of the stack until ctx ends, then closes the stack.
func (s *Stack) Run(ctx context.Context) error {
	for {
		outgoing := s.link.ReadContext(ctx)
		if outgoing == nil {
			s.stack.Close()
			return nil
		}
		view := outgoing.ToView()
		s.network.Inject(view.AsSlice())
		view.Release()
		outgoing.DecRef()
	}
}

func (s *Stack) receive(packet []byte) {
	incoming := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer incoming.DecRef()
	s.link.InjectInbound(ipv4.ProtocolNumber, incoming)
}

// DialTCP opens a connection to the service. It uses the caller addresses in turn. It fails if the
// handshake is refused or ctx ends.
func (s *Stack) DialTCP(ctx context.Context, service netip.AddrPort) (net.Conn, error) {
	local := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(s.nextAddress().As4())}
	remote := fullAddress(service)
	connection, err := gonet.DialTCPWithBind(ctx, s.stack, local, remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", service)
	}
	return connection, nil
}

// DialUDP returns a socket that exchanges datagrams with the service. It uses the caller addresses
// in turn.
func (s *Stack) DialUDP(service netip.AddrPort) (net.Conn, error) {
	local := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(s.nextAddress().As4())}
	remote := fullAddress(service)
	connection, err := gonet.DialUDP(s.stack, &local, &remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", service)
	}
	return connection, nil
}

func (s *Stack) nextAddress() netip.Addr {
	return s.addresses[s.next.Add(1)%uint64(len(s.addresses))]
}

func fullAddress(address netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{
		NIC:  nicID,
		Addr: tcpip.AddrFrom4(address.Addr().As4()),
		Port: address.Port(),
	}
}
