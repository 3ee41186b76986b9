package agreement

import "slices"

// fleet is what this process knows of the running processes.
type fleet struct {
	zones map[ProcessID]Zone
	// newest holds the largest start seen for each machine.
	newest map[uint32]uint64
}

func newFleet() *fleet {
	return &fleet{zones: make(map[ProcessID]Zone), newest: make(map[uint32]uint64)}
}

func (f *fleet) up(id ProcessID, zone Zone) {
	if id.Start < f.newest[id.Machine] {
		return
	}
	delete(f.zones, ProcessID{Machine: id.Machine, Start: f.newest[id.Machine]})
	f.newest[id.Machine] = id.Start
	f.zones[id] = zone
}

func (f *fleet) down(id ProcessID) { delete(f.zones, id) }

func (f *fleet) isUp(id ProcessID) bool {
	_, running := f.zones[id]
	return running
}

// running returns the processes that are up, in a fixed order.
func (f *fleet) running() []Member {
	members := make([]Member, 0, len(f.zones))
	for id, zone := range f.zones {
		members = append(members, Member{ID: id, Zone: zone})
	}
	slices.SortFunc(members, func(a, b Member) int { return a.ID.Compare(b.ID) })
	return members
}
