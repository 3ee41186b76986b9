// This file implements the part of a process in the replicated log.

package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanetiller/vanetiller/internal/adminapi/replicated"
	"github.com/vanetiller/vanetiller/internal/agreement"
)

// maximumPayload bounds a change in bytes. The import of a table of 12,000 rows
// takes 1.3 MB.
const maximumPayload = 8 << 20

// minimumZones is how many zones the voters must be in, if there are as many,
// before changes are taken: the loss of one then leaves a majority.
const minimumZones = 3

// logView is what a voter knew of the log at its last tick.
type logView struct {
	leader agreement.ProcessID
	term   agreement.Term
	// leads reports whether this process leads and has answers from a
	// majority.
	leads bool
	// votes reports whether this process is a voter.
	votes  bool
	voters int
}

// observedMachine is an agreement.Machine that tells about itself without the
// lock of the Replica around it.
type observedMachine struct {
	*agreement.Machine
	self agreement.ProcessID
	// founding holds the state to found a log with, once.
	founding atomic.Pointer[[]byte]

	mutex sync.Mutex
	view  logView
}

// Tick implements replicated.Machine.
func (m *observedMachine) Tick(now time.Duration) []agreement.Effect {
	effects := m.tick(now)
	configuration := m.Voters()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.view = logView{
		leader: m.Leader(),
		term:   m.Term(),
		leads:  m.Leads(now),
		votes:  configuration.Contains(m.self),
		voters: len(configuration.Members),
	}
	return effects
}

func (m *observedMachine) tick(now time.Duration) []agreement.Effect {
	if state := m.founding.Swap(nil); state != nil {
		return m.Found(now, *state)
	}
	return m.Machine.Tick(now)
}

// Leader implements replicated.Machine. A process that votes no more may
// remember a leader of long ago.
func (m *observedMachine) Leader() agreement.ProcessID {
	if !m.Voters().Contains(m.self) {
		return agreement.ProcessID{}
	}
	return m.Machine.Leader()
}

func (m *observedMachine) observed() logView {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.view
}

// voter is one identity of this process in the log. A process may have to take
// another identity while it runs.
type voter struct {
	id      agreement.ProcessID
	state   *logState
	machine *observedMachine
	replica *replicated.Replica
}

// newVoter returns a process of the log that knows of no log yet.
func newVoter(config Config, id agreement.ProcessID, transport replicated.Transport, now func() time.Duration, advanced func()) *voter {
	machine := &observedMachine{Machine: agreement.New(now(), parametersOf(config, id)), self: id}
	state := newLogState(config.Limits, advanced)
	core := replicated.NewCore(id, machine, state)
	return &voter{id: id, state: state, machine: machine, replica: replicated.NewReplica(core, transport, now)}
}

// parametersOf returns the parameters for the wanted number of voters: the
// first ones are replicas, all others witnesses.
func parametersOf(config Config, id agreement.ProcessID) agreement.Parameters {
	parameters := agreement.DefaultParameters(id, agreement.Zone(config.Zone))
	parameters.Replicas = min(parameters.Replicas, config.Voters)
	parameters.Witnesses = config.Voters - parameters.Replicas
	parameters.MinimumVoters = parameters.Replicas
	parameters.MinimumZones = min(minimumZones, len(config.Zones))
	parameters.MaximumPayload = maximumPayload
	return parameters
}

// run handles timeouts until ctx ends.
func (v *voter) run(ctx context.Context) error { return v.replica.Run(ctx) }

// found begins a log with the state before the first change.
func (v *voter) found() error {
	state, err := v.state.Snapshot()
	if err != nil {
		return err
	}
	v.machine.founding.Store(&state)
	return nil
}
