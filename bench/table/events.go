// This file implements what happens to daemons and to the platform.

package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanetiller/vanetiller/bench/platform"
)

const (
	// eventInterval is the time between two events.
	eventInterval = 3 * time.Second
	// absence is how long a daemon is down or paused.
	absence = 5 * time.Second
	// maximumDisturbed bounds the daemons that are disturbed at a time, so that
	// most voters run.
	maximumDisturbed = 3
)

// event is one kind of disturbance.
type event uint8

const (
	killLeader event = iota
	pauseLeader
	killAny
	pauseAny
	publishRevision
	stalePlatform
	eventKinds
)

// disturber disturbs daemons and the platform.
type disturber struct {
	cluster *cluster
	watcher *watcher
	random  *rand.Rand
	began   time.Time

	returning sync.WaitGroup
	kills     int
	pauses    int
}

func newDisturber(disturbed *cluster, watching *watcher) *disturber {
	return &disturber{
		cluster: disturbed, watcher: watching, began: time.Now(),
		random: rand.New(rand.NewPCG(disturbed.options.Seed, 0)),
	}
}

// run disturbs until ctx ends, and returns once all daemons are back.
func (d *disturber) run(ctx context.Context) {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			d.returning.Wait()
			d.cluster.platform.SetFaults(platform.Faults{})
			return
		case <-ticker.C:
			d.perform(d.next(turn))
		}
	}
}

// next returns each kind once before any comes at random.
func (d *disturber) next(turn int) event {
	if turn < int(eventKinds) {
		return event(turn)
	}
	return event(d.random.IntN(int(eventKinds)))
}

func (d *disturber) perform(happening event) {
	switch happening {
	case killLeader:
		d.kill(d.watcher.lastLeader(), "leader")
	case pauseLeader:
		d.pause(d.watcher.lastLeader(), "leader")
	case killAny:
		d.kill(d.any(), "daemon")
	case pauseAny:
		d.pause(d.any(), "daemon")
	case publishRevision:
		d.cluster.platform.SetFaults(platform.Faults{})
		d.progress("platform: connection limit %d", d.cluster.publishRevision())
	case stalePlatform:
		d.cluster.platform.SetFaults(platform.Faults{Stale: true})
		d.progress("platform: shows older revisions from now on (%d is next)", d.cluster.publishRevision())
	}
}

func (d *disturber) any() *daemon {
	return d.cluster.daemons[d.random.IntN(len(d.cluster.daemons))]
}

// mayDisturb reports whether the daemon is up and few others are not.
func (d *disturber) mayDisturb(chosen *daemon) bool {
	disturbed := 0
	for _, other := range d.cluster.daemons {
		if !other.up() {
			disturbed++
		}
	}
	return chosen != nil && chosen.up() && disturbed < maximumDisturbed
}

func (d *disturber) kill(chosen *daemon, what string) {
	if !d.mayDisturb(chosen) {
		return
	}
	d.kills++
	d.progress("kill %s %s", what, chosen.name)
	if err := chosen.kill(); err != nil {
		d.progress("%v", err)
	}
	d.returning.Go(func() {
		time.Sleep(absence)
		if err := chosen.start(); err != nil {
			d.progress("%v", err)
		}
	})
}

func (d *disturber) pause(chosen *daemon, what string) {
	if !d.mayDisturb(chosen) {
		return
	}
	d.pauses++
	d.progress("pause %s %s", what, chosen.name)
	if err := chosen.pause(); err != nil {
		d.progress("%v", err)
	}
	d.returning.Go(func() {
		time.Sleep(absence)
		if err := chosen.resume(); err != nil {
			d.progress("%v", err)
		}
	})
}

func (d *disturber) progress(format string, arguments ...any) {
	d.cluster.progress("%6.1f s  "+format, append([]any{time.Since(d.began).Seconds()}, arguments...)...)
}
