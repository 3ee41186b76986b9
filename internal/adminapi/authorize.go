// This file restricts teams to their own rows: it authorizes changes, and
// removes information about other teams from refusals and the history.

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

// Prefixes of row names in a table.CellError. The quoted name and the
// identifier in parentheses follow.
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

// visibility holds the services and rows that a principal may view.
type visibility struct {
	principal tenant.Principal
	services  map[table.ServiceID]bool
	backends  map[table.BackendID]bool
	// allBackends is the set of all rows of the table, visible or not.
	allBackends map[table.BackendID]bool
	fullTable   *table.Table
	// added lists the services that the current change adds.
	added []table.Service
}

func newVisibility(principal tenant.Principal, full *table.Table) visibility {
	visible := visibility{
		principal:   principal,
		services:    make(map[table.ServiceID]bool),
		backends:    make(map[table.BackendID]bool),
		allBackends: make(map[table.BackendID]bool, len(full.Backends)),
		fullTable:   full,
	}
	view := principal.VisibleTable(full)
	for _, service := range view.Services {
		visible.services[service.ID] = true
	}
	for _, row := range view.Backends {
		visible.backends[row.ID] = true
	}
	for _, row := range full.Backends {
		visible.allBackends[row.ID] = true
	}
	return visible
}

func (v visibility) isAdministrator() bool { return v.principal.Role == tenant.RoleAdministrator }

// authorize returns a table.CellError if a change refers to a row or service of
// another team, adds a service for another team, or closes or reopens a zone, which
// requires an administrator. For a row or service of another team the error is the
// same as for one that does not exist, so that it does not reveal that they exist.
func (v visibility) authorize(change *changelog.Change) error {
	if v.isAdministrator() {
		return nil
	}
	if len(change.Zones) > 0 {
		return table.CellError{
			Row: table.ZoneRowName(change.Zones[0].Zone), Column: "closed", Rule: "requires the role " + string(tenant.RoleAdministrator),
		}
	}
	if err := v.authorizeAdditions(change); err != nil {
		return err
	}
	for _, expected := range change.ExpectedRows {
		if v.allBackends[expected.Backend] && !v.backends[expected.Backend] {
			return missingBackend(expected.Backend)
		}
	}
	for _, update := range change.Cells {
		if !v.backends[update.Backend] && !addsBackend(change, update.Backend) {
			return missingBackend(update.Backend)
		}
	}
	for _, id := range change.RemoveBackends {
		if !v.backends[id] && !addsBackend(change, id) {
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

// addsBackend reports whether a change adds a row with the given identifier. Other
// operations of the change with this identifier then refer to the new row, because
// adding a row whose identifier is in use is refused.
func addsBackend(change *changelog.Change, id table.BackendID) bool {
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
		_, exists := v.fullTable.Service(row.Service)
		if exists && !v.services[row.Service] || !exists && !added[row.Service] {
			return table.CellError{Row: backendRow(row.Name, row.ID), Column: "service", Rule: "names no service of the table"}
		}
	}
	return nil
}

// usedAddressPrefix is the prefix of the table rule that names another service
// with the same address.
const usedAddressPrefix = "already used by service "

// hiddenServiceRow replaces the row name of a service of another team.
const hiddenServiceRow = "service of another team"

// refusal converts a table error and redacts the names of services of other
// teams. A rule about two services may name one in the row or in the rule.
func (v visibility) refusal(violation table.CellError) *Refusal {
	refusal := Refusal(violation)
	if v.isHiddenRow(violation.Row) {
		refusal.Row = hiddenServiceRow
	}
	if other, found := strings.CutPrefix(violation.Rule, usedAddressPrefix); found && !v.canViewServiceNamed(other) {
		refusal.Rule = "already used by another service"
	}
	return &refusal
}

// isHiddenRow reports whether a row name belongs to a service that the principal may
// not view.
func (v visibility) isHiddenRow(row string) bool {
	for _, service := range v.fullTable.Services {
		if row == serviceRow(service.Name, service.ID) {
			return !v.isAdministrator() && !v.services[service.ID]
		}
	}
	return false
}

func (v visibility) canViewServiceNamed(name string) bool {
	named := func(service table.Service) bool { return service.Name == name }
	position := slices.IndexFunc(v.fullTable.Services, named)
	if position >= 0 {
		return v.services[v.fullTable.Services[position].ID]
	}
	return slices.ContainsFunc(v.added, named)
}

// visibleCells returns the modified cells that the principal may view.
func (v visibility) visibleCells(altered []changelog.CellChange) []CellChange {
	if v.isAdministrator() {
		return cellChanges(altered)
	}
	var visible []changelog.CellChange
	for _, cell := range altered {
		if v.canViewRow(cell.Row) {
			visible = append(visible, cell)
		}
	}
	return cellChanges(visible)
}

// canViewRow reports whether the principal may view a row, given its name in a
// history record. A removed service is not visible, since its owner is no longer
// known.
func (v visibility) canViewRow(name string) bool {
	id, err := parseRowID(name)
	if err != nil {
		return false
	}
	if strings.HasPrefix(name, backendPrefix) {
		return v.backends[table.BackendID(id)]
	}
	return strings.HasPrefix(name, servicePrefix) && v.services[table.ServiceID(id)]
}

// parseRowID parses the identifier in parentheses at the end of a row name.
func parseRowID(name string) (uint32, error) {
	begin := strings.LastIndexByte(name, '(')
	if begin < 0 || !strings.HasSuffix(name, ")") {
		return 0, errors.Errorf("row name %q does not end with an identifier in parentheses", name)
	}
	id, err := strconv.ParseUint(name[begin+1:len(name)-1], 10, 32)
	return uint32(id), errors.Wrapf(err, "parse the identifier in row name %q", name)
}
