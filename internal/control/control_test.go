package control

import (
	"bytes"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	firstAgent  table.Endpoint = "127.0.0.1:6081"
	secondAgent table.Endpoint = "127.0.0.1:6082"
	thirdAgent  table.Endpoint = "127.0.0.1:6083"
)

func testTable() *table.Table {
	return &table.Table{
		Version:  3,
		Services: []table.Service{{ID: 1, Name: "audio", Address: "198.51.100.1:80", Protocol: table.ProtocolTCP}},
		Backends: []table.Backend{
			{ID: 1, Service: 1, Name: "audio-1", Agent: firstAgent, Weight: 1},
			{ID: 2, Service: 1, Name: "audio-2", Agent: secondAgent, Weight: 1},
		},
	}
}

// tickTo calls Tick at the usual interval from one time until another.
func tickTo(registry *Registry, from, until time.Duration) {
	for now := from; now <= until; now += serverTickInterval {
		registry.Tick(now)
	}
}

// sendHeartbeat delivers a heartbeat of the agent to the registry.
func sendHeartbeat(registry *Registry, now time.Duration, agent table.Endpoint) (Grant, bool) {
	return registry.Receive(now, Heartbeat{Agent: agent, Start: 1, Sequence: 1, Version: 3})
}

var _ = Describe("Registry", func() {
	var registry *Registry

	BeforeEach(func() {
		registry = NewRegistry()
		registry.Tick(0)
		registry.Publish(0, testTable())
	})

	It("sends the agent's part of the table only if the agent holds an older version", func() {
		grant, granted := registry.Receive(0, Heartbeat{Agent: firstAgent, Sequence: 9})
		Expect(granted).To(BeTrue())
		Expect(grant.Sequence).To(Equal(uint64(9)))
		Expect(grant.Table.Backends).To(HaveLen(2))
		grant, _ = sendHeartbeat(registry, 0, firstAgent)
		Expect(grant.Table).To(BeNil())
	})

	DescribeTable("sends the agent's part of the table again only if it has changed",
		func(change func(next *table.Table), agent table.Endpoint, expected bool) {
			next := testTable()
			next.Services = append(next.Services, table.Service{ID: 2, Name: "lookup", Address: "198.51.100.2:80"})
			next.Backends = append(next.Backends, table.Backend{ID: 3, Service: 2, Name: "lookup-1", Agent: thirdAgent})
			registry.Publish(0, next)
			later := next.Clone()
			later.Version++
			change(later)
			registry.Publish(0, later)
			grant, _ := registry.Receive(0, Heartbeat{Agent: agent, Version: next.Version})
			Expect(grant.Version).To(Equal(later.Version))
			Expect(grant.Table != nil).To(Equal(expected))
		},
		Entry("nothing changed: not sent", func(*table.Table) {}, firstAgent, false),
		Entry("another service changed: not sent", func(t *table.Table) { t.Backends[2].Weight = 9 }, firstAgent, false),
		Entry("a row of its service changed: sent", func(t *table.Table) { t.Backends[1].Weight = 9 }, firstAgent, true),
		Entry("its service changed: sent", func(t *table.Table) { t.Services[0].Owner = "b" }, firstAgent, true),
		Entry("its row was removed: sent", func(t *table.Table) { t.Backends = t.Backends[:2] }, thirdAgent, true),
		Entry("its service was removed: sent", func(t *table.Table) {
			t.Services, t.Backends = t.Services[:1], t.Backends[:2]
		}, thirdAgent, true),
		Entry("a row was moved to it: sent", func(t *table.Table) { t.Backends[2].Agent = firstAgent }, firstAgent, true),
	)

	It("reports agents without heartbeats as unknown during warm-up and as down afterwards", func() {
		grant, _ := sendHeartbeat(registry, 0, firstAgent)
		Expect(grant.Unknown).To(Equal([]table.BackendID{2}))
		Expect(grant.Down).To(BeEmpty())
		tickTo(registry, 0, WarmupPeriod)
		grant, _ = sendHeartbeat(registry, WarmupPeriod, firstAgent)
		Expect(grant.Unknown).To(BeEmpty())
		Expect(grant.Down).To(Equal([]table.BackendID{2}))
	})

	It("reports an agent as unavailable only after its lease and the margin have ended", func() {
		tickTo(registry, 0, WarmupPeriod)
		grant, _ := sendHeartbeat(registry, WarmupPeriod, secondAgent)
		lease := time.Duration(grant.LeaseMillis) * time.Millisecond
		sendHeartbeat(registry, WarmupPeriod+lease, firstAgent)
		Expect(registry.Unavailable(WarmupPeriod + lease)).To(BeEmpty())
		Expect(registry.Unavailable(WarmupPeriod + lease + leaseMargin)).To(Equal([]table.BackendID{2}))
	})

	It("reports a leaving agent as unavailable until it restarts", func() {
		tickTo(registry, 0, WarmupPeriod)
		sendHeartbeat(registry, WarmupPeriod, firstAgent)
		registry.Receive(WarmupPeriod, Heartbeat{Agent: secondAgent, Start: 1, Leaving: true})
		Expect(registry.Unavailable(WarmupPeriod)).To(Equal([]table.BackendID{2}))
		registry.Receive(WarmupPeriod, Heartbeat{Agent: secondAgent, Start: 2})
		Expect(registry.Unavailable(WarmupPeriod)).To(BeEmpty())
	})

	It("reports an agent as down as soon as it has left, until it restarts", func() {
		tickTo(registry, 0, WarmupPeriod)
		sendHeartbeat(registry, WarmupPeriod, firstAgent)
		sendHeartbeat(registry, WarmupPeriod, secondAgent)
		Expect(registry.Unavailable(WarmupPeriod)).To(BeEmpty())
		_, granted := registry.Receive(WarmupPeriod, Heartbeat{Agent: secondAgent, Start: 1, Leaving: true, Left: true})
		Expect(granted).To(BeFalse())
		Expect(registry.Unavailable(WarmupPeriod)).To(Equal([]table.BackendID{2}))
		registry.Receive(WarmupPeriod, Heartbeat{Agent: secondAgent, Start: 1, Leaving: true})
		grant, _ := sendHeartbeat(registry, WarmupPeriod, firstAgent)
		Expect(grant.Down).To(Equal([]table.BackendID{2}))
		registry.Receive(WarmupPeriod, Heartbeat{Agent: secondAgent, Start: 2})
		Expect(registry.Unavailable(WarmupPeriod)).To(BeEmpty())
	})

	It("grants no lease after a pause until its table is confirmed, and keeps the unavailable rows", func() {
		tickTo(registry, 0, WarmupPeriod)
		sendHeartbeat(registry, WarmupPeriod, firstAgent)
		Expect(registry.Unavailable(WarmupPeriod)).To(Equal([]table.BackendID{2}))
		resumed := WarmupPeriod + time.Minute
		registry.Tick(resumed)
		_, granted := sendHeartbeat(registry, resumed, firstAgent)
		Expect(granted).To(BeFalse())
		Expect(registry.Unavailable(resumed)).To(Equal([]table.BackendID{2}))
		registry.ConfirmTable()
		_, granted = sendHeartbeat(registry, resumed, firstAgent)
		Expect(granted).To(BeTrue())
	})

	It("grants leases again after pauseGrace if its table is not confirmed", func() {
		registry.Tick(time.Minute)
		_, granted := sendHeartbeat(registry, time.Minute, firstAgent)
		Expect(granted).To(BeFalse())
		tickTo(registry, time.Minute, time.Minute+pauseGrace+serverTickInterval)
		_, granted = sendHeartbeat(registry, time.Minute+pauseGrace+serverTickInterval, firstAgent)
		Expect(granted).To(BeTrue())
	})

	It("uses a heartbeat cost within ten percent of the size of encoded messages", func() {
		const headers = 28
		heartbeat := Heartbeat{Agent: "192.168.100.100:60810", Start: 1 << 60, Sequence: 1 << 20, Version: 1 << 20}
		grant := Grant{Sequence: 1 << 20, Version: 1 << 20, LeaseMillis: 3000, IntervalMillis: 1000}
		sent, err := (&Datagram{Heartbeat: &heartbeat}).MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		answered, err := (&Datagram{Grant: &grant}).MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		size := len(sent) + len(answered) + 2*headers
		Expect(heartbeatCost).To(BeNumerically("~", size, size/10))
	})

	It("returns an error when decoding a forged array length", func() {
		granted, err := (&Datagram{Grant: &Grant{Down: []table.BackendID{1}}}).MarshalMsg(nil)
		Expect(err).NotTo(HaveOccurred())
		// Replaces the header and element of an array that holds only the element 1.
		forged := bytes.Replace(granted, []byte{0x91, 0x01}, []byte{0xdd, 0x10, 0, 0, 0}, 1)
		Expect(forged).NotTo(Equal(granted))
		var datagram Datagram
		_, err = datagram.UnmarshalMsg(forged)
		Expect(err).To(MatchError(msgp.ErrLimitExceeded))
	})

	It("extends the heartbeat interval from minimum to maximum as the number of agents grows", func() {
		Expect(registry.interval()).To(Equal(minInterval))
		for port := range uint16(200) {
			agent := table.Endpoint(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1).String())
			sendHeartbeat(registry, 0, agent)
		}
		Expect(registry.interval()).To(Equal(maxInterval))
	})
})

var _ = Describe("Client", func() {
	daemons := []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:7000"),
		netip.MustParseAddrPort("127.0.0.1:7001"),
	}
	var client *Client

	// answer sends the due heartbeats and delivers the grant of one daemon 100 ms later.
	answer := func(now time.Duration, daemon int, grant Grant) bool {
		for _, outgoing := range client.Tick(now) {
			if outgoing.Daemon == daemons[daemon] {
				grant.Sequence = outgoing.Heartbeat.Sequence
			}
		}
		grant.LeaseMillis = 1000
		grant.IntervalMillis = 250
		return client.Receive(now+100*time.Millisecond, daemons[daemon], grant)
	}

	BeforeEach(func() { client = NewClient(firstAgent, 1, daemons) })

	It("counts the lease from the time the heartbeat was sent", func() {
		Expect(answer(0, 0, Grant{})).To(BeTrue())
		Expect(client.State(time.Second / 2).LeaseUntil).To(Equal(time.Second))
	})

	It("ignores a grant that replies to no heartbeat or one that was already granted", func() {
		Expect(client.Receive(0, daemons[0], Grant{Sequence: 77, LeaseMillis: 1000})).To(BeFalse())
		Expect(answer(0, 0, Grant{})).To(BeTrue())
		Expect(client.Receive(0, daemons[0], Grant{Sequence: 1, LeaseMillis: 1000})).To(BeFalse())
	})

	It("keeps its table when a grant carries an older one", func() {
		newer, older := testTable(), testTable()
		older.Version = 2
		answer(0, 0, Grant{Table: newer, Version: 3})
		answer(time.Second, 1, Grant{Table: older, Version: 2})
		Expect(client.State(time.Second).Table).To(BeIdenticalTo(newer))
	})

	It("sends each daemon at most one heartbeat per 20 ms when Renew is called every millisecond", func() {
		Expect(client.Tick(0)).To(HaveLen(len(daemons)))
		sent := 0
		for now := time.Millisecond; now <= 100*time.Millisecond; now += time.Millisecond {
			client.Renew()
			for _, outgoing := range client.Tick(now) {
				sent++
				client.Receive(now, outgoing.Daemon, Grant{Sequence: outgoing.Heartbeat.Sequence, IntervalMillis: 250})
			}
		}
		Expect(sent).To(Equal(5 * len(daemons)))
	})

	It("keeps its part of the table when a newer version carries no table", func() {
		answer(0, 0, Grant{Table: testTable(), Version: 3})
		answer(time.Second, 1, Grant{Version: 4})
		held := client.State(time.Second).Table
		Expect(held.Version).To(Equal(table.Version(4)))
		Expect(held.Backends).To(Equal(testTable().Backends))
	})

	DescribeTable("reports a row as down if a daemon does and no other daemon reports its agent alive",
		func(first, second Grant, expected bool) {
			answer(0, 0, first)
			answer(300*time.Millisecond, 1, second)
			down := client.State(500 * time.Millisecond).Down
			if expected {
				Expect(down).To(ConsistOf(table.BackendID(2)))
				return
			}
			Expect(down).To(BeEmpty())
		},
		Entry("alive at both daemons: not down", Grant{}, Grant{}, false),
		Entry("down at one daemon, alive at the other: not down", Grant{Down: []table.BackendID{2}}, Grant{}, false),
		Entry("down at both daemons: down", Grant{Down: []table.BackendID{2}}, Grant{Down: []table.BackendID{2}}, true),
		Entry("down at one daemon, unknown to the other: down",
			Grant{Down: []table.BackendID{2}}, Grant{Unknown: []table.BackendID{2}}, true),
		Entry("unknown to both daemons: not down", Grant{Unknown: []table.BackendID{2}}, Grant{Unknown: []table.BackendID{2}}, false),
	)
})
