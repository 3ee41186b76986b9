package directory_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanetiller/vanetiller/internal/directory"
)

// storeModel is a store whose whole history is remembered: the item with an index has the
// revision after it.
type storeModel struct{ history []directory.Item }

func (s *storeModel) revision() directory.Revision { return directory.Revision(len(s.history)) }

// write accepts one change.
func (s *storeModel) write(item directory.Item) {
	item.Revision = s.revision() + 1
	s.history = append(s.history, item)
}

// at returns the entries that are there at a revision, by the names of their endpoints, and
// the configuration's version. Those that cannot be used are not there.
func (s *storeModel) at(revision directory.Revision) (map[string]directory.Item, uint64) {
	entries := make(map[string]directory.Item)
	version := uint64(0)
	for _, item := range s.history[:revision] {
		switch {
		case item.Zone != "":
		case item.Configuration != nil:
			version = item.Configuration.Version
		case item.Endpoint != nil:
			entries[item.EndpointID.Name] = item
		default:
			delete(entries, item.EndpointID.Name)
		}
	}
	return entries, version
}

// closedAt returns the zones that are closed at a revision, with their entries.
func (s *storeModel) closedAt(revision directory.Revision) map[string]directory.Item {
	closed := make(map[string]directory.Item)
	for _, item := range s.history[:revision] {
		switch {
		case item.ZoneClosed:
			closed[item.Zone] = item
		case item.Zone != "":
			delete(closed, item.Zone)
		}
	}
	return closed
}

// page returns a listing of everything, at a revision.
func (s *storeModel) page(revision directory.Revision) []directory.Item {
	entries, _ := s.at(revision)
	var items []directory.Item
	for _, item := range entries {
		items = append(items, item)
	}
	for _, item := range s.closedAt(revision) {
		items = append(items, item)
	}
	for index := int(revision) - 1; index >= 0; index-- {
		if s.history[index].Configuration != nil {
			return append(items, s.history[index])
		}
	}
	return items
}

// delivery is an update on its way.
type delivery struct {
	from directory.Peer
	directory.Outgoing
}

// spreadModel is a fleet whose updates are lost, doubled and reordered.
type spreadModel struct {
	store storeModel
	fleet []*participant
	way   []delivery
	now   time.Duration
	next  int
	// planted is a fault of the balancers.
	planted plantedFault
}

// plantedFault is one that the check has to find.
type plantedFault uint8

const (
	// plantedOmitsGone: updates leave out endpoints that have gone.
	plantedOmitsGone plantedFault = iota + 1
	// plantedOmitsZones: updates leave out zones that were closed or opened.
	plantedOmitsZones
	// plantedOmitsOpened: updates and states leave out zones that were opened.
	plantedOmitsOpened
	// plantedStateOmitsZones: whole states leave out zones that are closed.
	plantedStateOmitsZones
	// plantedOmitsStart: updates and states do not tell which incarnation an endpoint is.
	plantedOmitsStart
)

// tells returns what is told of a state by balancers with the fault.
func (p plantedFault) tells(state directory.State, update bool) directory.State {
	switch {
	case p == plantedOmitsStart:
		state.Endpoints = slices.Clone(state.Endpoints)
		for index := range state.Endpoints {
			state.Endpoints[index].ID.Started = 0
		}
	case p == plantedOmitsGone && update:
		var kept []directory.EndpointState
		for _, described := range state.Endpoints {
			if !described.Gone {
				kept = append(kept, described)
			}
		}
		state.Endpoints = kept
	case p == plantedOmitsZones && update, p == plantedStateOmitsZones && state.Whole:
		state.Zones = nil
	case p == plantedOmitsOpened && !state.Whole:
		var kept []directory.ZoneState
		for _, described := range state.Zones {
			if described.Closed {
				kept = append(kept, described)
			}
		}
		state.Zones = kept
	}
	return state
}

func newSpreadModel(balancers int) *spreadModel {
	created := &spreadModel{}
	created.store.write(configurationItem(1, 0))
	members := fleetOf(balancers, 2)
	for _, member := range members {
		machine := directory.NewReplica()
		spread := directory.NewDisseminator(machine, timing, member, nil, rand.New(rand.NewPCG(uint64(member.Peer), 1)))
		spread.SetMembers(members)
		created.fleet = append(created.fleet, &participant{machine, spread})
	}
	return created
}

func (m *spreadModel) send(from directory.Peer, outgoing []directory.Outgoing) {
	for _, each := range outgoing {
		each.Update.State = m.planted.tells(each.Update.State, true)
		m.way = append(m.way, delivery{from, each})
	}
}

// step lets one thing happen.
func (m *spreadModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "passed")) * time.Millisecond
	index := rapid.IntRange(0, len(m.fleet)-1).Draw(t, "balancer")
	chosen, peer := m.fleet[index], directory.Peer(index+1)
	switch rapid.SampledFrom([]string{"write", "write", "restart endpoint", "leave", "refuse", "close", "open", "configure", "list", "watch", "watch", "deliver", "deliver", "deliver", "repeat", "double", "lose", "fetch", "restart"}).Draw(t, "step") {
	case "write":
		m.next++
		value := endpoint("s", rapid.Bool().Draw(t, "draining"))
		value.IP = [4]byte{10, 0, 0, byte(m.next)}
		m.store.write(endpointItem(fmt.Sprintf("e%d", rapid.IntRange(max(m.next-3, 1), m.next).Draw(t, "id")), 0, value))
	case "restart endpoint":
		// Its clock may have stepped back.
		if item, exists := m.anEndpoint(); exists {
			item.EndpointID.Started = rapid.Int64Range(1, 4).Draw(t, "started")
			m.store.write(item)
		}
	case "leave":
		if gone, exists := m.anEndpoint(); exists {
			m.store.write(endpointItem(gone.EndpointID.Name, 0, nil))
		}
	case "refuse":
		if spoiled, exists := m.anEndpoint(); exists {
			item := endpointItem(spoiled.EndpointID.Name, 0, nil)
			item.RefusalReason = directory.RefusedUnreadable
			m.store.write(item)
		}
	case "close":
		m.store.write(zoneItem(fmt.Sprintf("z%d", rapid.IntRange(1, 2).Draw(t, "zone")), 0, true))
	case "open":
		zone := fmt.Sprintf("z%d", rapid.IntRange(1, 2).Draw(t, "zone"))
		if _, closed := m.store.closedAt(m.store.revision())[zone]; closed {
			m.store.write(zoneItem(zone, 0, false))
		}
	case "configure":
		_, version := m.store.at(m.store.revision())
		m.store.write(configurationItem(version+1, 0))
	case "list":
		chosen.machine.ApplyListing(m.now, m.store.page(m.store.revision()), m.store.revision())
		m.send(peer, chosen.spread.StoreAnswered(m.now))
	case "watch":
		if after := chosen.machine.AppliedRevision(); after > 0 {
			chosen.machine.ApplyChanges(m.now, m.store.history[after:], m.store.revision())
			m.send(peer, chosen.spread.StoreAnswered(m.now))
		}
	case "repeat":
		m.send(peer, chosen.spread.Repeat(m.now))
		m.send(peer, chosen.spread.RenewalRequest(m.now))
	case "deliver", "double", "lose":
		m.deliver(t)
	case "fetch":
		other := rapid.IntRange(0, len(m.fleet)-1).Draw(t, "source")
		state := m.planted.tells(m.fleet[other].spread.State(m.now, chosen.machine.Digest()), false)
		chosen.machine.ApplyState(m.now, state)
		m.send(peer, chosen.spread.StateFetched(m.now, m.now, directory.Peer(other+1), state))
	case "restart":
		*chosen = *newParticipant(directory.Member{Peer: peer, Zone: index % 2})
		chosen.spread.SetMembers(fleetOf(len(m.fleet), 2))
	}
}

// anEndpoint returns the entry of the endpoint that has been there for longest.
func (m *spreadModel) anEndpoint() (directory.Item, bool) {
	entries, _ := m.store.at(m.store.revision())
	for number := range m.next + 1 {
		if item, exists := entries[fmt.Sprintf("e%d", number)]; exists {
			return item, true
		}
	}
	return directory.Item{}, false
}

// deliver hands over an update that is on its way, in any order.
func (m *spreadModel) deliver(t *rapid.T) {
	if len(m.way) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.way)-1).Draw(t, "update")
	arriving := m.way[index]
	if rapid.IntRange(0, 4).Draw(t, "fate") > 0 {
		m.way = append(m.way[:index], m.way[index+1:]...)
	}
	_, _, answers := m.fleet[arriving.To-1].spread.Receive(m.now, arriving.from, arriving.Update)
	m.send(arriving.To, answers)
}

// wrong returns what a balancer believes that is not so at the revision up to which it
// claims to know all changes, empty if there is nothing.
func (m *spreadModel) wrong(each *participant) string {
	complete := each.machine.AppliedRevision()
	if complete == 0 {
		return ""
	}
	entries, version := m.store.at(complete)
	if known := each.machine.Snapshot().Version(); known < version {
		return fmt.Sprintf("version %d and not %d at revision %d", known, version, complete)
	}
	if wrong := m.wrongZone(each, complete); wrong != "" {
		return wrong
	}
	newest, _ := m.store.at(m.store.revision())
	known := make(map[string]directory.Candidate)
	for _, candidate := range each.machine.Snapshot().All() {
		known[candidate.ID.Name] = candidate
	}
	for name, entry := range entries {
		candidate, exists := known[name]
		current := newest[name].Revision == entry.Revision
		if !exists || current && (candidate.Gone || candidate.ID != entry.EndpointID) {
			return fmt.Sprintf("%s, which is there, missing at revision %d", entry.EndpointID, complete)
		}
	}
	for _, candidate := range each.machine.Snapshot().All() {
		there := entries[candidate.ID.Name].EndpointID == candidate.ID
		if !there && !candidate.Gone && !m.changedAfter(candidate.ID.Name, complete) {
			return fmt.Sprintf("%s, which has gone, is there at revision %d", candidate.ID, complete)
		}
	}
	return ""
}

// wrongZone returns a zone that a balancer takes wrongly for closed or open. It may know
// later changes than those up to the revision that it claims.
func (m *spreadModel) wrongZone(each *participant, complete directory.Revision) string {
	believed := make(map[string]bool)
	for _, zone := range each.machine.Snapshot().ClosedZones() {
		believed[zone.Zone] = true
	}
	closed := m.store.closedAt(complete)
	for _, zone := range []string{"z1", "z2"} {
		_, there := closed[zone]
		if believed[zone] != there && !m.zoneChangedAfter(zone, complete) {
			return fmt.Sprintf("zone %s, closed %t, is believed closed %t at revision %d", zone, there, believed[zone], complete)
		}
	}
	return ""
}

// zoneChangedAfter reports whether a zone was closed or opened after a revision.
func (m *spreadModel) zoneChangedAfter(zone string, revision directory.Revision) bool {
	for _, item := range m.store.history[revision:] {
		if item.Zone == zone {
			return true
		}
	}
	return false
}

// changedAfter reports whether an endpoint has changed after a revision.
func (m *spreadModel) changedAfter(name string, revision directory.Revision) bool {
	for _, item := range m.store.history[revision:] {
		if item.EndpointID.Name == name {
			return true
		}
	}
	return false
}

// seed makes a test have the same verdict each time. More runs, with other seeds, are a
// matter of -rapid.checks and of changing it.
const seed = "20261202"

func seeded(t *testing.T) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
}

// TestSpreadModel checks that a balancer knows the store as it was at the revision that
// it claims, whatever becomes of updates.
func TestSpreadModel(t *testing.T) {
	seeded(t)
	rapid.Check(t, func(t *rapid.T) {
		model := newSpreadModel(5)
		for range 60 {
			model.step(t)
			for index, each := range model.fleet {
				if wrong := model.wrong(each); wrong != "" {
					t.Fatalf("balancer %d: %s", index+1, wrong)
				}
			}
		}
	})
}

// TestSpreadModelSeesFaults shows that the check finds balancers that do not tell all they
// claim.
func TestSpreadModelSeesFaults(t *testing.T) {
	for _, planted := range []plantedFault{plantedOmitsGone, plantedOmitsZones, plantedOmitsOpened, plantedStateOmitsZones, plantedOmitsStart} {
		t.Run(fmt.Sprint(planted), func(t *testing.T) {
			seeded(t)
			found := false
			rapid.Check(t, func(t *rapid.T) {
				model := newSpreadModel(5)
				model.planted = planted
				for range 300 {
					model.step(t)
					for _, each := range model.fleet {
						found = found || model.wrong(each) != ""
					}
				}
			})
			if !found {
				t.Fatal("no run found a planted fault")
			}
		})
	}
}
