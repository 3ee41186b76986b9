// This file implements the queue of updates to gossip.

package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// retransmissionFactor times the decimal logarithm of the number of members is how
	// often a member sends an update (Das et al. 2002, section 4.1).
	retransmissionFactor = 5
	// gossipLifetime is how long an update is gossiped. Updates that were not sent in that
	// time because of many changes are found by the digests.
	gossipLifetime = 30 * time.Second
	// compactionSlack is the number of obsolete entries that may stay queued.
	compactionSlack = 64
)

// queuedUpdate is an update with the number of times it was sent.
type queuedUpdate struct {
	update   Update
	audience audience
	sent     int
	expires  time.Duration
}

// audience says which members need an update.
type audience uint8

const (
	// audienceProbers: the members that probe the member concerned.
	audienceProbers audience = iota
	// audienceAll: every member.
	audienceAll
)

// gossipQueue holds one current update for each address. Updates that were sent least often
// go first, and among these the newest, so that a backlog does not delay new updates.
type gossipQueue struct {
	// bySent holds the queued updates by the number of times they were sent.
	bySent [][]*queuedUpdate
	queued int
	// current is the newest entry of each address. All other entries are obsolete.
	current map[Address]*queuedUpdate
}

func newGossipQueue() *gossipQueue {
	return &gossipQueue{current: make(map[Address]*queuedUpdate)}
}

// add queues an update and makes an older one of the same address obsolete.
func (g *gossipQueue) add(now time.Duration, update Update, audience audience) {
	added := &queuedUpdate{update: update, audience: audience, expires: now + gossipLifetime}
	g.current[update.Member.Address] = added
	g.push(added)
	if g.queued > 2*len(g.current)+compactionSlack {
		g.compact()
	}
}

func (g *gossipQueue) push(added *queuedUpdate) {
	for len(g.bySent) <= added.sent {
		g.bySent = append(g.bySent, nil)
	}
	g.bySent[added.sent] = append(g.bySent[added.sent], added)
	g.queued++
}

func (g *gossipQueue) compact() {
	g.queued = 0
	for sent := range g.bySent {
		g.bySent[sent] = slices.DeleteFunc(g.bySent[sent], g.obsolete)
		g.queued += len(g.bySent[sent])
	}
}

func (g *gossipQueue) obsolete(queued *queuedUpdate) bool {
	return g.current[queued.update.Member.Address] != queued
}

// take returns at most count updates for a receiver and counts them as sent. A receiver
// that does not probe the member concerned gets only updates for all members.
func (g *gossipQueue) take(now time.Duration, receiver audience, count int, members int) []Update {
	var updates []Update
	var requeued []*queuedUpdate
	limit := retransmissions(members)
	for len(updates) < count {
		next, exists := g.pop()
		if !exists {
			break
		}
		if g.obsolete(next) {
			continue
		}
		if now >= next.expires || next.sent >= limit {
			delete(g.current, next.update.Member.Address)
			continue
		}
		requeued = append(requeued, next)
		if receiver == audienceProbers || next.audience == audienceAll {
			updates = append(updates, next.update)
			next.sent++
		}
	}
	for _, next := range requeued {
		g.push(next)
	}
	return updates
}

// pop removes the entry to send next.
func (g *gossipQueue) pop() (*queuedUpdate, bool) {
	for sent, entries := range g.bySent {
		last := len(entries) - 1
		if last < 0 {
			continue
		}
		next := entries[last]
		g.bySent[sent] = entries[:last]
		g.queued--
		return next, true
	}
	return nil, false
}

// retransmissions returns how often each member sends an update.
func retransmissions(members int) int {
	return retransmissionFactor * max(1, int(math.Ceil(math.Log10(float64(members+1)))))
}
