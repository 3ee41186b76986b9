package relaydaemon

import (
	"math"
	"net/netip"
	"reflect"
	"time"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// agentRole runs a relay.Agent.
type agentRole struct {
	settings settings.Relay
	executor *executor
	agent    *relay.Agent
	metrics  *endpointMetrics
}

func newAgentRole(surroundings Dependencies, checked *settings.Relay, journal *journal, registered *registry.Registry) (*agentRole, error) {
	agent := relay.NewAgent(relay.AgentConfig{
		Service:             checked.Agent.Service,
		Codec:               surroundings.Codec,
		StartedWithEndpoint: checked.Agent.FirstStart,
		FlowLifetime:        checked.FlowLifetime,
		FlowLimit:           checked.FlowLimit,
		ColdStartLimit:      relay.ColdStartLimit{Overrun: checked.Agent.ColdOverrun, Slack: checked.Agent.ColdSlack},
		OutlierLimits:       checked.Agent.Outliers,
		QueuePolicy:         checked.Agent.QueuePolicy,
	})
	created := &agentRole{
		*checked, newExecutor(agent, checked.Peers.Port(), journal), agent, newEndpointMetrics(registered, checked.Agent.Service),
	}
	created.executor.after = created.observe
	created.executor.endpoint = segment.AddressOf(checked.Agent.Endpoint)
	var err error
	created.executor.packets, err = listen(checked.Agent.Emitted, created.emitted)
	if err != nil {
		return nil, err
	}
	created.executor.peers, err = listen(checked.Peers, created.executor.message)
	return created, err
}

// emitted handles a packet of the endpoint. Only the endpoint may send to this
// address, from the machine itself.
func (r *agentRole) emitted(_ netip.AddrPort, packet []byte) {
	r.executor.do(func(now time.Duration) []relay.Effect { return r.agent.HandleEndpointPacket(now, packet) })
}

// observe shows the load of the endpoint.
func (r *agentRole) observe(now time.Duration) {
	if r.metrics.due(now) {
		r.metrics.observe(r.agent.EndpointLoad(now))
	}
}

func (r *agentRole) add(group *run.Group) {
	addActor(group, r.executor.packets.run)
	addActor(group, r.executor.peers.run)
	addActor(group, r.executor.tick)
}

// stop lets flows end for as long as the stop may take: nobody else can carry
// them.
func (r *agentRole) stop() time.Duration {
	r.executor.do(r.agent.Stop)
	return math.MaxInt64
}

// idle reports whether all flows of the endpoint have ended, as they have when
// the agent is stopped after its endpoint.
func (r *agentRole) idle() bool {
	idle := false
	r.executor.do(func(time.Duration) []relay.Effect {
		idle = r.agent.Load().Running == 0
		return nil
	})
	return idle
}

// reload compares what the agent was started with; nothing of it can change.
func (r *agentRole) reload(changed *settings.Relay) bool {
	same := *changed
	same.StopTimeout = r.settings.StopTimeout
	return reflect.DeepEqual(same, r.settings)
}
