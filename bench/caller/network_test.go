package caller_test

import (
	"context"
	"io"
	"net"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// testNetwork is a network with one agent. It accepts every connection of the callers and forwards
// it to the back end that chooseBackend returns. It refuses a connection if chooseBackend returns
// the zero address.
type testNetwork struct {
	stack         *stack.Stack
	link          *channel.Endpoint
	receivers     map[netip.Addr]func([]byte)
	chooseBackend func() netip.AddrPort
}

func newTestNetwork(chooseBackend func() netip.AddrPort) *testNetwork {
	created := &testNetwork{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link:          channel.New(1024, 1400, ""),
		receivers:     make(map[netip.Addr]func([]byte)),
		chooseBackend: chooseBackend,
	}
	Expect(created.stack.CreateNIC(1, created.link)).To(BeNil())
	Expect(created.stack.SetPromiscuousMode(1, true)).To(BeNil())
	Expect(created.stack.SetSpoofing(1, true)).To(BeNil())
	created.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: 1}})
	forwarder := tcp.NewForwarder(created.stack, 0, 64, created.accept)
	created.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	ctx, cancel := context.WithCancel(context.Background())
	go created.deliverAnswers(ctx)
	DeferCleanup(cancel)
	return created
}

func (n *testNetwork) accept(request *tcp.ForwarderRequest) {
	target := n.chooseBackend()
	if !target.IsValid() {
		request.Complete(true)
		return
	}
	upstream, err := net.Dial("tcp4", target.String())
	if err != nil {
		request.Complete(true)
		return
	}
	var queue waiter.Queue
	endpoint, refusal := request.CreateEndpoint(&queue)
	request.Complete(false)
	if refusal != nil {
		upstream.Close()
		return
	}
	downstream := gonet.NewTCPConn(&queue, endpoint)
	go splice(upstream, downstream)
	go splice(downstream, upstream)
}

func splice(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	to.Close()
	from.Close()
}

// Inject implements caller.Network.
func (n *testNetwork) Inject(packet []byte) {
	incoming := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer incoming.DecRef()
	n.link.InjectInbound(ipv4.ProtocolNumber, incoming)
}

// Attach implements caller.Network.
func (n *testNetwork) Attach(address netip.Addr, receiver func([]byte)) {
	n.receivers[address] = receiver
}

func (n *testNetwork) deliverAnswers(ctx context.Context) {
	for {
		outgoing := n.link.ReadContext(ctx)
		if outgoing == nil {
			return
		}
		view := outgoing.ToView()
		destination := header.IPv4(view.AsSlice()).DestinationAddress()
		n.receivers[netip.AddrFrom4(destination.As4())](view.AsSlice())
		view.Release()
		outgoing.DecRef()
	}
}
