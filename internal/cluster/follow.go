// This file tells the parts of a Node about each other: who runs, who leads,
// and what the log has led to.

package cluster

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/cluster/liveness"
	"github.com/vanetiller/vanetiller/internal/dissemination"
)

// publishDelay is how long a voter that does not lead waits for a version to
// arrive by dissemination before it spreads it itself: the leader that the
// version was decided under may have ended.
const publishDelay = time.Second

// tellMembers tells dissemination, liveness and the log who runs. The mutex must be held.
func (n *Node) tellMembers() {
	var peers []dissemination.Peer
	var reporters []liveness.Peer
	var running []agreement.Member
	members := n.members.Members()
	n.heard.keep(members)
	for _, member := range members {
		if !isLive(member) || portOf(member.Identity.Address) != portOf(n.address) {
			continue
		}
		peers = append(peers, dissemination.Peer{Identity: member.Identity, Reachable: member.Reachable})
		reporters = append(reporters, liveness.Peer{Identity: member.Identity, Reachable: member.Reachable})
		if member.Reachable {
			zone := agreement.Zone(n.zones.name(member.Identity.Zone))
			running = append(running, agreement.Member{ID: processOf(member.Identity), Zone: zone})
		}
	}
	n.spread.SetPeers(peers)
	n.executeLiveness(n.agents.SetPeers(n.now(), reporters))
	n.tellLog(running)
}

func (n *Node) tellLog(running []agreement.Member) {
	replica := n.voter.Load().replica
	slices.SortFunc(running, compareMembers)
	for _, member := range n.running {
		if !contains(running, member) {
			replica.MemberDown(member.ID)
		}
	}
	for _, member := range running {
		if !contains(n.running, member) {
			replica.MemberUp(member.ID, member.Zone)
		}
	}
	n.running = running
}

func compareMembers(a, b agreement.Member) int { return a.ID.Compare(b.ID) }

// contains reports whether sorted members have the given one.
func contains(members []agreement.Member, wanted agreement.Member) bool {
	_, exists := slices.BinarySearchFunc(members, wanted, compareMembers)
	return exists
}

// followLeader brings together what this process and others know of the
// leader. The mutex must be held.
func (n *Node) followLeader() {
	current := n.voter.Load()
	view := current.machine.observed()
	if view.votes && view.term >= n.hint.Term && view.leader != (agreement.ProcessID{}) {
		n.hint = Hint{Term: view.term, Leader: view.leader}
	}
	leader := n.hint.Leader
	if !contains(n.running, agreement.Member{ID: leader}) {
		leader = agreement.ProcessID{}
	}
	current.replica.HintLeader(leader)
}

// foundIfDue begins the log if it is for this process to do. The mutex must be
// held.
func (n *Node) foundIfDue(now time.Duration) {
	if n.hint.Term > 0 {
		n.founding.logKnown = true
	}
	if !n.founding.due(now, n.members.CatchingUp()) {
		return
	}
	if err := n.voter.Load().found(); err != nil {
		panic("cluster: the empty state cannot be encoded: " + err.Error())
	}
	n.config.Logger.Info("log of changes founded")
}

// publishLog spreads versions that the log has led to and that this process
// does not hold yet. The mutex must be held.
func (n *Node) publishLog(now time.Duration) {
	current := n.voter.Load()
	held := n.spread.Status().Held
	if current.state.version() <= held {
		n.behind = false
		return
	}
	if !n.behind {
		n.behind = true
		n.behindSince = now
	}
	if !current.machine.observed().leads && now < n.behindSince+publishDelay {
		return
	}
	deltas, kept := current.state.after(held)
	if !kept {
		n.installLog(current)
		return
	}
	for _, delta := range deltas {
		n.executeSpread(n.spread.Publish(delta))
	}
}

// installLog takes over the whole state of the log. The mutex must be held.
func (n *Node) installLog(current *voter) {
	version := current.state.version()
	state, err := current.state.Snapshot()
	if err != nil {
		panic("cluster: the state of the log cannot be encoded: " + err.Error())
	}
	n.tasks.add(task{install: &installTask{version: version, state: state}})
	// Held from now on: tasks are carried out in order.
	n.executeSpread(n.spread.Installed(n.now(), version))
}
