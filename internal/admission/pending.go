package admission

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

// ask is the state of one query to one row.
type ask struct {
	row table.BackendID
	// required: the flow may not be opened before the row has answered or its
	// lease must have ended. Others are only asked for their load.
	required bool
	// down: the row was believed not to be alive when it was asked.
	down      bool
	deadline  time.Duration
	answered  bool
	expired   bool
	open      uint32
	available bool
}

func (a *ask) settled() bool { return a.answered || a.expired }

// pending is a flow that is being decided.
type pending struct {
	sequence uint32
	purpose  Purpose
	hash     uint64
	started  time.Duration
	// resend is when unanswered queries are repeated next, and interval the
	// time since they were sent last.
	resend   time.Duration
	interval time.Duration
	asks     []ask
	held     []Packet
	// askedAll is set once every row of the service has been asked.
	askedAll bool
	// retransmission is set once a required row has not answered in time. The
	// row may have opened the flow before it fell silent, so the packet held
	// may be a duplicate of a flow that its caller has established; a further
	// one shows that the caller is still waiting.
	retransmission bool
	// behind is set while the row waits for the table version of the packet.
	behind table.Version
}

func (p *pending) ask(row table.BackendID) *ask {
	for index := range p.asks {
		if p.asks[index].row == row {
			return &p.asks[index]
		}
	}
	return nil
}

// silent reports whether a required row that was believed to be alive did not
// answer.
func (p *pending) silent() bool {
	for index := range p.asks {
		asked := &p.asks[index]
		if asked.required && !asked.down && !asked.answered {
			return true
		}
	}
	return false
}

func (p *pending) settled() bool {
	for index := range p.asks {
		if !p.asks[index].settled() {
			return false
		}
	}
	return true
}

// awaitsAnswer reports whether a row that was believed to be alive left an ask
// without an answer.
func (p *pending) awaitsAnswer() bool {
	for index := range p.asks {
		if !p.asks[index].answered && !p.asks[index].down {
			return true
		}
	}
	return false
}

// answeredByAll reports whether no ask ended without an answer.
func (p *pending) answeredByAll() bool {
	for index := range p.asks {
		if !p.asks[index].answered {
			return false
		}
	}
	return true
}
