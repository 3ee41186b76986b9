package agent_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
)

// randomBytes returns the same content on every run.
func randomBytes(seed uint64, size int) []byte {
	content := make([]byte, size)
	generator := rand.NewChaCha8([32]byte{byte(seed)})
	_, _ = generator.Read(content)
	return content
}

// writeAll writes in the background; the result is received once.
func writeAll(destination io.Writer, content []byte, finish func() error) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := destination.Write(content)
		if err == nil {
			err = finish()
		}
		result <- err
	}()
	return result
}

// establish opens a flow to the only back end of a site.
func establish() (*site, *gonet.TCPConn, *net.TCPConn) {
	GinkgoHelper()
	service := startBackend()
	started := startSite(service.address(), unadjusted)
	flow := startCaller(started.carrier).open(lookupAddress)
	return started, flow, service.take()
}

func expectMessage(source io.Reader, message string) {
	GinkgoHelper()
	received := make([]byte, len(message))
	_, err := io.ReadFull(source, received)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(received)).To(Equal(message))
}

var _ = Describe("a TCP flow", func() {
	It("is carried to the back end and answered straight to the fabric", func() {
		site, flow, served := establish()
		exchangeMessages(flow, served)
		address := flow.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
		answers := site.carrier.answersTo(netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
		Expect(answers).NotTo(BeEmpty())
		for _, answered := range answers {
			Expect(answered.from).To(Equal(site.endpoint.AddrPort()))
			Expect(answered.routed).To(BeFalse())
			Expect(answered.summary.Flow.Source).To(Equal(lookupAddress))
		}
		Expect(site.agent.counts.drops()).To(BeEmpty())
		Eventually(site.agent.counts.of(openFlows), generous).Should(BeEquivalentTo(1))
	})

	// More than the buffers of all sockets on the way hold.
	// Enough for several windows of TCP.
	const streamSize = 4 << 20

	It("is carried whole in both directions, each ended on its own by the caller first", func() {
		site, flow, served := establish()
		request, response := randomBytes(1, streamSize), randomBytes(2, streamSize)
		sent := writeAll(flow, request, flow.CloseWrite)
		received, err := io.ReadAll(served)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(received, request)).To(BeTrue())
		Eventually(sent, generous).Should(Receive(BeNil()))
		answered := writeAll(served, response, served.Close)
		received, err = io.ReadAll(flow)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(received, response)).To(BeTrue())
		Eventually(answered, generous).Should(Receive(BeNil()))
		Eventually(site.agent.counts.of(openFlows), generous).Should(BeZero())
	})

	It("is carried whole when the back end ends its direction first", func() {
		_, flow, served := establish()
		_, err := served.Write([]byte("greeting"))
		Expect(err).NotTo(HaveOccurred())
		Expect(served.CloseWrite()).To(Succeed())
		greeting, err := io.ReadAll(flow)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(greeting)).To(Equal("greeting"))
		request := randomBytes(3, streamSize)
		sent := writeAll(flow, request, flow.Close)
		received, err := io.ReadAll(served)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(received, request)).To(BeTrue())
		Eventually(sent, generous).Should(Receive(BeNil()))
	})

	It("ends at the back end with a reset when its caller goes away", func() {
		service := startBackend()
		site := startSite(service.address(), unadjusted)
		caller := startCaller(site.carrier)
		flow := caller.open(lookupAddress)
		served := service.take()
		exchangeMessages(flow, served)
		caller.abandon()
		_, err := served.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Eventually(site.agent.counts.of(openFlows), generous).Should(BeZero())
	})

	It("ends at the caller with a reset when the back end resets it", func() {
		site, flow, served := establish()
		exchangeMessages(flow, served)
		Expect(served.SetLinger(0)).To(Succeed())
		Expect(served.Close()).To(Succeed())
		_, err := flow.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring((&tcpip.ErrConnectionReset{}).String())))
		Eventually(site.agent.counts.of(openFlows), generous).Should(BeZero())
	})
})
