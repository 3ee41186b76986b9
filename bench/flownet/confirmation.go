package flownet

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
)

// requestConfirmation starts to confirm that the directory is current. With
// DefectSkipConfirmation it claims at once that it is.
func (n *balancerNode) requestConfirmation() {
	if n.world.options.Defect != DefectSkipConfirmation {
		n.confirmer.Request()
		return
	}
	now := n.world.net.Now()
	n.world.net.At(now, func() { n.markCurrentThrough(now, now, true) })
}

// continueConfirmation asks a watcher or the store to confirm the directory. It abandons a
// store call that exceeded its timeout.
func (n *balancerNode) continueConfirmation(now time.Duration) {
	if n.confirmationSentAt > 0 && now-n.confirmationSentAt > n.confirmationCall.Timeout {
		n.confirmationSentAt = 0
		n.confirmer.HandleFailure()
		n.waitingConfirmations.TakeThrough(now)
	}
	if n.askWatcher(now) {
		return
	}
	n.confirmer.SetServesOthers(n.waitingConfirmations.Pending())
	call, wanted := n.confirmer.Next(now)
	if !wanted {
		return
	}
	n.confirmationCall = call
	n.confirmationSentAt = now
	n.world.checker.recordStoreCall(call)
	sent := storeCall{
		listing: call.Listing, after: call.AfterKey, since: call.AfterRevision, wait: call.Wait, confirming: true,
	}
	if !n.storeUnreachable {
		n.world.net.Send(n.id, n.world.store.id, simnet.Control, 100, datagram{port: peerPort, call: &sent})
	}
}

// receiveConfirmation handles the reply to a store call of the confirmer.
func (n *balancerNode) receiveConfirmation(now time.Duration, reply storeReply) {
	if n.confirmationSentAt == 0 || n.storeUnreachable {
		return
	}
	n.confirmationSentAt = 0
	defect := n.world.options.Defect
	reply.changes.Items = defect.filterItems(reply.changes.Items)
	switch {
	case reply.failure != nil:
		n.confirmer.HandleFailure()
		n.waitingConfirmations.TakeThrough(now)
	case n.confirmationCall.Listing:
		through, current := n.confirmer.HandlePage(reply.page)
		n.markCurrentThrough(now, through, current)
	default:
		changed, through, current := n.confirmer.HandleChanges(now, reply.changes)
		if changed && n.directory.Ready() {
			n.execute(n.logic.Install(now, n.directory.Snapshot()))
		}
		n.markCurrentThrough(now, through, current)
	}
	n.continueConfirmation(now)
}

func (n *balancerNode) markCurrentThrough(now, through time.Duration, current bool) {
	if current {
		n.replyToWaiting(now, through)
		n.execute(n.logic.MarkCurrentThrough(now, through))
	}
}
