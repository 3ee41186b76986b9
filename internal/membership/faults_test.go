package membership_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
)

const (
	// detectionLimit is the time within which all members must have recorded a failure.
	detectionLimit = 30 * time.Second
	// partitionMergeLimit is the time within which views must agree after a partition.
	partitionMergeLimit = 90 * time.Second
	hour                = time.Hour
)

var _ = ginkgo.Describe("A fleet with faults", func() {
	var cluster *fleet

	agree := func(limit time.Duration) {
		ginkgo.GinkgoHelper()
		_, wrong := cluster.runUntilAgreed(limit)
		gomega.Expect(wrong).To(gomega.BeEmpty())
	}
	countAll := func(kind membership.EffectKind) int { return countEffects(cluster, kind) }
	resetEffectCounts := func() {
		for _, observed := range cluster.running() {
			clear(observed.effects)
		}
	}
	inZone := func(zone membership.Zone) func(membership.Zone) bool {
		return func(candidate membership.Zone) bool { return candidate == zone }
	}

	ginkgo.BeforeEach(func() {
		cluster = newFleet(7, layout{members: 32, zones: 4, zonesInRegion: 2}, virtualnet.Config{
			Loss: 0.03, Duplication: 0.03, Jitter: 2 * time.Millisecond,
		})
		cluster.startAll(5*time.Second, 0)
		agree(2 * time.Minute)
		resetEffectCounts()
	})

	ginkgo.It("detects a stopped member on every other member", func() {
		victim := cluster.processes[cluster.addresses[5]]
		cluster.kill(victim.address)
		agree(detectionLimit)
		for _, observer := range cluster.running() {
			gomega.Expect(observer.failures).To(gomega.HaveKey(victim.identity))
		}
	})

	ginkgo.It("reports a planned stop as left, sooner than a suspicion would end", func() {
		cluster.network.SetLoss(0)
		cluster.leave(cluster.addresses[9])
		taken, wrong := cluster.runUntilAgreed(detectionLimit)
		gomega.Expect(wrong).To(gomega.BeEmpty())
		gomega.Expect(taken).To(gomega.BeNumerically("<", cluster.suspicionTimeout()))
		gomega.Expect(countAll(membership.EffectLeft)).To(gomega.Equal(len(cluster.running())))
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeZero())
	})

	ginkgo.It("reports a failure and a new incarnation when a process restarts", func() {
		before := cluster.processes[cluster.addresses[4]].identity
		cluster.kill(before.Address)
		after := cluster.start(before.Address).identity
		agree(detectionLimit)
		gomega.Expect(after.Incarnation).To(gomega.BeNumerically(">", before.Incarnation))
		for _, observer := range cluster.running() {
			if observer.address != before.Address {
				gomega.Expect(observer.failures).To(gomega.HaveKey(before))
			}
		}
	})

	ginkgo.It("admits a process whose clock was set back, under a higher incarnation", func() {
		address := cluster.addresses[4]
		cluster.kill(address)
		cluster.starts = -1000
		restarted := cluster.start(address)
		agree(detectionLimit)
		gomega.Expect(restarted.machine.Self().Incarnation).To(gomega.BeNumerically(">", restarted.identity.Incarnation))
	})

	ginkgo.It("does not declare a member failed when it pauses for two seconds", func() {
		address := cluster.addresses[10]
		cluster.network.Pause(virtualnet.NodeID(address))
		cluster.network.Run(2 * time.Second)
		cluster.network.Resume(virtualnet.NodeID(address))
		cluster.network.Run(detectionLimit)
		agree(detectionLimit)
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeZero())
	})

	ginkgo.It("readmits a member after a long pause, and the member itself suspects no one", func() {
		paused := cluster.processes[cluster.addresses[10]]
		cluster.network.Pause(virtualnet.NodeID(paused.address))
		cluster.network.Run(detectionLimit)
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.Equal(len(cluster.running()) - 1))
		resetEffectCounts()
		cluster.network.Resume(virtualnet.NodeID(paused.address))
		agree(detectionLimit)
		gomega.Expect(paused.effects[membership.EffectSuspected]).To(gomega.BeZero())
		gomega.Expect(paused.effects[membership.EffectFailed]).To(gomega.BeZero())
	})

	ginkgo.It("declares no member failed while regions are partitioned, and merges after an hour", func() {
		cluster.partitionZones(func(zone membership.Zone) bool { return zone < 2 })
		cluster.network.Run(hour)
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeZero())
		for _, observer := range cluster.running() {
			for _, other := range cluster.running() {
				known, exists := observer.machine.Member(other.address)
				gomega.Expect(exists).To(gomega.BeTrue())
				sameSide := (observer.identity.Zone < 2) == (other.identity.Zone < 2)
				gomega.Expect(known.Reachable).To(gomega.Equal(sameSide))
			}
		}
		cluster.kill(cluster.addresses[0])
		cluster.start(cluster.addresses[7])
		cluster.network.Run(detectionLimit)
		cluster.network.SetPartition(nil)
		agree(partitionMergeLimit)
	})

	ginkgo.It("informs a zone of a failure that all of its members missed", func() {
		cluster.partitionZones(inZone(1))
		cluster.kill(cluster.addresses[3])
		cluster.network.Run(5 * time.Minute)
		cluster.network.SetPartition(nil)
		agree(partitionMergeLimit)
	})

	ginkgo.It("merges a zone whose two halves were partitioned for an hour", func() {
		side := func(id virtualnet.NodeID) bool { return membership.Address(id) < cluster.addresses[16] }
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool { return side(from) != side(to) })
		cluster.network.Run(hour)
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeNumerically(">", 0))
		cluster.network.SetPartition(nil)
		agree(partitionMergeLimit)
	})

	ginkgo.It("restores all views after members were unreachable only from their own zone", func() {
		side := func(id virtualnet.NodeID) bool { return membership.Address(id) < cluster.addresses[16] }
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool {
			same := cluster.zoneAt(membership.Address(from)) == cluster.zoneAt(membership.Address(to))
			return same && side(from) != side(to)
		})
		cluster.network.Run(5 * time.Minute)
		cluster.network.SetPartition(nil)
		agree(partitionMergeLimit)
	})

	ginkgo.It("marks a stopped zone unreachable and removes its members after the retention", func() {
		for index, address := range cluster.addresses {
			if cluster.layout.zoneOf(index) == 3 {
				cluster.kill(address)
			}
		}
		cluster.network.Run(5 * time.Minute)
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeZero())
		gomega.Expect(countAll(membership.EffectZoneUnreachable)).To(gomega.Equal(len(cluster.running())))
		cluster.network.Run(2 * hour)
		agree(detectionLimit)
		cluster.network.Run(2*hour + detectionLimit)
		for _, observer := range cluster.running() {
			gomega.Expect(observer.machine.Members()).To(gomega.HaveLen(len(cluster.running())))
		}
	})

	ginkgo.It("reports a zone as reachable when its partition ends", func() {
		cluster.partitionZones(inZone(2))
		cluster.network.Run(time.Minute)
		resetEffectCounts()
		cluster.network.SetPartition(nil)
		agree(partitionMergeLimit)
		gomega.Expect(countAll(membership.EffectZoneReachable)).To(gomega.BeNumerically(">=", len(cluster.running())))
	})

	ginkgo.It("does not change the membership when the list of machines is wrong", func() {
		unknown := cluster.addresses[31] + 100*addressStep
		for _, observer := range cluster.running() {
			observer.machine.SetSeeds([]membership.Address{unknown})
		}
		cluster.network.Run(time.Minute)
		agree(detectionLimit)
		gomega.Expect(countAll(membership.EffectJoined)).To(gomega.BeZero())
		gomega.Expect(countAll(membership.EffectFailed)).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("Two separate fleets", func() {
	ginkgo.It("merge when one process is given a seed on the other side", func() {
		cluster := newFleet(3, layout{members: 12, zones: 3, zonesInRegion: 2}, virtualnet.Config{Loss: 0.02})
		cluster.seedCount = 12
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool {
			middle := virtualnet.NodeID(cluster.addresses[6])
			return (from < middle) != (to < middle)
		})
		cluster.startAll(time.Second, 2*time.Minute)
		for _, observer := range cluster.running() {
			gomega.Expect(observer.machine.LiveCount()).To(gomega.Equal(6))
			observer.machine.SetSeeds(nil)
		}
		cluster.network.SetPartition(nil)
		cluster.processes[cluster.addresses[0]].machine.SetSeeds(cluster.addresses[11:])
		_, wrong := cluster.runUntilAgreed(partitionMergeLimit)
		gomega.Expect(wrong).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("Machine", func() {
	identity := func(number int) membership.Identity {
		return membership.Identity{
			Address: firstAddress + membership.Address(number)*addressStep, Incarnation: firstIncarnation,
		}
	}
	create := func(limit int) *membership.Machine {
		config := membership.DefaultConfig(identity(0), rand.New(rand.NewPCG(1, 1)))
		config.MemberLimit = limit
		machine, err := membership.New(config)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return machine
	}
	alive := func(number int) membership.Update { return membership.Update{Member: identity(number)} }

	ginkgo.It("keeps no more members than its limit", func() {
		machine := create(10)
		for number := 1; number < 100; number++ {
			sender := alive(number)
			machine.Receive(0, sender.Member.Address, membership.Message{Kind: membership.KindPing, Sender: sender})
		}
		gomega.Expect(machine.Members()).To(gomega.HaveLen(10))
	})

	ginkgo.DescribeTable("ignores a malformed message",
		func(change func(*membership.Message)) {
			machine := create(10)
			message := membership.Message{Kind: membership.KindPing, Sender: alive(1)}
			change(&message)
			gomega.Expect(machine.Receive(0, alive(1).Member.Address, message)).To(gomega.BeEmpty())
			gomega.Expect(machine.Members()).To(gomega.HaveLen(1))
		},
		ginkgo.Entry("from an address other than the sender's", func(m *membership.Message) { m.Sender = alive(2) }),
		ginkgo.Entry("of an unknown kind", func(m *membership.Message) { m.Kind = membership.KindLeave + 1 }),
		ginkgo.Entry("with a zone out of range", func(m *membership.Message) { m.Sender.Member.Zone = membership.MaxZones }),
		ginkgo.Entry("with a digest out of range", func(m *membership.Message) { m.Digest.Zone = membership.MaxZones }),
		ginkgo.Entry("with an update of an unknown state", func(m *membership.Message) {
			m.Updates = []membership.Update{{Member: identity(3), State: membership.StateLeft + 1}}
		}),
		ginkgo.Entry("with a request for a zone out of range", func(m *membership.Message) {
			m.Kind, m.Digest.Zone = membership.KindSyncRequest, membership.MaxZones+1
		}),
		ginkgo.Entry("with a filter that is too long", func(m *membership.Message) { m.KnownFilter = make([]byte, 801) }),
		ginkgo.Entry("with too many ages", func(m *membership.Message) { m.ZoneAges = make([]byte, membership.MaxZones+1) }),
	)

	ginkgo.It("raises its refutation count only once when the same failure update about it arrives twice", func() {
		machine := create(10)
		failure := membership.Update{Member: identity(0), Refutations: 4, State: membership.StateFailed}
		message := membership.Message{Kind: membership.KindPing, Sender: alive(1), Updates: []membership.Update{failure}}
		for range 2 {
			effects := machine.Receive(0, alive(1).Member.Address, message)
			gomega.Expect(effects[len(effects)-1].Message.Sender.Refutations).To(gomega.Equal(uint32(5)))
		}
	})

	ginkgo.It("stops responding to sync requests when its byte budget is used up", func() {
		machine := create(200)
		for number := 1; number <= 100; number++ {
			sender := alive(number)
			machine.Receive(0, sender.Member.Address, membership.Message{Kind: membership.KindPing, Sender: sender})
		}
		// respondedBytes returns the bytes of the responses, counted as whole datagrams with
		// headers.
		respondedBytes := func(now time.Duration, known []byte) (bytes int) {
			request := membership.Message{Kind: membership.KindSyncRequest, Sender: alive(1), KnownFilter: known}
			for range 2000 {
				for _, effect := range machine.Receive(now, request.Sender.Member.Address, request) {
					encoded, err := effect.Message.MarshalMsg(nil)
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					bytes += len(encoded) + 28
				}
			}
			return bytes
		}
		// While this process catches up, one that lists hardly any member is only sent a few, and
		// a part of the tokens is reserved for longer responses.
		few, most := []byte(nil), make([]byte, 60)
		shortResponses := respondedBytes(0, few)
		gomega.Expect(shortResponses).To(gomega.BeNumerically("~", 19000, 4000))
		gomega.Expect(respondedBytes(0, few)).To(gomega.BeZero())
		// A member may send 3 KB/s on average over a minute.
		const budget = 3000 * 60
		burst := shortResponses + respondedBytes(0, most)
		gomega.Expect(burst).To(gomega.BeNumerically("<=", budget))
		gomega.Expect(burst).To(gomega.BeNumerically("~", 56000, 6000))
		gomega.Expect(respondedBytes(0, most)).To(gomega.BeZero())
		gomega.Expect(respondedBytes(10*time.Second, most)).To(gomega.BeNumerically("<=", 5000))
		gomega.Expect(respondedBytes(70*time.Second, few)).To(gomega.BeZero(), "the remaining tokens are reserved for longer responses")
		gomega.Expect(respondedBytes(70*time.Second, most)).To(gomega.BeNumerically("~", 30000, 3000))
	})

	ginkgo.It("ends catching up only after the last part of a response from a caught-up member", func() {
		machine := create(10)
		digests := []membership.ZoneDigest{{Zone: identity(1).Zone}}
		response := membership.Message{Kind: membership.KindSyncResponse, Sender: alive(1), CatchingUp: true, Digests: digests}
		machine.Receive(0, alive(1).Member.Address, response)
		gomega.Expect(machine.CatchingUp()).To(gomega.BeTrue())
		response.CatchingUp = false
		response.Digests = nil
		machine.Tick(0)
		machine.Receive(0, alive(1).Member.Address, response)
		gomega.Expect(machine.CatchingUp()).To(gomega.BeTrue(), "the response without digests is not the last part")
		response.Digests = digests
		machine.Receive(0, alive(1).Member.Address, response)
		gomega.Expect(machine.CatchingUp()).To(gomega.BeFalse())
	})

	ginkgo.It("returns no effects after it has left", func() {
		machine := create(10)
		machine.Receive(0, alive(1).Member.Address, membership.Message{Kind: membership.KindPing, Sender: alive(1)})
		gomega.Expect(machine.Leave(0)).NotTo(gomega.BeEmpty())
		gomega.Expect(machine.Tick(time.Second)).To(gomega.BeEmpty())
		gomega.Expect(machine.Leave(0)).To(gomega.BeEmpty())
	})

	ginkgo.It("returns an error when the source of randomness is missing", func() {
		config := membership.DefaultConfig(identity(0), nil)
		_, err := membership.New(config)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("randomness")))
	})
})
