// This file implements one daemon of the cluster as a process.

package table

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/internal/adminapi"
)

// The ports of every daemon, each of which has its own address.
const (
	clusterPort       = 17_110
	controlPort       = 17_111
	balancerPort      = 17_112
	observabilityPort = 17_113
	apiPort           = 17_114
)

// zoneNames are the zones that daemons are in, in turn.
var zoneNames = []string{"casablanca-1", "casablanca-2", "kolkata-1", "kolkata-2", "lima-1", "lima-2"}

// daemon is one daemon, whose process may be started several times.
type daemon struct {
	name    string
	zone    string
	address netip.Addr
	path    string
	binary  string
	client  *adminapi.Client

	mutex   sync.Mutex
	process *fleet.Process
	paused  bool
	// upSince is when the daemon was last disturbed no more, zero while it is.
	upSince time.Time
	// version is the version in force that was sampled last.
	version uint64
}

// endpoint returns one of the daemon's addresses.
func (d *daemon) endpoint(port uint16) netip.AddrPort { return netip.AddrPortFrom(d.address, port) }

// settings returns the text of the daemon's settings file.
func (d *daemon) settings(c *cluster) string {
	text := fmt.Sprintf("name = %q\nzone = %q\n", d.name, d.zone)
	text += fmt.Sprintf("[observability]\nlisten = %q\n", d.endpoint(observabilityPort))
	text += fmt.Sprintf("[platform]\nconfiguration_url = %q\nmachines_url = %q\n", c.configurationURL, c.machinesURL)
	text += fmt.Sprintf("[control]\nlisten = %q\n[balancer]\nlisten = %q\n", d.endpoint(controlPort), d.endpoint(balancerPort))
	text += fmt.Sprintf("[api]\nlisten = %q\ncertificate = %q\nkey = %q\ntokens = %q\n",
		d.endpoint(apiPort), c.identity.certificatePath, c.identity.keyPath, c.identity.tokensPath)
	text += fmt.Sprintf("[cluster]\nlisten = %q\nvoters = %d\nzones = %s\nseeds = %s\n",
		d.endpoint(clusterPort), voters, quoted(zoneNames), quoted(c.seeds()))
	return text
}

func quoted(items []string) string {
	text := "["
	for index, item := range items {
		if index > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", item)
	}
	return text + "]"
}

// start runs a process of the daemon. The log is continued.
func (d *daemon) start() error {
	process, err := fleet.Start(d.name, d.binary, d.path+".toml", d.path+".log")
	if err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.process, d.paused = process, false
	return nil
}

// pause stops the process without its noticing.
func (d *daemon) pause() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.upSince = time.Time{}
	d.paused = true
	return d.process.Pause()
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() error {
	d.mutex.Lock()
	d.upSince = time.Time{}
	d.paused = false
	process := d.process
	d.mutex.Unlock()
	err := process.Kill()
	<-process.Done()
	return err
}

// resume continues a paused process, which is up from then on.
func (d *daemon) resume() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = false
	d.upSince = time.Now()
	return d.process.Resume()
}

// stop ends the process, as planned if it does so in time.
func (d *daemon) stop(grace time.Duration) {
	if d.process == nil {
		return
	}
	_ = d.process.Resume()
	_ = d.process.Terminate()
	select {
	case <-d.process.Done():
	case <-time.After(grace):
		_ = d.process.Kill()
		<-d.process.Done()
	}
}

// sampled takes in a sample of the version and returns the version sampled
// before, and since when the daemon is up.
func (d *daemon) sampled(version uint64) (before uint64, upSince time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	before = d.version
	d.version = version
	if d.upSince.IsZero() && !d.paused && version > 0 {
		d.upSince = time.Now()
	}
	return before, d.upSince
}

// up reports whether the daemon is not disturbed.
func (d *daemon) up() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.upSince.IsZero()
}

// write writes the settings file.
func (d *daemon) write(c *cluster) error {
	d.path = filepath.Join(c.options.Directory, d.name)
	return errors.Wrap(os.WriteFile(d.path+".toml", []byte(d.settings(c)), fileMode), "settings")
}
