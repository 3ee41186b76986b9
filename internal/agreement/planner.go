package agreement

import (
	"slices"
	"time"
)

// plan takes the next step towards the wanted set of voters, at most one
// change of the configuration at a time. The leader must have committed an
// entry of its own term before (Ongaro 2014, section 4.1, as corrected in
// 2015).
func (m *Machine) plan(now time.Duration) {
	configuration := m.log.voters
	if !m.emptyDone || m.log.votersIndex > m.commit || !m.hasQuorum(now) {
		return
	}
	if len(configuration.Previous) > 0 {
		m.appendConfiguration(now, configuration.final())
		return
	}
	if m.learner != (ProcessID{}) && !m.learnerWanted(configuration) {
		m.learner = ProcessID{}
		m.syncPeers(now)
	}
	if next, changed := m.fleet.nextRoles(configuration, m.parameters); changed {
		m.appendConfiguration(now, next)
		return
	}
	if m.learner == (ProcessID{}) {
		m.startLearner(now, configuration)
		return
	}
	m.admitLearner(now, configuration)
}

// learnerWanted reports whether the learner still runs and a voter is still
// missing, down or in a crowded zone.
func (m *Machine) learnerWanted(configuration Configuration) bool {
	_, wanted := m.fleet.nextVoter(configuration, m.parameters)
	return wanted && m.fleet.isUp(m.learner)
}

// startLearner begins to send the log to a process that shall become a voter.
func (m *Machine) startLearner(now time.Duration, configuration Configuration) {
	joining, wanted := m.fleet.nextVoter(configuration, m.parameters)
	if !wanted {
		return
	}
	m.learner = joining
	m.syncPeers(now)
	m.replicate(now, joining)
}

// admitLearner makes the learner a voter once it holds every committed entry
// and a majority of the voters to be has answered lately.
func (m *Machine) admitLearner(now time.Duration, configuration Configuration) {
	if m.peers[m.learner].match < m.commit {
		return
	}
	joining := Member{ID: m.learner, Zone: m.fleet.zones[m.learner], Role: RoleWitness}
	if configuration.count(m.fleet.isRunningReplica) < m.parameters.Replicas {
		joining.Role = RoleReplica
	}
	next := configuration.with(joining)
	if leaving, exists := m.fleet.leavingVoter(configuration, m.parameters); exists {
		next = configuration.replacing(leaving, joining)
	}
	if !m.hasQuorumOf(now, next) {
		return
	}
	m.learner = ProcessID{}
	m.appendConfiguration(now, next)
}

func (m *Machine) appendConfiguration(now time.Duration, next Configuration) {
	m.appendEntry(now, Entry{Kind: EntryConfiguration, Configuration: &next})
}

// nextVoter returns the process to add: one in the zone with the fewest
// voters, if there are too few voters, one is down, or the zones are uneven by
// two or more.
func (f *fleet) nextVoter(configuration Configuration, parameters Parameters) (ProcessID, bool) {
	joining, exists := f.bestCandidate(configuration)
	if !exists {
		return ProcessID{}, false
	}
	leaving, exists := f.leavingVoter(configuration, parameters)
	if !exists || !f.isUp(leaving) {
		return joining.ID, true
	}
	member, _ := configuration.Member(leaving)
	uneven := f.load(configuration, member.Zone) >= f.load(configuration, joining.Zone)+2
	return joining.ID, uneven
}

// bestCandidate returns a running process that is no voter, in the zone with
// the fewest running voters.
func (f *fleet) bestCandidate(configuration Configuration) (Member, bool) {
	var best Member
	found := false
	for _, member := range f.running() {
		if configuration.Contains(member.ID) {
			continue
		}
		if !found || f.load(configuration, member.Zone) < f.load(configuration, best.Zone) {
			best = member
			found = true
		}
	}
	return best, found
}

// leavingVoter returns the voter to replace: one that is down, else, if there
// are enough voters, one of the zone with the most. The leader stays.
func (f *fleet) leavingVoter(configuration Configuration, parameters Parameters) (ProcessID, bool) {
	var crowded Member
	found := false
	for _, member := range configuration.Members {
		if !f.isUp(member.ID) {
			return member.ID, true
		}
		if member.ID == parameters.Self {
			continue
		}
		if !found || f.load(configuration, member.Zone) > f.load(configuration, crowded.Zone) {
			crowded = member
			found = true
		}
	}
	complete := len(configuration.Members) >= parameters.Replicas+parameters.Witnesses
	return crowded.ID, found && complete
}

func (f *fleet) isRunningReplica(member Member) bool { return isReplica(member) && f.isUp(member.ID) }

// load returns the number of running voters of a zone.
func (f *fleet) load(configuration Configuration, zone Zone) int {
	return configuration.count(func(m Member) bool { return m.Zone == zone && f.isUp(m.ID) })
}

// nextRoles returns the configuration with one role changed, if there are too
// few running replicas or a replica is down. The number of voters stays.
func (f *fleet) nextRoles(configuration Configuration, parameters Parameters) (Configuration, bool) {
	running := configuration.count(f.isRunningReplica)
	if running < parameters.Replicas {
		if promoted, exists := f.promotable(configuration); exists {
			return configuration.withRole(promoted, RoleReplica), true
		}
	}
	gone := slices.IndexFunc(configuration.Members, func(m Member) bool { return isReplica(m) && !f.isUp(m.ID) })
	if gone >= 0 && running >= parameters.Replicas {
		return configuration.withRole(configuration.Members[gone].ID, RoleWitness), true
	}
	return Configuration{}, false
}

// promotable returns a running witness, preferably of a zone that has no
// running replica.
func (f *fleet) promotable(configuration Configuration) (ProcessID, bool) {
	var best ProcessID
	fewest := len(configuration.Members) + 1
	for _, member := range configuration.Members {
		if isReplica(member) || !f.isUp(member.ID) {
			continue
		}
		replicas := configuration.count(func(m Member) bool {
			return m.Zone == member.Zone && f.isRunningReplica(m)
		})
		if replicas < fewest {
			best = member.ID
			fewest = replicas
		}
	}
	return best, best != ProcessID{}
}
