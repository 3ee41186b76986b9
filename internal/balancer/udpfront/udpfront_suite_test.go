package udpfront

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUDPFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "udpfront")
}

const receiveTimeout = 30 * time.Second

func listen() *net.UDPConn {
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.SetReadBuffer(4 << 20)).To(Succeed())
	DeferCleanup(connection.Close)
	return connection
}

func receive(connection *net.UDPConn) []byte {
	buffer := make([]byte, 1<<16)
	Expect(connection.SetReadDeadline(time.Now().Add(receiveTimeout))).To(Succeed())
	count, err := connection.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	return buffer[:count]
}
