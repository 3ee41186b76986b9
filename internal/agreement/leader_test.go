package agreement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/agreement"
)

// A leader is driven here message by message, for cases that random schedules
// reach too rarely.
var _ = Describe("Leader of a new term", func() {
	const (
		snapshotIndex = agreement.Index(5)
		oldTerm       = agreement.Term(2)
	)
	var (
		machine *agreement.Machine
		now     time.Duration
		first   = agreement.ProcessID{Machine: 1, Start: 1}
		second  = agreement.ProcessID{Machine: 2, Start: 1}
		third   = agreement.ProcessID{Machine: 3, Start: 1}
		fourth  = agreement.ProcessID{Machine: 4, Start: 1}
	)

	receive := func(from agreement.ProcessID, message agreement.Message) []agreement.Effect {
		now += time.Millisecond
		return machine.Receive(now, from, message)
	}

	acknowledge := func(from agreement.ProcessID, match agreement.Index) []agreement.Effect {
		reply := agreement.AppendReply{Success: true, Match: match, Sent: now}
		return receive(from, agreement.Message{Term: machine.Term(), AppendReply: &reply})
	}

	recipients := func(effects []agreement.Effect) []agreement.ProcessID {
		var to []agreement.ProcessID
		for _, effect := range effects {
			if effect.Kind == agreement.Send {
				to = append(to, effect.To)
			}
		}
		return to
	}

	vote := func(preliminary bool) []agreement.Effect {
		reply := agreement.VoteReply{Preliminary: preliminary, Granted: true}
		return receive(third, agreement.Message{Term: oldTerm + 1, VoteReply: &reply})
	}

	// stand makes the first process ask for votes, with one entry of an earlier
	// term that it does not know to be committed.
	stand := func() {
		now = 0
		machine = agreement.New(now, agreement.DefaultParameters(first, "a"))
		voters := agreement.Configuration{Members: []agreement.Member{
			{ID: first, Zone: "a"}, {ID: second, Zone: "b"}, {ID: third, Zone: "c"},
		}}
		for _, member := range voters.Members {
			machine.MemberUp(now, member.ID, member.Zone)
		}
		snapshot := agreement.Snapshot{Index: snapshotIndex, Term: 1, Configuration: voters}
		receive(second, agreement.Message{Term: oldTerm, Snapshot: &agreement.SnapshotRequest{Snapshot: snapshot}})
		receive(second, agreement.Message{Term: oldTerm, Append: &agreement.AppendRequest{
			PreviousIndex: snapshotIndex, PreviousTerm: 1, Commit: snapshotIndex,
			Entries: []agreement.Entry{{Index: snapshotIndex + 1, Term: oldTerm, Kind: agreement.EntryEmpty}},
		}})
		now += 2 * time.Second
		machine.Tick(now)
	}

	BeforeEach(func() {
		stand()
		vote(true)
		vote(false)
		Expect(machine.Leads(now)).To(BeTrue())
	})

	It("does not come to lead by votes that it finds when it wakes late", func() {
		stand()
		vote(true)
		now += time.Minute
		vote(false)
		Expect(machine.Leads(now)).To(BeFalse())
		Expect(machine.Leader()).To(BeZero())
	})

	It("answers a duplicated negative reply with nothing", func() {
		reply := agreement.AppendReply{Match: snapshotIndex, Sent: now}
		message := agreement.Message{Term: machine.Term(), AppendReply: &reply}
		Expect(recipients(receive(third, message))).To(ConsistOf(third))
		Expect(recipients(receive(third, message))).To(BeEmpty())
	})

	It("commits an entry of an earlier term only with one of its own", func() {
		acknowledge(third, snapshotIndex+1)
		Expect(machine.CommitIndex()).To(Equal(snapshotIndex))
		acknowledge(third, snapshotIndex+2)
		Expect(machine.CommitIndex()).To(Equal(snapshotIndex + 2))
	})

	It("changes no voters before an entry of its own term is committed", func() {
		machine.MemberDown(now, second)
		machine.MemberUp(now, fourth, "d")
		Expect(recipients(machine.Tick(now))).NotTo(ContainElement(fourth))
		acknowledge(third, snapshotIndex+2)
		Expect(recipients(machine.Tick(now))).To(ContainElement(fourth))
	})

	It("does not count a negative or an old acknowledgement", func() {
		reply := agreement.AppendReply{Match: snapshotIndex + 2, Sent: now}
		receive(third, agreement.Message{Term: machine.Term(), AppendReply: &reply})
		reply.Success = true
		receive(third, agreement.Message{Term: machine.Term() - 1, AppendReply: &reply})
		Expect(machine.CommitIndex()).To(Equal(snapshotIndex))
	})

	It("stops leading when a message carries a newer term", func() {
		receive(second, agreement.Message{Term: machine.Term() + 1, AppendReply: &agreement.AppendReply{}})
		Expect(machine.Leads(now)).To(BeFalse())
	})

	Describe("once it votes in a later term", func() {
		newest := agreement.VoteRequest{LastIndex: snapshotIndex + 2, LastTerm: oldTerm + 1}

		grants := func(from agreement.ProcessID, term agreement.Term, request agreement.VoteRequest) bool {
			effects := receive(from, agreement.Message{Term: term, Vote: &request})
			for _, effect := range effects {
				if effect.Kind == agreement.Send && effect.Message.VoteReply != nil {
					return effect.Message.VoteReply.Granted
				}
			}
			return false
		}

		It("votes for one candidate only, and again for the same", func() {
			Expect(grants(second, oldTerm+2, newest)).To(BeTrue())
			Expect(grants(third, oldTerm+2, newest)).To(BeFalse())
			Expect(grants(second, oldTerm+2, newest)).To(BeTrue())
		})

		It("does not vote for an older log or in an older term", func() {
			shorter := agreement.VoteRequest{LastIndex: newest.LastIndex - 1, LastTerm: newest.LastTerm}
			earlier := agreement.VoteRequest{LastIndex: newest.LastIndex + 9, LastTerm: newest.LastTerm - 1}
			Expect(grants(second, oldTerm+2, shorter)).To(BeFalse())
			Expect(grants(third, oldTerm+2, earlier)).To(BeFalse())
			Expect(grants(third, oldTerm, newest)).To(BeFalse())
			Expect(grants(third, oldTerm+2, newest)).To(BeTrue())
		})

		It("does not promise a vote while it leads with a majority", func() {
			preliminary := newest
			preliminary.Preliminary = true
			Expect(grants(second, oldTerm+2, preliminary)).To(BeFalse())
			now += 5 * time.Second
			Expect(grants(second, oldTerm+2, preliminary)).To(BeTrue())
		})
	})
})
