// Package platform is a read-only client of two services of the hosting platform: the
// configuration service, which holds the table of services and back ends, and the list of
// machines. It polls them for the daemons and delivers each new revision.
//
// A Client makes single requests. A Poller repeats one of them and delivers only revisions
// newer than all delivered before. Decider makes the decisions of a Poller and performs no I/O.
package platform

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Revision numbers the states of one service of the platform, starting at 1. It increases with
// every change known to the platform and is unrelated to the version of a table.
type Revision uint64

// Configuration is one response of the configuration service.
type Configuration struct {
	Revision Revision
	// Table has been validated by table.Parse.
	Table *table.Table
}

// CurrentRevision implements Revisioned.
func (c Configuration) CurrentRevision() Revision { return c.Revision }

// Role is the function of a machine.
type Role string

// The roles of machines.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Roles lists every role, for metrics labelled by role.
func Roles() []Role { return []Role{RoleBalancer, RoleAgent} }

// MachineState is the state of a machine according to the platform. The list lags behind the
// actual state.
type MachineState string

// The states of machines.
const (
	StateLive    MachineState = "live"
	StateLeaving MachineState = "leaving"
)

// MachineStates lists every state, for metrics labelled by state.
func MachineStates() []MachineState { return []MachineState{StateLive, StateLeaving} }

// Machine is one row of the platform's list of machines.
type Machine struct {
	Name    string         `json:"name"`
	Address table.Endpoint `json:"address"`
	Role    Role           `json:"role"`
	State   MachineState   `json:"state"`
}

// Machines is one response of the list of machines.
type Machines struct {
	Revision Revision
	Machines []Machine
}

// Count returns the number of machines with the role in the state.
func (m Machines) Count(role Role, state MachineState) int {
	count := 0
	for _, machine := range m.Machines {
		if machine.Role == role && machine.State == state {
			count++
		}
	}
	return count
}

// CurrentRevision implements Revisioned.
func (m Machines) CurrentRevision() Revision { return m.Revision }

func (m Machine) validate() error {
	if m.Name == "" {
		return errors.New("list of machines contains a machine without a name")
	}
	if !m.Address.AddrPort().Addr().Is4() {
		return errors.Errorf("machine %q: address %q is not an IPv4 address and a port", m.Name, m.Address)
	}
	if !slices.Contains(Roles(), m.Role) {
		return errors.Errorf("machine %q: unknown role %q", m.Name, m.Role)
	}
	if !slices.Contains(MachineStates(), m.State) {
		return errors.Errorf("machine %q: unknown state %q", m.Name, m.State)
	}
	return nil
}
