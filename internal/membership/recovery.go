// This file implements catching up: after the start and after a pause, a
// process accuses nobody before it has fetched what others know.

package membership

import "time"

const (
	// pauseThreshold is the time between ticks from which the process is
	// taken to have been paused.
	pauseThreshold = time.Second
	// recoveryRetry is the time between two requests while catching up.
	recoveryRetry = 500 * time.Millisecond
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
	quickSyncInterval = 1500 * time.Millisecond
)

// recovery is the state of catching up.
type recovery struct {
	active  bool
	began   time.Duration
	nextTry time.Duration
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
	m.recovery = recovery{active: true, began: now, nextTry: now}
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

// catchUp asks one member after another for the state of the own zone.
func (m *Machine) catchUp(now time.Duration) {
	if !m.recovery.active || now < m.recovery.nextTry {
		return
	}
	if now >= m.recovery.began+recoveryTimeout {
		m.recovery.active = false
		return
	}
	m.recovery.nextTry = now + recoveryRetry
	if asked, exists := m.recoverySource(); exists {
		m.requestSync(now, asked, m.self.Member.Zone)
	}
}

// recoverySource returns a random member that knows what others know, in the
// own zone or else elsewhere, or a seed, or any member.
func (m *Machine) recoverySource() (Address, bool) {
	if known, exists := m.roster.randomMember(m.random, m.self.Member.Zone, m.isInformedPeer); exists {
		return known.update.Member.Address, true
	}
	if known, exists := m.nextRemote(m.isInformedPeer); exists {
		return known.update.Member.Address, true
	}
	if len(m.seeds) > 0 {
		return m.seeds[m.random.IntN(len(m.seeds))], true
	}
	if known, exists := m.roster.randomMember(m.random, m.self.Member.Zone, m.isLivePeer); exists {
		return known.update.Member.Address, true
	}
	if known, exists := m.nextRemote(m.isLivePeer); exists {
		return known.update.Member.Address, true
	}
	return 0, false
}
