// This file implements the real back ends of the contract tests.

package agent_test

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// backend is a listening kernel socket; the connections it accepts wait to be
// taken by the test.
type backend struct {
	listener *net.TCPListener
	accepted chan *net.TCPConn
}

// backlog is more than the connections of any test.
const backlog = 64

func startBackend() *backend {
	return startBackendAt(netip.AddrPortFrom(loopback, 0))
}

func startBackendAt(address netip.AddrPort) *backend {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	Expect(err).NotTo(HaveOccurred())
	started := &backend{listener, make(chan *net.TCPConn, backlog)}
	go func() {
		defer close(started.accepted)
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			started.accepted <- connection
		}
	}()
	DeferCleanup(listener.Close)
	return started
}

func (b *backend) address() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// take waits for the next connection.
func (b *backend) take() *net.TCPConn {
	GinkgoHelper()
	var connection *net.TCPConn
	Eventually(b.accepted, generous).Should(Receive(&connection))
	bound(connection)
	return connection
}

// deadAddress returns an address at which nothing listens.
func deadAddress() netip.AddrPort {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(listener.Close()).To(Succeed()) }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// bound lets a connection that hangs fail its test, and closes it at the end.
func bound(connection net.Conn) {
	GinkgoHelper()
	Expect(connection.SetDeadline(time.Now().Add(generous))).To(Succeed())
	DeferCleanup(func() { _ = connection.Close() })
}
