package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/fleet"
)

// restartDelay is how long a machine takes to start an ended process again.
const restartDelay = 300 * time.Millisecond

// daemon is a machine's process, which is started again whenever it ends. It is
// safe for concurrent use.
type daemon struct {
	name   string
	binary string
	base   string
	// later are the settings of all starts but the first.
	later  string
	ledger *ledger

	mutex   sync.Mutex
	process *fleet.Process
	// expected is set while the process is being ended from outside, and killed if
	// that was not planned.
	expected bool
	killed   bool
	away     time.Duration
	removed  bool
	paused   bool
}

// newDaemon writes the settings of a process's first start. It fails if the file
// cannot be written.
func newDaemon(w *world, name, first, later string) (*daemon, error) {
	base := filepath.Join(w.options.Directory, name)
	created := &daemon{name: name, binary: w.binary, base: base, later: later, ledger: w.ledger}
	return created, created.write(first)
}

func (d *daemon) write(settings string) error {
	return errors.Wrap(os.WriteFile(d.base+".toml", []byte(settings), 0o600), "settings")
}

// run keeps the process running until ctx ends or the machine is removed.
func (d *daemon) run(ctx context.Context) {
	for ctx.Err() == nil {
		process, err := d.start()
		if err != nil {
			d.ledger.ownExit(d.name+": "+err.Error(), -1)
			return
		}
		if process == nil {
			return
		}
		<-process.Done()
		away, goesOn := d.ended(process.Exit())
		if !goesOn || !pause(ctx, away) {
			return
		}
		if err := d.write(d.later); err != nil {
			d.ledger.ownExit(d.name+": "+err.Error(), -1)
			return
		}
	}
}

// start starts the process. It returns none if the machine has been removed, as it may be
// while the process is away.
func (d *daemon) start() (*fleet.Process, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.removed {
		return nil, nil
	}
	process, err := fleet.Start(d.name, d.binary, d.base+".toml", d.base+".log")
	d.process = process
	d.expected = false
	d.paused = false
	if d.killed {
		d.ledger.disturb()
	}
	d.killed = false
	return process, err
}

// ended notes how the process ended, and returns how long it stays away and whether
// it is started again.
func (d *daemon) ended(exit fleet.Exit) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.expected {
		d.ledger.ownExit(d.name, exit.Code)
	}
	away := restartDelay + d.away
	d.away = 0
	return away, !d.removed
}

// kill ends the process at once, and keeps it away for a time.
func (d *daemon) kill(away time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.away = away
	d.end(syscall.SIGKILL)
}

// stop asks the process to end as planned.
func (d *daemon) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.end(syscall.SIGTERM)
}

// remove ends the process as planned, for good.
func (d *daemon) remove() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.removed = true
	d.end(syscall.SIGTERM)
}

// end signals the process that it ends. The mutex must be held.
func (d *daemon) end(signal syscall.Signal) {
	d.expected = true
	if d.process == nil || !d.process.Running() {
		return
	}
	if signal == syscall.SIGKILL {
		d.killed = true
		_ = d.process.Kill()
		return
	}
	_ = d.process.Resume()
	_ = d.process.Terminate()
}

// setPaused freezes the process or lets it go on.
func (d *daemon) setPaused(paused bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process == nil || !d.process.Running() {
		return
	}
	d.paused = paused
	if paused {
		_ = d.process.Pause()
		return
	}
	_ = d.process.Resume()
}

// reload tells the process that its settings have changed.
func (d *daemon) reload() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process != nil && d.process.Running() && !d.paused {
		_ = d.process.Reload()
	}
}

func balancerSettings(n network, number, seeds int) string {
	var named []string
	for seed := range seeds {
		named = append(named, fmt.Sprintf("%q", n.addrPort(netBalancers, seed, exchangePort)))
	}
	return fmt.Sprintf(`name = "balancer-%d"
zone = %q
[observability]
listen = %q
[relay]
peers = %q
stop_timeout = "6s"
[relay.balancer]
listen = %q
store = %q
store_rate = 2000
exchange = %q
seeds = [%s]
zones = ["zone-1", "zone-2", "zone-3"]
`, number, zoneName(number%zoneCount),
		n.addrPort(netBalancers, number, healthPort), n.addrPort(netBalancers, number, peerPort),
		n.addrPort(netBalancers, number, packetPort), n.addrPort(netLinks, number, storePort),
		n.addrPort(netBalancers, number, exchangePort), strings.Join(named, ", "))
}

func agentSettings(n network, number int, service string, first bool) string {
	return fmt.Sprintf(`name = "agent-%d"
zone = %q
[observability]
listen = %q
[relay]
peers = %q
stop_timeout = "6s"
[relay.agent]
service = %q
endpoint = %q
emitted = %q
first_start = %t
`, number, zoneName(number%zoneCount), n.addrPort(netSides, number, healthPort), n.addrPort(netSides, number, packetPort),
		service, n.addrPort(netSides, number, appPort), n.addrPort(netSides, number, emittedPort), first)
}
