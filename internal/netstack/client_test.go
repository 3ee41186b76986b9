// This file implements a caller that sends single segments and reads what the
// stack answers.

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

// generous is how long a test waits for what must happen.
const generous = time.Minute

var (
	service = netip.MustParseAddrPort("198.51.100.7:80")
	other   = netip.MustParseAddrPort("198.51.100.8:443")
	peer    = netip.MustParseAddrPort("203.0.113.9:2000")
)

// firstSequence is the initial sequence number of the crafted caller.
const firstSequence = 1000

// wire joins a crafted caller to a stack.
type wire struct {
	stack *netstack.Stack
	// segment is what is sent next, apart from flags and content.
	segment layers.TCP
	to      netip.AddrPort
}

func newWire(handler netstack.Handler) *wire {
	created, err := netstack.New(handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(created.Close)
	return &wire{stack: created, to: service, segment: layers.TCP{Seq: firstSequence, Window: 65535}}
}

func (w *wire) header(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: net.IP(peer.Addr().AsSlice()), DstIP: net.IP(w.to.Addr().AsSlice()),
	}
}

func (w *wire) inject(parts ...gopacket.SerializableLayer) {
	serialized := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	Expect(gopacket.SerializeLayers(serialized, options, parts...)).To(Succeed())
	w.stack.Inject(serialized.Bytes())
}

// send sends a segment with the flags that set makes.
func (w *wire) send(content string, set func(*layers.TCP)) {
	segment := w.segment
	segment.SrcPort, segment.DstPort = layers.TCPPort(peer.Port()), layers.TCPPort(w.to.Port())
	set(&segment)
	internet := w.header(layers.IPProtocolTCP)
	Expect(segment.SetNetworkLayerForChecksum(internet)).To(Succeed())
	w.inject(internet, &segment, gopacket.Payload(content))
}

func (w *wire) sendDatagram(content string) {
	upper := &layers.UDP{SrcPort: layers.UDPPort(peer.Port()), DstPort: layers.UDPPort(w.to.Port())}
	internet := w.header(layers.IPProtocolUDP)
	Expect(upper.SetNetworkLayerForChecksum(internet)).To(Succeed())
	w.inject(internet, upper, gopacket.Payload(content))
}

// receive waits for the next packet of the stack.
func (w *wire) receive() gopacket.Packet {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	data, more := w.stack.ReadPacket(ctx, nil)
	Expect(more).To(BeTrue(), "no answer")
	return gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.Default)
}

// receiveSegment waits for the next TCP segment, which must be from the address
// that was called and to the caller.
func (w *wire) receiveSegment() *layers.TCP {
	GinkgoHelper()
	received := w.receive()
	internet := received.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	segment := received.Layer(layers.LayerTypeTCP).(*layers.TCP)
	Expect(internet.SrcIP.String()).To(Equal(w.to.Addr().String()))
	Expect(internet.DstIP.String()).To(Equal(peer.Addr().String()))
	Expect(segment.SrcPort).To(BeEquivalentTo(w.to.Port()))
	Expect(segment.DstPort).To(BeEquivalentTo(peer.Port()))
	return segment
}

func synchronize(segment *layers.TCP) { segment.SYN = true }

func acknowledge(segment *layers.TCP) { segment.ACK = true }

func reset(segment *layers.TCP) { segment.RST = true }

// establish answers the stack's part of the handshake.
func (w *wire) establish() {
	GinkgoHelper()
	accepted := w.receiveSegment()
	Expect(accepted.SYN && accepted.ACK && !accepted.RST).To(BeTrue())
	Expect(accepted.Ack).To(BeEquivalentTo(firstSequence + 1))
	w.segment.Seq = firstSequence + 1
	w.segment.Ack = accepted.Seq + 1
	w.send("", acknowledge)
}

// receiveReset skips acknowledgements until the stack resets the connection.
func (w *wire) receiveReset() *layers.TCP {
	GinkgoHelper()
	for {
		segment := w.receiveSegment()
		if segment.RST {
			return segment
		}
		Expect(segment.SYN).To(BeFalse())
	}
}
