package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// burstInterval is the time between two requests of a zone in a burst. All zones
	// together then ask for nearly as much as the endpoints of the site can do.
	burstInterval = 4 * time.Millisecond
	// keptAtOnce is how many kept flows of a zone ask at the same moment, after keptRest:
	// several for each slot of the site.
	keptAtOnce = 40
	keptRest   = 2 * time.Second
)

// burst lets the clients of all zones ask for much more for a while.
func (w *world) burst(ctx context.Context, random *rand.Rand, lasts time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	for pause(ctx, burstInterval) {
		for _, host := range w.clients {
			host.ask(w.drawRequest(random))
		}
	}
}

// askAtOnce lets clients of all zones open flows that rest and then all ask at the same
// moment.
func (w *world) askAtOnce(random *rand.Rand) {
	for range keptAtOnce {
		for _, host := range w.clients {
			wanted := w.drawRequest(random)
			wanted.rest = keptRest
			host.ask(wanted)
		}
	}
}

// killAll kills all processes at once.
func (w *world) killAll() {
	for _, daemon := range w.daemons() {
		daemon.kill(0)
	}
}
