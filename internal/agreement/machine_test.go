package agreement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// addRow is a change that creates a service and its first row.
func addRow(number uint32) *changelog.Change {
	return &changelog.Change{
		ID: changelog.ChangeID(fmt.Sprintf("row-%d", number)), Who: "operator", Why: "test",
		AddServices: []table.Service{{
			ID: table.ServiceID(number), Name: fmt.Sprintf("service-%d", number), Protocol: table.ProtocolTCP,
			Address: table.Endpoint(fmt.Sprintf("198.51.100.1:%d", 1000+number)),
		}},
		AddBackends: []table.Backend{{
			ID: table.BackendID(number), Service: table.ServiceID(number), Name: "first", Weight: 1,
			Agent: "192.0.2.1:6081",
		}},
	}
}

// accept proposes at the leader until the change is answered as committed.
func (c *cluster) accept(change *changelog.Change, limit time.Duration) bool {
	id := agreement.ProposalID(change.ID)
	end := c.now + limit
	for c.now < end {
		if p := c.leader(); p != nil {
			c.propose(p, change)
			c.until(end-c.now, func() bool { _, answered := c.answers[id]; return answered })
			if c.answers[id] == agreement.AnswerCommitted {
				return true
			}
		}
		c.advance(10 * time.Millisecond)
	}
	return false
}

var defaultShape = shape{machines: 33, zones: 11, replicas: 5, witnesses: 6, seed: 7}

var _ = Describe("Machine", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster(defaultShape)
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
	})

	AfterEach(func() { Expect(c.checker.violations).To(BeEmpty()) })

	It("spreads the voters over the zones by itself", func() {
		voters := c.leader().machine.Voters()
		Expect(voters.Members).To(HaveLen(11))
		Expect(voters.Zones()).To(Equal(11))
	})

	It("commits a change and applies it everywhere", func() {
		Expect(c.accept(addRow(1), time.Second)).To(BeTrue())
		c.advance(3 * time.Second)
		for _, member := range c.leader().machine.Voters().Members {
			Expect(c.processes[member.ID.Machine-1].state.Version()).To(Equal(table.Version(1)))
		}
	})

	DescribeTable("takes changes again within 3 s of the loss of the leader",
		func(seed uint64) {
			of := defaultShape
			of.seed = seed
			c = newCluster(of)
			Expect(c.waitFormed(time.Minute)).To(BeTrue())
			c.advance(time.Duration(seed) * 137 * time.Millisecond)
			Expect(c.accept(addRow(1), time.Second)).To(BeTrue())
			c.restart(int(c.leader().id.Machine - 1))
			lost := c.now
			Expect(c.accept(addRow(2), 10*time.Second)).To(BeTrue())
			Expect(c.now - lost).To(BeNumerically("<=", 3*time.Second))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
		Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)), Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)

	It("goes on after all replicas are replaced at once", func() {
		Expect(c.accept(addRow(1), time.Second)).To(BeTrue())
		for _, member := range c.leader().machine.Voters().Members {
			if member.Role == agreement.RoleReplica {
				c.restart(int(member.ID.Machine - 1))
			}
		}
		Expect(c.accept(addRow(2), 20*time.Second)).To(BeTrue())
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		Expect(c.leader().state.Version()).To(Equal(table.Version(2)))
	})

	It("goes on from what any daemon holds after a majority of the voters is replaced at once", func() {
		of := defaultShape
		of.disseminated = true
		c = newCluster(of)
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		Expect(c.accept(addRow(1), time.Second)).To(BeTrue())
		c.advance(2 * time.Second)
		for _, member := range c.leader().machine.Voters().Members {
			c.restart(int(member.ID.Machine - 1))
		}
		Expect(c.accept(addRow(2), 10*time.Minute)).To(BeTrue())
		Expect(c.leader().state.Version()).To(Equal(table.Version(2)))
	})

	It("does not form the log anew while a machine of the list is cut off", func() {
		of := defaultShape
		of.disseminated = true
		c = newCluster(of)
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		voters := c.leader().machine.Voters().Members
		for _, member := range voters[:6] {
			c.restart(int(member.ID.Machine - 1))
		}
		c.isolated = func(from, to agreement.Zone) bool { return (from == "a") != (to == "a") }
		Expect(c.accept(addRow(1), 10*time.Minute)).To(BeFalse())
		c.isolated = func(_, _ agreement.Zone) bool { return false }
		Expect(c.accept(addRow(1), 10*time.Minute)).To(BeTrue())
	})

	It("does not form the log anew beside a majority of voters that the list lacks", func() {
		of := defaultShape
		of.disseminated = true
		c = newCluster(of)
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		smaller := func(zone agreement.Zone) bool { return zone >= "g" }
		c.isolated = func(from, to agreement.Zone) bool { return smaller(from) != smaller(to) }
		c.unlisted = map[agreement.Zone]bool{"a": true, "b": true, "c": true, "d": true, "e": true, "f": true}
		c.advance(10 * time.Minute)
		Expect(c.accept(addRow(1), 10*time.Second)).To(BeTrue())
		for _, p := range c.processes {
			Expect(p.machine.Leads(c.now) && smaller(p.zone)).To(BeFalse())
		}
	})

	It("replaces the voters of a lost zone by others", func() {
		zone := c.leader().zone
		c.endZone(zone)
		Expect(c.accept(addRow(1), 3*time.Second)).To(BeTrue())
		c.advance(time.Minute)
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		for _, member := range c.leader().machine.Voters().Members {
			Expect(member.Zone).NotTo(Equal(zone))
		}
	})

	It("refuses at once on the smaller side and takes changes on the larger", func() {
		old := c.leader()
		c.isolated = func(from, to agreement.Zone) bool { return (from == old.zone) != (to == old.zone) }
		c.advance(3 * time.Second)
		c.propose(old, addRow(1))
		Expect(c.answers).To(HaveKeyWithValue(agreement.ProposalID("row-1"), agreement.AnswerRefused))
		Expect(c.accept(addRow(2), 5*time.Second)).To(BeTrue())
		Expect(c.leader().id).NotTo(Equal(old.id))
	})

	It("answers a proposal cut off under way as unknown, and applies a repeat once", func() {
		old := c.leader()
		c.propose(old, addRow(1))
		c.advance(200 * time.Millisecond)
		c.isolated = func(from, to agreement.Zone) bool { return (from == old.zone) != (to == old.zone) }
		repeated := addRow(2)
		c.propose(old, repeated)
		c.advance(6 * time.Second)
		Expect(c.answers).To(HaveKeyWithValue(agreement.ProposalID("row-2"), agreement.AnswerUnknown))
		c.isolated = func(_, _ agreement.Zone) bool { return false }
		Expect(c.accept(repeated, 5*time.Second)).To(BeTrue())
		Expect(c.accept(repeated, 5*time.Second)).To(BeTrue())
		Expect(c.leader().state.Version()).To(Equal(table.Version(2)))
	})

	It("keeps a leader that wakes late from acting on its old view", func() {
		old := c.leader()
		c.pause(int(old.id.Machine - 1))
		c.advance(10 * time.Second)
		Expect(c.accept(addRow(1), 5*time.Second)).To(BeTrue())
		old.paused = false
		c.propose(old, addRow(2))
		Expect(c.answers).To(HaveKeyWithValue(agreement.ProposalID("row-2"), agreement.AnswerRefused))
		c.resume(int(old.id.Machine - 1))
		Expect(old.machine.Leads(c.now)).To(BeFalse())
	})

	It("replaces voters that end, one after another, without an operator", func() {
		for number := range uint32(12) {
			voters := c.leader().machine.Voters().Members
			c.restart(int(voters[int(number)%len(voters)].ID.Machine - 1))
			Expect(c.accept(addRow(number+1), 10*time.Second)).To(BeTrue())
			c.advance(8 * time.Second)
		}
		Expect(c.waitFormed(time.Minute)).To(BeTrue())
		for _, member := range c.leader().machine.Voters().Members {
			Expect(c.processes[member.ID.Machine-1].id).To(Equal(member.ID))
		}
	})

	It("compacts the log", func() {
		for number := range uint32(60) {
			Expect(c.accept(addRow(number+1), 5*time.Second)).To(BeTrue())
		}
		Expect(c.leader().machine.LogLength()).To(BeNumerically("<", 40))
	})
})
