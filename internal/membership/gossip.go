// This file implements the queue of updates that wait for being passed along.

package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// retransmissionFactor times the decimal logarithm of the members is how
	// often a member passes an update along (Das et al. 2002, section 4.1).
	retransmissionFactor = 5
	// gossipLifetime is how long an update is passed along. In a storm of
	// changes the digests find what did not get its turn.
	gossipLifetime = 30 * time.Second
	// gossipSlack is how many obsolete entries may stay queued.
	gossipSlack = 64
)

// queuedUpdate is an update and how often it was sent.
type queuedUpdate struct {
	update   Update
	audience audience
	sent     int
	expires  time.Duration
}

// audience tells to whom an update is of use.
type audience uint8

const (
	// audienceProbers: the members that probe the one concerned.
	audienceProbers audience = iota
	// audienceAll: every member.
	audienceAll
)

// gossip holds one current update for each address. Those sent least often go
// first, among them the newest, so that a backlog does not hold up news.
type gossip struct {
	// bySent holds the queued updates by how often they were sent.
	bySent [][]*queuedUpdate
	queued int
	// current is the newest entry of each address; others are obsolete.
	current map[Address]*queuedUpdate
}

func newGossip() *gossip {
	return &gossip{current: make(map[Address]*queuedUpdate)}
}

// add queues an update in place of an older one of the same address.
func (g *gossip) add(now time.Duration, update Update, audience audience) {
	added := &queuedUpdate{update: update, audience: audience, expires: now + gossipLifetime}
	g.current[update.Member.Address] = added
	g.push(added)
	if g.queued > 2*len(g.current)+gossipSlack {
		g.compact()
	}
}

func (g *gossip) push(added *queuedUpdate) {
	for len(g.bySent) <= added.sent {
		g.bySent = append(g.bySent, nil)
	}
	g.bySent[added.sent] = append(g.bySent[added.sent], added)
	g.queued++
}

func (g *gossip) compact() {
	g.queued = 0
	for sent := range g.bySent {
		g.bySent[sent] = slices.DeleteFunc(g.bySent[sent], g.obsolete)
		g.queued += len(g.bySent[sent])
	}
}

func (g *gossip) obsolete(queued *queuedUpdate) bool {
	return g.current[queued.update.Member.Address] != queued
}

// take returns at most count updates for a receiver and counts them as sent.
// A receiver that is not among the probers gets only what is for all.
func (g *gossip) take(now time.Duration, receiver audience, count int, members int) []Update {
	var updates []Update
	var again []*queuedUpdate
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
		again = append(again, next)
		if receiver == audienceProbers || next.audience == audienceAll {
			updates = append(updates, next.update)
			next.sent++
		}
	}
	for _, next := range again {
		g.push(next)
	}
	return updates
}

// pop removes the entry that is to be sent next.
func (g *gossip) pop() (*queuedUpdate, bool) {
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

// retransmissions returns how often each member passes an update along.
func retransmissions(members int) int {
	return retransmissionFactor * max(1, int(math.Ceil(math.Log10(float64(members+1)))))
}
