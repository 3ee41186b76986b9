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

// restartDelay is how long a machine takes to restart a process that has ended.
const restartDelay = 300 * time.Millisecond

// daemon is the process of a machine, which is restarted whenever it ends. It is safe for
// concurrent use.
type daemon struct {
	name     string
	binary   string
	basePath string
	// restartSettings are the settings of all starts except the first.
	restartSettings string
	checker         *checker

	mutex   sync.Mutex
	process *fleet.Process
	// exitExpected is set when the run ends the process, and killed if it does so with
	// SIGKILL.
	exitExpected bool
	killed       bool
	downtime     time.Duration
	removed      bool
	paused       bool
}

// newDaemon creates a daemon and writes the settings of its first start. It fails if the file
// cannot be written.
func newDaemon(h *harness, name, first, restart string) (*daemon, error) {
	basePath := filepath.Join(h.options.Directory, name)
	created := &daemon{name: name, binary: h.binary, basePath: basePath, restartSettings: restart, checker: h.checker}
	return created, created.writeSettings(first)
}

func (d *daemon) writeSettings(settings string) error {
	return errors.Wrap(os.WriteFile(d.basePath+".toml", []byte(settings), 0o600), "write the settings of a daemon")
}

// supervise starts the process and restarts it whenever it ends, until ctx ends or the machine
// is removed.
func (d *daemon) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		process, err := d.start()
		if err != nil {
			d.checker.unexpectedExit(d.name+": "+err.Error(), -1)
			return
		}
		if process == nil {
			return
		}
		<-process.Done()
		downtime, restart := d.handleExit(process.Exit())
		if !restart || !sleep(ctx, downtime) {
			return
		}
		if err := d.writeSettings(d.restartSettings); err != nil {
			d.checker.unexpectedExit(d.name+": "+err.Error(), -1)
			return
		}
	}
}

// start starts the process. It returns nil if the machine was removed while the process was
// not running.
func (d *daemon) start() (*fleet.Process, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.removed {
		return nil, nil
	}
	process, err := fleet.Start(d.name, d.binary, d.basePath+".toml", d.basePath+".log")
	d.process = process
	d.exitExpected = false
	d.paused = false
	if d.killed {
		d.checker.faultChanged()
	}
	d.killed = false
	return process, err
}

// handleExit records an unexpected exit. It returns the wait before the restart and whether
// to restart.
func (d *daemon) handleExit(exit fleet.Exit) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.exitExpected {
		d.checker.unexpectedExit(d.name, exit.Code)
	}
	downtime := restartDelay + d.downtime
	d.downtime = 0
	return downtime, !d.removed
}

// kill ends the process with SIGKILL. The restart follows after restartDelay plus downtime.
func (d *daemon) kill(downtime time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.downtime = downtime
	d.signal(syscall.SIGKILL)
}

// terminate asks the process to shut down with SIGTERM. It is restarted afterwards.
func (d *daemon) terminate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.signal(syscall.SIGTERM)
}

// remove asks the process to shut down with SIGTERM. It is not restarted.
func (d *daemon) remove() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.removed = true
	d.signal(syscall.SIGTERM)
}

// signal sends SIGKILL or SIGTERM to the process and marks its exit as expected. The mutex must
// be held.
func (d *daemon) signal(signal syscall.Signal) {
	d.exitExpected = true
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

// setPaused pauses or resumes the process.
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

// reload makes the process reload its settings, unless it is paused.
func (d *daemon) reload() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process != nil && d.process.Running() && !d.paused {
		_ = d.process.Reload()
	}
}

// seedAddresses returns the addresses of the seeds as elements of an array.
func seedAddresses(n network) string {
	var addresses []string
	for seed := range seedCount {
		addresses = append(addresses, fmt.Sprintf("%q", n.addrPort(netBalancers, seed, exchangePort)))
	}
	return strings.Join(addresses, ", ")
}

func balancerSettings(n network, number int, first bool) string {
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
first_start = %t
`, number, zoneName(number%zoneCount),
		n.addrPort(netBalancers, number, healthPort), n.addrPort(netBalancers, number, peerPort),
		n.addrPort(netBalancers, number, packetPort), n.addrPort(netProxies, number, storePort),
		n.addrPort(netBalancers, number, exchangePort), seedAddresses(n), first)
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
seeds = [%s]
balancer_port = %d
`, number, zoneName(number%zoneCount), n.addrPort(netMachines, number, healthPort), n.addrPort(netMachines, number, packetPort),
		service, n.addrPort(netMachines, number, appPort), n.addrPort(netMachines, number, emittedPort), first, seedAddresses(n), peerPort)
}
