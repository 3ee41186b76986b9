// This file implements catching up: after the start and after a pause, a
// process accuses nobody before it has fetched what others know.

package membership

import (
	"slices"
	"time"
)

const (
	// pauseThreshold is the time between ticks from which the process is
	// taken to have been paused.
	pauseThreshold = time.Second
	// recoveryTimeout ends catching up if nobody answers: the process may be
	// the only one.
	recoveryTimeout = 10 * time.Second
	// quickSyncTime is how long after catching up differences are fetched
	// without delay.
	quickSyncTime = 20 * time.Second
	// quickSyncExtension is how much longer that may take.
	quickSyncExtension = time.Minute
	// quickSyncInterval is the time between two requests meanwhile; it keeps
	// a starting process within its bytes a second.
	quickSyncInterval = 300 * time.Millisecond
	// seedInterval is the least time between two requests to seeds, which all others ask at
	// the same time. Meanwhile those that were answered ask those that were not.
	seedInterval = 1200 * time.Millisecond
	// manyMembers is how many members a process knows that may ask seeds again.
	manyMembers = 32
	// joinRush is how long after its start a process takes whom it hears of for one that
	// started with it, of whom others learn without it.
	joinRush = 3 * time.Second
	// longestQuickSync bounds it while nobody answers, and is the time to the next request if
	// the other knew nothing more.
	longestQuickSync = 2400 * time.Millisecond
	// mostDoublings is how often quickSyncInterval is doubled up to longestQuickSync.
	mostDoublings = 3
)

// recovery is the state of catching up.
type recovery struct {
	active bool
	began  time.Duration
}

// observeTime notices the first call and pauses of the process.
func (m *Machine) observeTime(now time.Duration) {
	paused := m.everTicked && now-m.lastTick > pauseThreshold
	if !m.everTicked || paused {
		m.beginRecovery(now)
	}
	if paused {
		m.discountPause(now)
	}
	m.everTicked = true
	m.lastTick = max(m.lastTick, now)
}

func (m *Machine) beginRecovery(now time.Duration) {
	m.recovery = recovery{active: true, began: now}
	m.sync.next = now
	m.sync.unanswered = 0
	m.sync.quickUntil = now + quickSyncTime
	m.probe.pending = false
	m.probe.next = now + time.Duration(m.random.Int64N(int64(m.config.ProbeInterval)))
	m.remote.next = now + time.Duration(m.random.Int64N(int64(m.config.RemoteInterval)))
	m.sync.nextReconnect = now + time.Duration(m.random.Int64N(int64(m.config.ReconnectInterval)))
}

// discountPause keeps the time of the pause from counting against others.
func (m *Machine) discountPause(now time.Duration) {
	m.relays = nil
	for _, suspect := range m.suspects {
		suspect.since = now
	}
	for zone := range m.roster.zones {
		if m.roster.zones[zone].reachable {
			m.roster.zones[zone].heard = now
		}
	}
}

// catchUp asks one member after another for what it knows.
func (m *Machine) catchUp(now time.Duration) {
	if !m.recovery.active || now < m.sync.next {
		return
	}
	if now >= m.recovery.began+recoveryTimeout {
		m.recovery.active = false
		return
	}
	if asked, exists := m.recoverySource(); exists {
		m.requestAll(now, asked)
	}
}

// recoverySource returns a random member that knows what others know, in the
// own zone or else elsewhere. Where all start at once it is any member, and only if none
// is known a seed, which all others ask.
func (m *Machine) recoverySource() (Address, bool) {
	if known, exists := m.roster.randomMember(m.random, m.self.Member.Zone, m.isInformedPeer); exists {
		return known.update.Member.Address, true
	}
	for _, suits := range []func(*member) bool{m.isInformedPeer, m.isPeerBesideSeeds} {
		if known, exists := m.randomAnywhere(suits); exists {
			return known.update.Member.Address, true
		}
	}
	if len(m.seeds) > 0 {
		return m.seeds[m.random.IntN(len(m.seeds))], true
	}
	return 0, false
}

// randomAnywhere returns a member of any zone that suits, if there is one. Zones with more
// members are chosen more often.
func (m *Machine) randomAnywhere(suits func(*member) bool) (*member, bool) {
	position := m.random.IntN(max(len(m.roster.byAddress), 1))
	first := Zone(0)
	for first < MaximumZones-1 && position >= len(m.roster.zones[first].members) {
		position -= len(m.roster.zones[first].members)
		first++
	}
	for offset := range Zone(MaximumZones) {
		zone := (first + offset) % MaximumZones
		if found, exists := m.roster.randomMember(m.random, zone, suits); exists {
			return found, true
		}
	}
	return nil, false
}

// isPeerBesideSeeds reports whether another process runs, as far as is known, that is not one
// of the seeds, which all others ask as well. Once many are known a seed is asked as rarely as
// any of them, and what it knows must not stay with it.
func (m *Machine) isPeerBesideSeeds(candidate *member) bool {
	spared := m.roster.live < manyMembers && slices.Contains(m.seeds, candidate.update.Member.Address)
	return m.isLivePeer(candidate) && !spared
}
