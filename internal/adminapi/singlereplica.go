// This file implements a log and a fleet of one process.

package adminapi

import (
	"context"
	"sync"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// singleReplica is a log of one process: a proposal is committed at once, and
// lost with the process.
type singleReplica struct {
	mutex sync.Mutex
	apply func(payload []byte) error
}

// NewSingleReplicaStore returns a store of one process. Its changes end with
// the process.
func NewSingleReplicaStore(limits changelog.Limits, fleet MemberLister, changed func(*table.Table)) *LogStore {
	proposer := &singleReplica{}
	store := NewLogStore(LogStoreConfig{Limits: limits, Proposer: proposer, Members: fleet, OnChange: changed})
	proposer.apply = store.Apply
	return store
}

// Propose implements Proposer.
func (r *singleReplica) Propose(_ context.Context, _ changelog.ChangeID, payload []byte) ProposalResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.apply(payload); err != nil {
		return ProposalResult{Status: ProposalRefused, Reason: err.Error()}
	}
	return ProposalResult{Status: ProposalCommitted}
}

// SingleMember is a fleet of one process.
type SingleMember struct {
	name string
	zone string

	mutex   sync.Mutex
	inForce table.Version
}

// memberLive is the state of a member that runs.
const memberLive = "live"

// NewSingleMember returns a fleet of the named process.
func NewSingleMember(name, zone string) *SingleMember {
	return &SingleMember{name: name, zone: zone}
}

// SetActiveVersion notes the version that the process forwards by.
func (m *SingleMember) SetActiveVersion(version table.Version) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.inForce = version
}

// Members implements Fleet.
func (m *SingleMember) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return []Member{{Name: m.name, Zone: m.zone, State: memberLive, Version: m.inForce}}
}
