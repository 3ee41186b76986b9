// Package tenant implements who may use the administration API: tokens, roles
// and teams that own services, and the limits of each team.
//
// A Directory is the checked content of one tokens file. A Gate decides on
// requests with the Directory of the moment and the time passed in. Only the
// hash of a token is ever stored.
package tenant

import (
	"slices"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Role tells what the holder of a token may do.
type Role string

// The roles, from the least to the most rights.
const (
	// RoleViewer may read what belongs to the team.
	RoleViewer Role = "viewer"
	// RoleEditor may also change it.
	RoleEditor Role = "editor"
	// RoleAdministrator may read and change the whole table.
	RoleAdministrator Role = "administrator"
)

// Roles lists every role, from the least to the most rights.
func Roles() []Role { return []Role{RoleViewer, RoleEditor, RoleAdministrator} }

// Includes reports whether the role has all the rights of another.
func (r Role) Includes(other Role) bool {
	return slices.Index(Roles(), r) >= slices.Index(Roles(), other)
}

// Team names a team. It owns the services whose owner column has its name. The
// empty team is that of administrators, who see every service.
type Team string

// Principal is the holder of a valid token.
type Principal struct {
	// Name is written into the history of the changes it makes.
	Name string
	Role Role
	Team Team
	// RequestSize is the largest body of a request, in bytes.
	RequestSize int64
}

// CanView reports whether the principal may see a service.
func (p Principal) CanView(service table.Service) bool {
	return p.Role == RoleAdministrator || p.Team != "" && service.Owner == string(p.Team)
}

// VisibleTable returns the part of a table that the principal may see, at the same
// version.
func (p Principal) VisibleTable(whole *table.Table) *table.Table {
	if p.Role == RoleAdministrator {
		return whole
	}
	owned := make(map[table.ServiceID]bool)
	part := &table.Table{Version: whole.Version}
	for _, service := range whole.Services {
		if p.CanView(service) {
			owned[service.ID] = true
			part.Services = append(part.Services, service)
		}
	}
	for _, row := range whole.Backends {
		if owned[row.Service] {
			part.Backends = append(part.Backends, row)
		}
	}
	return part
}
