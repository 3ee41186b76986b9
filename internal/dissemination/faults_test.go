package dissemination_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/virtualnet"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// applyLimit is the time within which every reachable daemon must have applied a
	// version.
	applyLimit  = 7 * time.Second
	mergeLimit  = 30 * time.Second
	surveyLimit = 10 * time.Second
	regions     = 3
)

var _ = ginkgo.Describe("A fleet", func() {
	var cluster *fleet

	expectApplied := func(version table.Version, limit time.Duration) {
		ginkgo.GinkgoHelper()
		_, behind := cluster.runUntilApplied(version, limit)
		gomega.Expect(behind).To(gomega.BeEmpty())
		gomega.Expect(cluster.violations).To(gomega.BeEmpty())
	}
	surveyFrom := func(address membership.Address, version table.Version) dissemination.Survey {
		ginkgo.GinkgoHelper()
		asking := cluster.daemons[address]
		asking.surveys = nil
		effects, err := asking.machine.Survey(cluster.network.Now(), version)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		asking.apply(effects)
		cluster.network.Run(surveyLimit)
		gomega.Expect(asking.surveys).To(gomega.HaveLen(1))
		return asking.surveys[0]
	}
	partitionZone := func(zone membership.Zone) {
		cluster.network.SetPartition(func(from, to virtualnet.NodeID) bool {
			return (cluster.zoneOf(membership.Address(from)) == zone) != (cluster.zoneOf(membership.Address(to)) == zone)
		})
	}

	ginkgo.BeforeEach(func() {
		cluster = newFleet(11, 36, 6, 2, virtualnet.Config{
			Loss: 0.05, Duplication: 0.03, Jitter: 5 * time.Millisecond,
		})
		cluster.startAll(5*time.Second, time.Minute)
		gomega.Expect(cluster.daemons[cluster.addresses[0]].members.LiveCount()).To(gomega.Equal(36))
	})

	ginkgo.It("applies twenty versions on every daemon over lossy links", func() {
		for number := range 20 {
			expectApplied(cluster.publish(cluster.addresses[number]), applyLimit)
		}
	})

	ginkgo.It("sends each version to another region at most twice", func() {
		cluster.network.SetLoss(0)
		cluster.betweenRegions = 0
		expectApplied(cluster.publish(cluster.addresses[0]), applyLimit)
		gomega.Expect(cluster.betweenRegions).To(gomega.BeNumerically(">=", regions-1))
		gomega.Expect(cluster.betweenRegions).To(gomega.BeNumerically("<=", 2*(regions-1)))
	})

	ginkgo.It("announces a delta that does not fit in a datagram, and daemons fetch it", func() {
		cluster.payloadSize = 5000
		expectApplied(cluster.publish(cluster.addresses[0]), applyLimit)
		gomega.Expect(cluster.daemons[cluster.addresses[7]].fetches).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("brings a restarted process up to date and ignores a stale fetch", func() {
		for range 3 {
			expectApplied(cluster.publish(cluster.addresses[0]), applyLimit)
		}
		cluster.kill(cluster.addresses[8])
		cluster.start(cluster.addresses[8])
		expectApplied(3, mergeLimit)
		restarted := cluster.daemons[cluster.addresses[8]].machine
		restarted.Installed(cluster.network.Now(), 2)
		gomega.Expect(restarted.Status()).To(gomega.Equal(dissemination.Status{Held: 3, Applied: 3}))
	})

	ginkgo.It("brings a zone up to date that was partitioned for an hour", func() {
		partitionZone(4)
		for range 5 {
			cluster.publish(cluster.addresses[0])
			cluster.network.Run(12 * time.Minute)
		}
		gomega.Expect(cluster.behind(1)).To(gomega.HaveLen(6))
		cluster.network.SetPartition(nil)
		expectApplied(5, mergeLimit)
	})

	ginkgo.It("lists exactly the members that are behind in a survey", func() {
		version := cluster.publish(cluster.addresses[0])
		expectApplied(version, applyLimit)
		gomega.Expect(surveyFrom(cluster.addresses[9], version).Complete()).To(gomega.BeTrue())
		paused := []membership.Address{cluster.addresses[10], cluster.addresses[16], cluster.addresses[3]}
		for _, address := range paused {
			cluster.network.Pause(virtualnet.NodeID(address))
		}
		version = cluster.publish(cluster.addresses[0])
		cluster.network.Run(2 * time.Second)
		survey := surveyFrom(cluster.addresses[9], version)
		var behindMembers []membership.Address
		appliedCount := 0
		for _, zone := range survey.Zones {
			behindMembers = append(behindMembers, zone.BehindMembers...)
			appliedCount += zone.AppliedCount
			gomega.Expect(zone.Replied).To(gomega.BeTrue())
			gomega.Expect(zone.BehindCount).To(gomega.Equal(len(zone.BehindMembers)))
		}
		gomega.Expect(behindMembers).To(gomega.ConsistOf(paused))
		gomega.Expect(appliedCount).To(gomega.Equal(33))
	})

	ginkgo.It("counts the members of a zone that does not reply as behind", func() {
		partitionZone(2)
		version := cluster.publish(cluster.addresses[0])
		survey := surveyFrom(cluster.addresses[1], version)
		for _, zone := range survey.Zones {
			gomega.Expect(zone.Replied).To(gomega.Equal(zone.Zone != 2))
			if zone.Zone == 2 {
				gomega.Expect(zone.BehindMembers).To(gomega.HaveLen(6))
			}
		}
	})
})

var _ = ginkgo.Describe("Machine", func() {
	identity := func(number int) membership.Identity {
		return membership.Identity{Address: firstAddress + membership.Address(number)*addressStep}
	}
	address := func(number int) membership.Address { return identity(number).Address }
	delta := func(version table.Version) dissemination.Delta {
		return dissemination.Delta{Version: version, Payload: []byte{byte(version)}}
	}
	var machine *dissemination.Machine

	kinds := func(effects []dissemination.Effect) (applied []table.Version, sent []dissemination.Kind) {
		for _, effect := range effects {
			switch effect.Kind {
			case dissemination.EffectApply:
				applied = append(applied, effect.Delta.Version)
			case dissemination.EffectSend:
				sent = append(sent, effect.Message.Kind)
			}
		}
		return applied, sent
	}
	push := func(held table.Version, deltas ...dissemination.Delta) []dissemination.Effect {
		return machine.Receive(0, address(1), dissemination.Message{
			Kind: dissemination.KindPush, Status: dissemination.Status{Held: held}, Deltas: deltas,
		})
	}

	ginkgo.BeforeEach(func() {
		var err error
		machine, err = dissemination.New(dissemination.DefaultConfig(identity(0), rand.New(rand.NewPCG(1, 1))))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		machine.SetPeers([]dissemination.Peer{
			{Identity: identity(1), Reachable: true}, {Identity: identity(2), Reachable: true},
		})
	})

	ginkgo.It("applies each version once and in order", func() {
		applied, _ := kinds(push(2, delta(2)))
		gomega.Expect(applied).To(gomega.BeEmpty())
		applied, _ = kinds(push(2, delta(1), delta(2)))
		gomega.Expect(applied).To(gomega.Equal([]table.Version{1, 2}))
		applied, _ = kinds(push(4, delta(1), delta(2), delta(4)))
		gomega.Expect(applied).To(gomega.BeEmpty())
		applied, _ = kinds(push(4, delta(2), delta(3), delta(5)))
		gomega.Expect(applied).To(gomega.Equal([]table.Version{3}))
	})

	ginkgo.It("repeats a pull until a reply arrives", func() {
		push(1)
		_, sent := kinds(machine.Tick(time.Second))
		gomega.Expect(sent).To(gomega.Equal([]dissemination.Kind{dissemination.KindPull}))
		_, sent = kinds(machine.Tick(time.Second + 100*time.Millisecond))
		gomega.Expect(sent).To(gomega.BeEmpty())
		_, sent = kinds(machine.Tick(2 * time.Second))
		gomega.Expect(sent).To(gomega.Equal([]dissemination.Kind{dissemination.KindPull}))
		push(1, delta(1))
		_, sent = kinds(machine.Tick(3 * time.Second))
		gomega.Expect(sent).To(gomega.BeEmpty())
	})

	ginkgo.It("asks another peer when a fetch fails or times out", func() {
		machine.ReceiveAttachment(0, address(2), encodedStatus(9))
		fetchRequired := dissemination.Message{Kind: dissemination.KindFetchRequired, Status: dissemination.Status{Held: 9}}
		effects := machine.Receive(0, address(1), fetchRequired)
		gomega.Expect(effects).To(gomega.HaveLen(1))
		gomega.Expect(effects[0].Kind).To(gomega.Equal(dissemination.EffectFetch))
		gomega.Expect(machine.Tick(time.Second)).To(gomega.BeEmpty())
		machine.FetchFailed(time.Second, address(1))
		effects = machine.Tick(2 * time.Second)
		gomega.Expect(effects).To(gomega.HaveLen(1))
		gomega.Expect(effects[0].To).To(gomega.Equal(address(2)))
		machine.Receive(2*time.Second, address(2), fetchRequired)
		gomega.Expect(machine.Tick(3 * time.Second)).To(gomega.BeEmpty())
		gomega.Expect(machine.Tick(time.Minute)).To(gomega.HaveLen(1))
	})

	ginkgo.It("replies to a pull with the deltas it keeps, and otherwise requires a fetch", func() {
		for version := table.Version(1); version <= 5; version++ {
			push(version, delta(version))
		}
		pull := dissemination.Message{Kind: dissemination.KindPull, Status: dissemination.Status{Held: 3}}
		answer := machine.Receive(0, address(2), pull)
		gomega.Expect(answer[0].Message.Deltas).To(gomega.Equal([]dissemination.Delta{delta(4), delta(5)}))
		machine.Installed(0, 50)
		_, kept := machine.DeltasAfter(5)
		gomega.Expect(kept).To(gomega.BeFalse())
		_, sent := kinds(machine.Receive(0, address(2), pull))
		gomega.Expect(sent).To(gomega.Equal([]dissemination.Kind{dissemination.KindFetchRequired}))
	})

	ginkgo.It("returns ErrTooManySurveys when a ninth survey is started while eight are running", func() {
		for range 8 {
			_, err := machine.Survey(0, 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		_, err := machine.Survey(0, 1)
		gomega.Expect(err).To(gomega.MatchError(dissemination.ErrTooManySurveys))
	})

	ginkgo.It("ignores an attachment that cannot be decoded", func() {
		machine.ReceiveAttachment(0, address(1), []byte{0xc1, 0xff})
		gomega.Expect(machine.Tick(time.Second)).To(gomega.BeEmpty())
	})
})

func encodedStatus(held table.Version) []byte {
	encoded, err := (&dissemination.Status{Held: held}).MarshalMsg(nil)
	must(err)
	return encoded
}
