package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/platform/platformtest"
)

const (
	// balancersPerScale is the number of balancers at scale 1.
	balancersPerScale = 5
	seedCount         = 3
	// drainTime is how long a draining endpoint keeps running.
	drainTime = 4 * time.Second
	// machineStartTime is the wait between the start of a replacement machine and the drain
	// of the machine that it replaces.
	machineStartTime = time.Second
)

// machine runs an endpoint and the agent beside it. It is reserved while a fault takes its
// endpoint away.
type machine struct {
	number   int
	service  int
	agent    *daemon
	endpoint *endpoint
	reserved bool
}

// harness holds the processes, simulated peers and store of a run.
type harness struct {
	options Options
	binary  string
	network network
	codec   platformtest.Codec
	checker *checker
	store   *platformtest.Store
	proxies []*Proxy
	fabric  *fabric
	clients []*clientHost
	// balancers does not change after start.
	balancers []*daemon
	running   sync.WaitGroup

	mutex                sync.Mutex
	machines             []*machine
	nextMachine          int
	endpointCount        int
	configurationVersion uint64
}

// start starts the store, proxies, endpoints, processes, fabric and client sockets, but sends
// no traffic. Everything it started ends with ctx, except processes, which stop ends.
func (h *harness) start(ctx context.Context) error {
	if err := h.serveStore(ctx); err != nil {
		return err
	}
	h.publishConfiguration()
	for service, spec := range services {
		for range spec.endpoints * h.options.Scale {
			if err := h.addMachine(ctx, service, true); err != nil {
				return err
			}
		}
	}
	for number := range balancersPerScale * h.options.Scale {
		if err := h.addBalancer(ctx, number); err != nil {
			return err
		}
	}
	h.fabric = newFabric(h.network, len(h.balancers))
	h.running.Go(func() { h.fabric.probe(ctx) })
	for zone := range zoneCount {
		host, err := newClientHost(h, zone)
		if err != nil {
			return err
		}
		h.clients = append(h.clients, host)
		h.running.Go(host.run)
		context.AfterFunc(ctx, func() { _ = host.socket.Close() })
	}
	return nil
}

func (h *harness) serveStore(ctx context.Context) error {
	listener, err := net.Listen("tcp4", h.network.addrPort(netStore, 0, storePort).String())
	if err != nil {
		return errors.Wrap(err, "open the listener of the store")
	}
	server := &http.Server{Handler: h.store, ReadHeaderTimeout: time.Minute}
	h.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

func (h *harness) addBalancer(ctx context.Context, number int) error {
	proxy, err := NewProxy(h.network.addrPort(netProxies, number, storePort), h.network.addrPort(netStore, 0, storePort))
	if err != nil {
		return err
	}
	h.proxies = append(h.proxies, proxy)
	h.running.Go(func() { proxy.Run(ctx) })
	created, err := newDaemon(h, fmt.Sprint("balancer-", number),
		balancerSettings(h.network, number, true), balancerSettings(h.network, number, false))
	if err != nil {
		return err
	}
	h.balancers = append(h.balancers, created)
	h.running.Go(func() { created.supervise(ctx) })
	return nil
}

// addMachine starts a machine with an endpoint. first is set if all machines of the run start
// together. The agent then has the setting first_start at its first start.
func (h *harness) addMachine(ctx context.Context, service int, first bool) error {
	h.mutex.Lock()
	number := h.nextMachine
	h.nextMachine++
	h.mutex.Unlock()
	name := services[service].name
	agent, err := newDaemon(h, fmt.Sprint("agent-", number),
		agentSettings(h.network, number, name, first), agentSettings(h.network, number, name, false))
	if err != nil {
		return err
	}
	created := &machine{number: number, service: service, agent: agent}
	h.running.Go(func() { agent.supervise(ctx) })
	if err := h.startEndpoint(ctx, created, h.newEndpointID()); err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.machines = append(h.machines, created)
	return nil
}

// newEndpointID returns an ID that no endpoint of the run has used.
func (h *harness) newEndpointID() directory.EndpointID {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.endpointCount++
	return directory.NameOnlyID(fmt.Sprint("e-", h.endpointCount))
}

// startEndpoint starts a new incarnation of a machine's endpoint and publishes its entry.
func (h *harness) startEndpoint(ctx context.Context, owner *machine, id directory.EndpointID) error {
	started, err := newEndpoint(h, id, owner.service, h.network.ip(netMachines, owner.number))
	if err == nil {
		started.zone = zoneName(owner.number % zoneCount)
		started.slowdown = slowdownOf(owner.number)
	}
	if err != nil {
		return err
	}
	h.running.Go(started.run)
	context.AfterFunc(ctx, started.stop)
	h.mutex.Lock()
	owner.endpoint = started
	h.mutex.Unlock()
	h.publishEndpoint(owner, false)
	return nil
}

// publishEndpoint writes the entry of a machine's endpoint to the store.
func (h *harness) publishEndpoint(owner *machine, draining bool) {
	entry := h.endpointEntry(owner)
	entry.Draining = draining
	h.store.PutEndpoint(owner.endpoint.id, entry)
}

func (h *harness) endpointEntry(owner *machine) directory.Endpoint {
	return directory.Endpoint{
		Service: services[owner.service].name, IP: h.network.ip(netMachines, owner.number), Port: appPort,
		Zone: zoneName(owner.number % zoneCount), Slots: services[owner.service].slots,
	}
}

// publishInvalidEndpoint writes an invalid entry to the store, as a faulty writer would, with
// the address of an existing endpoint.
func (h *harness) publishInvalidEndpoint(random *rand.Rand) {
	h.store.PutInvalidEndpoint(random, h.endpointEntry(h.randomMachine(random)))
}

// publishConfiguration writes the next version of the configuration to the store.
func (h *harness) publishConfiguration() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.configurationVersion++
	configuration := directory.Configuration{Version: h.configurationVersion, IdleTimeout: time.Minute}
	for service, spec := range services {
		address := routeAddress(service)
		configuration.Routes = append(configuration.Routes, directory.Route{
			Name: spec.name, IP: address.IP, Port: address.Port, WeightedServices: []directory.WeightedService{{Service: spec.name, Weight: 1}},
			TargetLatency: 250 * time.Millisecond, Timeout: requestTimeout - time.Duration(h.configurationVersion%2)*time.Millisecond, Retryable: true,
		})
	}
	h.store.PutConfiguration(configuration)
}

// zoneClosedTime is how long a zone stays closed. It is longer than closeTimeout and
// timingSlack together, so that the checker can detect late flows.
const zoneClosedTime = 7 * time.Second

// closeZone closes a zone to new flows for zoneClosedTime, unless a zone is closed already.
func (h *harness) closeZone(ctx context.Context, zone int) {
	if !h.checker.zoneClosed(zoneName(zone)) {
		return
	}
	h.store.CloseZone(zoneName(zone))
	sleep(ctx, zoneClosedTime)
	h.checker.zoneOpened()
	h.store.Delete(platformtest.ZoneKey(zoneName(zone)))
}

// currentEndpoint returns the running incarnation of a machine's endpoint.
func (h *harness) currentEndpoint(owner *machine) *endpoint {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return owner.endpoint
}

// maxClockStep is how far, in milliseconds, the clock of a restarted endpoint may have stepped
// back.
const maxClockStep = 10_000

// crash ends an endpoint without a drain and starts another incarnation after the downtime.
// With sameName, the new incarnation keeps the name, and the old entry may still be in the
// store. Otherwise it has a new name and the old entry is deleted.
func (h *harness) crash(ctx context.Context, target *machine, downtime time.Duration, sameName bool) {
	crashed := h.currentEndpoint(target)
	crashed.stop()
	sleep(ctx, downtime)
	id := directory.EndpointID{Name: crashed.id.Name, Started: time.Now().UnixMilli() - rand.Int64N(maxClockStep)}
	if !sameName {
		h.store.Delete(platformtest.EndpointKey(crashed.id))
		id = h.newEndpointID()
	}
	if ctx.Err() == nil {
		if err := h.startEndpoint(ctx, target, id); err != nil {
			h.checker.unexpectedExit(err.Error(), -1)
		}
	}
	h.mutex.Lock()
	target.reserved = false
	h.mutex.Unlock()
}

// replace starts a new machine, then drains the endpoint of the target and removes the target. If the
// end is not announced, the entry goes at once and the endpoint keeps running for drainTime.
func (h *harness) replace(ctx context.Context, target *machine, announced bool) {
	if err := h.addMachine(ctx, target.service, false); err != nil {
		h.checker.unexpectedExit(err.Error(), -1)
		return
	}
	if !sleep(ctx, machineStartTime) {
		return
	}
	if announced {
		h.publishEndpoint(target, true)
	} else {
		h.store.Delete(platformtest.EndpointKey(target.endpoint.id))
	}
	h.checker.drainStarted(target.endpoint.id)
	if !sleep(ctx, drainTime) {
		return
	}
	h.store.Delete(platformtest.EndpointKey(target.endpoint.id))
	target.endpoint.stop()
	target.agent.remove()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.machines = slices.DeleteFunc(h.machines, func(m *machine) bool { return m == target })
}

// randomBalancer returns one of the balancers.
func (h *harness) randomBalancer(random *rand.Rand) *daemon {
	return h.balancers[random.IntN(len(h.balancers))]
}

// randomMachine returns a machine that no fault has reserved.
func (h *harness) randomMachine(random *rand.Rand) *machine {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.chooseMachine(random)
}

// reserveMachine is like randomMachine but also reserves the machine, so that no two faults
// take the same endpoint away.
func (h *harness) reserveMachine(random *rand.Rand) *machine {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	chosen := h.chooseMachine(random)
	chosen.reserved = true
	return chosen
}

// chooseMachine returns a machine that is not reserved, or any machine if all are. The mutex
// must be held.
func (h *harness) chooseMachine(random *rand.Rand) *machine {
	available := slices.DeleteFunc(slices.Clone(h.machines), func(m *machine) bool { return m.reserved })
	if len(available) == 0 {
		available = h.machines
	}
	return available[random.IntN(len(available))]
}

// daemons returns the balancers and the agents.
func (h *harness) daemons() []*daemon {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	all := slices.Clone(h.balancers)
	for _, m := range h.machines {
		all = append(all, m.agent)
	}
	return all
}
