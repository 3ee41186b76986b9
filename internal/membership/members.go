// This file gives the caller a view of the members.

package membership

// Member is what a process knows of a member.
type Member struct {
	Identity Identity
	State    State
	// Reachable is false for a live member of a zone that cannot be reached,
	// and for every member that is not live.
	Reachable bool
}

// Members returns all members that are remembered, this process included, in
// no stated order.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.roster.byAddress))
	for zone := range m.roster.zones {
		for _, known := range m.roster.zones[zone].members {
			members = append(members, m.view(known))
		}
	}
	return members
}

// Member returns what is known of the member at an address.
func (m *Machine) Member(address Address) (Member, bool) {
	known, exists := m.roster.byAddress[address]
	if !exists {
		return Member{}, false
	}
	return m.view(known), true
}

func (m *Machine) view(known *member) Member {
	identity := known.update.Member
	reachable := identity.Zone == m.self.Member.Zone || m.roster.zones[identity.Zone].reachable
	return Member{
		Identity:  identity,
		State:     known.update.State,
		Reachable: reachable && known.update.State.live(),
	}
}

// LiveCount returns the number of live members, this process included.
func (m *Machine) LiveCount() int { return m.roster.live }

// CatchingUp reports whether the process has not yet learned what others know
// since it started or was paused.
func (m *Machine) CatchingUp() bool { return !m.everTicked || m.recovery.active }
