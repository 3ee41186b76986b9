package transport_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/transport"
)

// eventTimeout is generous, since real sockets are involved and no test checks speed.
const eventTimeout = time.Minute

func TestTransport(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "membership transport")
}

// runner is a running endpoint and the events it reported.
type runner struct {
	endpoint *transport.Endpoint
	cancel   context.CancelFunc
	ended    chan error

	mutex  sync.Mutex
	events map[membership.EffectKind][]membership.Address
}

func start(number uint64, seeds ...membership.Address) *runner {
	started := &runner{ended: make(chan error, 1), events: make(map[membership.EffectKind][]membership.Address)}
	self := membership.Identity{Zone: membership.Zone(number % 2), Incarnation: membership.Incarnation(number + 1)}
	endpoint, err := transport.New(transport.Config{
		Listen:     netip.MustParseAddrPort("127.0.0.1:0"),
		Membership: membership.DefaultConfig(self, rand.New(rand.NewPCG(number, 0))),
		OnEvent:    started.record,
		Logger:     log.New(io.Discard),
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	endpoint.SetSeeds(seeds)
	started.endpoint = endpoint
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	go func() { started.ended <- endpoint.Run(ctx) }()
	return started
}

func (r *runner) record(event membership.Effect) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events[event.Kind] = append(r.events[event.Kind], event.Member.Address)
}

func (r *runner) recorded(kind membership.EffectKind) func() []membership.Address {
	return func() []membership.Address {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return append([]membership.Address(nil), r.events[kind]...)
	}
}

func (r *runner) stop() {
	r.cancel()
	gomega.Eventually(r.ended, eventTimeout).Should(gomega.Receive(gomega.BeNil()))
}

func (r *runner) address() membership.Address { return r.endpoint.Self().Address }

var _ = ginkgo.Describe("Endpoint", func() {
	ginkgo.BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() { gomega.Expect(goleak.Find(leaks)).To(gomega.Succeed()) })
	})

	ginkgo.It("joins through a seed, delivers attachments and announces that it leaves", func() {
		first := start(0)
		second := start(1, first.address())
		third := start(2, first.address())
		for _, member := range []*runner{first, second, third} {
			gomega.Eventually(member.endpoint.Members, eventTimeout).Should(gomega.HaveLen(3))
		}
		third.endpoint.SetAttachment([]byte("version"))
		gomega.Eventually(first.recorded(membership.EffectAttachment), eventTimeout).Should(gomega.ContainElement(third.address()))

		departing := third.address()
		third.stop()
		for _, member := range []*runner{first, second} {
			ended := func() []membership.Address {
				return append(member.recorded(membership.EffectLeft)(), member.recorded(membership.EffectFailed)()...)
			}
			gomega.Eventually(ended, eventTimeout).Should(gomega.ContainElement(departing))
		}
		first.stop()
		second.stop()
	})

	ginkgo.It("continues to work after datagrams that are not messages", func() {
		first := start(0)
		connection, err := net.Dial("udp4", first.address().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, datagram := range [][]byte{{}, {0xc1}, make([]byte, 4000), []byte("hello")} {
			_, err := connection.Write(datagram)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(connection.Close()).To(gomega.Succeed())
		second := start(1, first.address())
		gomega.Eventually(first.endpoint.Members, eventTimeout).Should(gomega.HaveLen(2))
		second.stop()
		first.stop()
	})

	ginkgo.DescribeTable("returns an error for an address that other daemons cannot use",
		func(listen string) {
			_, err := transport.New(transport.Config{Listen: netip.MustParseAddrPort(listen)})
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("IPv4")))
		},
		ginkgo.Entry("unspecified address", "0.0.0.0:7000"),
		ginkgo.Entry("IPv6 address", "[::1]:7000"),
	)
})
