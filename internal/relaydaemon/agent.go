package relaydaemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// agentTick is how often the agent looks at its timeouts.
const agentTick = time.Second

// agentRole runs a relay.Agent.
type agentRole struct {
	executor executor
	agent    *relay.Agent
}

func newAgentRole(surroundings Surroundings, checked *settings.Relay, journal *journal) (*agentRole, error) {
	created := &agentRole{
		executor: executor{
			started:    time.Now(),
			clientPort: checked.Peers.Port(),
			journal:    journal,
			endpoint:   segment.AddressOf(checked.Agent.Endpoint),
		},
		agent: relay.NewAgent(relay.AgentConfig{
			Service:      checked.Agent.Service,
			Codec:        surroundings.Codec,
			Complete:     checked.Agent.FirstStart,
			FlowLifetime: checked.FlowLifetime,
			FlowLimit:    checked.FlowLimit,
		}),
	}
	var err error
	created.executor.packets, err = listen(checked.Agent.Emitted, created.emitted)
	if err != nil {
		return nil, err
	}
	created.executor.peers, err = listen(checked.Peers, created.executor.handleMessage(created.agent))
	return created, err
}

// emitted handles a packet of the endpoint. Only the endpoint may send to this
// address, from the machine itself.
func (r *agentRole) emitted(_ netip.AddrPort, packet []byte) {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	r.executor.execute(r.agent.Emitted(r.executor.now(), packet))
}

func (r *agentRole) add(group *run.Group) {
	addActor(group, r.executor.packets.run)
	addActor(group, r.executor.peers.run)
	addActor(group, r.tick)
}

func (r *agentRole) tick(ctx context.Context) error {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.executor.mutex.Lock()
		r.executor.execute(r.agent.Tick(r.executor.now()))
		r.executor.mutex.Unlock()
	}
}

func (r *agentRole) stop() {
	r.executor.mutex.Lock()
	defer r.executor.mutex.Unlock()
	r.executor.execute(r.agent.Stop(r.executor.now()))
}
