// Package netstack terminates the TCP and UDP flows of one service in user space. An agent
// passes it the decapsulated IPv4 packets of callers and sends the packets that it returns.
// A Handler decides which flows are opened and gets their connections.
//
// It uses the network stack of gVisor, so that an agent needs no privileges and no address of
// its own on the machine.
package netstack

import (
	"context"
	"net"
	"net/netip"
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
	"gvisor.dev/gvisor/pkg/waiter"
)

const (
	interfaceID = 1
	// queueLength is the largest number of outgoing packets that wait to be sent.
	queueLength = 4096
	// maximumTransmissionUnit leaves room for Geneve, UDP and IP headers on a network with an
	// MTU of 1,500 bytes.
	maximumTransmissionUnit = 1400
	// maxHandshakes bounds the number of TCP handshakes in progress.
	maxHandshakes = 1024
	// timeWait is the duration of the TIME-WAIT state, in which a closed connection still
	// answers the caller.
	timeWait = time.Second
	// minRetransmission is the smallest retransmission timeout.
	minRetransmission = 200 * time.Millisecond
	keepaliveIdle     = time.Minute
	keepaliveInterval = 15 * time.Second
	keepaliveCount    = 4
)

// Handler is called for each flow that a caller opens. Each call runs on its own goroutine
// and may block.
type Handler interface {
	// OpenTCP must call one of Accept, Refuse and Ignore of the request.
	OpenTCP(request *Request)
	// OpenUDP gets the connection of a flow whose first datagram can be read.
	OpenUDP(caller netip.AddrPort, connection net.Conn)
}

// Stack is the user-space network stack of one service.
type Stack struct {
	stack *stack.Stack
	link  *channel.Endpoint
}

// New returns a stack that answers for the destination addresses of all packets that it is
// given. With a nil handler it refuses all flows with a TCP reset.
func New(handler Handler) (*Stack, error) {
	created := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
		}),
		link: channel.New(queueLength, maximumTransmissionUnit, ""),
	}
	if err := created.configure(); err != nil {
		return nil, err
	}
	if handler != nil {
		created.handle(handler)
	}
	return created, nil
}

func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(interfaceID, s.link); err != nil {
		return errors.Errorf("create network interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(interfaceID, true); err != nil {
		return errors.Errorf("accept packets for all destination addresses: %s", err)
	}
	if err := s.stack.SetSpoofing(interfaceID, true); err != nil {
		return errors.Errorf("send packets from all source addresses: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	selectiveAcknowledgment := tcpip.TCPSACKEnabled(true)
	retransmission := tcpip.TCPMinRTOOption(minRetransmission)
	timeWaitOption := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	for _, option := range []tcpip.SettableTransportProtocolOption{&selectiveAcknowledgment, &retransmission, &timeWaitOption} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return errors.Errorf("set TCP option: %s", err)
		}
	}
	return nil
}

func (s *Stack) handle(handler Handler) {
	tcpForwarder := tcp.NewForwarder(s.stack, 0, maxHandshakes, func(request *tcp.ForwarderRequest) {
		handler.OpenTCP(&Request{forwarded: request})
	})
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, tcpForwarder.HandlePacket)
	udpForwarder := udp.NewForwarder(s.stack, func(request *udp.ForwarderRequest) bool {
		var queue waiter.Queue
		endpoint, err := request.CreateEndpoint(&queue)
		if err != nil {
			return true
		}
		id := request.ID()
		go handler.OpenUDP(addrPort(id.RemoteAddress, id.RemotePort), gonet.NewUDPConn(&queue, endpoint))
		return true
	})
	s.stack.SetTransportProtocolHandler(udp.ProtocolNumber, udpForwarder.HandlePacket)
}

func addrPort(address tcpip.Address, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(address.As4()), port)
}

// Inject passes one IPv4 packet of a caller to the stack. It copies the packet.
func (s *Stack) Inject(packet []byte) {
	incoming := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer incoming.DecRef()
	s.link.InjectInbound(ipv4.ProtocolNumber, incoming)
}

// ReadPacket appends the next outgoing IPv4 packet to destination. It blocks until there is
// one, and returns false if ctx is done.
func (s *Stack) ReadPacket(ctx context.Context, destination []byte) ([]byte, bool) {
	outgoing := s.link.ReadContext(ctx)
	if outgoing == nil {
		return destination, false
	}
	defer outgoing.DecRef()
	for _, part := range outgoing.AsSlices() {
		destination = append(destination, part...)
	}
	return destination, true
}

// Close ends all flows and releases the resources of the stack.
func (s *Stack) Close() {
	s.stack.Close()
	s.link.Close()
}
