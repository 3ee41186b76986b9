package flownet

import (
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// startupRequestInterval is how often a balancer with an empty directory queries a
	// seed.
	startupRequestInterval = 50 * time.Millisecond
	// failureDelay is how long the membership takes to detect a failed balancer.
	failureDelay = 4 * time.Second
	// watcherTimeout is how long a balancer waits for a watcher to confirm its directory.
	watcherTimeout = 150 * time.Millisecond
)

// seedPeers returns the seeds of a balancer as peers of the disseminator.
func (w *world) seedPeers(except *balancerNode) []directory.Peer {
	var peers []directory.Peer
	for _, seed := range w.seeds(except) {
		peers = append(peers, directory.Peer(seed))
	}
	return peers
}

// refreshMembers simulates the membership: it detects new balancers within digestInterval,
// and failed ones after failureDelay.
func (n *balancerNode) refreshMembers(now time.Duration) {
	members := []directory.Member{{Peer: directory.Peer(n.id), Zone: n.zone}}
	var peers []segment.Address
	for _, other := range n.world.balancers {
		if other == n {
			continue
		}
		if !n.world.net.Stopped(other.id) && !n.world.isolated[other.ip] && !n.world.isolated[n.ip] {
			n.lastSeen[other.id] = now
		}
		if seen, known := n.lastSeen[other.id]; known && now-seen < failureDelay && !other.removed {
			members = append(members, directory.Member{Peer: directory.Peer(other.id), Zone: other.zone})
			peers = append(peers, other.address())
		}
	}
	n.disseminator.SetMembers(members)
	n.execute(n.logic.SetPeers(now, peers))
}

// sendUpdates sends updates. It encodes and decodes each one as the daemons do.
func (n *balancerNode) sendUpdates(outgoing []directory.Outgoing) {
	for _, each := range outgoing {
		if n.world.options.Defect == DefectEmptyUpdates {
			each.Update.State.Endpoints = nil
			each.Update.State.ConfigurationVersion = 0
		}
		encoded, err := each.Update.MarshalMsg(nil)
		if err != nil || len(encoded) > directory.MaxUpdateSize {
			panic("flownet: update cannot be encoded or exceeds directory.MaxUpdateSize")
		}
		var decoded directory.Update
		if _, err := decoded.UnmarshalMsg(encoded); err != nil {
			panic("flownet: decode directory update: " + err.Error())
		}
		if n.world.isolated[n.ip] {
			continue
		}
		n.world.checker.recordUpdate(len(encoded))
		to := simnet.NodeID(each.To)
		n.world.net.Send(n.id, to, simnet.Control, len(encoded), datagram{port: peerPort, update: &decoded})
	}
}

func (n *balancerNode) receiveUpdate(now time.Duration, from simnet.NodeID, update directory.Update) {
	changed, lacks, answers := n.disseminator.Receive(now, directory.Peer(from), update)
	n.sendUpdates(answers)
	if lacks {
		n.fetcher.UpdateIncomplete(now, simnet.NodeID(update.SourceOrSender(directory.Peer(from))))
	}
	n.logic.MarkConfirmed(n.disseminator.ConfirmedAt())
	n.installIfChanged(now, changed)
	switch {
	case update.Confirmation && update.RequestsChanges:
		n.waitingConfirmations.Add(now, directory.Peer(from), update)
		n.confirmer.Request()
	case update.Confirmation && !lacks && n.watcherAskedAt > 0 && update.RequestID == n.confirmationRequestID:
		asked := n.watcherAskedAt
		n.watcherAskedAt = 0
		n.markCurrentThrough(now, asked, true)
	}
}

// askWatcher asks a balancer that watches the store to confirm the directory. It reports
// whether the confirmation is pending.
func (n *balancerNode) askWatcher(now time.Duration) bool {
	if n.watcherAskedAt > 0 && now-n.watcherAskedAt < watcherTimeout {
		return true
	}
	if n.watcherAskedAt > 0 {
		// The watcher did not reply in time, so that the store is asked next.
		n.watcherAskedAt = 0
		n.confirmer.WatcherTimedOut()
		n.disseminator.WatcherTimedOut(now, n.watcher)
		return false
	}
	watcher, exists := n.disseminator.ConfirmationWatcher(now)
	if !exists || n.waitingConfirmations.Pending() {
		return false
	}
	if !n.confirmer.BeginWithWatcher(now) {
		return true
	}
	n.watcher = watcher
	n.watcherAskedAt = now
	n.confirmationRequestID++
	n.sendUpdates([]directory.Outgoing{{To: watcher, Update: directory.Update{
		RequestsChanges: true, Confirmation: true, RequestID: n.confirmationRequestID, State: n.disseminator.Summary(now),
	}}})
	return true
}

// replyToWaiting replies to the confirmation requests that arrived by the time through
// which the directory is confirmed.
func (n *balancerNode) replyToWaiting(now, through time.Duration) {
	for _, each := range n.waitingConfirmations.TakeThrough(through) {
		n.sendUpdates(n.disseminator.ConfirmationReplies(now, each.From, each.Update))
	}
}
