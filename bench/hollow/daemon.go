// This file implements the hollow daemon: the product's registry of agents and
// its lookup table.

package hollow

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/lookup"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Timers of a daemon.
const (
	timerRegistry uint32 = iota
	timerLiveness
)

const (
	registryInterval = 100 * time.Millisecond
	// livenessInterval is how often a hollow daemon looks for rows whose lease
	// has ended. The product looks more often; see package slopes for what one
	// look costs.
	livenessInterval = time.Second
)

// daemon is a hollow daemon.
type daemon struct {
	fleet    *fleet
	id       simnet.NodeID
	address  netip.AddrPort
	registry *control.Registry
	version  table.Version
	held     *table.Table
	built    *lookup.Table
	// listened is set once the process may serve, as in the product's server.
	listened bool
	// reported are the rows left out of built.
	reported []table.BackendID
}

// begin starts a process without any memory of earlier ones. Its table arrives
// after the time that publishing takes.
func (d *daemon) begin() {
	d.registry = control.NewRegistry()
	d.version = 0
	d.held = nil
	d.built = nil
	d.listened = false
	d.reported = nil
	d.fleet.network.Schedule(d.id, d.fleet.randomTime(registryInterval), timerRegistry)
	d.fleet.network.Schedule(d.id, d.fleet.randomTime(livenessInterval), timerLiveness)
	d.fleet.publishTo(d, d.fleet.table)
}

func (f *fleet) randomTime(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// publishTo delivers a table to the process that a daemon runs now.
func (f *fleet) publishTo(receiver *daemon, published *table.Table) {
	registry := receiver.registry
	f.network.At(f.network.Now()+f.randomTime(f.options.PublishDelay), func() {
		if receiver.registry == registry && !f.network.Stopped(receiver.id) {
			receiver.install(f.network.Now(), published)
		}
	})
}

func (d *daemon) install(now time.Duration, published *table.Table) {
	if published.Version <= d.version {
		return
	}
	d.version = published.Version
	d.held = published
	d.registry.Confirm()
	d.registry.Publish(now, published)
	if d.hasListened(now) {
		d.rebuild(now)
	}
}

// Wake implements simnet.Handler.
func (d *daemon) Wake(now time.Duration, timer uint32) {
	switch timer {
	case timerRegistry:
		d.registry.Tick(now)
		d.fleet.network.Schedule(d.id, registryInterval, timerRegistry)
	case timerLiveness:
		d.checkLiveness(now)
		d.fleet.network.Schedule(d.id, livenessInterval, timerLiveness)
	}
}

// Receive implements simnet.Handler.
func (d *daemon) Receive(now time.Duration, from simnet.NodeID, received message) {
	d.registry.Tick(now)
	grant, granted := d.registry.Receive(now, *received.control.Heartbeat)
	if !granted {
		return
	}
	if d.fleet.options.Liveness == LivenessAgreed {
		grant.Unknown = nil
		grant.Down = d.fleet.unavailableOf(d.fleet.agents[int(from)-len(d.fleet.daemons)].service)
	}
	answer := &control.Datagram{Grant: &grant}
	size := d.fleet.sizer.control(answer)
	d.fleet.network.Send(d.id, from, simnet.Control, size, message{control: answer})
}

func (d *daemon) unavailable(now time.Duration) []table.BackendID {
	if d.fleet.options.Liveness == LivenessAgreed {
		return d.fleet.unavailable
	}
	return d.registry.Unavailable(now)
}

func (d *daemon) checkLiveness(now time.Duration) {
	if d.held == nil || !d.hasListened(now) {
		return
	}
	unavailable := d.unavailable(now)
	if d.fleet.measuring {
		d.fleet.countFalselyDown(unavailable)
	}
	if d.built == nil || !slices.Equal(unavailable, d.reported) {
		d.rebuild(now)
	}
}

func (d *daemon) hasListened(now time.Duration) bool {
	d.listened = d.listened || d.registry.Listened(now)
	return d.listened
}

func (d *daemon) rebuild(now time.Duration) {
	d.reported = slices.Clone(d.unavailable(now))
	d.built = d.fleet.build(d.built, d.held, d.reported)
}

// build returns the product's lookup table. Daemons with equal input share one,
// which changes nothing but the memory and time that a run takes.
func (f *fleet) build(previous *lookup.Table, configuration *table.Table, unavailable []table.BackendID) *lookup.Table {
	key := buildKey{configuration.Version, encodeRows(unavailable)}
	if existing, exists := f.builds[key]; exists {
		return existing
	}
	f.forgetBuilds()
	excluded := make(map[table.BackendID]bool, len(unavailable))
	for _, row := range unavailable {
		excluded[row] = true
	}
	if previous == nil {
		previous = &lookup.Table{}
	}
	built := lookup.Rebuild(previous, configuration, func(row table.BackendID) bool { return !excluded[row] })
	f.builds[key] = built
	return built
}

// rememberedBuilds bounds the lookup tables kept for sharing.
const rememberedBuilds = 64

func (f *fleet) forgetBuilds() {
	if len(f.builds) >= rememberedBuilds {
		clear(f.builds)
	}
}

func encodeRows(rows []table.BackendID) string {
	var encoded []byte
	for _, row := range rows {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(row))
	}
	return string(encoded)
}
