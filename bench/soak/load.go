package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// burstInterval is the time between two requests of a zone in a burst. The load of all
	// zones together is then close to the capacity of all endpoints.
	burstInterval = 4 * time.Millisecond
	// simultaneousRequests is the number of flows of a zone that send their request at the
	// same moment, simultaneousDelay after they opened. That is several per slot of all
	// endpoints.
	simultaneousRequests = 40
	simultaneousDelay    = 2 * time.Second
)

// burst makes the clients of all zones send one request each burstInterval for the given
// duration, in addition to their usual load.
func (h *harness) burst(ctx context.Context, random *rand.Rand, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	for sleep(ctx, burstInterval) {
		for _, host := range h.clients {
			host.submit(h.randomRequest(random))
		}
	}
}

// submitSimultaneously makes the clients of all zones open flows that send their requests
// simultaneousDelay later, all at the same moment.
func (h *harness) submitSimultaneously(random *rand.Rand) {
	for range simultaneousRequests {
		for _, host := range h.clients {
			created := h.randomRequest(random)
			created.delay = simultaneousDelay
			host.submit(created)
		}
	}
}

// killAll kills all processes without a graceful stop.
func (h *harness) killAll() {
	for _, daemon := range h.daemons() {
		daemon.kill(0)
	}
}
