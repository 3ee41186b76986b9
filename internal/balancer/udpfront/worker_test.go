package udpfront

import (
	"net"
	"net/netip"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// forward sends every datagram to one destination.
type forward struct {
	destination netip.AddrPort
	failed      int
}

func (f *forward) Handle(datagram, output []byte) (Datagram, bool) {
	return Datagram{Destination: f.destination, Payload: append(output, datagram...)}, true
}

func (f *forward) BatchSent(failed int) { f.failed += failed }

// refuseSegments makes the kernel refuse UDP_SEGMENT with EINVAL, as it does
// for datagrams above the MTU of their path.
func refuseSegments(connection *net.UDPConn) {
	raw, err := connection.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var optionError error
	Expect(raw.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_NO_CHECK, 1)
	})).To(Succeed())
	Expect(optionError).NotTo(HaveOccurred())
}

var _ = Describe("pump", func() {
	sizes := []int{1000, 1000, 1000, 300, 1000, 1, 1, 9000, 9000}

	// relayAll passes datagrams of those sizes through a pump as one batch.
	relayAll := func(under *pump) {
		for i, size := range sizes {
			under.received[i].N = size
			under.received[i].Buffers[0][0] = byte(i)
		}
		under.handle(under.received[:len(sizes)])
		under.handler.BatchSent(under.send(under.grouper.finish()))
	}

	expectAll := func(sink *net.UDPConn) {
		GinkgoHelper()
		for i, size := range sizes {
			datagram := receive(sink)
			Expect(datagram).To(HaveLen(size))
			Expect(datagram[0]).To(Equal(byte(i)))
		}
	}

	It("sends grouped datagrams as they were", func() {
		sink := listen()
		handler := &forward{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		under := newPump(listen(), handler)
		relayAll(under)
		expectAll(sink)
		Expect(handler.failed).To(BeZero())
		Expect(under.grouper.segments).To(Equal(maximumSegments))
	})

	It("sends singly where the kernel refuses groups", func() {
		sink := listen()
		sending := listen()
		refuseSegments(sending)
		handler := &forward{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		under := newPump(sending, handler)
		relayAll(under)
		expectAll(sink)
		Expect(handler.failed).To(BeZero())
		Expect(under.grouper.segments).To(Equal(maximumSegments), "other paths may take groups")
	})

	It("stops grouping where there is no checksum offload", func() {
		sink := listen()
		handler := &forward{destination: sink.LocalAddr().(*net.UDPAddr).AddrPort()}
		under := newPump(listen(), handler)
		for range 2 {
			under.grouper.add(Datagram{Destination: handler.destination, Payload: make([]byte, 10)})
		}
		refused := under.grouper.finish()
		Expect(refused).To(HaveLen(1))
		Expect(under.recover(&refused[0], os.NewSyscallError("sendmmsg", unix.EIO))).To(BeZero())
		Expect(under.grouper.segments).To(Equal(1))
		relayAll(under)
		Expect(receive(sink)).To(HaveLen(10))
		Expect(receive(sink)).To(HaveLen(10))
		expectAll(sink)
	})

	It("counts every datagram that the kernel refuses", func() {
		handler := &forward{destination: netip.MustParseAddrPort("127.0.0.1:0")}
		relayAll(newPump(listen(), handler))
		Expect(handler.failed).To(Equal(len(sizes)))
	})
})

var _ = Describe("Listen", func() {
	It("opens sockets that share a free port", func() {
		front, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 3)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(front.Close)
		Expect(front.Connections()).To(HaveLen(3))
		Expect(front.Address().Port()).NotTo(BeZero())
		for _, connection := range front.Connections() {
			Expect(connection.LocalAddr().(*net.UDPAddr).AddrPort()).To(Equal(front.Address()))
		}
	})
})
