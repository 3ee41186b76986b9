package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// clock is a clock that a spec sets.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

func livingEndpoint(id string) *endpoint {
	created := &endpoint{id: directory.NameOnlyID(id)}
	created.living.Store(true)
	return created
}

var _ = Describe("ledger", func() {
	var (
		time0  *clock
		judged *ledger
		own    *endpoint
		other  *endpoint
	)
	key := segment.FlowKey{Client: segment.Address{Port: 1}, Service: segment.Address{Port: 2}}

	BeforeEach(func() {
		time0 = &clock{at: time.Minute}
		judged = newLedger(time0.now)
		own, other = livingEndpoint("own"), livingEndpoint("other")
		judged.opened(key, own)
	})

	It("sees a reset of an open flow, unless its endpoint is gone or the flow is closed", func() {
		judged.reset(key)
		Expect(judged.broken.ResetOpenFlows).To(Equal(1))
		own.living.Store(false)
		judged.reset(key)
		own.living.Store(true)
		judged.closed(key)
		judged.reset(key)
		Expect(judged.broken).To(Equal(Violations{ResetOpenFlows: 1}))
	})

	It("sees packets that go astray for two seconds, once for each flow", func() {
		for range 5 {
			judged.arrived(key, other)
			time0.at += 700 * time.Millisecond
		}
		Expect(judged.broken).To(Equal(Violations{MisroutedFlows: 1}))
	})

	It("takes no packets for astray whose flow reaches its endpoint meanwhile, or after a fault", func() {
		for range 5 {
			judged.arrived(key, other)
			judged.arrived(key, own)
			time0.at += 700 * time.Millisecond
		}
		judged.disturb()
		for range 5 {
			judged.arrived(key, other)
			time0.at += 700 * time.Millisecond
		}
		Expect(judged.broken).To(Equal(Violations{}))
	})

	It("sees a request that runs twice, if it must not", func() {
		judged.ran(1, true)
		judged.ran(1, true)
		Expect(judged.broken).To(Equal(Violations{}))
		judged.ran(2, false)
		judged.ran(2, false)
		Expect(judged.broken).To(Equal(Violations{DuplicateRuns: 1}))
	})

	It("sees a new flow at an endpoint that leaves, after its time and in calm", func() {
		judged.left(directory.NameOnlyID("e"))
		time0.at += drainTimeout
		judged.openedAt(directory.NameOnlyID("e"), "")
		Expect(judged.broken).To(Equal(Violations{}))
		time0.at += 2 * drainSlack
		judged.openedAt(directory.NameOnlyID("e"), "")
		Expect(judged.broken).To(Equal(Violations{LateDrainFlows: 1}))
		judged.disturb()
		judged.openedAt(directory.NameOnlyID("e"), "")
		Expect(judged.broken).To(Equal(Violations{LateDrainFlows: 1}))
	})

	It("sees a new flow in a closed zone, after its time and in calm, until it is open again", func() {
		Expect(judged.closeZone("z")).To(BeTrue())
		Expect(judged.closeZone("y")).To(BeFalse(), "one at a time")
		judged.openedAt(directory.NameOnlyID("e"), "z")
		time0.at += closeTimeout + 2*drainSlack
		judged.openedAt(directory.NameOnlyID("e"), "y")
		Expect(judged.broken).To(Equal(Violations{}))
		judged.openedAt(directory.NameOnlyID("e"), "z")
		Expect(judged.broken).To(Equal(Violations{ClosedZoneFlows: 1}))
		judged.openZone()
		judged.openedAt(directory.NameOnlyID("e"), "z")
		Expect(judged.broken.Total()).To(Equal(1))
	})

	It("sees too few served requests after the last fault", func() {
		judged.ended(0, false)
		judged.judge()
		for range 99 {
			judged.ended(time0.at, true)
		}
		judged.ended(time0.at, false)
		var report Result
		judged.conclude(&report)
		Expect(report.Violations.Total()).To(BeZero())
		judged.ended(time0.at, false)
		judged.conclude(&report)
		Expect(report.Violations).To(Equal(Violations{Unrecovered: 1}))
		Expect(report.Requests).To(Equal(102))
		Expect(report.Descriptions).To(HaveLen(1))
	})

	It("counts what it is told of: foreign packets, mixed answers, own exits", func() {
		judged.forged("a client")
		judged.mixed(key)
		judged.ownExit("balancer-1", 2)
		Expect(judged.broken).To(Equal(Violations{InvalidPackets: 1, MismatchedAnswers: 1, UnexpectedExits: 1}))
		Expect(judged.broken.Total()).To(Equal(3))
	})
})

var _ = Describe("schedule", func() {
	It("depends on the seed alone and draws all faults", func() {
		names := func(seed uint64) []string {
			var drawn []string
			for _, next := range schedule(seed, 0, time.Minute, 400) {
				drawn = append(drawn, next.fault.name)
			}
			return drawn
		}
		Expect(names(7)).To(Equal(names(7)))
		Expect(names(7)).NotTo(Equal(names(8)))
		for _, each := range faults {
			Expect(names(7)).To(ContainElement(each.name))
		}
	})
})

var _ = Describe("load", func() {
	It("has endpoints of unlike speed in each service", func() {
		machine := 0
		for _, spec := range services {
			found := make(map[time.Duration]bool)
			for range spec.endpoints {
				found[slownessOf(machine)] = true
				machine++
			}
			Expect(len(found)).To(BeNumerically(">", 1), spec.name)
		}
	})

	It("opens kept flows that all rest for as long, with requests of their own", func() {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		w := &world{ledger: newLedger(func() time.Duration { return 0 }), fabric: newFabric(70, 0)}
		host := &clientHost{world: w, socket: socket, port: firstFlowPort, flows: make(map[uint16]*flow)}
		w.clients = []*clientHost{host}
		w.askAtOnce(rand.New(rand.NewPCG(1, 2)))
		host.mutex.Lock()
		defer host.mutex.Unlock()
		numbers := make(map[uint64]bool)
		for _, each := range host.flows {
			Expect(each.request.rest).To(Equal(keptRest))
			numbers[each.request.number] = true
		}
		Expect(numbers).To(HaveLen(keptAtOnce))
	})
})

var _ = Describe("daemon", func() {
	It("is not started again if its machine is removed while it is away", func() {
		judged := newLedger(func() time.Duration { return 0 })
		removed := &daemon{binary: "/absent", base: GinkgoT().TempDir() + "/agent", ledger: judged}
		removed.remove()
		removed.run(context.Background())
		Expect(removed.process).To(BeNil())
		Expect(judged.broken).To(Equal(Violations{}), "there was nothing to start")
	})
})

var _ = Describe("fabric", func() {
	key := func(number int) segment.FlowKey {
		return segment.FlowKey{Client: segment.Address{Port: uint16(number)}, Service: routeAddress(0)}
	}
	// targets counts where flows of a zone go.
	targets := func(f *fabric, zone int) map[netip.AddrPort]int {
		counts := make(map[netip.AddrPort]int)
		for number := range 300 {
			to, exists := f.route(zone, key(number))
			Expect(exists).To(BeTrue())
			counts[to]++
		}
		return counts
	}

	It("uses the zone's balancers that are in, and others if there is none", func() {
		f := newFabric(70, 5)
		Expect(targets(f, 0)).To(HaveLen(2))
		f.missed[0] = missedProbes
		Expect(targets(f, 0)).To(HaveLen(1))
		f.missed[3] = missedProbes
		Expect(targets(f, 0)).To(HaveLen(3))
	})

	It("moves only the flows of a balancer that drops out", func() {
		f := newFabric(70, 5)
		moved := 0
		for number := range 300 {
			before, _ := f.route(1, key(number))
			f.missed[4] = missedProbes
			after, _ := f.route(1, key(number))
			f.missed[4] = 0
			if before != after {
				moved++
				Expect(before).To(Equal(f.network.addrPort(netBalancers, 4, packetPort)))
			}
		}
		Expect(moved).To(BeNumerically("~", 150, 60))
	})
})

var _ = Describe("Link", func() {
	var (
		link   *Proxy
		server *httptest.Server
	)

	BeforeEach(func() {
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
		DeferCleanup(server.Close)
		var err error
		link, err = NewProxy(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			link.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-ended
		})
	})

	// call returns what the server answers through the link.
	call := func(patience time.Duration) (string, error) {
		client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + link.listener.Addr().String())
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	It("carries bytes both ways, and again after it was cut", func() {
		Expect(call(time.Minute)).To(Equal("answer"))
		for _, mode := range []ProxyMode{ProxyResponsesBlocked, ProxyRequestsBlocked, ProxyBlocked} {
			link.SetMode(mode)
			_, err := call(50 * time.Millisecond)
			Expect(err).To(HaveOccurred())
		}
		link.SetMode(ProxyDelayed)
		Expect(call(time.Minute)).To(Equal("answer"))
		link.SetMode(ProxyForwarding)
		Expect(call(time.Minute)).To(Equal("answer"))
	})

	It("lets open connections go silent without an end, while new ones work", func() {
		connection, err := net.Dial("tcp4", link.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		ask := func() error {
			_, err := connection.Write([]byte("GET / HTTP/1.1\r\nHost: server\r\n\r\n"))
			return err
		}
		Expect(ask()).To(Succeed())
		_, err = connection.Read(make([]byte, 1024))
		Expect(err).NotTo(HaveOccurred())
		link.StallOpen()
		Expect(ask()).To(Succeed())
		Expect(connection.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err = connection.Read(make([]byte, 1024))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(call(time.Minute)).To(Equal("answer"))
	})

	It("resets connections", func() {
		connection, err := net.Dial("tcp4", link.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = connection.Write([]byte("GET / HTTP/1.1\r\nHost: server\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		_, err = connection.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		link.Reset()
		Eventually(func() error {
			_, err := connection.Write([]byte("x"))
			return err
		}).WithTimeout(time.Minute).Should(HaveOccurred())
	})
})

var _ = Describe("stand-in endpoint", func() {
	It("returns packets of flows that it does not hold and answers those that it does", func() {
		w := &world{codec: platformtest.Codec{Key: 3}, ledger: newLedger(func() time.Duration { return 0 })}
		agent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(agent.Close)
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		at := &endpoint{
			world: w, id: directory.NameOnlyID("e-1"), socket: socket, agent: agent.LocalAddr().(*net.UDPAddr), flows: make(map[segment.FlowKey]*heldFlow),
		}
		at.living.Store(true)
		DeferCleanup(at.end)
		client := segment.Address{IP: [4]byte{127, 0, 0, 2}, Port: 30001}
		receive := func() (segment.Header, []byte) {
			buffer := make([]byte, 2048)
			count, err := agent.Read(buffer)
			Expect(err).NotTo(HaveOccurred())
			header, _ := w.codec.Decode(buffer[:count])
			return header, w.codec.Data(buffer[:count])
		}
		write := func(flags segment.Flags, acknowledgment uint32, data []byte) {
			at.receive(w.codec.Encode(segment.Header{
				Source: client, Destination: routeAddress(0), Flags: flags, Sequence: 7, Acknowledgment: acknowledgment,
			}, data))
		}
		write(segment.Acknowledge, 5, []byte("stray"))
		stray, _ := receive()
		Expect(stray.Flags.Has(segment.Returned)).To(BeTrue())
		write(segment.Synchronize, 0, nil)
		answer, _ := receive()
		Expect(answer.Flags).To(Equal(segment.Synchronize | segment.Acknowledge))
		write(segment.Acknowledge, answer.Sequence+1, []byte{0, 0, 0, 0, 0, 0, 0, 9, 1})
		_, data := receive()
		Expect(data[offsetKind]).To(Equal(answerServed))
		Expect(data[offsetRequest+7]).To(Equal(byte(9)))
		Expect(w.codec.Answer(w.codec.Encode(segment.Header{}, data)).Kind).To(Equal(segment.AnswerSuccess))
		Expect(w.ledger.runs).To(HaveKeyWithValue(uint64(9), 1))
		at.receive(append(w.codec.Encode(segment.Header{Source: client, Destination: routeAddress(0)}, nil)[:35], 9))
		Expect(w.ledger.broken.InvalidPackets).To(Equal(1))
	})
})
