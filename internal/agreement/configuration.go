package agreement

import "slices"

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound.
//
//msgp:limit arrays:65536

//msgp:tuple Member Configuration

// Role tells how a voter takes part.
type Role uint8

// The roles of a voter.
const (
	// RoleReplica hears frequent heartbeats and may lead.
	RoleReplica Role = iota
	// RoleWitness hears rare heartbeats and leads only if the replicas fail.
	RoleWitness
)

// Member is one voter.
type Member struct {
	ID   ProcessID
	Zone Zone
	Role Role
}

// Configuration is the set of voters. Its order is the order in which
// replicas stand for election. While one voter takes the place of another,
// Previous holds the voters before, and a majority of both sets is needed
// (joint consensus).
type Configuration struct {
	Members  []Member
	Previous []Member
}

// HasMajority reports whether the predicate holds for more than half of the
// voters, and of the previous voters while these count too.
func (c Configuration) HasMajority(holds func(Member) bool) bool {
	return majorityOf(c.Members, holds) && (len(c.Previous) == 0 || majorityOf(c.Previous, holds))
}

func majorityOf(members []Member, holds func(Member) bool) bool {
	return count(members, holds) > len(members)/2
}

func count(members []Member, holds func(Member) bool) int {
	total := 0
	for _, member := range members {
		if holds(member) {
			total++
		}
	}
	return total
}

// Voters returns the members and those previous ones that are none any more.
func (c Configuration) Voters() []Member {
	all := slices.Clone(c.Members)
	for _, member := range c.Previous {
		if position(c.Members, member.ID) < 0 {
			all = append(all, member)
		}
	}
	return all
}

// Contains reports whether the process votes.
func (c Configuration) Contains(id ProcessID) bool {
	return position(c.Members, id) >= 0 || position(c.Previous, id) >= 0
}

// Member returns the voter with the given identity.
func (c Configuration) Member(id ProcessID) (Member, bool) {
	voters := c.Voters()
	found := position(voters, id)
	if found < 0 {
		return Member{}, false
	}
	return voters[found], true
}

// Zones returns the number of different zones of the members.
func (c Configuration) Zones() int {
	var zones []Zone
	for _, member := range c.Members {
		if !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	return len(zones)
}

// Clone returns a copy that shares no memory with c.
func (c Configuration) Clone() Configuration {
	return Configuration{Members: slices.Clone(c.Members), Previous: slices.Clone(c.Previous)}
}

func position(members []Member, id ProcessID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// rank returns the position of the voter among those of the same role.
func (c Configuration) rank(id ProcessID) int {
	self, _ := c.Member(id)
	rank := 0
	for _, member := range c.Voters() {
		if member.ID == id {
			return rank
		}
		if member.Role == self.Role {
			rank++
		}
	}
	return rank
}

// hasReplicaMajority reports whether the predicate holds for more than half of
// the replicas.
func (c Configuration) hasReplicaMajority(holds func(Member) bool) bool {
	replicas := count(c.Members, isReplica)
	return c.count(func(m Member) bool { return isReplica(m) && holds(m) }) > replicas/2
}

func (c Configuration) count(holds func(Member) bool) int { return count(c.Members, holds) }

func isReplica(member Member) bool { return member.Role == RoleReplica }

// with adds a voter. Majorities before and after overlap.
func (c Configuration) with(member Member) Configuration {
	return Configuration{Members: append(slices.Clone(c.Members), member)}
}

// replacing puts a voter in the place of another, with both sets in force.
func (c Configuration) replacing(leaving ProcessID, joining Member) Configuration {
	next := Configuration{Members: slices.Clone(c.Members), Previous: slices.Clone(c.Members)}
	next.Members[position(next.Members, leaving)] = joining
	return next
}

// final ends the time in which the previous voters count too.
func (c Configuration) final() Configuration {
	return Configuration{Members: slices.Clone(c.Members)}
}

func (c Configuration) withRole(id ProcessID, role Role) Configuration {
	changed := c.Clone()
	changed.Members[position(changed.Members, id)].Role = role
	return changed
}
