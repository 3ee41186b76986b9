package control

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// changeIndex records the version at which each service, and the set of services of each
// agent, changed last. An agent is sent its part of the table only if that part has
// changed.
type changeIndex struct {
	// firstVersion is the first version that this process had. Earlier changes are unknown.
	firstVersion table.Version
	services     map[table.ServiceID]table.Version
	agents       map[table.Endpoint]table.Version
}

// record compares two successive tables. The previous one is nil for the first table.
func (i *changeIndex) record(previous, configuration *table.Table) {
	if previous == nil {
		i.firstVersion = configuration.Version
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
			part.markAgents(i.agents, configuration.Version)
		} else {
			part.markRemovedAgents(after[service], i.agents, configuration.Version)
		}
	}
}

// changedSince reports whether the part of the table with the agent's services may differ
// from that of the given version.
func (i *changeIndex) changedSince(version table.Version, agent table.Endpoint, services []table.ServiceID) bool {
	if version < i.firstVersion || version < i.agents[agent] {
		return true
	}
	return slices.ContainsFunc(services, func(service table.ServiceID) bool {
		return version < i.services[service]
	})
}

// servicePart is a service with its rows.
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

// markAgents records the version for all agents of the part.
func (p servicePart) markAgents(agents map[table.Endpoint]table.Version, version table.Version) {
	for _, row := range p.rows {
		agents[row.Agent] = version
	}
}

// markRemovedAgents records the version for the agents that have no row in the later part.
func (p servicePart) markRemovedAgents(later servicePart, agents map[table.Endpoint]table.Version, version table.Version) {
	for _, row := range p.rows {
		remains := slices.ContainsFunc(later.rows, func(other table.Backend) bool { return other.Agent == row.Agent })
		if !remains {
			agents[row.Agent] = version
		}
	}
}
