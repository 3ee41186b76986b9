// This file implements the fabric and the balancer of the contract tests.

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

// route is where a balancer sends the packets of callers, right or wrong.
type route struct {
	agent   table.Endpoint
	service table.ServiceID
	routing encap.Routing
}

// answer is a packet that an agent sent to the fabric.
type answer struct {
	from    netip.AddrPort
	summary packet.Summary
	// routed is set if the datagram went through a balancer or came in a form
	// that the fabric does not take.
	routed bool
}

// network is a balancer that sends everything to one row, and a fabric that
// hands the answers to a caller's stack and remembers those to others.
type network struct {
	socket *net.UDPConn
	fabric *net.UDPConn

	mutex     sync.Mutex
	encoder   *encap.Encoder
	current   route
	receivers map[netip.Addr]func([]byte)
	answers   []answer
}

func startNetwork() *network {
	created := &network{
		socket:    listenLoopback(),
		fabric:    listenLoopback(),
		encoder:   encap.NewEncoder(),
		receivers: make(map[netip.Addr]func([]byte)),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		created.receiveAnswers()
	}()
	DeferCleanup(func() {
		Expect(created.socket.Close()).To(Succeed())
		Expect(created.fabric.Close()).To(Succeed())
		Eventually(ended, generous).Should(BeClosed())
	})
	return created
}

// receiveBuffer holds the packets of one flow's whole window.
const receiveBuffer = 4 << 20

func listenLoopback() *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback.AsSlice()})
	Expect(err).NotTo(HaveOccurred())
	Expect(socket.SetReadBuffer(receiveBuffer)).To(Succeed())
	return socket
}

func (n *network) fabricAddress() netip.AddrPort {
	return n.fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// use makes the balancer send packets on another way from now on.
func (n *network) use(next route) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.current = next
}

// attach gives answers to the address to a caller's stack.
func (n *network) attach(caller netip.Addr, receiver func([]byte)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.receivers[caller] = receiver
}

// send carries one packet of a caller by the current route.
func (n *network) send(data []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	datagram := n.encoder.AppendRouted(nil, n.current.service, n.current.routing, data)
	n.write(datagram, n.current.agent)
}

// sendRaw sends a datagram as it is to an agent.
func (n *network) sendRaw(datagram []byte, agent table.Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.write(datagram, agent)
}

func (n *network) write(datagram []byte, agent table.Endpoint) {
	// An agent that has stopped cannot be reached; callers retransmit.
	_, _ = n.socket.WriteToUDPAddrPort(datagram, agent.AddrPort())
}

func (n *network) receiveAnswers() {
	decoder := encap.NewDecoder()
	packets := packet.NewDecoder()
	buffer := make([]byte, maximumDatagram)
	for {
		count, from, err := n.fabric.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		datagram, outcome := decoder.Decode(buffer[:count])
		summary, decoded := packets.Decode(datagram.Packet)
		fit := outcome == encap.Decoded && decoded == packet.Decoded && !datagram.Control
		n.deliver(answer{from, summary, datagram.HasRouting || !fit}, datagram.Packet)
	}
}

func (n *network) deliver(received answer, data []byte) {
	n.mutex.Lock()
	n.answers = append(n.answers, received)
	receiver := n.receivers[received.summary.Flow.Destination.Addr()]
	n.mutex.Unlock()
	if receiver != nil {
		receiver(data)
	}
}

// answersTo returns the answers to a caller so far.
func (n *network) answersTo(caller netip.AddrPort) []answer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []answer
	for _, received := range n.answers {
		if received.summary.Flow.Destination == caller {
			found = append(found, received)
		}
	}
	return found
}

// resetsTo returns the number of resets that a caller was sent, and the number
// of other answers.
func (n *network) resetsTo(caller netip.AddrPort) (resets, others int) {
	for _, received := range n.answersTo(caller) {
		if received.summary.Reset {
			resets++
			continue
		}
		others++
	}
	return resets, others
}
