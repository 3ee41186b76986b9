// Package platform implements the read-only client of the platform's
// configuration service and of its list of machines.
//
// A Client makes single requests. A Poller repeats one of them and delivers
// only what is newer than all it has delivered before; Decider holds its
// decisions and does no I/O.
package platform

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Revision numbers the states of one service of the platform, starting at 1.
// It grows with every change the platform knows of and has nothing to do with
// the version of a table.
type Revision uint64

// Configuration is one answer of the configuration service.
type Configuration struct {
	Revision Revision
	// Table has been checked by table.Parse.
	Table *table.Table
}

// CurrentRevision implements Snapshot.
func (c Configuration) CurrentRevision() Revision { return c.Revision }

// Role is what a machine does.
type Role string

// The roles of machines.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Roles lists every role, for metrics that are kept by role.
func Roles() []Role { return []Role{RoleBalancer, RoleAgent} }

// MachineState is what the platform believes about a machine. The list lags
// behind reality.
type MachineState string

// The states of machines.
const (
	StateLive    MachineState = "live"
	StateLeaving MachineState = "leaving"
)

// MachineStates lists every state, for metrics that are kept by state.
func MachineStates() []MachineState { return []MachineState{StateLive, StateLeaving} }

// Machine is one row of the platform's list of machines.
type Machine struct {
	Name    string         `json:"name"`
	Address table.Endpoint `json:"address"`
	Role    Role           `json:"role"`
	State   MachineState   `json:"state"`
}

// Machines is one answer of the machine list.
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

// CurrentRevision implements Snapshot.
func (m Machines) CurrentRevision() Revision { return m.Revision }

func (m Machine) validate() error {
	if m.Name == "" {
		return errors.New("machine without a name")
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
