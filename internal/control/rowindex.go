package control

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// indexedRow holds the columns of a table row that the registry needs.
type indexedRow struct {
	id    table.BackendID
	agent table.Endpoint
}

// rowIndex finds the rows of services and the services of agents, so that handling a
// heartbeat does not scan the whole table.
type rowIndex struct {
	// all holds the rows in table order.
	all       []indexedRow
	byService map[table.ServiceID][]indexedRow
	services  map[table.Endpoint][]table.ServiceID
}

func newRowIndex(configuration *table.Table) rowIndex {
	index := rowIndex{
		all:       make([]indexedRow, 0, len(configuration.Backends)),
		byService: make(map[table.ServiceID][]indexedRow, len(configuration.Services)),
		services:  make(map[table.Endpoint][]table.ServiceID),
	}
	for _, row := range configuration.Backends {
		indexed := indexedRow{id: row.ID, agent: row.Agent}
		index.all = append(index.all, indexed)
		index.byService[row.Service] = append(index.byService[row.Service], indexed)
		if !slices.Contains(index.services[row.Agent], row.Service) {
			index.services[row.Agent] = append(index.services[row.Agent], row.Service)
		}
	}
	return index
}

// hasAgent reports whether a row of the table names the agent.
func (i *rowIndex) hasAgent(agent table.Endpoint) bool {
	_, listed := i.services[agent]
	return listed
}
