// This file implements a test client that sends single segments and reads the answers of
// the stack.

package netstack_test

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/netstack"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = time.Minute

var (
	service       = netip.MustParseAddrPort("198.51.100.7:80")
	otherService  = netip.MustParseAddrPort("198.51.100.8:443")
	clientAddress = netip.MustParseAddrPort("203.0.113.9:2000")
)

// initialSequence is the initial sequence number of the test client.
const initialSequence = 1000

// client is a caller that exchanges packets with a stack.
type client struct {
	stack *netstack.Stack
	// segment holds the header fields of the next segment apart from ports and flags.
	segment     layers.TCP
	destination netip.AddrPort
}

func newClient(handler netstack.Handler) *client {
	created, err := netstack.New(handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(created.Close)
	return &client{stack: created, destination: service, segment: layers.TCP{Seq: initialSequence, Window: 65535}}
}

func (c *client) header(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: net.IP(clientAddress.Addr().AsSlice()), DstIP: net.IP(c.destination.Addr().AsSlice()),
	}
}

func (c *client) inject(parts ...gopacket.SerializableLayer) {
	serialized := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	Expect(gopacket.SerializeLayers(serialized, options, parts...)).To(Succeed())
	c.stack.Inject(serialized.Bytes())
}

// send sends a segment with the given content; set sets its flags.
func (c *client) send(content string, set func(*layers.TCP)) {
	segment := c.segment
	segment.SrcPort, segment.DstPort = layers.TCPPort(clientAddress.Port()), layers.TCPPort(c.destination.Port())
	set(&segment)
	ipHeader := c.header(layers.IPProtocolTCP)
	Expect(segment.SetNetworkLayerForChecksum(ipHeader)).To(Succeed())
	c.inject(ipHeader, &segment, gopacket.Payload(content))
}

func (c *client) sendDatagram(content string) {
	udpHeader := &layers.UDP{SrcPort: layers.UDPPort(clientAddress.Port()), DstPort: layers.UDPPort(c.destination.Port())}
	ipHeader := c.header(layers.IPProtocolUDP)
	Expect(udpHeader.SetNetworkLayerForChecksum(ipHeader)).To(Succeed())
	c.inject(ipHeader, udpHeader, gopacket.Payload(content))
}

// receive waits for the next packet from the stack.
func (c *client) receive() gopacket.Packet {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	data, more := c.stack.ReadPacket(ctx, nil)
	Expect(more).To(BeTrue(), "no answer")
	return gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.Default)
}

// receiveSegment waits for the next TCP segment. It must be sent from the called address to
// the client.
func (c *client) receiveSegment() *layers.TCP {
	GinkgoHelper()
	received := c.receive()
	ipHeader := received.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	segment := received.Layer(layers.LayerTypeTCP).(*layers.TCP)
	Expect(ipHeader.SrcIP.String()).To(Equal(c.destination.Addr().String()))
	Expect(ipHeader.DstIP.String()).To(Equal(clientAddress.Addr().String()))
	Expect(segment.SrcPort).To(BeEquivalentTo(c.destination.Port()))
	Expect(segment.DstPort).To(BeEquivalentTo(clientAddress.Port()))
	return segment
}

func setSYN(segment *layers.TCP) { segment.SYN = true }

func setACK(segment *layers.TCP) { segment.ACK = true }

func setRST(segment *layers.TCP) { segment.RST = true }

// establish completes the handshake after the SYN-ACK of the stack.
func (c *client) establish() {
	GinkgoHelper()
	accepted := c.receiveSegment()
	Expect(accepted.SYN && accepted.ACK && !accepted.RST).To(BeTrue())
	Expect(accepted.Ack).To(BeEquivalentTo(initialSequence + 1))
	c.segment.Seq = initialSequence + 1
	c.segment.Ack = accepted.Seq + 1
	c.send("", setACK)
}

// receiveReset skips segments until the stack resets the connection. None of them may have
// SYN set.
func (c *client) receiveReset() *layers.TCP {
	GinkgoHelper()
	for {
		segment := c.receiveSegment()
		if segment.RST {
			return segment
		}
		Expect(segment.SYN).To(BeFalse())
	}
}
