package relaydaemon

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"time"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/observability/registry"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// agentRole runs a relay.Agent for the endpoint on the same machine.
type agentRole struct {
	settings settings.Relay
	executor *executor
	agent    *relay.Agent
	metrics  *endpointMetrics
}

func newAgentRole(dependencies Dependencies, config *settings.Relay, recorder *eventRecorder, reg *registry.Registry) (*agentRole, error) {
	agent := relay.NewAgent(relay.AgentConfig{
		Service:             config.Agent.Service,
		Codec:               dependencies.Codec,
		StartedWithEndpoint: config.Agent.FirstStart,
		FlowLifetime:        config.FlowLifetime,
		FlowLimit:           config.FlowLimit,
		ColdStartLimit:      relay.ColdStartLimit{Overrun: config.Agent.ColdOverrun, Slack: config.Agent.ColdSlack},
		OutlierDetection:    config.Agent.OutlierDetection,
		QueuePolicy:         config.Agent.QueuePolicy,
		Random:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	agent.SetSeeds(addressesOf(config.Agent.Seeds))
	created := &agentRole{
		*config, newExecutor(agent, config.Peers.Port(), recorder), agent, newEndpointMetrics(reg, config.Agent.Service),
	}
	created.executor.afterInput = created.updateMetrics
	created.executor.endpoint = segment.AddressOf(config.Agent.Endpoint)
	var err error
	created.executor.packetSocket, err = listen(config.Agent.Emitted, created.handleEndpointPacket)
	if err != nil {
		return nil, err
	}
	created.executor.peerSocket, err = listen(config.Peers, created.executor.handleMessage)
	return created, err
}

// handleEndpointPacket handles a packet that the endpoint has sent, or a client's packet
// that it has returned. Only the endpoint may send to this socket, from the same machine, so
// the sender address is ignored.
func (r *agentRole) handleEndpointPacket(_ netip.AddrPort, packet []byte) {
	r.executor.do(func(now time.Duration) []relay.Effect { return r.agent.HandleEndpointPacket(now, packet) })
}

// updateMetrics exports the load of the endpoint.
func (r *agentRole) updateMetrics(now time.Duration) {
	if r.metrics.due(now) {
		r.metrics.observe(r.agent.EndpointLoad(now))
	}
}

func (r *agentRole) addActors(group *run.Group) {
	addActor(group, r.executor.packetSocket.run)
	addActor(group, r.executor.peerSocket.run)
	addActor(group, r.executor.runTimer)
}

// beginStop lets open flows finish for as long as the stop timeout allows, because no other
// process can carry them.
func (r *agentRole) beginStop() time.Duration {
	r.executor.do(r.agent.Stop)
	return math.MaxInt64
}

// idle reports whether all flows of the endpoint have ended. They have if the endpoint was
// stopped before its agent.
func (r *agentRole) idle() bool {
	idle := false
	r.executor.do(func(time.Duration) []relay.Effect {
		idle = r.agent.Load().Running == 0
		return nil
	})
	return idle
}

// reload applies changed seeds. It reports whether these and the stop timeout, which Daemon applies,
// are the only changes. Every other change needs a restart of the agent.
func (r *agentRole) reload(changed *settings.Relay) bool {
	if changed.Agent == nil {
		return false
	}
	r.executor.do(func(time.Duration) []relay.Effect {
		r.agent.SetSeeds(addressesOf(changed.Agent.Seeds))
		return nil
	})
	applied := *r.settings.Agent
	applied.Seeds = changed.Agent.Seeds
	r.settings.Agent, r.settings.StopTimeout = &applied, changed.StopTimeout
	return reflect.DeepEqual(*changed, r.settings)
}

func addressesOf(all []netip.AddrPort) []segment.Address {
	addresses := make([]segment.Address, len(all))
	for index, each := range all {
		addresses[index] = segment.AddressOf(each)
	}
	return addresses
}
