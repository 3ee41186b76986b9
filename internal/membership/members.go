// This file gives the caller read access to the members.

package membership

// Member is a member as known to this process.
type Member struct {
	Identity Identity
	State    State
	// Reachable is false for a live member of an unreachable zone and for every member that
	// is not live.
	Reachable bool
}

// Members returns all known members, this process included, in no particular order.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.memberList.byAddress))
	for zone := range m.memberList.zones {
		for _, known := range m.memberList.zones[zone].members {
			members = append(members, m.describe(known))
		}
	}
	return members
}

// Member returns the member at an address.
func (m *Machine) Member(address Address) (Member, bool) {
	known, exists := m.memberList.byAddress[address]
	if !exists {
		return Member{}, false
	}
	return m.describe(known), true
}

func (m *Machine) describe(known *member) Member {
	identity := known.update.Member
	reachable := identity.Zone == m.self.Member.Zone || m.memberList.zones[identity.Zone].reachable
	return Member{
		Identity:  identity,
		State:     known.update.State,
		Reachable: reachable && known.update.State.live(),
	}
}

// LiveCount returns the number of live members, this process included.
func (m *Machine) LiveCount() int { return m.memberList.live }

// CatchingUp reports whether the process has not yet fetched the state of the others since
// it started or was paused.
func (m *Machine) CatchingUp() bool { return !m.started || m.recovery.active }
