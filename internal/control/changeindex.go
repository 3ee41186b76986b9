package control

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// changeIndex keeps at which version each service, and the services of each
// agent, changed last, so that an agent is sent its part of the table only when
// that part has changed.
type changeIndex struct {
	// base is the first version that this process had: what changed before is
	// not known.
	base     table.Version
	services map[table.ServiceID]table.Version
	agents   map[table.Endpoint]table.Version
}

// record compares two successive tables; previous is nil for the first one.
func (i *changeIndex) record(previous, configuration *table.Table) {
	if previous == nil {
		i.base = configuration.Version
		i.services = make(map[table.ServiceID]table.Version)
		i.agents = make(map[table.Endpoint]table.Version)
		return
	}
	before, after := partsOf(previous), partsOf(configuration)
	for service, part := range after {
		if !part.equal(before[service]) {
			i.services[service] = configuration.Version
		}
	}
	for service, part := range before {
		if _, exists := after[service]; !exists {
			part.touchAgents(i.agents, configuration.Version)
		} else {
			part.touchAgentsGone(after[service], i.agents, configuration.Version)
		}
	}
}

// since reports whether the part of the table with the agent's services may
// differ from that of the given version.
func (i *changeIndex) since(version table.Version, agent table.Endpoint, services []table.ServiceID) bool {
	if version < i.base || version < i.agents[agent] {
		return true
	}
	return slices.ContainsFunc(services, func(service table.ServiceID) bool {
		return version < i.services[service]
	})
}

// servicePart is one service with its rows.
type servicePart struct {
	service table.Service
	rows    []table.Backend
}

func partsOf(configuration *table.Table) map[table.ServiceID]servicePart {
	parts := make(map[table.ServiceID]servicePart, len(configuration.Services))
	for _, service := range configuration.Services {
		parts[service.ID] = servicePart{service: service}
	}
	for _, row := range configuration.Backends {
		part := parts[row.Service]
		part.rows = append(part.rows, row)
		parts[row.Service] = part
	}
	return parts
}

func (p servicePart) equal(other servicePart) bool {
	return p.service == other.service && slices.Equal(p.rows, other.rows)
}

// touchAgents marks all agents of the part.
func (p servicePart) touchAgents(agents map[table.Endpoint]table.Version, version table.Version) {
	for _, row := range p.rows {
		agents[row.Agent] = version
	}
}

// touchAgentsGone marks the agents that have no row in the later part.
func (p servicePart) touchAgentsGone(later servicePart, agents map[table.Endpoint]table.Version, version table.Version) {
	for _, row := range p.rows {
		remains := slices.ContainsFunc(later.rows, func(other table.Backend) bool { return other.Agent == row.Agent })
		if !remains {
			agents[row.Agent] = version
		}
	}
}
