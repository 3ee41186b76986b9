package flownet

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// queueDiscipline is the discipline that the deployments configure, rather than the default
// of the settings.
const queueDiscipline = requestqueue.DisciplineEarliestDue

// agentLogic is the decision logic of an agent: that of the product or of a baseline.
type agentLogic interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	HandleEndpointPacket(now time.Duration, packet []byte) []relay.Effect
	Tick(now time.Duration) []relay.Effect
	Stop(now time.Duration) []relay.Effect
	SetSeeds(seeds []segment.Address)
}

// endpointHost is one machine that runs an endpoint and its agent.
type endpointHost struct {
	world    *world
	id       directory.EndpointID
	ip       [4]byte
	zone     int
	zoneName string
	service  Service
	draining bool
	removed  bool
	agent    *agentNode
	endpoint *endpoint
}

// agentNode simulates the process of an agent.
type agentNode struct {
	host  *endpointHost
	id    simnet.NodeID
	logic agentLogic
}

func (w *world) addEndpointHost(service Service, zone int, first bool) *endpointHost {
	created := &endpointHost{world: w, ip: w.newMachineAddress(), zone: zone, zoneName: w.zoneName(zone), service: service}
	created.id = directory.NameOnlyID(fmt.Sprintf("%s-%d", service.Name, created.ip[3]))
	created.agent = &agentNode{host: created}
	created.agent.id = w.net.AddNode(simnet.ZoneID(zone), created.agent)
	created.endpoint = newEndpoint(created)
	w.agents[created.ip] = created.agent.id
	w.endpointHosts = append(w.endpointHosts, created)
	created.agent.start(first)
	w.store.register(created)
	return created
}

func (n *agentNode) start(first bool) {
	w := n.host.world
	n.logic = w.options.newAgent(relay.AgentConfig{
		Service: n.host.service.Name, Codec: w.codec, StartedWithEndpoint: first, FlowLifetime: time.Minute, FlowLimit: 10_000,
		ColdStartLimit: relay.ColdStartLimit{Overrun: coldOverrun, Slack: coldSlack}, OutlierDetection: outlier.DefaultConfig(),
		QueuePolicy: requestqueue.Policy{Discipline: queueDiscipline},
		Random:      rand.New(rand.NewPCG(w.options.Seed, uint64(binary.BigEndian.Uint32(n.host.ip[:])))),
	})
	n.logic.SetSeeds(w.agentSeeds())
	w.net.Schedule(n.id, tickInterval, tickTimer)
}

// agentSeeds returns the balancers that agents register with at first, which may be down.
func (w *world) agentSeeds() []segment.Address {
	var seeds []segment.Address
	for _, each := range w.balancers[:min(len(w.balancers), 3)] {
		seeds = append(seeds, each.address())
	}
	return seeds
}

func (n *agentNode) restart() {
	n.host.world.net.Restart(n.id, n)
	n.start(false)
}

// HandleTimer implements simnet.Handler.
func (n *agentNode) HandleTimer(now time.Duration, _ uint32) {
	n.execute(n.logic.Tick(now))
	n.host.world.net.Schedule(n.id, tickInterval, tickTimer)
}

// Receive implements simnet.Handler.
func (n *agentNode) Receive(now time.Duration, _ simnet.NodeID, received datagram) {
	if received.message != nil {
		n.execute(n.logic.Receive(now, received.from, *received.message))
		return
	}
	n.execute(n.logic.HandleEndpointPacket(now, received.packet))
}

func (n *agentNode) execute(effects []relay.Effect) {
	w := n.host.world
	for _, effect := range effects {
		switch effect.Kind {
		case relay.EffectSendMessage:
			w.sendMessage(n.id, segment.Address{IP: n.host.ip, Port: packetPort}, effect.To, effect.Message)
		case relay.EffectSendToClient:
			w.sendToClient(n.id, effect.To, effect.Packet)
		case relay.EffectSendToEndpoint:
			copied := append([]byte(nil), effect.Packet...)
			w.net.Send(n.id, n.host.endpoint.id, simnet.Payload, len(copied), datagram{port: endpointPort, packet: copied})
		case relay.EffectEvent:
			w.checker.recordDecision(effect.Event)
			if effect.Event.Kind == relay.EventAdmitted {
				w.checker.decisions["admitted: "+effect.Event.Reason]++
			}
		}
	}
}

// drain registers the endpoint as draining and removes it after the drain time.
func (h *endpointHost) drain() {
	if h.draining || h.removed {
		return
	}
	h.draining = true
	h.world.store.register(h)
	h.world.checker.recordDeparture(h)
	h.world.net.At(h.world.net.Now()+drainTime+lingerTime, func() { h.leave() })
}

// lingerTime is how long an endpoint serves beyond drainTime before it ends.
const lingerTime = 2 * time.Second

// leave removes the entry of the endpoint. The endpoint and its agent stop after drainTime and
// lingerTime, when its flows have ended.
func (h *endpointHost) leave() {
	if h.removed {
		return
	}
	h.removed = true
	h.world.store.deregister(h)
	h.world.checker.recordDeparture(h)
	h.world.net.At(h.world.net.Now()+drainTime+lingerTime, func() {
		h.world.net.Stop(h.endpoint.id)
		h.world.net.Stop(h.agent.id)
	})
}
