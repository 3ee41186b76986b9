package flownet

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
)

const (
	// startInterval is how often a balancer that knows nothing asks a seed.
	startInterval = 50 * time.Millisecond
	// failureDelay is how long the membership takes to find that a balancer has failed.
	failureDelay = 4 * time.Second
	// confirmPatience is how long a balancer waits for another to confirm its directory.
	confirmPatience = 150 * time.Millisecond
)

// seedPeers returns the seeds of a balancer as the spread names them.
func (w *world) seedPeers(except *balancerNode) []directory.Peer {
	var peers []directory.Peer
	for _, seed := range w.seeds(except) {
		peers = append(peers, directory.Peer(seed))
	}
	return peers
}

// refreshMembers stands in for the membership: it finds new balancers soon, and failed
// ones after some time.
func (n *balancerNode) refreshMembers(now time.Duration) {
	members := []directory.Member{{Peer: directory.Peer(n.id), Zone: n.zone}}
	for _, other := range n.world.balancers {
		if other == n {
			continue
		}
		if !n.world.net.Stopped(other.id) && !n.world.cutOff[other.ip] && !n.world.cutOff[n.ip] {
			n.heard[other.id] = now
		}
		if heard, known := n.heard[other.id]; known && now-heard < failureDelay && !other.removed {
			members = append(members, directory.Member{Peer: directory.Peer(other.id), Zone: other.zone})
		}
	}
	n.spread.SetMembers(members)
}

// tell sends updates in their encoded form, as balancers do.
func (n *balancerNode) tell(outgoing []directory.Outgoing) {
	for _, each := range outgoing {
		if n.world.options.Defect == DefectEmptyUpdates {
			each.Update.State.Endpoints = nil
			each.Update.State.ConfigurationVersion = 0
		}
		encoded, err := each.Update.MarshalMsg(nil)
		if err != nil || len(encoded) > directory.MaxUpdateSize {
			panic("flownet: an update cannot be sent")
		}
		var decoded directory.Update
		if _, err := decoded.UnmarshalMsg(encoded); err != nil {
			panic("flownet: cannot decode an update: " + err.Error())
		}
		if n.world.cutOff[n.ip] {
			continue
		}
		n.world.ledger.told(len(encoded))
		to := simnet.NodeID(each.To)
		n.world.net.Send(n.id, to, simnet.Control, len(encoded), datagram{port: peerPort, update: &decoded})
	}
}

func (n *balancerNode) receiveUpdate(now time.Duration, from simnet.NodeID, update directory.Update) {
	changed, lacks, answers := n.spread.Receive(now, directory.Peer(from), update)
	n.tell(answers)
	if lacks {
		n.exchange.UpdateIncomplete(now, simnet.NodeID(update.SourceOrSender(directory.Peer(from))))
	}
	n.part.MarkConfirmed(n.spread.ConfirmedAt())
	n.installIf(now, changed)
	switch {
	case update.Confirmation && update.RequestsChanges:
		n.questions.Add(now, directory.Peer(from), update)
		n.confirmer.Request()
	case update.Confirmation && !lacks && n.asked > 0 && update.RequestID == n.question:
		asked := n.asked
		n.asked = 0
		n.currentThrough(now, asked, true)
	}
}

// askWatcher asks a balancer that watches the store to confirm the directory. It reports
// whether its answer is awaited.
func (n *balancerNode) askWatcher(now time.Duration) bool {
	if n.asked > 0 && now-n.asked < confirmPatience {
		return true
	}
	if n.asked > 0 {
		// It did not answer; the store is asked.
		n.asked = 0
		n.confirmer.WatcherTimedOut()
		n.spread.WatcherTimedOut(now, n.watcher)
		return false
	}
	watcher, exists := n.spread.ConfirmationWatcher(now)
	if !exists || n.questions.Pending() {
		return false
	}
	if !n.confirmer.BeginWithWatcher(now) {
		return true
	}
	n.watcher = watcher
	n.asked = now
	n.question++
	n.tell([]directory.Outgoing{{To: watcher, Update: directory.Update{
		RequestsChanges: true, Confirmation: true, RequestID: n.question, State: n.spread.Summary(now),
	}}})
	return true
}

// answerThrough answers the questions that came until the time for which the directory
// is confirmed.
func (n *balancerNode) answerThrough(now, through time.Duration) {
	for _, each := range n.questions.TakeThrough(through) {
		n.tell(n.spread.ConfirmationReplies(now, each.From, each.Update))
	}
}
