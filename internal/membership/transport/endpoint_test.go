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

// patience bounds what real sockets need; nothing is judged by speed.
const patience = time.Minute

func TestTransport(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "membership transport")
}

// runner is an endpoint that runs, and the events it reported.
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
		OnEvent:    started.note,
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

func (r *runner) note(event membership.Effect) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events[event.Kind] = append(r.events[event.Kind], event.Member.Address)
}

func (r *runner) noted(kind membership.EffectKind) func() []membership.Address {
	return func() []membership.Address {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return append([]membership.Address(nil), r.events[kind]...)
	}
}

func (r *runner) stop() {
	r.cancel()
	gomega.Eventually(r.ended, patience).Should(gomega.Receive(gomega.BeNil()))
}

func (r *runner) address() membership.Address { return r.endpoint.Self().Address }

var _ = ginkgo.Describe("an endpoint", func() {
	ginkgo.BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		ginkgo.DeferCleanup(func() { gomega.Expect(goleak.Find(leaks)).To(gomega.Succeed()) })
	})

	ginkgo.It("joins through a seed, carries attachments and leaves", func() {
		first := start(0)
		second := start(1, first.address())
		third := start(2, first.address())
		for _, member := range []*runner{first, second, third} {
			gomega.Eventually(member.endpoint.Members, patience).Should(gomega.HaveLen(3))
		}
		third.endpoint.SetAttachment([]byte("version"))
		gomega.Eventually(first.noted(membership.EffectAttachment), patience).Should(gomega.ContainElement(third.address()))

		departing := third.address()
		third.stop()
		for _, member := range []*runner{first, second} {
			ended := func() []membership.Address {
				return append(member.noted(membership.EffectLeft)(), member.noted(membership.EffectFailed)()...)
			}
			gomega.Eventually(ended, patience).Should(gomega.ContainElement(departing))
		}
		first.stop()
		second.stop()
	})

	ginkgo.It("survives datagrams that are no messages", func() {
		first := start(0)
		connection, err := net.Dial("udp4", first.address().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, datagram := range [][]byte{{}, {0xc1}, make([]byte, 4000), []byte("hello")} {
			_, err := connection.Write(datagram)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(connection.Close()).To(gomega.Succeed())
		second := start(1, first.address())
		gomega.Eventually(first.endpoint.Members, patience).Should(gomega.HaveLen(2))
		second.stop()
		first.stop()
	})

	ginkgo.DescribeTable("refuses an address that others cannot use",
		func(listen string) {
			_, err := transport.New(transport.Config{Listen: netip.MustParseAddrPort(listen)})
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("IPv4")))
		},
		ginkgo.Entry("every interface", "0.0.0.0:7000"),
		ginkgo.Entry("IPv6", "[::1]:7000"),
	)
})
