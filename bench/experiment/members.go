// This file defines the balancers and back ends of a running cluster and the settings of their
// daemons.

package experiment

import (
	"context"
	"net/netip"
	"net/url"
	"time"

	"github.com/vanetiller/vanetiller/bench/backend"
	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/internal/table"
)

// balancerMember is one balancer of the cluster.
type balancerMember struct {
	name          string
	zone          string
	listen        netip.AddrPort
	control       netip.AddrPort
	observability netip.AddrPort
	process       *fleet.Process
	state         platform.State
	listed        bool
}

// server is a TCP or UDP back end.
type server interface {
	Address() netip.AddrPort
	Counters() backend.Counters
	Run(ctx context.Context) error
}

func newServer(service ServiceShape, settings backend.Settings) (server, error) {
	if service.Protocol == table.ProtocolUDP {
		return backend.NewDatagram(settings)
	}
	return backend.New(settings)
}

// endpointMember is one back end with the agent beside it.
type endpointMember struct {
	row           table.Backend
	service       string
	zone          string
	agent         netip.AddrPort
	observability netip.AddrPort
	backend       server
	process       *fleet.Process
	state         platform.State
	listed        bool
}

const (
	daemonLogLevel = "info"
	pollInterval   = 500 * time.Millisecond
	agentStopLimit = 12 * time.Second
)

func (c *Cluster) balancerSettings(member *balancerMember) fleet.Settings {
	return fleet.Settings{
		Name:             member.name,
		Zone:             member.zone,
		LogLevel:         daemonLogLevel,
		Observability:    member.observability,
		ConfigurationURL: c.readerURL(platform.PathConfiguration, member.name),
		MachinesURL:      c.readerURL(platform.PathMachines, member.name),
		PollInterval:     pollInterval,
		Baseline:         c.options.Baseline,
		Balancer:         &fleet.Balancer{Listen: member.listen, Control: member.control},
	}
}

func (c *Cluster) agentSettings(member *endpointMember) fleet.Settings {
	daemons := make([]netip.AddrPort, len(c.balancers))
	for i, balancer := range c.balancers {
		daemons[i] = balancer.control
	}
	return fleet.Settings{
		Name:          "agent-" + member.row.Name,
		Zone:          member.zone,
		LogLevel:      daemonLogLevel,
		Observability: member.observability,
		Baseline:      c.options.Baseline,
		Agent: &fleet.Agent{
			Listen:      member.agent,
			Fabric:      c.fabric.Address(),
			Daemons:     daemons,
			StopTimeout: agentStopLimit,
			Backends: []fleet.AgentBackend{{
				Service: member.service,
				Name:    member.row.Name,
				Address: member.backend.Address(),
			}},
		},
	}
}

// readerURL returns a URL of the platform with the name of the reader. From this name the platform
// derives how late the reader sees each revision.
func (c *Cluster) readerURL(path, reader string) string {
	query := url.Values{}
	query.Set(platform.ReaderParameter, reader)
	return c.platform.URL(path) + "?" + query.Encode()
}

func (c *Cluster) balancerByName(name string) *balancerMember {
	for _, member := range c.balancers {
		if member.name == name {
			return member
		}
	}
	panic("experiment: the cluster has no balancer named " + name)
}

func (c *Cluster) endpointByName(name string) *endpointMember {
	for _, member := range c.endpoints {
		if member.row.Name == name {
			return member
		}
	}
	panic("experiment: the cluster has no back end named " + name)
}

// currentTable returns the table that the platform should publish now.
func (c *Cluster) currentTable() *table.Table {
	current := &table.Table{Version: c.version}
	for _, service := range c.options.Shape.Services {
		current.Services = append(current.Services, table.Service{
			ID:       service.ID,
			Name:     service.Name,
			Address:  table.Endpoint(service.Address.String()),
			Protocol: service.Protocol,
			Owner:    service.Owner,
		})
	}
	for _, member := range c.endpoints {
		if member.listed {
			current.Backends = append(current.Backends, member.row)
		}
	}
	current.Sort()
	return current
}

// currentMachines returns the machine list that the platform should publish now.
func (c *Cluster) currentMachines() []platform.Machine {
	var machines []platform.Machine
	for _, member := range c.balancers {
		if member.listed {
			machines = append(machines, platform.Machine{
				Name: member.name, Address: member.control, Role: platform.RoleBalancer, State: member.state,
			})
		}
	}
	for _, member := range c.endpoints {
		if member.listed {
			machines = append(machines, platform.Machine{
				Name: "agent-" + member.row.Name, Address: member.agent, Role: platform.RoleAgent, State: member.state,
			})
		}
	}
	return machines
}
