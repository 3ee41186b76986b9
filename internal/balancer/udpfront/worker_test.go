package udpfront

import (
	"net"
	"net/netip"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// forwardingHandler sends every datagram unchanged to one destination.
type forwardingHandler struct {
	destination netip.AddrPort
	failed      int
}

func (f *forwardingHandler) Handle(datagram, output []byte) (Datagram, bool) {
	return Datagram{Destination: f.destination, Payload: append(output, datagram...)}, true
}

func (f *forwardingHandler) BatchSent(failed int) { f.failed += failed }

// makeKernelRefuseSegments disables checksums on a socket, so that the kernel refuses
// UDP_SEGMENT with EINVAL, as it does for datagrams above the MTU of their path.
func makeKernelRefuseSegments(connection *net.UDPConn) {
	raw, err := connection.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var optionError error
	Expect(raw.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_NO_CHECK, 1)
	})).To(Succeed())
	Expect(optionError).NotTo(HaveOccurred())
}

var _ = Describe("socketWorker", func() {
	sizes := []int{1000, 1000, 1000, 300, 1000, 1, 1, 9000, 9000}

	// handleBatch passes datagrams of these sizes through a worker as one batch.
	handleBatch := func(worker *socketWorker) {
		for i, size := range sizes {
			worker.received[i].N = size
			worker.received[i].Buffers[0][0] = byte(i)
		}
		worker.handle(worker.received[:len(sizes)])
		worker.handler.BatchSent(worker.send(worker.coalescer.takeMessages()))
	}

	expectAllReceived := func(sink *net.UDPConn) {
		GinkgoHelper()
		for i, size := range sizes {
			datagram := receive(sink)
			Expect(datagram).To(HaveLen(size))
			Expect(datagram[0]).To(Equal(byte(i)))
		}
	}

	It("sends coalesced datagrams with unchanged sizes and content", func() {
		sink := listen()
		handler := &forwardingHandler{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		worker := newSocketWorker(listen(), handler)
		handleBatch(worker)
		expectAllReceived(sink)
		Expect(handler.failed).To(BeZero())
		Expect(worker.coalescer.maxSegments).To(Equal(maxSegmentsPerMessage))
	})

	It("sends datagrams individually when the kernel refuses a coalesced message", func() {
		sink := listen()
		sending := listen()
		makeKernelRefuseSegments(sending)
		handler := &forwardingHandler{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		worker := newSocketWorker(sending, handler)
		handleBatch(worker)
		expectAllReceived(sink)
		Expect(handler.failed).To(BeZero())
		Expect(worker.coalescer.maxSegments).To(Equal(maxSegmentsPerMessage), "other paths may accept coalesced messages")
	})

	It("disables coalescing when the path has no checksum offload", func() {
		sink := listen()
		handler := &forwardingHandler{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		worker := newSocketWorker(listen(), handler)
		for range 2 {
			worker.coalescer.add(Datagram{Destination: handler.destination, Payload: make([]byte, 10)})
		}
		refused := worker.coalescer.takeMessages()
		Expect(refused).To(HaveLen(1))
		Expect(worker.retryRefused(&refused[0], os.NewSyscallError("sendmmsg", unix.EIO))).To(BeZero())
		Expect(worker.coalescer.maxSegments).To(Equal(1))
		handleBatch(worker)
		Expect(receive(sink)).To(HaveLen(10))
		Expect(receive(sink)).To(HaveLen(10))
		expectAllReceived(sink)
	})

	It("counts every datagram that the kernel refuses", func() {
		handler := &forwardingHandler{destination: netip.MustParseAddrPort("127.0.0.1:0")}
		handleBatch(newSocketWorker(listen(), handler))
		Expect(handler.failed).To(Equal(len(sizes)))
	})
})

var _ = Describe("Listen", func() {
	It("opens sockets that share a free port", func() {
		listener, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 3)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		Expect(listener.Connections()).To(HaveLen(3))
		Expect(listener.Address().Port()).NotTo(BeZero())
		for _, connection := range listener.Connections() {
			Expect(connection.LocalAddr().(*net.UDPAddr).AddrPort()).To(Equal(listener.Address()))
		}
	})
})
