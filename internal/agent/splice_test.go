package agent

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longIdleTimeout is long enough for any exchange of messages. shortIdleTimeout ends
// a flow without traffic quickly.
const (
	longIdleTimeout  = time.Minute
	shortIdleTimeout = 10 * time.Millisecond
)

// datagramPair returns two connected UDP sockets. The first socket is closed and
// opened again in between. Its address is random within the loopback network, so
// that no other process takes it in that moment.
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

// deadlineRecorder counts how often the idle time of a connection was restarted.
type deadlineRecorder struct {
	net.Conn
	deadlinesSet atomic.Int32
}

// SetReadDeadline implements net.Conn.
func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadlinesSet.Add(1)
	return d.Conn.SetReadDeadline(deadline)
}

// splice runs spliceDatagrams and returns a channel that is closed when it returns.
func splice(caller, backend net.Conn, idle time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		spliceDatagrams(caller, backend, idle)
	}()
	return ended
}

// expectPassed sends a datagram and checks that it arrives at the other socket.
func expectPassed(from, to net.Conn, content string) {
	GinkgoHelper()
	_, err := from.Write([]byte(content))
	Expect(err).NotTo(HaveOccurred())
	Expect(to.SetReadDeadline(time.Now().Add(longIdleTimeout))).To(Succeed())
	buffer := make([]byte, datagramBufferSize)
	count, err := to.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(buffer[:count])).To(Equal(content))
}

var _ = Describe("spliceDatagrams", func() {
	It("returns when neither direction has traffic for the idle time", func() {
		_, caller := datagramPair()
		_, backend := datagramPair()
		Eventually(splice(caller, backend, shortIdleTimeout), longIdleTimeout).Should(BeClosed())
	})

	It("restarts the idle time of both directions with each datagram of either direction", func() {
		outside, inside := datagramPair()
		near, far := datagramPair()
		caller, backend := &deadlineRecorder{Conn: inside}, &deadlineRecorder{Conn: near}
		ended := splice(caller, backend, longIdleTimeout)
		expectPassed(outside, far, "question")
		Expect(caller.deadlinesSet.Load()).To(BeEquivalentTo(2))
		Expect(backend.deadlinesSet.Load()).To(BeEquivalentTo(2))
		expectPassed(far, outside, "answer")
		Expect(caller.deadlinesSet.Load()).To(BeEquivalentTo(3))
		Expect(backend.deadlinesSet.Load()).To(BeEquivalentTo(3))
		Expect(inside.Close()).To(Succeed())
		Expect(near.Close()).To(Succeed())
		Eventually(ended, longIdleTimeout).Should(BeClosed())
	})
})
