// This file samples which version each daemon has in force and who leads.

package table

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	sampleInterval = 200 * time.Millisecond
	sampleTimeout  = 2 * time.Second

	versionMetric = "vanetiller_table_version "
	leadsMetric   = "vanetiller_cluster_leads "
)

// sample is what a daemon says of itself.
type sample struct {
	version uint64
	leads   bool
}

// accepted is a change that was answered as accepted.
type accepted struct {
	id      string
	row     uint32
	weight  uint32
	version uint64
	// began is when the request that was answered was sent.
	began time.Time
}

// reach is when a daemon was first seen with versions after another one.
type reach struct {
	after, version uint64
	at             time.Time
	upSince        time.Time
}

// watcher samples all daemons.
type watcher struct {
	cluster *cluster
	client  *http.Client

	mutex     sync.Mutex
	reaches   []reach
	ledAt     time.Time
	leader    *daemon
	leaderGap time.Duration
	gapCounts bool
}

func newWatcher(watched *cluster) *watcher {
	return &watcher{cluster: watched, client: &http.Client{Timeout: sampleTimeout}}
}

// run samples until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var sampling sync.WaitGroup
	for _, watched := range w.cluster.daemons {
		sampling.Go(func() { w.watch(ctx, watched) })
	}
	sampling.Wait()
}

func (w *watcher) watch(ctx context.Context, watched *daemon) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if taken, answered := w.take(ctx, watched); answered {
			w.note(watched, taken)
		}
	}
}

func (w *watcher) take(ctx context.Context, watched *daemon) (sample, bool) {
	url := "http://" + watched.endpoint(observabilityPort).String() + "/metrics"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return sample{}, false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return sample{}, false
	}
	defer func() { _ = response.Body.Close() }()
	var taken sample
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), versionMetric); found {
			version, _ := strconv.ParseFloat(text, 64)
			taken.version = uint64(version)
		}
		if text, found := strings.CutPrefix(lines.Text(), leadsMetric); found {
			taken.leads = text == "1"
		}
	}
	return taken, lines.Err() == nil
}

func (w *watcher) note(watched *daemon, taken sample) {
	before, upSince := watched.sampled(taken.version)
	now := time.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if taken.version > before {
		w.reaches = append(w.reaches, reach{after: before, version: taken.version, at: now, upSince: upSince})
	}
	if taken.leads {
		w.noteLeader(watched, now)
	}
}

func (w *watcher) noteLeader(leading *daemon, now time.Time) {
	if w.gapCounts && !w.ledAt.IsZero() {
		w.leaderGap = max(w.leaderGap, now.Sub(w.ledAt))
	}
	w.ledAt = now
	w.leader = leading
}

// countGaps begins or ends the time in which gaps without a leader count.
func (w *watcher) countGaps(counts bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gapCounts = counts
}

// lastLeader returns the daemon that was last seen to lead, nil if none was.
func (w *watcher) lastLeader() *daemon {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leader
}

// delays returns, for each change and each daemon that was not disturbed
// meanwhile, the seconds until the change was in force.
func (w *watcher) delays(changes []accepted) []float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var delays []float64
	for _, change := range changes {
		for _, seen := range w.reaches {
			undisturbed := !seen.upSince.IsZero() && seen.upSince.Before(change.began)
			if undisturbed && seen.after < change.version && change.version <= seen.version {
				delays = append(delays, seen.at.Sub(change.began).Seconds())
			}
		}
	}
	return delays
}
