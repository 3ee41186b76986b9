// This file implements the back ends of the tests.

package agent_test

import (
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// backend is a listening kernel socket. Accepted connections are queued for the
// test.
type backend struct {
	listener *net.TCPListener
	accepted chan *net.TCPConn
}

// backlog exceeds the number of connections of any test.
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

// nextConnection waits for the next accepted connection.
func (b *backend) nextConnection() *net.TCPConn {
	GinkgoHelper()
	var connection *net.TCPConn
	Eventually(b.accepted, waitTimeout).Should(Receive(&connection))
	setTestDeadline(connection)
	return connection
}

// deadAddress returns an address on which nothing listens.
func deadAddress() netip.AddrPort {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(listener.Close()).To(Succeed()) }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// setTestDeadline makes a test fail if its connection hangs, and closes the
// connection at the end of the test.
func setTestDeadline(connection net.Conn) {
	GinkgoHelper()
	Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	DeferCleanup(func() { _ = connection.Close() })
}
