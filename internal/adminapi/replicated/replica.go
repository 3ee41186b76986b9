// This file implements the waiting for decisions, with a lock and a clock.

package replicated

import (
	"context"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/agreement"
	"github.com/vanetiller/vanetiller/internal/changelog"
)

// Transport carries messages to other processes. Messages may be lost, delayed
// and doubled.
type Transport interface {
	// Send must neither wait nor call the Replica.
	Send(to agreement.ProcessID, message Message)
}

// Replica is the adminapi.Proposer over a replicated log. It is safe for
// concurrent use.
type Replica struct {
	transport Transport
	now       func() time.Duration

	mutex   sync.Mutex
	core    *Core
	waiting map[Attempt]chan adminapi.Decision
}

// NewReplica returns a replica around a core; now is a clock that never goes
// back.
func NewReplica(core *Core, transport Transport, now func() time.Duration) *Replica {
	return &Replica{transport: transport, now: now, core: core, waiting: make(map[Attempt]chan adminapi.Decision)}
}

// Propose implements adminapi.Proposer.
func (r *Replica) Propose(ctx context.Context, id changelog.ChangeID, payload []byte) adminapi.Decision {
	attempt, decided := r.begin(id, payload)
	defer r.end(attempt)
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
		return undecided("the time for the decision is over")
	}
}

func (r *Replica) begin(id changelog.ChangeID, payload []byte) (Attempt, <-chan adminapi.Decision) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	attempt, effects := r.core.Propose(r.now(), id, payload)
	decided := make(chan adminapi.Decision, 1)
	r.waiting[attempt] = decided
	r.perform(effects)
	return attempt, decided
}

func (r *Replica) end(attempt Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiting, attempt)
}

// Receive handles a message of another process.
func (r *Replica) Receive(from agreement.ProcessID, message Message) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.perform(r.core.Receive(r.now(), from, message))
}

// MemberUp passes on that a process runs in a zone.
func (r *Replica) MemberUp(id agreement.ProcessID, zone agreement.Zone) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.perform(r.core.MemberUp(r.now(), id, zone))
}

// MemberDown passes on that a process has ended or cannot be reached.
func (r *Replica) MemberDown(id agreement.ProcessID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.perform(r.core.MemberDown(r.now(), id))
}

// HintLeader passes on who leads.
func (r *Replica) HintLeader(leader agreement.ProcessID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.core.HintLeader(leader)
}

// Run handles timeouts until ctx ends and then returns nil.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(agreement.TickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Replica) tick() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.perform(r.core.Tick(r.now()))
}

// perform does what the core asks for. The mutex must be held.
func (r *Replica) perform(effects []Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case Send:
			r.transport.Send(effect.To, effect.Message)
		case Decided:
			if decided, waits := r.waiting[effect.Attempt]; waits {
				decided <- effect.Decision
			}
		}
	}
}
