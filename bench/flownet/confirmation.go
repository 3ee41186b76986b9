package flownet

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

func (n *balancerNode) wantConfirmation() {
	if n.world.options.Defect != DefectSkipConfirmation {
		n.confirmer.Request()
		return
	}
	now := n.world.net.Now()
	n.world.net.At(now, func() { n.currentThrough(now, now, true) })
}

// confirmNext makes the next call that confirms the directory, and gives up one that
// was not answered in time.
func (n *balancerNode) confirmNext(now time.Duration) {
	if n.confirmed > 0 && now-n.confirmed > n.confirming.Timeout {
		n.confirmed = 0
		n.confirmer.HandleFailure()
		n.questions.TakeThrough(now)
	}
	if n.askWatcher(now) {
		return
	}
	n.confirmer.SetServesOthers(n.questions.Pending())
	call, wanted := n.confirmer.Next(now)
	if !wanted {
		return
	}
	n.confirming = call
	n.confirmed = now
	n.world.ledger.called(call)
	sent := storeCall{
		listing: call.Listing, after: call.AfterKey, since: call.AfterRevision, wait: call.Wait, confirming: true,
	}
	if !n.cut {
		n.world.net.Send(n.id, n.world.store.id, simnet.Control, 100, datagram{port: peerPort, call: &sent})
	}
}

// receiveConfirmation handles the answer to a call of the confirmer.
func (n *balancerNode) receiveConfirmation(now time.Duration, reply storeReply) {
	if n.confirmed == 0 || n.cut {
		return
	}
	n.confirmed = 0
	planted := n.world.options.Defect
	reply.changes.Items = planted.filter(reply.changes.Items)
	switch {
	case reply.failure != nil:
		n.confirmer.HandleFailure()
		n.questions.TakeThrough(now)
	case n.confirming.Listing:
		through, current := n.confirmer.HandlePage(reply.page)
		n.currentThrough(now, through, current)
	default:
		changed, through, current := n.confirmer.HandleChanges(now, reply.changes)
		if changed && n.directory.Ready() {
			n.execute(n.part.Install(now, n.directory.Snapshot()))
		}
		n.currentThrough(now, through, current)
	}
	n.confirmNext(now)
}

func (n *balancerNode) currentThrough(now, through time.Duration, current bool) {
	if current {
		n.answerThrough(now, through)
		n.execute(n.part.MarkCurrentThrough(now, through))
	}
}
