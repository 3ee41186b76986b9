package netstack_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/netstack"
)

// datagramFlow is what a handler was given for a UDP flow.
type datagramFlow struct {
	caller     netip.AddrPort
	connection net.Conn
}

// handler hands everything to the test.
type handler struct {
	requests  chan *netstack.Request
	datagrams chan datagramFlow
	// done ends the handling of a request.
	done chan struct{}
}

const handlerCapacity = 8

func newHandler() *handler {
	created := &handler{
		requests:  make(chan *netstack.Request, handlerCapacity),
		datagrams: make(chan datagramFlow, handlerCapacity),
		done:      make(chan struct{}),
	}
	DeferCleanup(func() { close(created.done) })
	return created
}

// OpenTCP implements netstack.Handler.
func (h *handler) OpenTCP(request *netstack.Request) {
	h.requests <- request
	<-h.done
}

// OpenUDP implements netstack.Handler.
func (h *handler) OpenUDP(caller netip.AddrPort, connection net.Conn) {
	h.datagrams <- datagramFlow{caller, connection}
}

// request waits for the next request.
func (h *handler) request() *netstack.Request {
	GinkgoHelper()
	var received *netstack.Request
	Eventually(h.requests, generous).Should(Receive(&received))
	return received
}

// acceptance is the result of Request.Accept.
type acceptance struct {
	connection *netstack.Connection
	err        error
}

// accept completes the handshake in the background.
func accept(request *netstack.Request) <-chan acceptance {
	result := make(chan acceptance, 1)
	go func() {
		connection, err := request.Accept()
		result <- acceptance{connection, err}
	}()
	return result
}

// connect opens a connection through the handler.
func connect(caller *wire, handled *handler) *netstack.Connection {
	GinkgoHelper()
	caller.send("", synchronize)
	accepting := accept(handled.request())
	caller.establish()
	var accepted acceptance
	Eventually(accepting, generous).Should(Receive(&accepted))
	Expect(accepted.err).NotTo(HaveOccurred())
	Expect(accepted.connection.SetDeadline(time.Now().Add(generous))).To(Succeed())
	return accepted.connection
}

var _ = Describe("a stack", func() {
	DescribeTable("without a handler resets every flow, whatever address it is for",
		func(destination netip.AddrPort, set func(*layers.TCP)) {
			caller := newWire(nil)
			caller.to = destination
			caller.send("", set)
			Expect(caller.receiveSegment().RST).To(BeTrue())
		},
		Entry("a first segment", service, synchronize),
		Entry("one for another address", other, synchronize),
		Entry("one of an established flow", service, acknowledge),
	)

	It("refuses with a reset that acknowledges the first segment", func() {
		handled := newHandler()
		caller := newWire(handled)
		caller.send("", synchronize)
		request := handled.request()
		Expect(request.Caller()).To(Equal(peer))
		request.Refuse()
		answered := caller.receiveSegment()
		Expect(answered.RST).To(BeTrue())
		Expect(answered.Ack).To(BeEquivalentTo(firstSequence + 1))
	})

	It("says nothing about a request that is ignored, and asks again when it is repeated", func() {
		handled := newHandler()
		caller := newWire(handled)
		caller.send("", synchronize)
		handled.request().Ignore()
		caller.send("", synchronize)
		handled.request().Refuse()
		// The first answer of all is that of the second request.
		Expect(caller.receiveSegment().RST).To(BeTrue())
	})

	It("asks once about a first segment that is repeated meanwhile", func() {
		handled := newHandler()
		caller := newWire(handled)
		caller.send("", synchronize)
		request := handled.request()
		caller.send("", synchronize)
		request.Refuse()
		Expect(caller.receiveSegment().RST).To(BeTrue())
		Expect(handled.requests).To(BeEmpty())
	})

	It("answers the handshake only once the request is accepted, and carries content both ways", func() {
		handled := newHandler()
		caller := newWire(handled)
		connection := connect(caller, handled)
		caller.send("question", acknowledge)
		received := make([]byte, len("question"))
		_, err := io.ReadFull(connection, received)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).To(Equal("question"))
		_, err = connection.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return string(caller.receiveSegment().Payload) }, generous).Should(Equal("answer"))
	})

	It("fails to accept a caller that resets instead of finishing the handshake", func() {
		handled := newHandler()
		caller := newWire(handled)
		caller.send("", synchronize)
		accepting := accept(handled.request())
		Expect(caller.receiveSegment().SYN).To(BeTrue())
		caller.segment.Seq = firstSequence + 1
		caller.send("", reset)
		var accepted acceptance
		Eventually(accepting, generous).Should(Receive(&accepted))
		Expect(accepted.err).To(HaveOccurred())
	})

	It("ends a connection that is aborted with a reset", func() {
		handled := newHandler()
		caller := newWire(handled)
		connection := connect(caller, handled)
		connection.Abort()
		Expect(caller.receiveReset().Seq).To(Equal(caller.segment.Ack))
	})

	It("tells its reader of a reset, so that a cut stream is not taken for a whole one", func() {
		handled := newHandler()
		caller := newWire(handled)
		connection := connect(caller, handled)
		caller.send("", reset)
		_, err := connection.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("reset")))
	})

	It("gives up a closed connection whose caller stays silent", func() {
		handled := newHandler()
		caller := newWire(handled)
		connection := connect(caller, handled)
		Expect(connection.Close()).To(Succeed())
		connection.WaitClosed(time.Millisecond)
		Expect(caller.receiveReset()).NotTo(BeNil())
	})

	It("hands over the first datagram of a UDP flow, and answers from its address", func() {
		handled := newHandler()
		caller := newWire(handled)
		caller.to = other
		caller.sendDatagram("question")
		var flow datagramFlow
		Eventually(handled.datagrams, generous).Should(Receive(&flow))
		DeferCleanup(flow.connection.Close)
		Expect(flow.caller).To(Equal(peer))
		buffer := make([]byte, 100)
		Expect(flow.connection.SetDeadline(time.Now().Add(generous))).To(Succeed())
		count, err := flow.connection.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer[:count])).To(Equal("question"))
		_, err = flow.connection.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		received := caller.receive()
		Expect(received.Layer(layers.LayerTypeIPv4).(*layers.IPv4).SrcIP.String()).To(Equal(other.Addr().String()))
		answered := received.Layer(layers.LayerTypeUDP).(*layers.UDP)
		Expect(answered.SrcPort).To(BeEquivalentTo(other.Port()))
		Expect(string(answered.Payload)).To(Equal("answer"))
	})

	It("has no next packet once the context has ended", func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, more := newWire(nil).stack.ReadPacket(ended, nil)
		Expect(more).To(BeFalse())
	})
})
