// This file implements a log and a member list for a single process.

package adminapi

import (
	"context"
	"sync"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
)

// singleReplica is an in-memory log of a single process. It commits every
// proposal at once; the log does not survive the process.
type singleReplica struct {
	mutex sync.Mutex
	apply func(payload []byte) error
}

// NewSingleReplicaStore returns an in-memory store for a single process. Its
// changes are lost when the process ends.
func NewSingleReplicaStore(limits changelog.Limits, members MemberLister, onChange func(*table.Table)) *LogStore {
	proposer := &singleReplica{}
	store := NewLogStore(LogStoreConfig{Limits: limits, Proposer: proposer, Members: members, OnChange: onChange})
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

// SingleMember is a MemberLister that lists only one process.
type SingleMember struct {
	name string
	zone string

	mutex         sync.Mutex
	activeVersion table.Version
}

// memberLive is the state of a running member.
const memberLive = "live"

// NewSingleMember returns a SingleMember for the named process.
func NewSingleMember(name, zone string) *SingleMember {
	return &SingleMember{name: name, zone: zone}
}

// SetActiveVersion records the table version that the process has applied.
func (m *SingleMember) SetActiveVersion(version table.Version) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.activeVersion = version
}

// Members implements MemberLister.
func (m *SingleMember) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return []Member{{Name: m.name, Zone: m.zone, State: memberLive, Version: m.activeVersion}}
}
