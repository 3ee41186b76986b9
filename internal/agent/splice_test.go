package agent

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// idleBound is long enough for any exchange, and idleShort ends at once what
// has no traffic.
const (
	idleBound = time.Minute
	idleShort = 10 * time.Millisecond
)

// datagramPair returns two connected UDP sockets. The address of the first is
// drawn from all of the loopback network: it is free for a moment before the
// socket is connected.
func datagramPair() (*net.UDPConn, *net.UDPConn) {
	GinkgoHelper()
	drawn := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	first, err := net.ListenUDP("udp4", &net.UDPAddr{IP: drawn})
	Expect(err).NotTo(HaveOccurred())
	second, err := net.DialUDP("udp4", nil, first.LocalAddr().(*net.UDPAddr))
	Expect(err).NotTo(HaveOccurred())
	address := first.LocalAddr().(*net.UDPAddr)
	Expect(first.Close()).To(Succeed())
	first, err = net.DialUDP("udp4", address, second.LocalAddr().(*net.UDPAddr))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = first.Close()
		_ = second.Close()
	})
	return first, second
}

// deadlineCounter counts how often the idle time of a connection began anew.
type deadlineCounter struct {
	net.Conn
	moved atomic.Int32
}

// SetReadDeadline implements net.Conn.
func (d *deadlineCounter) SetReadDeadline(deadline time.Time) error {
	d.moved.Add(1)
	return d.Conn.SetReadDeadline(deadline)
}

// splice runs spliceDatagrams and returns a channel that closes at its end.
func splice(caller, backend net.Conn, idle time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		spliceDatagrams(caller, backend, idle)
	}()
	return ended
}

func pass(from, to net.Conn, content string) {
	GinkgoHelper()
	_, err := from.Write([]byte(content))
	Expect(err).NotTo(HaveOccurred())
	Expect(to.SetReadDeadline(time.Now().Add(idleBound))).To(Succeed())
	buffer := make([]byte, datagramBufferSize)
	count, err := to.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(buffer[:count])).To(Equal(content))
}

var _ = Describe("spliceDatagrams", func() {
	It("ends when neither direction has traffic", func() {
		_, caller := datagramPair()
		_, backend := datagramPair()
		Eventually(splice(caller, backend, idleShort), idleBound).Should(BeClosed())
	})

	It("begins the idle time of both directions anew with each datagram of either", func() {
		outside, inside := datagramPair()
		near, far := datagramPair()
		caller, backend := &deadlineCounter{Conn: inside}, &deadlineCounter{Conn: near}
		ended := splice(caller, backend, idleBound)
		pass(outside, far, "question")
		Expect(caller.moved.Load()).To(BeEquivalentTo(2))
		Expect(backend.moved.Load()).To(BeEquivalentTo(2))
		pass(far, outside, "answer")
		Expect(caller.moved.Load()).To(BeEquivalentTo(3))
		Expect(backend.moved.Load()).To(BeEquivalentTo(3))
		Expect(inside.Close()).To(Succeed())
		Expect(near.Close()).To(Succeed())
		Eventually(ended, idleBound).Should(BeClosed())
	})
})
