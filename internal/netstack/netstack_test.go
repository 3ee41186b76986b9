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

// datagramFlow holds the arguments of a call of OpenUDP.
type datagramFlow struct {
	caller     netip.AddrPort
	connection net.Conn
}

// testHandler passes all requests and UDP flows to the test.
type testHandler struct {
	requests  chan *netstack.Request
	datagrams chan datagramFlow
	// done ends all calls of OpenTCP when it is closed.
	done chan struct{}
}

const handlerCapacity = 8

func newHandler() *testHandler {
	created := &testHandler{
		requests:  make(chan *netstack.Request, handlerCapacity),
		datagrams: make(chan datagramFlow, handlerCapacity),
		done:      make(chan struct{}),
	}
	DeferCleanup(func() { close(created.done) })
	return created
}

// OpenTCP implements netstack.Handler.
func (h *testHandler) OpenTCP(request *netstack.Request) {
	h.requests <- request
	<-h.done
}

// OpenUDP implements netstack.Handler.
func (h *testHandler) OpenUDP(caller netip.AddrPort, connection net.Conn) {
	h.datagrams <- datagramFlow{caller, connection}
}

// nextRequest waits for the next TCP request.
func (h *testHandler) nextRequest() *netstack.Request {
	GinkgoHelper()
	var received *netstack.Request
	Eventually(h.requests, testTimeout).Should(Receive(&received))
	return received
}

// acceptance is the result of Request.Accept.
type acceptance struct {
	connection *netstack.Connection
	err        error
}

// accept completes the handshake on another goroutine.
func accept(request *netstack.Request) <-chan acceptance {
	result := make(chan acceptance, 1)
	go func() {
		connection, err := request.Accept()
		result <- acceptance{connection, err}
	}()
	return result
}

// connect opens a TCP connection that the handler accepts.
func connect(caller *client, handler *testHandler) *netstack.Connection {
	GinkgoHelper()
	caller.send("", setSYN)
	accepting := accept(handler.nextRequest())
	caller.establish()
	var accepted acceptance
	Eventually(accepting, testTimeout).Should(Receive(&accepted))
	Expect(accepted.err).NotTo(HaveOccurred())
	Expect(accepted.connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return accepted.connection
}

var _ = Describe("Stack", func() {
	DescribeTable("resets every flow to any destination if it has no handler",
		func(destination netip.AddrPort, set func(*layers.TCP)) {
			caller := newClient(nil)
			caller.destination = destination
			caller.send("", set)
			Expect(caller.receiveSegment().RST).To(BeTrue())
		},
		Entry("an opening segment", service, setSYN),
		Entry("an opening segment to another address", otherService, setSYN),
		Entry("a segment of an established flow", service, setACK),
	)

	It("answers a refused request with a reset that acknowledges the opening segment", func() {
		handler := newHandler()
		caller := newClient(handler)
		caller.send("", setSYN)
		request := handler.nextRequest()
		Expect(request.Caller()).To(Equal(clientAddress))
		request.Refuse()
		answer := caller.receiveSegment()
		Expect(answer.RST).To(BeTrue())
		Expect(answer.Ack).To(BeEquivalentTo(initialSequence + 1))
	})

	It("does not answer an ignored request, and calls the handler again for a retransmission", func() {
		handler := newHandler()
		caller := newClient(handler)
		caller.send("", setSYN)
		handler.nextRequest().Ignore()
		caller.send("", setSYN)
		handler.nextRequest().Refuse()
		// The first packet from the stack answers the second request.
		Expect(caller.receiveSegment().RST).To(BeTrue())
	})

	It("calls the handler once for an opening segment that is retransmitted before the decision", func() {
		handler := newHandler()
		caller := newClient(handler)
		caller.send("", setSYN)
		request := handler.nextRequest()
		caller.send("", setSYN)
		request.Refuse()
		Expect(caller.receiveSegment().RST).To(BeTrue())
		Expect(handler.requests).To(BeEmpty())
	})

	It("completes the handshake only once the request is accepted, and transfers data in both directions", func() {
		handler := newHandler()
		caller := newClient(handler)
		connection := connect(caller, handler)
		caller.send("question", setACK)
		received := make([]byte, len("question"))
		_, err := io.ReadFull(connection, received)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).To(Equal("question"))
		_, err = connection.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return string(caller.receiveSegment().Payload) }, testTimeout).Should(Equal("answer"))
	})

	It("returns an error from Accept if the caller resets during the handshake", func() {
		handler := newHandler()
		caller := newClient(handler)
		caller.send("", setSYN)
		accepting := accept(handler.nextRequest())
		Expect(caller.receiveSegment().SYN).To(BeTrue())
		caller.segment.Seq = initialSequence + 1
		caller.send("", setRST)
		var accepted acceptance
		Eventually(accepting, testTimeout).Should(Receive(&accepted))
		Expect(accepted.err).To(HaveOccurred())
	})

	It("sends a reset for an aborted connection", func() {
		handler := newHandler()
		caller := newClient(handler)
		connection := connect(caller, handler)
		connection.Abort()
		Expect(caller.receiveReset().Seq).To(Equal(caller.segment.Ack))
	})

	It("returns an error to the reader after a reset, so that a truncated stream is not taken as complete", func() {
		handler := newHandler()
		caller := newClient(handler)
		connection := connect(caller, handler)
		caller.send("", setRST)
		_, err := connection.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("reset")))
	})

	It("resets a closed connection whose caller does not answer before the timeout", func() {
		handler := newHandler()
		caller := newClient(handler)
		connection := connect(caller, handler)
		Expect(connection.Close()).To(Succeed())
		connection.WaitClosed(time.Millisecond)
		Expect(caller.receiveReset()).NotTo(BeNil())
	})

	It("passes the first datagram of a UDP flow to the handler, and answers from the address it was sent to", func() {
		handler := newHandler()
		caller := newClient(handler)
		caller.destination = otherService
		caller.sendDatagram("question")
		var flow datagramFlow
		Eventually(handler.datagrams, testTimeout).Should(Receive(&flow))
		DeferCleanup(flow.connection.Close)
		Expect(flow.caller).To(Equal(clientAddress))
		buffer := make([]byte, 100)
		Expect(flow.connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		count, err := flow.connection.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer[:count])).To(Equal("question"))
		_, err = flow.connection.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		received := caller.receive()
		Expect(received.Layer(layers.LayerTypeIPv4).(*layers.IPv4).SrcIP.String()).To(Equal(otherService.Addr().String()))
		answer := received.Layer(layers.LayerTypeUDP).(*layers.UDP)
		Expect(answer.SrcPort).To(BeEquivalentTo(otherService.Port()))
		Expect(string(answer.Payload)).To(Equal("answer"))
	})

	It("returns false from ReadPacket if the context is done", func() {
		done, cancel := context.WithCancel(context.Background())
		cancel()
		_, more := newClient(nil).stack.ReadPacket(done, nil)
		Expect(more).To(BeFalse())
	})
})
