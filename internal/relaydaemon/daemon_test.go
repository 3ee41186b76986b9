package relaydaemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relaydaemon"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/segment/segmenttest"
	"github.com/vanetiller/vanetiller/internal/settings"
)

func TestRelayDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "RelayDaemon")
}

var codec = segmenttest.Codec{Key: 3}

// fakeStore returns a listing and no changes. If down is set, listings fail.
type fakeStore struct {
	page directory.Page
	down bool
}

func (s fakeStore) List(context.Context, string) (directory.Page, error) {
	if s.down {
		return directory.Page{}, &directory.StoreError{Failure: directory.StoreUnavailable}
	}
	return s.page, nil
}

func (s fakeStore) Watch(ctx context.Context, after directory.Revision, wait time.Duration) (directory.Changes, error) {
	select {
	case <-ctx.Done():
		return directory.Changes{}, &directory.StoreError{Failure: directory.StoreUnreachable}
	case <-time.After(wait):
		return directory.Changes{Through: after}, nil
	}
}

// changingStore returns a listing and, once changes is closed, one change.
type changingStore struct {
	fakeStore
	changes chan struct{}
	change  directory.Changes
}

func (s changingStore) Watch(ctx context.Context, after directory.Revision, wait time.Duration) (directory.Changes, error) {
	changed := s.changes
	if after >= s.change.Through {
		changed = nil
	}
	select {
	case <-changed:
		return s.change, nil
	case <-ctx.Done():
		return directory.Changes{}, &directory.StoreError{Failure: directory.StoreUnreachable}
	case <-time.After(wait):
		return directory.Changes{Through: after}, nil
	}
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// testNetwork holds the ports of one test. All daemons share them, as on a platform;
// machines are addresses of the loopback network.
type testNetwork struct {
	packetPort, peerPort, healthPort, exchangePort, endpointPort, emittedPort, updatePort int
}

func newTestNetwork() testNetwork {
	ports := freePorts(7)
	return testNetwork{ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], ports[6]}
}

func parseSettings(text string) *settings.Settings {
	config, err := settings.Parse("test.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return config
}

func (n testNetwork) balancerSettings(ip string, seeds string) *settings.Settings {
	return parseSettings(fmt.Sprintf(`name = "balancer"
zone = "zone-1"
[observability]
listen = "%[1]s:%[2]d"
[relay]
peers = "%[1]s:%[3]d"
stop_timeout = "2s"
[relay.balancer]
listen = "%[1]s:%[4]d"
store = "127.0.0.1:1"
exchange = "%[1]s:%[5]d"
seeds = [%[6]s]
zones = ["zone-1"]
updates = "%[1]s:%[7]d"
`, ip, n.healthPort, n.peerPort, n.packetPort, n.exchangePort, seeds, n.updatePort))
}

func (n testNetwork) agentSettings(ip string) *settings.Settings {
	return parseSettings(fmt.Sprintf(`name = "agent"
zone = "zone-1"
[observability]
listen = "%[1]s:%[2]d"
[relay]
peers = "%[1]s:%[3]d"
stop_timeout = "2s"
[relay.agent]
service = "lookup"
endpoint = "%[1]s:%[4]d"
emitted = "%[1]s:%[5]d"
first_start = true
`, ip, n.healthPort, n.packetPort, n.endpointPort, n.emittedPort))
}

// start runs a daemon. It returns a function that stops it and a channel that receives the
// result of Run and is then closed.
func start(config *settings.Settings, store directory.Store, log io.Writer) (stop context.CancelFunc, ended chan error) {
	daemon, err := relaydaemon.New(relaydaemon.Dependencies{
		Codec: codec, NewStore: func(netip.AddrPort) directory.Store { return store },
	}, config, log)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() {
		ended <- daemon.Run(ctx)
		close(ended)
	}()
	DeferCleanup(func() {
		cancel()
		for range ended {
			// Run has returned once the channel is closed.
		}
	})
	return cancel, ended
}

func (n testNetwork) healthStatus(ip string) int {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/healthz", ip, n.healthPort))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// scrape returns the metrics of a daemon, or an empty string if it does not answer.
func (n testNetwork) scrape(port int, ip string) string {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", ip, port))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

func listenUDP(ip string, port int) *net.UDPConn {
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(connection.Close)
	Expect(connection.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return connection
}

func receive(connection *net.UDPConn) []byte {
	GinkgoHelper()
	buffer := make([]byte, 2048)
	length, err := connection.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	return buffer[:length]
}

const (
	balancerIP = "127.0.1.1"
	otherIP    = "127.0.1.2"
	agentIP    = "127.0.1.3"
	clientIP   = "127.0.1.4"
)

var route = segment.Address{IP: [4]byte{198, 51, 100, 1}, Port: 443}

func (n testNetwork) storeListing() directory.Page {
	return directory.Page{Revision: 5, Items: []directory.Item{
		{Revision: 1, Configuration: &directory.Configuration{Version: 4, Routes: []directory.Route{{
			IP: route.IP, Port: route.Port, WeightedServices: []directory.WeightedService{{Service: "lookup", Weight: 1}},
		}}}},
		{Revision: 2, EndpointID: directory.NameOnlyID("e-1"), Endpoint: &directory.Endpoint{
			Service: "lookup", IP: [4]byte{127, 0, 1, 3}, Port: uint16(n.endpointPort), Slots: 3,
		}},
	}}
}

var _ = Describe("Daemon", func() {
	var (
		network testNetwork
		log     *logBuffer
	)

	BeforeEach(func() {
		network = newTestNetwork()
		log = &logBuffer{}
	})

	status := func(ip string) func() int { return func() int { return network.healthStatus(ip) } }

	It("relays an opening handshake between a client and an endpoint", func() {
		endpoint := listenUDP(agentIP, network.endpointPort)
		client := listenUDP(clientIP, network.packetPort)
		start(network.agentSettings(agentIP), nil, log)
		start(network.balancerSettings(balancerIP, ""), fakeStore{page: network.storeListing()}, log)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		clientAddress := segment.Address{IP: [4]byte{127, 0, 1, 4}, Port: 5555}
		synPacket := codec.Encode(segment.Header{Source: clientAddress, Destination: route, Flags: segment.Synchronize, Sequence: 9}, nil)
		_, err := client.WriteToUDP(synPacket, &net.UDPAddr{IP: net.ParseIP(balancerIP), Port: network.packetPort})
		Expect(err).NotTo(HaveOccurred())
		Expect(receive(endpoint)).To(Equal(synPacket))
		synAck := codec.Encode(segment.Header{
			Source: route, Destination: clientAddress, Flags: segment.Synchronize | segment.Acknowledge, Sequence: 70, Acknowledgment: 10,
		}, nil)
		_, err = endpoint.WriteToUDP(synAck, &net.UDPAddr{IP: net.ParseIP(agentIP), Port: network.emittedPort})
		Expect(err).NotTo(HaveOccurred())
		Expect(receive(client)).To(Equal(synAck))
		Eventually(log.String).WithTimeout(10 * time.Second).Should(ContainSubstring(`"event":"placed"`))
	})

	It("is not ready without a directory, and ready once a peer provides one while the store is down", func() {
		start(network.balancerSettings(balancerIP, ""), fakeStore{page: network.storeListing()}, log)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		noSeeds := newTestNetwork()
		noSeeds.exchangePort = network.exchangePort
		start(noSeeds.balancerSettings(otherIP, ""), fakeStore{down: true}, io.Discard)
		Eventually(func() int { return noSeeds.healthStatus(otherIP) }).WithTimeout(10 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return noSeeds.healthStatus(otherIP) }).Should(Equal(http.StatusServiceUnavailable))
		second := newTestNetwork()
		second.exchangePort, second.updatePort = network.exchangePort, network.updatePort
		start(second.balancerSettings("127.0.1.5", fmt.Sprintf("%q", fmt.Sprintf("%s:%d", balancerIP, network.exchangePort))), fakeStore{down: true}, log)
		Eventually(func() int { return second.healthStatus("127.0.1.5") }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		Expect(log.String()).To(ContainSubstring(`"msg":"directory fetched"`))
	})

	It("receives changes from another balancer if the store does not respond", func() {
		addedEndpoint := directory.Item{Revision: 6, EndpointID: directory.NameOnlyID("e-2"), Endpoint: &directory.Endpoint{
			Service: "lookup", IP: [4]byte{127, 0, 1, 9}, Port: uint16(network.endpointPort), Slots: 3,
		}}
		store := changingStore{
			fakeStore: fakeStore{page: network.storeListing()}, changes: make(chan struct{}),
			change: directory.Changes{Items: []directory.Item{addedEndpoint}, Through: 6},
		}
		start(network.balancerSettings(balancerIP, ""), store, io.Discard)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		second := network
		second.healthPort = freePort()
		seed := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", balancerIP, network.exchangePort))
		start(second.balancerSettings(otherIP, seed), fakeStore{down: true}, log)
		Eventually(func() int { return second.healthStatus(otherIP) }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		close(store.changes)
		Eventually(log.String).WithTimeout(10 * time.Second).Should(ContainSubstring(`"revision":6`))
	})

	It("loads the directory although a peer stalls in the middle of its response", func() {
		requested := make(chan struct{}, 100)
		release := make(chan struct{})
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.1.6:%d", network.exchangePort))
		Expect(err).NotTo(HaveOccurred())
		stalledServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte("the first half"))
			w.(http.Flusher).Flush()
			requested <- struct{}{}
			<-release
		})}
		go func() { _ = stalledServer.Serve(listener) }()
		DeferCleanup(func() {
			close(release)
			Expect(stalledServer.Close()).To(Succeed())
		})
		seed := fmt.Sprintf("%q", fmt.Sprintf("127.0.1.6:%d", network.exchangePort))
		start(network.balancerSettings(otherIP, seed), fakeStore{down: true}, log)
		Eventually(requested).WithTimeout(10 * time.Second).Should(Receive())
		second := network
		second.healthPort = freePort()
		secondSeed := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", otherIP, network.exchangePort))
		start(second.balancerSettings(balancerIP, secondSeed), fakeStore{page: network.storeListing()}, io.Discard)
		Eventually(status(otherIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	})

	It("resets new flows to a zone that another balancer reports as closed, and logs and exports the closing", func() {
		page := network.storeListing()
		page.Items[1].Endpoint.Zone = "zone-1"
		store := changingStore{
			fakeStore: fakeStore{page: page}, changes: make(chan struct{}),
			change: directory.Changes{Items: []directory.Item{{Revision: 6, Zone: "zone-1", ZoneClosed: true}}, Through: 6},
		}
		start(network.balancerSettings(balancerIP, ""), store, io.Discard)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		second := network
		second.healthPort = freePort()
		seed := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", balancerIP, network.exchangePort))
		start(second.balancerSettings(otherIP, seed), fakeStore{down: true}, log)
		Eventually(func() int { return second.healthStatus(otherIP) }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		close(store.changes)
		Eventually(log.String).WithTimeout(10 * time.Second).Should(ContainSubstring(`"msg":"zone closed to new flows"`))
		client := listenUDP(clientIP, network.packetPort)
		clientAddress := segment.Address{IP: [4]byte{127, 0, 1, 4}, Port: 5555}
		synPacket := codec.Encode(segment.Header{Source: clientAddress, Destination: route, Flags: segment.Synchronize, Sequence: 9}, nil)
		_, err := client.WriteToUDP(synPacket, &net.UDPAddr{IP: net.ParseIP(otherIP), Port: network.packetPort})
		Expect(err).NotTo(HaveOccurred())
		header, _ := codec.Decode(receive(client))
		Expect(header.Flags.Has(segment.Reset)).To(BeTrue())
		Eventually(log.String).WithTimeout(10 * time.Second).Should(ContainSubstring(`"reason":"zone_closed"`))
		Expect(network.scrape(second.healthPort, otherIP)).To(SatisfyAll(
			ContainSubstring("vanetiller_relay_closed_zones 1"), ContainSubstring("vanetiller_relay_closed_zone_endpoints 1")))
	})

	It("reports an unusable store entry once and serves with the other entries", func() {
		page := network.storeListing()
		page.Items = append(page.Items, directory.Item{
			Key: "endpoints/e-9", Revision: 4, EndpointID: directory.NameOnlyID("e-9"), RefusalReason: directory.RefusedWrongType,
		})
		start(network.balancerSettings(balancerIP, ""), fakeStore{page: page}, log)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		refused := MatchRegexp(`"msg":"entry refused".*"entry":"endpoints/e-9","revision":4,"reason":"wrong_type"`)
		Eventually(log.String).WithTimeout(10 * time.Second).Should(refused)
		Expect(network.scrape(network.healthPort, balancerIP)).To(SatisfyAll(
			ContainSubstring(`vanetiller_relay_entries_refused_total{reason="wrong_type"} 1`),
			ContainSubstring(`vanetiller_relay_refused_entries{reason="wrong_type"} 1`),
			ContainSubstring("vanetiller_relay_endpoints 1")))
	})

	It("resets a flow that no endpoint holds, also if only a peer can confirm the directory because the store does not respond", func() {
		client := listenUDP(clientIP, network.packetPort)
		start(network.agentSettings(agentIP), nil, log)
		first := network.balancerSettings(balancerIP, "")
		first.Relay.Balancer.FirstStart = true
		start(first, fakeStore{page: network.storeListing()}, log)
		second := network
		second.healthPort = freePort()
		seed := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", balancerIP, network.exchangePort))
		start(second.balancerSettings(otherIP, seed), fakeStore{down: true}, log)
		Eventually(status(agentIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		for index, ip := range []string{balancerIP, otherIP} {
			health := network
			if ip == otherIP {
				health = second
			}
			Eventually(func() int { return health.healthStatus(ip) }).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
			clientAddress := segment.Address{IP: [4]byte{127, 0, 1, 4}, Port: uint16(6000 + index)}
			stray := codec.Encode(segment.Header{
				Source: clientAddress, Destination: route, Flags: segment.Acknowledge, Sequence: 10, Acknowledgment: 71,
			}, []byte("request"))
			_, err := client.WriteToUDP(stray, &net.UDPAddr{IP: net.ParseIP(ip), Port: network.packetPort})
			Expect(err).NotTo(HaveOccurred())
			header, _ := codec.Decode(receive(client))
			Expect(header.Flags.Has(segment.Reset)).To(BeTrue(), ip)
			Expect(header.Destination).To(Equal(clientAddress))
		}
	})

	It("reports not ready after a stop has begun and keeps serving for a while", func() {
		stop, ended := start(network.balancerSettings(balancerIP, ""), fakeStore{page: network.storeListing()}, log)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		stop()
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		Expect(ended).NotTo(Receive())
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		Expect(log.String()).To(ContainSubstring(`"msg":"daemon stopped"`))
	})

	It("ends the planned stop of an agent as soon as its endpoint has no open flow", func() {
		stop, ended := start(network.agentSettings(agentIP), nil, log)
		Eventually(status(agentIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		stop()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		Expect(log.String()).To(ContainSubstring(`"msg":"agent is idle"`))
	})

	It("exports counters, histograms and the version of the configuration in use", func() {
		scrape := func(ip string) func() string {
			return func() string { return network.scrape(network.healthPort, ip) }
		}
		start(network.agentSettings(agentIP), nil, log)
		start(network.balancerSettings(balancerIP, ""), fakeStore{page: network.storeListing()}, log)
		Eventually(scrape(agentIP)).WithTimeout(10 * time.Second).Should(SatisfyAll(
			ContainSubstring(`vanetiller_relay_events_total{kind="held"} 0`),
			ContainSubstring("vanetiller_relay_wait_seconds_bucket")))
		Eventually(scrape(balancerIP)).WithTimeout(10 * time.Second).Should(SatisfyAll(
			ContainSubstring("vanetiller_relay_configuration_version 4"),
			ContainSubstring(`vanetiller_relay_store_calls_total{kind="listing",outcome="answered"} 1`),
			ContainSubstring("vanetiller_relay_directory_age_seconds"),
			ContainSubstring("vanetiller_relay_endpoints 1")))
	})

	It("switches to another store on reload, and logs whether other changes wait for a restart", func() {
		stores := map[string]directory.Store{
			"127.0.0.1:1": fakeStore{down: true}, "127.0.0.1:2": fakeStore{page: network.storeListing()},
		}
		config := network.balancerSettings(balancerIP, "")
		daemon, err := relaydaemon.New(relaydaemon.Dependencies{
			Codec: codec, NewStore: func(address netip.AddrPort) directory.Store { return stores[address.String()] },
		}, config, log)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- daemon.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(10 * time.Second).Should(Receive())
		})
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusServiceUnavailable))
		changed := network.balancerSettings(balancerIP, "")
		changed.Relay.Balancer.Store = netip.MustParseAddrPort("127.0.0.1:2")
		daemon.Reload(changed)
		Eventually(status(balancerIP)).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
		Expect(log.String()).To(ContainSubstring(`"changes_wait_for_start":false`))
		changed.Relay.FlowLimit++
		daemon.Reload(changed)
		Eventually(log.String).Should(ContainSubstring(`"changes_wait_for_start":true`))
	})

	It("rejects settings without a relay table", func() {
		_, err := relaydaemon.New(relaydaemon.Dependencies{}, &settings.Settings{}, io.Discard)
		Expect(err).To(MatchError(ContainSubstring("relay: is required")))
	})
})
