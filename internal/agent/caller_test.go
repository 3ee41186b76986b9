// This file implements the callers of the tests: single crafted packets and
// complete flows of a user-space network stack.

package agent_test

import (
	"context"
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

// buildPacket serializes an IPv4 packet with correct lengths and checksums. The
// layers must not be changed afterwards, because the checksums cover them.
func buildPacket(protocol layers.IPProtocol, source, destination netip.AddrPort, upper ...gopacket.SerializableLayer) []byte {
	internet := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: source.Addr().AsSlice(), DstIP: destination.Addr().AsSlice(),
	}
	for _, layer := range upper {
		if checksummed, ok := layer.(interface {
			SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
		}); ok {
			Expect(checksummed.SetNetworkLayerForChecksum(internet)).To(Succeed())
		}
	}
	serialized := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	all := append([]gopacket.SerializableLayer{internet}, upper...)
	Expect(gopacket.SerializeLayers(serialized, options, all...)).To(Succeed())
	return serialized.Bytes()
}

// openingSegment returns a packet with the first segment of a TCP flow.
func openingSegment(source, destination netip.AddrPort, sequence uint32) []byte {
	return buildPacket(layers.IPProtocolTCP, source, destination, &layers.TCP{
		SrcPort: layers.TCPPort(source.Port()), DstPort: layers.TCPPort(destination.Port()),
		Seq: sequence, SYN: true, Window: 65535,
	})
}

// udpPacket returns a packet with a UDP datagram.
func udpPacket(source, destination netip.AddrPort, content string) []byte {
	return buildPacket(layers.IPProtocolUDP, source, destination, &layers.UDP{
		SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port()),
	}, gopacket.Payload(content))
}

// caller is a user-space network stack that is attached to the test network.
type caller struct {
	stack *stack.Stack
}

const (
	callerInterface = 1
	callerQueue     = 8192
	callerMTU       = 1400
)

func startCaller(network *testNetwork) *caller {
	created := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
	})
	link := channel.New(callerQueue, callerMTU, "")
	Expect(created.CreateNIC(callerInterface, link)).To(BeNil())
	Expect(created.AddProtocolAddress(callerInterface, tcpip.ProtocolAddress{
		Protocol:          ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddrFrom4(callerAddress.As4()).WithPrefix(),
	}, stack.AddressProperties{})).To(BeNil())
	created.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: callerInterface}})
	network.registerReceiver(callerAddress, func(data []byte) {
		incoming := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
		defer incoming.DecRef()
		link.InjectInbound(ipv4.ProtocolNumber, incoming)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sendPackets(ctx, link, network)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, waitTimeout).Should(BeClosed())
		created.Close()
	})
	return &caller{created}
}

// sendPackets sends the outgoing packets of a caller's stack until ctx ends.
func sendPackets(ctx context.Context, link *channel.Endpoint, network *testNetwork) {
	for outgoing := link.ReadContext(ctx); outgoing != nil; outgoing = link.ReadContext(ctx) {
		network.send(outgoing.ToView().AsSlice())
		outgoing.DecRef()
	}
}

// fullAddress converts an address to the form that the stack uses.
func fullAddress(address netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: callerInterface, Addr: tcpip.AddrFrom4(address.Addr().As4()), Port: address.Port()}
}

// dial opens a TCP flow. It fails if the flow is refused.
func (c *caller) dial(service netip.AddrPort) (*gonet.TCPConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return gonet.DialContextTCP(ctx, c.stack, fullAddress(service), ipv4.ProtocolNumber)
}

// open opens a TCP flow and fails the test if the flow is refused.
func (c *caller) open(service netip.AddrPort) *gonet.TCPConn {
	GinkgoHelper()
	connection, err := c.dial(service)
	Expect(err).NotTo(HaveOccurred())
	setTestDeadline(connection)
	return connection
}

// datagrams returns a UDP socket that is connected to the service.
func (c *caller) datagrams(service netip.AddrPort) net.Conn {
	local, remote := fullAddress(netip.AddrPortFrom(callerAddress, 0)), fullAddress(service)
	socket, err := gonet.DialUDP(c.stack, &local, &remote, ipv4.ProtocolNumber)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(socket.Close)
	return socket
}

// abortConnections resets every connection, as the kernel does when the caller's
// process is killed.
func (c *caller) abortConnections() {
	for _, endpoint := range c.stack.RegisteredEndpoints() {
		endpoint.Abort()
	}
}
