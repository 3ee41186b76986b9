// This file implements what a team may change, and what it gets to read of
// refusals and of the history.

package adminapi

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/changelog"
	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// The beginnings of the names of rows in a table.CellError, which go on with
// the quoted name and the identifier in parentheses.
const (
	servicePrefix = "service "
	backendPrefix = "back end "
)

func backendRow(name string, id table.BackendID) string {
	return fmt.Sprintf("%s%q (%d)", backendPrefix, name, id)
}

func serviceRow(name string, id table.ServiceID) string {
	return fmt.Sprintf("%s%q (%d)", servicePrefix, name, id)
}

func missingBackend(id table.BackendID) error {
	return table.CellError{Row: backendRow("", id), Column: "id", Rule: "names no row of the table"}
}

func missingService(id table.ServiceID) error {
	return table.CellError{Row: serviceRow("", id), Column: "id", Rule: "names no service of the table"}
}

// visibility tells which rows a principal sees.
type visibility struct {
	principal tenant.Principal
	services  map[table.ServiceID]bool
	backends  map[table.BackendID]bool
	// existing are the rows of the whole table.
	existing map[table.BackendID]bool
	whole    *table.Table
	// added are the services that the change in question adds.
	added []table.Service
}

func newVisibility(principal tenant.Principal, whole *table.Table) visibility {
	seen := visibility{
		principal: principal,
		services:  make(map[table.ServiceID]bool),
		backends:  make(map[table.BackendID]bool),
		existing:  make(map[table.BackendID]bool, len(whole.Backends)),
		whole:     whole,
	}
	view := principal.VisibleTable(whole)
	for _, service := range view.Services {
		seen.services[service.ID] = true
	}
	for _, row := range view.Backends {
		seen.backends[row.ID] = true
	}
	for _, row := range whole.Backends {
		seen.existing[row.ID] = true
	}
	return seen
}

func (v visibility) unlimited() bool { return v.principal.Role == tenant.RoleAdministrator }

// authorize returns a table.CellError if a change concerns a row of another
// team. Such a row is named as if it did not exist.
func (v visibility) authorize(change *changelog.Change) error {
	if v.unlimited() {
		return nil
	}
	if len(change.Zones) > 0 {
		return table.CellError{
			Row: table.ZoneRowName(change.Zones[0].Zone), Column: "closed", Rule: "takes the role " + string(tenant.RoleAdministrator),
		}
	}
	if err := v.authorizeAdditions(change); err != nil {
		return err
	}
	for _, expected := range change.ExpectedRows {
		if v.existing[expected.Backend] && !v.backends[expected.Backend] {
			return missingBackend(expected.Backend)
		}
	}
	for _, update := range change.Cells {
		if !v.backends[update.Backend] && !adds(change, update.Backend) {
			return missingBackend(update.Backend)
		}
	}
	for _, id := range change.RemoveBackends {
		if !v.backends[id] && !adds(change, id) {
			return missingBackend(id)
		}
	}
	for _, id := range change.RemoveServices {
		if !v.services[id] {
			return missingService(id)
		}
	}
	return nil
}

// adds reports whether a change adds a row. It then refers to that row, since
// adding is refused for an identifier in use.
func adds(change *changelog.Change, id table.BackendID) bool {
	for _, row := range change.AddBackends {
		if row.ID == id {
			return true
		}
	}
	return false
}

func (v visibility) authorizeAdditions(change *changelog.Change) error {
	added := make(map[table.ServiceID]bool, len(change.AddServices))
	for _, service := range change.AddServices {
		if !v.principal.CanView(service) {
			rule := fmt.Sprintf("must be the team %q", v.principal.Team)
			return table.CellError{Row: serviceRow(service.Name, service.ID), Column: "owner", Rule: rule}
		}
		added[service.ID] = true
	}
	for _, row := range change.AddBackends {
		_, exists := v.whole.Service(row.Service)
		if exists && !v.services[row.Service] || !exists && !added[row.Service] {
			return table.CellError{Row: backendRow(row.Name, row.ID), Column: "service", Rule: "names no service of the table"}
		}
	}
	return nil
}

// usedAddressPrefix begins the rule of the table that names another service.
const usedAddressPrefix = "already used by service "

// hiddenServiceRow stands for the name of a service of another team.
const hiddenServiceRow = "service of another team"

// refusal converts a broken rule. It leaves out the name of a service of
// another team, which a rule about two services may name on either side.
func (v visibility) refusal(broken table.CellError) *Refusal {
	refusal := Refusal(broken)
	if v.hides(broken.Row) {
		refusal.Row = hiddenServiceRow
	}
	if other, found := strings.CutPrefix(broken.Rule, usedAddressPrefix); found && !v.seesServiceNamed(other) {
		refusal.Rule = "already used by another service"
	}
	return &refusal
}

// hides reports whether a row name is that of a service of another team.
func (v visibility) hides(row string) bool {
	for _, service := range v.whole.Services {
		if row == serviceRow(service.Name, service.ID) {
			return !v.unlimited() && !v.services[service.ID]
		}
	}
	return false
}

func (v visibility) seesServiceNamed(name string) bool {
	named := func(service table.Service) bool { return service.Name == name }
	position := slices.IndexFunc(v.whole.Services, named)
	if position >= 0 {
		return v.services[v.whole.Services[position].ID]
	}
	return slices.ContainsFunc(v.added, named)
}

// cells returns the altered cells that the principal may see.
func (v visibility) cells(altered []changelog.CellChange) []CellChange {
	if v.unlimited() {
		return cellChanges(altered)
	}
	var seen []changelog.CellChange
	for _, cell := range altered {
		if v.seesRow(cell.Row) {
			seen = append(seen, cell)
		}
	}
	return cellChanges(seen)
}

// seesRow decides by the name of a row in a record. A service that is gone is
// not seen, since its owner is not known any more.
func (v visibility) seesRow(name string) bool {
	id, err := rowIdentifier(name)
	if err != nil {
		return false
	}
	if strings.HasPrefix(name, backendPrefix) {
		return v.backends[table.BackendID(id)]
	}
	return strings.HasPrefix(name, servicePrefix) && v.services[table.ServiceID(id)]
}

// rowIdentifier returns the identifier at the end of the name of a row.
func rowIdentifier(name string) (uint32, error) {
	begin := strings.LastIndexByte(name, '(')
	if begin < 0 || !strings.HasSuffix(name, ")") {
		return 0, errors.Errorf("row %q has no identifier", name)
	}
	id, err := strconv.ParseUint(name[begin+1:len(name)-1], 10, 32)
	return uint32(id), errors.Wrapf(err, "row %q", name)
}
