package directory

import "time"

const (
	// pauseThreshold is the longest time between two calls of pauseDetector.observe that does not
	// count as a pause. It is several times the interval between calls of Disseminator.Repeat.
	pauseThreshold = 300 * time.Millisecond
	// backlogTime is the time after a pause within which a process handles the datagrams that waited
	// in its socket.
	backlogTime = 500 * time.Millisecond
)

// pauseDetector detects that the process did not run for a while, for example because its machine
// was suspended. Datagrams wait in the socket meanwhile, and their content is older than it seems.
type pauseDetector struct {
	// lastSeen is when the process was last known to run. started is set once there is such a time.
	lastSeen time.Duration
	started  bool
	// pausedSince and resumedAt are the beginning and the end of the last pause. A pause that begins
	// while datagrams of the one before may still wait extends that one. resumedAt is 0 if there
	// was none.
	pausedSince time.Duration
	resumedAt   time.Duration
}

// observe records that the process runs.
func (p *pauseDetector) observe(now time.Duration) {
	if p.started && now-p.lastSeen > pauseThreshold {
		if !p.hasBacklog(p.lastSeen) {
			p.pausedSince = p.lastSeen
		}
		p.resumedAt = now
	}
	p.lastSeen, p.started = now, true
}

// hasBacklog reports whether datagrams that waited during the last pause may still be unhandled.
func (p *pauseDetector) hasBacklog(now time.Duration) bool {
	return p.resumedAt > 0 && now-p.resumedAt <= backlogTime
}

// inputDelay returns for how long a datagram that is handled now may have waited in its socket.
func (p *pauseDetector) inputDelay(now time.Duration) time.Duration {
	if !p.hasBacklog(now) {
		return 0
	}
	return now - p.pausedSince
}
