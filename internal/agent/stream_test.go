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

// randomBytes returns pseudo-random content that depends only on the seed.
func randomBytes(seed uint64, size int) []byte {
	content := make([]byte, size)
	generator := rand.NewChaCha8([32]byte{byte(seed)})
	_, _ = generator.Read(content)
	return content
}

// writeAll writes content in the background and then calls finish. The returned
// channel receives the result once.
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

// establish starts an environment and opens a flow to its back end.
func establish() (*environment, *gonet.TCPConn, *net.TCPConn) {
	GinkgoHelper()
	service := startBackend()
	started := startEnvironment(service.address(), unchangedTable)
	flow := startCaller(started.network).open(lookupAddress)
	return started, flow, service.nextConnection()
}

func expectMessage(source io.Reader, message string) {
	GinkgoHelper()
	received := make([]byte, len(message))
	_, err := io.ReadFull(source, received)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(received)).To(Equal(message))
}

var _ = Describe("a TCP flow", func() {
	It("reaches the back end, and its responses are sent directly to the fabric", func() {
		env, flow, served := establish()
		exchangeMessages(flow, served)
		address := flow.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
		responses := env.network.responsesTo(netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
		Expect(responses).NotTo(BeEmpty())
		for _, answered := range responses {
			Expect(answered.from).To(Equal(env.endpoint.AddrPort()))
			Expect(answered.routed).To(BeFalse())
			Expect(answered.summary.Flow.Source).To(Equal(lookupAddress))
		}
		Expect(env.agent.counts.dropsByReason()).To(BeEmpty())
		Eventually(env.agent.counts.valueOf(openFlows), waitTimeout).Should(BeEquivalentTo(1))
	})

	// streamSize exceeds the buffers of all sockets on the path, and is several
	// TCP windows.
	const streamSize = 4 << 20

	It("is carried completely in both directions when the caller closes its direction first", func() {
		env, flow, served := establish()
		request, response := randomBytes(1, streamSize), randomBytes(2, streamSize)
		sent := writeAll(flow, request, flow.CloseWrite)
		received, err := io.ReadAll(served)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(received, request)).To(BeTrue())
		Eventually(sent, waitTimeout).Should(Receive(BeNil()))
		answered := writeAll(served, response, served.Close)
		received, err = io.ReadAll(flow)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(received, response)).To(BeTrue())
		Eventually(answered, waitTimeout).Should(Receive(BeNil()))
		Eventually(env.agent.counts.valueOf(openFlows), waitTimeout).Should(BeZero())
	})

	It("is carried completely when the back end closes its direction first", func() {
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
		Eventually(sent, waitTimeout).Should(Receive(BeNil()))
	})

	It("is reset at the back end when its caller aborts", func() {
		service := startBackend()
		env := startEnvironment(service.address(), unchangedTable)
		caller := startCaller(env.network)
		flow := caller.open(lookupAddress)
		served := service.nextConnection()
		exchangeMessages(flow, served)
		caller.abortConnections()
		_, err := served.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Eventually(env.agent.counts.valueOf(openFlows), waitTimeout).Should(BeZero())
	})

	It("is reset at the caller when the back end resets it", func() {
		env, flow, served := establish()
		exchangeMessages(flow, served)
		Expect(served.SetLinger(0)).To(Succeed())
		Expect(served.Close()).To(Succeed())
		_, err := flow.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring((&tcpip.ErrConnectionReset{}).String())))
		Eventually(env.agent.counts.valueOf(openFlows), waitTimeout).Should(BeZero())
	})
})
