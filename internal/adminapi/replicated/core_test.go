package replicated_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/adminapi/replicated"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

func TestReplicated(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicated")
}

// scriptedMachine answers proposals as a spec says.
type scriptedMachine struct {
	leader   agreement.ProcessID
	answers  [][]agreement.Effect
	proposed int
	next     []agreement.Effect
}

func (m *scriptedMachine) Propose(_ time.Duration, _ agreement.ProposalID, _ []byte) []agreement.Effect {
	m.proposed++
	if len(m.answers) == 0 {
		return nil
	}
	answer := m.answers[0]
	m.answers = m.answers[1:]
	return answer
}

func (m *scriptedMachine) Tick(time.Duration) []agreement.Effect { return m.next }
func (m *scriptedMachine) Receive(time.Duration, agreement.ProcessID, agreement.Message) []agreement.Effect {
	return nil
}
func (m *scriptedMachine) MemberUp(time.Duration, agreement.ProcessID, agreement.Zone) []agreement.Effect {
	return nil
}
func (m *scriptedMachine) MemberDown(time.Duration, agreement.ProcessID) []agreement.Effect {
	return nil
}
func (m *scriptedMachine) Compact(agreement.Index, []byte) {}
func (m *scriptedMachine) Leader() agreement.ProcessID     { return m.leader }

var (
	self  = agreement.ProcessID{Machine: 1, Start: 1}
	other = agreement.ProcessID{Machine: 2, Start: 1}
)

func newStore(proposer adminapi.Proposer) *adminapi.LogStore {
	return adminapi.NewLogStore(adminapi.LogStoreConfig{
		Limits: changelog.DefaultLimits(), Proposer: proposer, Fleet: adminapi.NewSingleMember("b", "z"),
	})
}

func addService(id changelog.ChangeID, number table.ServiceID) *changelog.Change {
	return &changelog.Change{ID: id, AddServices: []table.Service{{
		ID: number, Name: string(id), Protocol: table.ProtocolTCP,
		Address: table.Endpoint("198.51.100." + string(rune('0'+number)) + ":80"),
	}}}
}

func encode(change *changelog.Change) []byte {
	payload, err := change.MarshalMsg(nil)
	Expect(err).NotTo(HaveOccurred())
	return payload
}

func refusal(reason agreement.RefusalReason) []agreement.Effect {
	return []agreement.Effect{{Kind: agreement.Answered, ID: "c", Answer: agreement.AnswerRefused, Reason: reason}}
}

func commit(change *changelog.Change) []agreement.Effect {
	return []agreement.Effect{
		{Kind: agreement.Committed, Entry: agreement.Entry{
			Index: 2, Kind: agreement.EntryProposal, ID: agreement.ProposalID(change.ID), Payload: encode(change)}},
		{Kind: agreement.Answered, ID: agreement.ProposalID(change.ID), Answer: agreement.AnswerCommitted},
	}
}

func proposal(attempt replicated.Attempt) replicated.Message {
	return replicated.Message{Proposal: &replicated.Proposal{Attempt: attempt, ID: "c", Payload: encode(addService("c", 1))}}
}

func statuses(effects []replicated.Effect) []replicated.Status {
	var found []replicated.Status
	for _, effect := range effects {
		Expect(effect.Kind).To(Equal(replicated.Send))
		Expect(effect.To).To(Equal(other))
		found = append(found, effect.Message.Decision.Status)
	}
	return found
}

const (
	committed = replicated.Status(adminapi.ProposalCommitted)
	refused   = replicated.Status(adminapi.ProposalRefused)
	undecided = replicated.Status(adminapi.ProposalUndecided)
)

var _ = Describe("Core", func() {
	var machine *scriptedMachine
	var store *adminapi.LogStore
	var core *replicated.Core

	BeforeEach(func() {
		machine = &scriptedMachine{}
		store = newStore(nil)
		core = replicated.NewCore(self, machine, store)
	})

	It("refuses without a leader, and passes on to one that it is told of", func() {
		_, effects := core.Propose(0, "c", encode(addService("c", 1)))
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].Decision.Status).To(Equal(adminapi.ProposalRefused))
		core.HintLeader(other)
		attempt, effects := core.Propose(0, "c", encode(addService("c", 1)))
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].To).To(Equal(other))
		Expect(effects[0].Message.Proposal.Attempt).To(Equal(attempt))
	})

	It("takes a decision for its own attempt only, and once", func() {
		machine.leader = other
		first, _ := core.Propose(0, "c", encode(addService("c", 1)))
		late := replicated.Message{Decision: &replicated.Decision{Attempt: first, Status: refused}}
		Expect(core.Receive(0, other, late)).To(HaveLen(1))
		second, _ := core.Propose(0, "c", encode(addService("c", 1)))
		Expect(second).NotTo(Equal(first))
		Expect(core.Receive(0, other, late)).To(BeEmpty())
		effects := core.Receive(0, other, replicated.Message{Decision: &replicated.Decision{Attempt: second, Status: 99}})
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].Decision.Status).To(Equal(adminapi.ProposalUndecided))
	})

	It("does not know the outcome if the leader stays silent", func() {
		machine.leader = other
		attempt, _ := core.Propose(time.Second, "c", encode(addService("c", 1)))
		Expect(core.Tick(time.Second + replicated.DecisionTimeout - 1)).To(BeEmpty())
		effects := core.Tick(time.Second + replicated.DecisionTimeout)
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].Attempt).To(Equal(attempt))
		Expect(effects[0].Decision.Status).To(Equal(adminapi.ProposalUndecided))
	})

	It("hands a doubled proposal to the log once and answers the copy alike", func() {
		machine.leader = self
		Expect(core.Receive(0, other, proposal(1))).To(BeEmpty())
		Expect(core.Receive(0, other, proposal(1))).To(BeEmpty())
		machine.next = commit(addService("c", 1))
		Expect(statuses(core.Tick(time.Second))).To(Equal([]replicated.Status{committed}))
		machine.next = nil
		machine.answers = [][]agreement.Effect{refusal(agreement.RefusalNotLeader)}
		Expect(statuses(core.Receive(time.Second, other, proposal(1)))).To(Equal([]replicated.Status{committed}))
		Expect(machine.proposed).To(Equal(1))
		Expect(store.Table().Table.Services).To(HaveLen(1))
	})

	It("does not take the refusal of a second attempt for that of the first", func() {
		machine.answers = [][]agreement.Effect{nil, refusal(agreement.RefusalNoQuorum)}
		Expect(core.Receive(0, other, proposal(1))).To(BeEmpty())
		Expect(statuses(core.Receive(0, other, proposal(2)))).To(Equal([]replicated.Status{undecided}))
		machine.next = commit(addService("c", 1))
		effects := core.Tick(time.Second)
		Expect(statuses(effects)).To(Equal([]replicated.Status{committed}))
		Expect(effects[0].Message.Decision.Attempt).To(Equal(replicated.Attempt(1)))
		Expect(effects[0].Message.Decision.Outcome).To(Equal(&changelog.Outcome{ID: "c", Accepted: true, Version: 1}))
	})

	DescribeTable("refuses what the log cannot take",
		func(message replicated.Message, answers [][]agreement.Effect, reason string) {
			machine.answers = answers
			effects := core.Receive(0, other, message)
			Expect(statuses(effects)).To(Equal([]replicated.Status{refused}))
			Expect(effects[0].Message.Decision.Reason).To(ContainSubstring(reason))
			Expect(effects[0].Message.Decision.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("not the leader", proposal(1), [][]agreement.Effect{refusal(agreement.RefusalNotLeader)}, "not_leader"),
		Entry("no quorum", proposal(1), [][]agreement.Effect{refusal(agreement.RefusalNoQuorum)}, "no_quorum"),
		Entry("no change", replicated.Message{Proposal: &replicated.Proposal{Attempt: 1, ID: "c", Payload: []byte("x")}}, nil, "not a change"),
		Entry("another change", replicated.Message{Proposal: &replicated.Proposal{
			Attempt: 1, ID: "d", Payload: encode(addService("c", 1))}}, nil, "not a change"),
	)

	It("answers an attempt as undecided that the log does not decide", func() {
		Expect(core.Receive(0, other, proposal(1))).To(BeEmpty())
		machine.next = []agreement.Effect{{Kind: agreement.Answered, ID: "c", Answer: agreement.AnswerUnknown}}
		Expect(statuses(core.Tick(time.Second))).To(Equal([]replicated.Status{undecided}))
	})
})

// lateProposer lets a store be made before the replica that it proposes to.
type lateProposer struct{ adminapi.Proposer }

// silence is a network without other processes.
type silence struct{}

func (silence) Send(agreement.ProcessID, replicated.Message) {}

var _ = Describe("Replica", func() {
	newReplica := func(machine replicated.Machine) *adminapi.LogStore {
		late := &lateProposer{}
		store := newStore(late)
		late.Proposer = replicated.NewReplica(replicated.NewCore(self, machine, store), silence{}, func() time.Duration { return 0 })
		return store
	}

	It("makes changes over the log of one voter", func() {
		parameters := agreement.DefaultParameters(self, "zone")
		parameters.MinimumVoters, parameters.MinimumZones = 1, 1
		machine := agreement.New(0, parameters)
		store := newReplica(machine)
		state, err := store.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		machine.Found(0, state)
		Expect(store.Submit(context.Background(), addService("c", 1))).To(Equal(adminapi.Submission{
			Decided: true, Outcome: changelog.Outcome{ID: "c", Accepted: true, Version: 1}}))
		Expect(store.Table().Table.Services).To(HaveLen(1))
	})

	It("does not know the outcome when the caller's time is over", func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		submitted := newReplica(&scriptedMachine{leader: other}).Submit(ended, addService("c", 1))
		Expect(submitted.Decided).To(BeFalse())
		Expect(submitted.MayApply).To(BeTrue())
	})
})
