// Package tenant authenticates callers of the administration API and limits their
// request rate. It decides for each bearer token which principal it belongs to,
// with which role and team, and whether the team is within its rate limit. Its
// input is a tokens file with the teams and the hashes of the tokens.
//
// Credentials holds the validated content of a tokens file. An AdmissionController
// decides on requests by the current Credentials and the time passed by the
// caller. Only the hash of a token is stored, never the token.
package tenant

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Role determines the rights of the holder of a token.
type Role string

// The roles, in order of increasing rights.
const (
	// RoleViewer may read the services and rows of the team.
	RoleViewer Role = "viewer"
	// RoleEditor may also change them.
	RoleEditor Role = "editor"
	// RoleAdministrator may read and change the whole table.
	RoleAdministrator Role = "administrator"
)

// Roles returns all roles, in order of increasing rights.
func Roles() []Role { return []Role{RoleViewer, RoleEditor, RoleAdministrator} }

// Includes reports whether the role has all the rights of another.
func (r Role) Includes(other Role) bool {
	return slices.Index(Roles(), r) >= slices.Index(Roles(), other)
}

// Team is the name of a team. A team owns the services that have its name in the
// owner column. Administrators have the empty team and may view every service.
type Team string

// Principal is the holder of a valid token.
type Principal struct {
	// Name is recorded in the history as the author of changes.
	Name string
	Role Role
	Team Team
	// RequestSize is the maximum size of a request body, in bytes.
	RequestSize int64
}

// CanView reports whether the principal may view a service.
func (p Principal) CanView(service table.Service) bool {
	return p.Role == RoleAdministrator || p.Team != "" && service.Owner == string(p.Team)
}

// VisibleTable returns the services and rows of a table that the principal may
// view, at the same version.
func (p Principal) VisibleTable(full *table.Table) *table.Table {
	if p.Role == RoleAdministrator {
		return full
	}
	owned := make(map[table.ServiceID]bool)
	visible := &table.Table{Version: full.Version}
	for _, service := range full.Services {
		if p.CanView(service) {
			owned[service.ID] = true
			visible.Services = append(visible.Services, service)
		}
	}
	for _, row := range full.Backends {
		if owned[row.Service] {
			visible.Backends = append(visible.Backends, row)
		}
	}
	return visible
}
