// This file implements contact between zones: random pings into other zones,
// and the judgement whether a zone can be reached.

package membership

import "time"

const (
	// ageUnit is the unit of Message.Ages.
	ageUnit = 250 * time.Millisecond
	// ageUnknown stands for an age that is too long to be told, or unknown.
	ageUnknown = 255
	// missedMessages is how many expected messages of a zone may be missing
	// before it is unreachable.
	missedMessages = 4
)

// remoteContact is the state of pinging other zones.
type remoteContact struct {
	next time.Duration
	// turn is the zone that was pinged last.
	turn Zone
}

// pingRemote pings a random member of the next other zone, reachable or not.
func (m *Machine) pingRemote(now time.Duration) {
	// A process that knows hardly anybody would ping seeds, which it asks already.
	if m.recovery.active && m.roster.live < manyMembers {
		return
	}
	if now < m.remote.next {
		return
	}
	m.remote.next = now + m.config.RemoteInterval
	if target, exists := m.nextRemote(m.isLivePeer); exists {
		m.send(now, target.update.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
	}
}

// nextRemote returns a random member that suits, of the other zones in turn.
func (m *Machine) nextRemote(suits func(*member) bool) (*member, bool) {
	for range MaximumZones {
		m.remote.turn = (m.remote.turn + 1) % MaximumZones
		if m.remote.turn == m.self.Member.Zone {
			continue
		}
		if found, exists := m.roster.randomMember(m.random, m.remote.turn, suits); exists {
			return found, true
		}
	}
	return nil, false
}

// hear notes that the sender's zone can be reached and, from a member of the
// own zone, when others last heard of further zones.
func (m *Machine) hear(now time.Duration, message Message) {
	zone := message.Sender.Member.Zone
	m.hearZone(now, zone, now)
	if zone != m.self.Member.Zone {
		return
	}
	for other, age := range message.ZoneAges {
		if age != ageUnknown && Zone(other) != zone {
			// One unit more than told, so that the time on the way cannot
			// make an old message young again.
			m.hearZone(now, Zone(other), now-time.Duration(age+1)*ageUnit)
		}
	}
}

func (m *Machine) hearZone(now time.Duration, zone Zone, heard time.Duration) {
	record := &m.roster.zones[zone]
	record.heard = max(record.heard, heard)
	if !record.reachable && now < record.heard+m.unreachableAfter() {
		record.reachable = true
		m.emit(Effect{Kind: EffectZoneReachable, Zone: zone})
	}
}

// ages returns how long ago each zone was heard of.
func (m *Machine) ages(now time.Duration) []byte {
	length := 0
	for zone := range m.roster.zones {
		if m.roster.zones[zone].reachable {
			length = zone + 1
		}
	}
	ages := make([]byte, length)
	for zone := range ages {
		ages[zone] = m.ageOf(now, Zone(zone))
	}
	return ages
}

func (m *Machine) ageOf(now time.Duration, zone Zone) byte {
	record := &m.roster.zones[zone]
	units := (now - record.heard + ageUnit - 1) / ageUnit
	if !record.reachable || units >= ageUnknown {
		return ageUnknown
	}
	return byte(units)
}

// unreachableAfter is how long nothing may be heard of a zone: the members of
// the own zone share the pings, so a small zone waits longer.
func (m *Machine) unreachableAfter() time.Duration {
	others := 0
	for zone := range m.roster.zones {
		if m.roster.zones[zone].live > 0 {
			others++
		}
	}
	own := max(m.roster.zones[m.self.Member.Zone].live, 1)
	expected := m.config.RemoteInterval * time.Duration(others) / time.Duration(own)
	return m.config.UnreachableTimeout + missedMessages*expected
}

// judgeZones finds the zones of which nothing was heard for too long.
func (m *Machine) judgeZones(now time.Duration) {
	if m.recovery.active {
		return
	}
	limit := m.unreachableAfter()
	for zone := range m.roster.zones {
		record := &m.roster.zones[zone]
		if !record.reachable || Zone(zone) == m.self.Member.Zone || now < record.heard+limit {
			continue
		}
		record.reachable = false
		record.unreachableSince = now
		m.emit(Effect{Kind: EffectZoneUnreachable, Zone: Zone(zone)})
	}
}
