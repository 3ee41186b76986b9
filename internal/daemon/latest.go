// This file holds the revision of the platform that is still to be imported.

package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/internal/platform"
)

const (
	// leadershipInterval is how often a process looks whether it leads.
	leadershipInterval = 100 * time.Millisecond
	// importRetryInterval is the time after which an import that was not
	// decided is repeated.
	importRetryInterval = time.Second
	// importTimeout bounds one attempt to import.
	importTimeout = 10 * time.Second
)

// latest holds the newest configuration received until it is done. It is safe
// for concurrent use.
type latest struct {
	arrived chan struct{}

	mutex         sync.Mutex
	configuration platform.Configuration
	waiting       bool
}

func newLatest() *latest { return &latest{arrived: make(chan struct{}, 1)} }

// put replaces the configuration held by a newer one.
func (l *latest) put(configuration platform.Configuration) {
	l.mutex.Lock()
	l.configuration = configuration
	l.waiting = true
	l.mutex.Unlock()
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

// await returns the newest configuration that is not done. It returns false
// when ctx ends.
func (l *latest) await(ctx context.Context) (platform.Configuration, bool) {
	for ctx.Err() == nil {
		if configuration, waiting := l.current(); waiting {
			return configuration, true
		}
		select {
		case <-ctx.Done():
		case <-l.arrived:
		}
	}
	return platform.Configuration{}, false
}

func (l *latest) current() (platform.Configuration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.configuration, l.waiting
}

// done ends the wait for a revision, unless a newer one has come.
func (l *latest) done(revision platform.Revision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.configuration.Revision == revision {
		l.waiting = false
	}
}

// wait pauses for a duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
