// This file implements the start and end of the daemons and the platform.

package table

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// voters is how many daemons agree on changes; the others follow.
	voters = 9
	// seedCount is how many daemons the others know at the start.
	seedCount = 5
	// rows is the number of back end rows.
	rows = 40
	// stopGrace is how long a planned stop may take.
	stopGrace = 15 * time.Second
	// settleInterval is the time between two looks at a state to be reached.
	settleInterval = 200 * time.Millisecond
)

// cluster is the daemons of a run.
type cluster struct {
	options          Options
	daemons          []*daemon
	identity         *identity
	platform         *platform.Platform
	configurationURL string
	machinesURL      string

	mutex   sync.Mutex
	current *table.Table
}

// addressOf returns the address of a daemon. Runs at the same time differ by
// process.
func addressOf(number int) netip.Addr {
	process := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + (process/256)%128), byte(process), byte(number + 1)})
}

func newCluster(ctx context.Context, options Options) (*cluster, error) {
	built, err := fleet.New(ctx, options.Directory)
	if err != nil {
		return nil, err
	}
	served, err := platform.New(fleet.AnyPort())
	if err != nil {
		return nil, err
	}
	created := &cluster{
		options: options, platform: served, current: firstTable(),
		configurationURL: served.URL(platform.PathConfiguration),
		machinesURL:      served.URL(platform.PathMachines),
	}
	created.platform.PublishTable(created.current)
	created.platform.PublishMachines([]platform.Machine{})
	return created, created.addDaemons(filepath.Join(built.Directory(), "vanetillerd"))
}

func (c *cluster) addDaemons(binary string) error {
	var addresses []netip.Addr
	for number := range c.options.Daemons {
		addresses = append(addresses, addressOf(number))
		c.daemons = append(c.daemons, &daemon{
			name: fmt.Sprintf("balancer-%02d", number), zone: zoneNames[number%len(zoneNames)],
			address: addressOf(number), binary: binary,
		})
	}
	var err error
	if c.identity, err = newIdentity(c.options.Directory, addresses); err != nil {
		return err
	}
	for _, added := range c.daemons {
		server := "https://" + added.endpoint(apiPort).String()
		if added.client, err = adminapi.NewClient(server, c.identity.token, c.identity.client); err != nil {
			return err
		}
		if err := added.write(c); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the cluster addresses of the first daemons.
func (c *cluster) seeds() []string {
	var addresses []string
	for number := range seedCount {
		addresses = append(addresses, netip.AddrPortFrom(addressOf(number), clusterPort).String())
	}
	return addresses
}

// firstTable returns the platform's first table: one service with all rows.
func firstTable() *table.Table {
	created := &table.Table{Version: 1, Services: []table.Service{
		{ID: 1, Name: "audio", Address: "198.51.100.1:80", Protocol: table.ProtocolTCP, Owner: "gateway"},
	}}
	for number := range rows {
		created.Backends = append(created.Backends, table.Backend{
			ID: table.BackendID(number + 1), Service: 1, Name: fmt.Sprintf("audio-%d", number+1), Incarnation: 1,
			Agent: table.Endpoint(fmt.Sprintf("192.0.2.%d:6081", number+1)), Weight: 10, ConnectionLimit: 100,
		})
	}
	return created
}

// start starts all daemons and waits until each has a table.
func (c *cluster) start(ctx context.Context) error {
	for _, started := range c.daemons {
		if err := started.start(); err != nil {
			return err
		}
	}
	err := c.await(ctx, "every daemon has a table", func() bool { return c.allUp() || c.ended() != nil })
	if ended := c.ended(); ended != nil {
		return errors.Errorf("%s ended at its start; its log tells why", ended.name)
	}
	return err
}

func (c *cluster) allUp() bool {
	for _, started := range c.daemons {
		if !started.up() {
			return false
		}
	}
	return true
}

// ended returns a daemon whose process has ended, nil if there is none.
func (c *cluster) ended() *daemon {
	for _, started := range c.daemons {
		select {
		case <-started.process.Done():
			return started
		default:
		}
	}
	return nil
}

// await returns when a condition holds. It fails when ctx ends first.
func (c *cluster) await(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting until "+what)
		case <-ticker.C:
		}
	}
	return nil
}

// stop ends all daemons.
func (c *cluster) stop() {
	var stopping sync.WaitGroup
	for _, stopped := range c.daemons {
		stopping.Go(func() { stopped.stop(stopGrace) })
	}
	stopping.Wait()
}

// publishRevision makes the platform alter the connection limit of all rows,
// which no operator does.
func (c *cluster) publishRevision() uint32 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := c.current.Clone()
	next.Version++
	for index := range next.Backends {
		next.Backends[index].ConnectionLimit++
	}
	c.current = next
	c.platform.PublishTable(next)
	return next.Backends[0].ConnectionLimit
}

// platformLimit returns the connection limit that the platform wants.
func (c *cluster) platformLimit() uint32 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current.Backends[0].ConnectionLimit
}

func (c *cluster) progress(format string, arguments ...any) {
	if c.options.Progress == nil {
		c.options.Progress = io.Discard
	}
	fmt.Fprintf(c.options.Progress, format+"\n", arguments...)
}
