// Package netstack terminates the callers' TCP and UDP flows of one service in
// user space, on gVisor's network stack, so that an agent needs no privilege
// and no address of its own on the machine.
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
	// queueLength is how many outgoing packets may wait to be sent.
	queueLength = 4096
	// maximumTransmissionUnit leaves room for Geneve, UDP and IP headers on a
	// network of 1,500 bytes.
	maximumTransmissionUnit = 1400
	// maximumOpenings bounds the handshakes under way.
	maximumOpenings = 1024
	// timeWait is how long an ended connection still answers the caller.
	timeWait = time.Second
	// minimumRetransmission bounds the retransmission timer from below.
	minimumRetransmission = 200 * time.Millisecond
	keepaliveIdle         = time.Minute
	keepaliveInterval     = 15 * time.Second
	keepaliveCount        = 4
)

// Handler is told of callers that open flows. Both methods are called on a
// goroutine of their own and may block.
type Handler interface {
	// OpenTCP must accept or refuse the request.
	OpenTCP(request *Request)
	// OpenUDP is given a flow whose first datagram is ready to be read.
	OpenUDP(caller netip.AddrPort, connection net.Conn)
}

// Stack is the user-space network stack of one service.
type Stack struct {
	stack *stack.Stack
	link  *channel.Endpoint
}

// New returns a stack that answers for every destination address it is given
// packets for. With a nil handler it refuses all flows with a TCP reset.
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
		return errors.Errorf("create interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(interfaceID, true); err != nil {
		return errors.Errorf("accept all destinations: %s", err)
	}
	if err := s.stack.SetSpoofing(interfaceID, true); err != nil {
		return errors.Errorf("answer from all destinations: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	selective := tcpip.TCPSACKEnabled(true)
	retransmission := tcpip.TCPMinRTOOption(minimumRetransmission)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	for _, option := range []tcpip.SettableTransportProtocolOption{&selective, &retransmission, &wait} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return errors.Errorf("set TCP option: %s", err)
		}
	}
	return nil
}

func (s *Stack) handle(handler Handler) {
	tcpForwarder := tcp.NewForwarder(s.stack, 0, maximumOpenings, func(request *tcp.ForwarderRequest) {
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

// Inject gives the stack one IPv4 packet from a caller. It copies the packet.
func (s *Stack) Inject(packet []byte) {
	incoming := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer incoming.DecRef()
	s.link.InjectInbound(ipv4.ProtocolNumber, incoming)
}

// ReadPacket appends the next outgoing IPv4 packet to destination. It blocks until
// there is one, and returns false once ctx has ended.
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

// Close ends all flows and frees the stack.
func (s *Stack) Close() {
	s.stack.Close()
	s.link.Close()
}
