// This file implements one daemon of the cluster as a process.

package table

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

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
	command *exec.Cmd
	ended   chan struct{}
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
	log, err := os.OpenFile(d.path+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errors.Wrap(err, d.name)
	}
	command := exec.Command(d.binary, "-settings", d.path+".toml")
	// A group of its own keeps an interrupt typed at the terminal from it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return errors.Wrap(err, d.name)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait()
		_ = log.Close()
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.command, d.ended, d.paused = command, ended, false
	return nil
}

// disturb ends the time in which the daemon is up, and signals its process.
func (d *daemon) disturb(signal syscall.Signal) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.upSince = time.Time{}
	d.paused = signal == syscall.SIGSTOP
	return errors.Wrapf(d.command.Process.Signal(signal), "signal %s", d.name)
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() error {
	err := d.disturb(syscall.SIGKILL)
	<-d.ended
	return err
}

// resume continues a paused process, which is up from then on.
func (d *daemon) resume() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.paused = false
	d.upSince = time.Now()
	return errors.Wrapf(d.command.Process.Signal(syscall.SIGCONT), "signal %s", d.name)
}

// stop ends the process, as planned if it does so in time.
func (d *daemon) stop(grace time.Duration) {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGCONT)
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(grace):
		_ = d.command.Process.Kill()
		<-d.ended
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
