package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// peerQuery is the state of a query to one row.
type peerQuery struct {
	row table.BackendID
	// required is set if the flow must not be opened before the row has
	// answered or its lease must have ended. Other rows are queried only for
	// their load.
	required bool
	// consideredDown is set if the lease of the row's agent was known to have
	// ended when the query was added or later.
	consideredDown bool
	deadline       time.Duration
	answered       bool
	expired        bool
	openFlows      uint32
	available      bool
}

// done reports whether no answer to the query is awaited any more.
func (q *peerQuery) done() bool { return q.answered || q.expired }

// pendingFlow is a flow whose owner is being decided or located.
type pendingFlow struct {
	sequence uint32
	purpose  Purpose
	hash     uint64
	started  time.Duration
	// resendAt is when unanswered queries are repeated next, and resendInterval
	// the time between the last sending and resendAt.
	resendAt       time.Duration
	resendInterval time.Duration
	queries        []peerQuery
	heldPackets    []Packet
	// queriedAll is set once every row has been queried that can take the flow
	// (PurposeOpen) or can own it (PurposeLocate).
	queriedAll bool
	// awaitsRetransmission is set once a required row has not answered in time.
	// That row may have opened the flow before it stopped answering, and the
	// held packet may be a duplicate from a connection that the caller has
	// established. A retransmission shows that the caller is still waiting.
	awaitsRetransmission bool
	// awaitedVersion is the table version that must be installed before the flow
	// can be decided. It is 0 if no newer version is awaited.
	awaitedVersion table.Version
}

// queryTo returns the query to a row, or nil if the row is not queried.
func (p *pendingFlow) queryTo(row table.BackendID) *peerQuery {
	for index := range p.queries {
		if p.queries[index].row == row {
			return &p.queries[index]
		}
	}
	return nil
}

// requiredRowSilent reports whether a required row that was considered alive
// has not answered.
func (p *pendingFlow) requiredRowSilent() bool {
	for index := range p.queries {
		query := &p.queries[index]
		if query.required && !query.consideredDown && !query.answered {
			return true
		}
	}
	return false
}

// allDone reports whether every query was answered or has expired.
func (p *pendingFlow) allDone() bool {
	for index := range p.queries {
		if !p.queries[index].done() {
			return false
		}
	}
	return true
}

// liveRowUnanswered reports whether any row that was considered alive,
// required or not, has not answered.
func (p *pendingFlow) liveRowUnanswered() bool {
	for index := range p.queries {
		if !p.queries[index].answered && !p.queries[index].consideredDown {
			return true
		}
	}
	return false
}

// allAnswered reports whether every queried row has answered.
func (p *pendingFlow) allAnswered() bool {
	for index := range p.queries {
		if !p.queries[index].answered {
			return false
		}
	}
	return true
}
