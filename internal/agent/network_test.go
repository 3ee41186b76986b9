// This file implements the fabric and the balancer of the tests.

package agent_test

import (
	"net"
	"net/netip"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/packet"
	"github.com/vanetiller/vanetiller/internal/table"
)

// route is the agent and the encapsulation with which a balancer sends packets. It
// may be wrong.
type route struct {
	agent   table.Endpoint
	service table.ServiceID
	routing encap.Routing
}

// response is a packet that an agent sent to the fabric.
type response struct {
	from    netip.AddrPort
	summary packet.Summary
	// routed is set if the datagram carries routing or has a form that the
	// fabric does not accept.
	routed bool
}

// testNetwork is a balancer that sends all packets on one route, and a fabric that
// records all responses and delivers those to registered callers.
type testNetwork struct {
	socket *net.UDPConn
	fabric *net.UDPConn

	mutex     sync.Mutex
	encoder   *encap.Encoder
	current   route
	receivers map[netip.Addr]func([]byte)
	responses []response
}

func startNetwork() *testNetwork {
	created := &testNetwork{
		socket:    listenLoopback(),
		fabric:    listenLoopback(),
		encoder:   encap.NewEncoder(),
		receivers: make(map[netip.Addr]func([]byte)),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		created.receiveResponses()
	}()
	DeferCleanup(func() {
		Expect(created.socket.Close()).To(Succeed())
		Expect(created.fabric.Close()).To(Succeed())
		Eventually(ended, waitTimeout).Should(BeClosed())
	})
	return created
}

// receiveBuffer is large enough for the packets of a full TCP window.
const receiveBuffer = 4 << 20

func listenLoopback() *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	Expect(socket.SetReadBuffer(receiveBuffer)).To(Succeed())
	return socket
}

func (n *testNetwork) fabricAddress() netip.AddrPort {
	return n.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// setRoute sets the route for all later packets.
func (n *testNetwork) setRoute(next route) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.current = next
}

// registerReceiver delivers responses to the given address to receiver.
func (n *testNetwork) registerReceiver(caller netip.Addr, receiver func([]byte)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.receivers[caller] = receiver
}

// send sends a caller's packet on the current route.
func (n *testNetwork) send(data []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	datagram := n.encoder.AppendRouted(nil, n.current.service, n.current.routing, data)
	n.write(datagram, n.current.agent)
}

// sendRaw sends a datagram unchanged to an agent.
func (n *testNetwork) sendRaw(datagram []byte, agent table.Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.write(datagram, agent)
}

func (n *testNetwork) write(datagram []byte, agent table.Endpoint) {
	// Errors are ignored: a stopped agent cannot be reached, and callers
	// retransmit.
	_, _ = n.socket.WriteToUDPAddrPort(datagram, agent.AddrPort())
}

func (n *testNetwork) receiveResponses() {
	decoder := encap.NewDecoder()
	packets := packet.NewDecoder()
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := n.fabric.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram, outcome := decoder.Decode(buffer[:count])
		summary, decoded := packets.Decode(datagram.Packet)
		fit := outcome == encap.Decoded && decoded == packet.Decoded && !datagram.Control
		n.deliver(response{from, summary, datagram.HasRouting || !fit}, datagram.Packet)
	}
}

func (n *testNetwork) deliver(received response, data []byte) {
	n.mutex.Lock()
	n.responses = append(n.responses, received)
	receiver := n.receivers[received.summary.Flow.Destination.Addr()]
	n.mutex.Unlock()
	if receiver != nil {
		receiver(data)
	}
}

// responsesTo returns all responses to a caller so far.
func (n *testNetwork) responsesTo(caller netip.AddrPort) []response {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []response
	for _, received := range n.responses {
		if received.summary.Flow.Destination == caller {
			found = append(found, received)
		}
	}
	return found
}

// countResponses returns the numbers of resets and of other responses to a caller.
func (n *testNetwork) countResponses(caller netip.AddrPort) (resets, others int) {
	for _, received := range n.responsesTo(caller) {
		if received.summary.Reset {
			resets++
			continue
		}
		others++
	}
	return resets, others
}
