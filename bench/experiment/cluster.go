// This file implements the start and stop of everything an experiment needs.

package experiment

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/caller"
	"github.com/vanetiller/vanetiller/bench/fabric"
	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// Options configures one run.
type Options struct {
	Shape      Shape
	Experiment Experiment
	Seed       uint64
	// Duration is the length of the event phase.
	Duration time.Duration
	// Baseline names a simpler method to run for comparison. It is empty for the product.
	Baseline string
	// Directory receives the daemon binary, settings and logs.
	Directory string
	// Progress receives one line for each step.
	Progress io.Writer
}

// Cluster holds the daemons, simulated callers and back ends, fabric and platform of a run. Only
// one goroutine at a time may apply events.
type Cluster struct {
	options     Options
	platform    *platform.Platform
	fabric      *fabric.Fabric
	fleet       *fleet.Fleet
	recorder    *backend.Recorder
	stack       *caller.Stack
	client      *caller.Client
	acceptances *acceptances
	running     *errgroup.Group
	started     time.Time

	mutex     sync.Mutex
	version   table.Version
	balancers []*balancerMember
	endpoints []*endpointMember
	// expectedExits holds the processes that the run has ended or is ending.
	expectedExits map[*fleet.Process]expectedExit
	faults        []string
	agentKills    []kill
	drainPeriods  []drainPeriod
}

type expectedExit int

const (
	exitPlanned expectedExit = iota
	exitKilled
)

const (
	portsPerBalancer = 3
	portsPerEndpoint = 2
	connectTimeout   = 20 * time.Second
	progressTimeout  = 20 * time.Second
	healthTimeout    = 15 * time.Second
)

// NewCluster opens the sockets and starts the daemons. It fails if the daemon cannot be built, a
// socket cannot be opened or a daemon does not become healthy. The returned cluster must be
// stopped also after an error.
func NewCluster(ctx context.Context, options Options) (*Cluster, error) {
	cluster := &Cluster{
		options:       options,
		recorder:      backend.NewRecorder(),
		expectedExits: make(map[*fleet.Process]expectedExit),
		started:       time.Now(),
	}
	cluster.running, ctx = errgroup.WithContext(ctx)
	steps := []func(context.Context) error{
		cluster.build, cluster.startMembers, cluster.startNetwork, cluster.startDaemons,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return cluster, err
		}
	}
	return cluster, nil
}

func (c *Cluster) build(ctx context.Context) error {
	c.progress("building the daemon")
	directory, err := filepath.Abs(c.options.Directory)
	if err != nil {
		return errors.Wrap(err, "make the path of the run's directory absolute")
	}
	built, err := fleet.New(ctx, directory)
	c.fleet = built
	return err
}

func (c *Cluster) startNetwork(ctx context.Context) error {
	backendOf := make(map[netip.AddrPort]string, len(c.endpoints))
	for _, member := range c.endpoints {
		backendOf[member.agent] = member.row.Name
	}
	c.acceptances = newAcceptances(backendOf)
	var err error
	c.platform, err = platform.New(fleet.AnyPort())
	if err != nil {
		return err
	}
	c.fabric, err = fabric.New(fabric.Settings{
		Listen:   fleet.AnyPort(),
		Requests: c.options.Experiment.Network,
		Answers:  c.options.Experiment.Network,
		Seed:     c.options.Seed,
		OnAccept: func(opening fabric.AcceptedConnection) { c.acceptances.observe(time.Now(), opening) },
	})
	if err != nil {
		return err
	}
	c.stack, err = caller.NewStack(c.fabric, c.options.Shape.Callers)
	if err != nil {
		return err
	}
	c.client = &caller.Client{Dialer: c.stack, ConnectTimeout: connectTimeout, ProgressTimeout: progressTimeout}
	c.running.Go(func() error { return c.platform.Run(ctx) })
	c.running.Go(func() error { return c.fabric.Run(ctx) })
	c.running.Go(func() error { return c.stack.Run(ctx) })
	return nil
}

func (c *Cluster) startMembers(ctx context.Context) error {
	names := c.options.Shape.balancerNames()
	endpoints := 0
	for _, service := range c.options.Shape.Services {
		endpoints += service.Endpoints + service.Spares
	}
	addresses, err := fleet.FreeAddresses(len(names)*portsPerBalancer + endpoints*portsPerEndpoint)
	if err != nil {
		return err
	}
	ports := &addressPool{addresses}
	for i, name := range names {
		c.balancers = append(c.balancers, &balancerMember{
			name: name, zone: c.zone(i),
			listen: ports.next(), control: ports.next(), observability: ports.next(),
		})
	}
	for _, service := range c.options.Shape.Services {
		if err := c.startBackends(ctx, service, ports); err != nil {
			return err
		}
	}
	return nil
}

type addressPool struct{ free []netip.AddrPort }

func (p *addressPool) next() netip.AddrPort {
	address := p.free[0]
	p.free = p.free[1:]
	return address
}

func (c *Cluster) startBackends(ctx context.Context, service ServiceShape, ports *addressPool) error {
	for i, name := range service.endpointNames() {
		created, err := newServer(service, backend.Settings{
			Service: service.Name, Name: name, Listen: fleet.AnyPort(),
			Slots: service.Slots, WorkTime: submissionTime, Recorder: c.recorder,
		})
		if err != nil {
			return err
		}
		c.running.Go(func() error { return created.Run(ctx) })
		member := &endpointMember{
			service: service.Name, zone: c.zone(i), backend: created,
			agent: ports.next(), observability: ports.next(),
		}
		member.row = table.Backend{
			ID: table.BackendID(len(c.endpoints) + 1), Service: service.ID, Name: name, Incarnation: 1,
			Agent:  table.Endpoint(member.agent.String()),
			Weight: initialWeight, ConnectionLimit: connectionLimit,
		}
		c.endpoints = append(c.endpoints, member)
	}
	return nil
}

func (c *Cluster) zone(number int) string {
	return fmt.Sprintf("%s-%d", c.options.Shape.Name, number%c.options.Shape.Zones+1)
}

// startDaemons starts the agents and balancers that are not spares and waits until all are
// healthy.
func (c *Cluster) startDaemons(ctx context.Context) error {
	c.progress("starting %d balancers and the agents", c.options.Shape.Balancers)
	position := 0
	for _, service := range c.options.Shape.Services {
		for i := range service.Endpoints + service.Spares {
			member := c.endpoints[position]
			position++
			if i >= service.Endpoints {
				continue
			}
			if err := c.startAgent(member); err != nil {
				return err
			}
		}
	}
	c.publishTable()
	for _, member := range c.balancers[:c.options.Shape.Balancers] {
		if err := c.startBalancer(member); err != nil {
			return err
		}
	}
	c.publishMachines()
	c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.RevisionSkew})
	if err := c.waitHealthy(ctx); err != nil {
		return err
	}
	for _, member := range c.balancers[:c.options.Shape.Balancers] {
		c.fabric.AddBalancer(member.listen)
	}
	return nil
}

func (c *Cluster) waitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return c.forEachDaemon(func(process *fleet.Process, observability netip.AddrPort) error {
		return fleet.WaitHealthy(ctx, process, observability)
	})
}

// saveMetrics saves the metrics of all running daemons. They show which packets were dropped and
// why.
func (c *Cluster) saveMetrics(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	err := c.forEachDaemon(func(process *fleet.Process, observability netip.AddrPort) error {
		return c.fleet.SaveMetrics(ctx, process, observability)
	})
	if err != nil {
		c.recordFault("%v", err)
	}
}

// forEachDaemon calls action for every running daemon and stops at the first error.
func (c *Cluster) forEachDaemon(action func(*fleet.Process, netip.AddrPort) error) error {
	for _, member := range c.balancers {
		if member.process == nil || !member.process.Running() {
			continue
		}
		if err := action(member.process, member.observability); err != nil {
			return err
		}
	}
	for _, member := range c.endpoints {
		if member.process == nil || !member.process.Running() {
			continue
		}
		if err := action(member.process, member.observability); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends the daemons. The sockets are closed when the context of NewCluster ends.
func (c *Cluster) Stop() {
	if c.fleet == nil {
		return
	}
	c.expectAllExits()
	for _, process := range c.fleet.Stop(agentExitLimit) {
		c.recordFault("%s did not stop in time and was killed", process.Name())
	}
}

// recordFault records a failure that is not the failure of a flow, such as the unexpected exit of
// a daemon.
func (c *Cluster) recordFault(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.progress("fault: %s", text)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, text)
}

func (c *Cluster) progress(format string, arguments ...any) {
	elapsed := time.Since(c.started).Seconds()
	fmt.Fprintf(c.options.Progress, "%6.1fs %s\n", elapsed, fmt.Sprintf(format, arguments...))
}
