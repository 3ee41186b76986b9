package flownet

import (
	"fmt"
	"time"

	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/requestqueue"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// queueDiscipline is that of the deployments rather than of the settings' defaults.
const queueDiscipline = requestqueue.DisciplineEarliestDue

// agentPart is the deciding part of an agent, of the product or of a baseline.
type agentPart interface {
	Receive(now time.Duration, from segment.Address, message relay.Message) []relay.Effect
	HandleEndpointPacket(now time.Duration, packet []byte) []relay.Effect
	Tick(now time.Duration) []relay.Effect
	Stop(now time.Duration) []relay.Effect
}

// side is one machine with an endpoint and the agent beside it.
type side struct {
	world    *world
	id       directory.EndpointID
	ip       [4]byte
	zone     int
	zoneName string
	service  Service
	draining bool
	gone     bool
	agent    *agentNode
	endpoint *endpoint
}

// agentNode is the process of an agent.
type agentNode struct {
	side *side
	id   simnet.NodeID
	part agentPart
}

func (w *world) addSide(service Service, zone int, first bool) *side {
	created := &side{world: w, ip: w.machine(), zone: zone, zoneName: w.zoneName(zone), service: service}
	created.id = directory.NameOnlyID(fmt.Sprintf("%s-%d", service.Name, created.ip[3]))
	created.agent = &agentNode{side: created}
	created.agent.id = w.net.AddNode(simnet.ZoneID(zone), created.agent)
	created.endpoint = newEndpoint(created)
	w.agents[created.ip] = created.agent.id
	w.sides = append(w.sides, created)
	created.agent.begin(first)
	w.store.announce(created)
	return created
}

func (n *agentNode) begin(first bool) {
	w := n.side.world
	n.part = w.options.newAgent(relay.AgentConfig{
		Service: n.side.service.Name, Codec: w.codec, StartedWithEndpoint: first, FlowLifetime: time.Minute, FlowLimit: 10_000,
		ColdStartLimit: relay.ColdStartLimit{Overrun: coldOverrun, Slack: coldSlack}, OutlierLimits: outlier.DefaultConfig(),
		QueuePolicy: requestqueue.Policy{Discipline: queueDiscipline},
	})
	w.net.Schedule(n.id, tickInterval, tickTimer)
}

func (n *agentNode) restart() {
	n.side.world.net.Restart(n.id, n)
	n.begin(false)
}

// HandleTimer implements simnet.Handler.
func (n *agentNode) HandleTimer(now time.Duration, _ uint32) {
	n.execute(n.part.Tick(now))
	n.side.world.net.Schedule(n.id, tickInterval, tickTimer)
}

// Receive implements simnet.Handler.
func (n *agentNode) Receive(now time.Duration, _ simnet.NodeID, received datagram) {
	if received.message != nil {
		n.execute(n.part.Receive(now, received.from, *received.message))
		return
	}
	n.execute(n.part.HandleEndpointPacket(now, received.packet))
}

func (n *agentNode) execute(effects []relay.Effect) {
	w := n.side.world
	for _, effect := range effects {
		switch effect.Kind {
		case relay.EffectSendMessage:
			w.sendMessage(n.id, segment.Address{IP: n.side.ip, Port: packetPort}, effect.To, effect.Message)
		case relay.EffectSendToClient:
			w.sendToClient(n.id, effect.To, effect.Packet)
		case relay.EffectSendToEndpoint:
			copied := append([]byte(nil), effect.Packet...)
			w.net.Send(n.id, n.side.endpoint.id, simnet.Payload, len(copied), datagram{port: endpointPort, packet: copied})
		case relay.EffectEvent:
			w.ledger.decided(effect.Event)
			if effect.Event.Kind == relay.EventAdmitted {
				w.ledger.decisions["admitted: "+effect.Event.Reason]++
			}
		}
	}
}

// drain announces that the endpoint is about to leave; it ends later.
func (s *side) drain() {
	if s.draining || s.gone {
		return
	}
	s.draining = true
	s.world.store.announce(s)
	s.world.ledger.leaves(s)
	s.world.net.At(s.world.net.Now()+drainTime+2*time.Second, func() { s.leave() })
}

// leave removes the entry of the endpoint, which ends as soon as its flows
// have.
func (s *side) leave() {
	if s.gone {
		return
	}
	s.gone = true
	s.world.store.remove(s)
	s.world.ledger.leaves(s)
	s.world.net.At(s.world.net.Now()+drainTime, func() {
		s.world.net.Stop(s.endpoint.id)
		s.world.net.Stop(s.agent.id)
	})
}
