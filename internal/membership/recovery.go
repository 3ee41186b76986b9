// This file implements catching up: after its start or a pause, a process suspects no
// member before it has fetched the state of the others.

package membership

import (
	"slices"
	"time"
)

const (
	// pauseThreshold is the time between calls above which the process is considered to
	// have been paused.
	pauseThreshold = time.Second
	// recoveryTimeout ends catching up if no member responds, since the process may be the
	// only one.
	recoveryTimeout = 10 * time.Second
	// quickSyncDuration is how long after the start or a pause differences are fetched
	// without delay.
	quickSyncDuration = 20 * time.Second
	// quickSyncExtension is how much longer this lasts while differences remain.
	quickSyncExtension = time.Minute
	// quickSyncInterval is the time between two requests in that period. It keeps a
	// starting process within its limit of bytes a second.
	quickSyncInterval = 300 * time.Millisecond
	// seedInterval is the minimum time between two requests to seeds, which all other
	// processes ask at the same time. In the meantime, processes that got a response from a
	// seed send requests to processes that did not, and these can then ask them instead.
	seedInterval = 1200 * time.Millisecond
	// bootstrapMembers is the number of known members from which a process treats seeds
	// like other members. A process with fewer avoids asking seeds again.
	bootstrapMembers = 32
	// simultaneousStartWindow is how long after its start a process assumes that the
	// members it receives messages from started at the same time. It does not gossip them,
	// since the others receive messages from them directly.
	simultaneousStartWindow = 3 * time.Second
	// maxQuickSyncInterval limits the interval while no member responds. It is also the
	// time to the next request if the other member had nothing new.
	maxQuickSyncInterval = 2400 * time.Millisecond
	// maxDoublings is how often quickSyncInterval is doubled up to
	// maxQuickSyncInterval.
	maxDoublings = 3
)

// recovery is the state of catching up.
type recovery struct {
	active bool
	began  time.Duration
}

// detectPause starts catching up at the first call and after a pause of the process.
func (m *Machine) detectPause(now time.Duration) {
	paused := m.started && now-m.lastCall > pauseThreshold
	if !m.started || paused {
		m.beginRecovery(now)
	}
	if paused {
		m.restartTimeouts(now)
	}
	m.started = true
	m.lastCall = max(m.lastCall, now)
}

func (m *Machine) beginRecovery(now time.Duration) {
	m.recovery = recovery{active: true, began: now}
	m.sync.next = now
	m.sync.unanswered = 0
	m.sync.quickUntil = now + quickSyncDuration
	m.probe.pending = false
	m.probe.next = now + time.Duration(m.random.Int64N(int64(m.config.ProbeInterval)))
	m.remote.next = now + time.Duration(m.random.Int64N(int64(m.config.RemoteInterval)))
	m.sync.nextReconnect = now + time.Duration(m.random.Int64N(int64(m.config.ReconnectInterval)))
}

// restartTimeouts restarts the timeouts of suspects and zones, so that the time of a pause
// is not counted.
func (m *Machine) restartTimeouts(now time.Duration) {
	m.relayedPings = nil
	for _, suspect := range m.suspects {
		suspect.since = now
	}
	for zone := range m.memberList.zones {
		if m.memberList.zones[zone].reachable {
			m.memberList.zones[zone].lastMessageAt = now
		}
	}
}

// catchUp requests the full state from one member after another until one that has it
// responds or recoveryTimeout has passed.
func (m *Machine) catchUp(now time.Duration) {
	if !m.recovery.active || now < m.sync.next {
		return
	}
	if now >= m.recovery.began+recoveryTimeout {
		m.recovery.active = false
		return
	}
	if asked, exists := m.syncSource(); exists {
		m.requestAllZones(now, asked)
	}
}

// syncSource returns a random member that has the full state, from the own zone if
// possible. If there is none, as when all processes start at once, it returns any live
// member that isNonSeedPeer accepts. If there is none of these either, it returns a random
// seed. Seeds come last because all other processes ask them too.
func (m *Machine) syncSource() (Address, bool) {
	if known, exists := m.memberList.randomMember(m.random, m.self.Member.Zone, m.isCaughtUpPeer); exists {
		return known.update.Member.Address, true
	}
	for _, matches := range []func(*member) bool{m.isCaughtUpPeer, m.isNonSeedPeer} {
		if known, exists := m.randomInAnyZone(matches); exists {
			return known.update.Member.Address, true
		}
	}
	if len(m.seeds) > 0 {
		return m.seeds[m.random.IntN(len(m.seeds))], true
	}
	return 0, false
}

// randomInAnyZone returns a random member of any zone that matches, if there is one. Zones
// with more members are chosen more often.
func (m *Machine) randomInAnyZone(matches func(*member) bool) (*member, bool) {
	position := m.random.IntN(max(len(m.memberList.byAddress), 1))
	first := Zone(0)
	for first < MaxZones-1 && position >= len(m.memberList.zones[first].members) {
		position -= len(m.memberList.zones[first].members)
		first++
	}
	for offset := range Zone(MaxZones) {
		zone := (first + offset) % MaxZones
		if found, exists := m.memberList.randomMember(m.random, zone, matches); exists {
			return found, true
		}
	}
	return nil, false
}

// isNonSeedPeer reports whether a member is another live process and not a seed, since all
// processes ask the seeds. Once this process lists bootstrapMembers members, seeds are
// accepted too: they are then chosen no more often than any other member, and members
// that only a seed lists must spread.
func (m *Machine) isNonSeedPeer(candidate *member) bool {
	avoided := m.memberList.live < bootstrapMembers && slices.Contains(m.seeds, candidate.update.Member.Address)
	return m.isLivePeer(candidate) && !avoided
}
