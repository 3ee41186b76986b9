package agreement

import "slices"

//go:generate go tool msgp -tests=false

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
// replicas stand for election.
type Configuration struct {
	Members []Member
}

// Contains reports whether the process is a voter.
func (c Configuration) Contains(id ProcessID) bool {
	_, exists := c.Member(id)
	return exists
}

// Member returns the voter with the given identity.
func (c Configuration) Member(id ProcessID) (Member, bool) {
	position := c.position(id)
	if position < 0 {
		return Member{}, false
	}
	return c.Members[position], true
}

// Majority returns the least number of voters that is more than half.
func (c Configuration) Majority() int { return len(c.Members)/2 + 1 }

// Zones returns the number of different zones.
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
	return Configuration{Members: slices.Clone(c.Members)}
}

func (c Configuration) position(id ProcessID) int {
	return slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
}

// rank returns the position of the voter among those of the same role.
func (c Configuration) rank(id ProcessID) int {
	self, _ := c.Member(id)
	rank := 0
	for _, member := range c.Members {
		if member.ID == id {
			return rank
		}
		if member.Role == self.Role {
			rank++
		}
	}
	return rank
}

// majorityOf reports whether the predicate holds for more than half of the
// voters.
func (c Configuration) majorityOf(holds func(Member) bool) bool {
	return c.count(holds) >= c.Majority()
}

// replicaMajorityOf reports whether the predicate holds for more than half of
// the replicas.
func (c Configuration) replicaMajorityOf(holds func(Member) bool) bool {
	replicas := c.count(isReplica)
	return c.count(func(m Member) bool { return isReplica(m) && holds(m) }) > replicas/2
}

func (c Configuration) count(holds func(Member) bool) int {
	total := 0
	for _, member := range c.Members {
		if holds(member) {
			total++
		}
	}
	return total
}

func isReplica(member Member) bool { return member.Role == RoleReplica }

func (c Configuration) with(member Member) Configuration {
	return Configuration{Members: append(slices.Clone(c.Members), member)}
}

func (c Configuration) without(id ProcessID) Configuration {
	keep := c.Clone()
	keep.Members = slices.DeleteFunc(keep.Members, func(m Member) bool { return m.ID == id })
	return keep
}

func (c Configuration) withRole(id ProcessID, role Role) Configuration {
	changed := c.Clone()
	changed.Members[changed.position(id)].Role = role
	return changed
}
