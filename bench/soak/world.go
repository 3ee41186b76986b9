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
	balancerCount = 5
	seedCount     = 3
	// drainTime is how long an endpoint goes on after it has said that it drains.
	drainTime = 4 * time.Second
	// startTime is how long a new machine may take before another leaves.
	startTime = time.Second
)

// side is a machine with an endpoint and its agent.
type side struct {
	number   int
	service  int
	agent    *daemon
	endpoint *endpoint
	leaving  bool
}

// world is everything of a run.
type world struct {
	options Options
	binary  string
	network network
	codec   platformtest.Codec
	ledger  *ledger
	store   *platformtest.Store
	links   []*Proxy
	fabric  *fabric
	clients []*clientHost
	// balancers does not change.
	balancers []*daemon
	running   sync.WaitGroup

	mutex      sync.Mutex
	sides      []*side
	sideNumber int
	identities int
	version    uint64
}

// begin starts everything but the traffic. What it started ends with ctx.
func (w *world) begin(ctx context.Context) error {
	if err := w.serveStore(ctx); err != nil {
		return err
	}
	w.configure()
	for service, spec := range services {
		for range spec.endpoints {
			if err := w.addSide(ctx, service, true); err != nil {
				return err
			}
		}
	}
	for number := range balancerCount {
		if err := w.addBalancer(ctx, number); err != nil {
			return err
		}
	}
	w.fabric = newFabric(w.network, balancerCount)
	w.running.Go(func() { w.fabric.probe(ctx) })
	for zone := range zoneCount {
		host, err := newClientHost(w, zone)
		if err != nil {
			return err
		}
		w.clients = append(w.clients, host)
		w.running.Go(host.run)
		context.AfterFunc(ctx, func() { _ = host.socket.Close() })
	}
	return nil
}

func (w *world) serveStore(ctx context.Context) error {
	listener, err := net.Listen("tcp4", w.network.addrPort(netStore, 0, storePort).String())
	if err != nil {
		return errors.Wrap(err, "store")
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

func (w *world) addBalancer(ctx context.Context, number int) error {
	link, err := NewProxy(w.network.addrPort(netLinks, number, storePort), w.network.addrPort(netStore, 0, storePort))
	if err != nil {
		return err
	}
	w.links = append(w.links, link)
	w.running.Go(func() { link.Run(ctx) })
	settings := balancerSettings(w.network, number, seedCount)
	created, err := newDaemon(w, fmt.Sprint("balancer-", number), settings, settings)
	if err != nil {
		return err
	}
	w.balancers = append(w.balancers, created)
	w.running.Go(func() { created.run(ctx) })
	return nil
}

// addSide starts a machine with an endpoint; first is set when all machines start.
func (w *world) addSide(ctx context.Context, service int, first bool) error {
	w.mutex.Lock()
	number := w.sideNumber
	w.sideNumber++
	w.mutex.Unlock()
	name := services[service].name
	agent, err := newDaemon(w, fmt.Sprint("agent-", number),
		agentSettings(w.network, number, name, first), agentSettings(w.network, number, name, false))
	if err != nil {
		return err
	}
	created := &side{number: number, service: service, agent: agent}
	w.running.Go(func() { agent.run(ctx) })
	if err := w.startEndpoint(ctx, created, w.newIdentity()); err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sides = append(w.sides, created)
	return nil
}

// newIdentity returns a name that no endpoint has had.
func (w *world) newIdentity() directory.EndpointID {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.identities++
	return directory.NameOnlyID(fmt.Sprint("e-", w.identities))
}

// startEndpoint begins a new incarnation of a machine's endpoint.
func (w *world) startEndpoint(ctx context.Context, at *side, id directory.EndpointID) error {
	started, err := newEndpoint(w, id, at.service, w.network.ip(netSides, at.number))
	if err == nil {
		started.zone = zoneName(at.number % zoneCount)
		started.slowness = slownessOf(at.number)
	}
	if err != nil {
		return err
	}
	w.running.Go(started.run)
	context.AfterFunc(ctx, started.end)
	w.mutex.Lock()
	at.endpoint = started
	w.mutex.Unlock()
	w.announce(at, false)
	return nil
}

// announce writes the entry of a machine's endpoint.
func (w *world) announce(at *side, draining bool) {
	entry := w.entry(at)
	entry.Draining = draining
	w.store.PutEndpoint(at.endpoint.id, entry)
}

func (w *world) entry(at *side) directory.Endpoint {
	return directory.Endpoint{
		Service: services[at.service].name, IP: w.network.ip(netSides, at.number), Port: appPort,
		Zone: zoneName(at.number % zoneCount), Slots: services[at.service].slots,
	}
}

// putRubbish writes an entry that names no endpoint, at the address of one.
func (w *world) putRubbish(random *rand.Rand) {
	w.store.PutInvalidEndpoint(random, w.entry(w.anySide(random)))
}

// configure writes a new version of the configuration.
func (w *world) configure() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.version++
	configuration := directory.Configuration{Version: w.version, IdleTimeout: time.Minute}
	for service, spec := range services {
		address := routeAddress(service)
		configuration.Routes = append(configuration.Routes, directory.Route{
			Name: spec.name, IP: address.IP, Port: address.Port, WeightedServices: []directory.WeightedService{{Service: spec.name, Weight: 1}},
			TargetLatency: 250 * time.Millisecond, Timeout: requestTimeout - time.Duration(w.version%2)*time.Millisecond, Retryable: true,
		})
	}
	w.store.PutConfiguration(configuration)
}

// closedTime is how long a zone is closed: long enough to be judged.
const closedTime = 7 * time.Second

// closeZone closes a zone to new flows for a while, unless another is closed.
func (w *world) closeZone(ctx context.Context, zone int) {
	if !w.ledger.closeZone(zoneName(zone)) {
		return
	}
	w.store.CloseZone(zoneName(zone))
	pause(ctx, closedTime)
	w.ledger.openZone()
	w.store.Delete(platformtest.ZoneKey(zoneName(zone)))
}

// endpointOf returns the endpoint of a machine.
func (w *world) endpointOf(at *side) *endpoint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return at.endpoint
}

// clockSteps bounds how far the clock of an endpoint may have stepped back when it starts.
const clockSteps = 10_000

// crash ends an endpoint without notice; another incarnation comes later, under a name of
// its own or, with again, under the one before, whose entry may still be there.
func (w *world) crash(ctx context.Context, victim *side, away time.Duration, again bool) {
	lost := w.endpointOf(victim)
	lost.end()
	pause(ctx, away)
	id := directory.EndpointID{Name: lost.id.Name, Started: time.Now().UnixMilli() - rand.Int64N(clockSteps)}
	if !again {
		w.store.Delete(platformtest.EndpointKey(lost.id))
		id = w.newIdentity()
	}
	if ctx.Err() == nil {
		if err := w.startEndpoint(ctx, victim, id); err != nil {
			w.ledger.ownExit(err.Error(), -1)
		}
	}
	w.mutex.Lock()
	victim.leaving = false
	w.mutex.Unlock()
}

// replace starts a new machine and lets an endpoint drain and end with its own.
func (w *world) replace(ctx context.Context, victim *side) {
	if err := w.addSide(ctx, victim.service, false); err != nil {
		w.ledger.ownExit(err.Error(), -1)
		return
	}
	if !pause(ctx, startTime) {
		return
	}
	w.announce(victim, true)
	w.ledger.left(victim.endpoint.id)
	if !pause(ctx, drainTime) {
		return
	}
	w.store.Delete(platformtest.EndpointKey(victim.endpoint.id))
	victim.endpoint.end()
	victim.agent.remove()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sides = slices.DeleteFunc(w.sides, func(each *side) bool { return each == victim })
}

// anyBalancer returns one of the balancers.
func (w *world) anyBalancer(random *rand.Rand) *daemon {
	return w.balancers[random.IntN(len(w.balancers))]
}

// anySide returns a machine whose endpoint stays.
func (w *world) anySide(random *rand.Rand) *side {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stayingSide(random)
}

// takeSide is like anySide and marks the machine, so that no two faults take the same
// endpoint away.
func (w *world) takeSide(random *rand.Rand) *side {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	taken := w.stayingSide(random)
	taken.leaving = true
	return taken
}

// stayingSide must be called with the mutex held.
func (w *world) stayingSide(random *rand.Rand) *side {
	staying := slices.DeleteFunc(slices.Clone(w.sides), func(each *side) bool { return each.leaving })
	if len(staying) == 0 {
		staying = w.sides
	}
	return staying[random.IntN(len(staying))]
}

// daemons returns all processes.
func (w *world) daemons() []*daemon {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	all := slices.Clone(w.balancers)
	for _, each := range w.sides {
		all = append(all, each.agent)
	}
	return all
}
