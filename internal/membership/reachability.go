// This file implements contact between zones: random pings to members of other zones and
// the detection of unreachable zones.

package membership

import "time"

const (
	// ageUnit is the unit of Message.ZoneAges.
	ageUnit = 250 * time.Millisecond
	// ageUnknown stands for an age that is unknown or too long to be encoded.
	ageUnknown = 255
	// maxMissedMessages is the number of expected messages of a zone that may be
	// missing before it counts as unreachable.
	maxMissedMessages = 4
)

// remotePingState is the state of pinging other zones.
type remotePingState struct {
	next time.Duration
	// lastZone is the zone that was pinged last.
	lastZone Zone
}

// pingRemote pings a random member of the next other zone, whether reachable or not.
func (m *Machine) pingRemote(now time.Duration) {
	// A process with few members would ping the seeds, to which it sends requests anyway.
	if m.recovery.active && m.memberList.live < bootstrapMembers {
		return
	}
	if now < m.remote.next {
		return
	}
	m.remote.next = now + m.config.RemoteInterval
	if target, exists := m.nextRemoteMember(m.isLivePeer); exists {
		m.send(now, target.update.Member.Address, Message{Kind: KindPing, Sequence: m.nextSequence()})
	}
}

// nextRemoteMember returns a random matching member of the next other zone that has one.
func (m *Machine) nextRemoteMember(matches func(*member) bool) (*member, bool) {
	for range MaxZones {
		m.remote.lastZone = (m.remote.lastZone + 1) % MaxZones
		if m.remote.lastZone == m.self.Member.Zone {
			continue
		}
		if found, exists := m.memberList.randomMember(m.random, m.remote.lastZone, matches); exists {
			return found, true
		}
	}
	return nil, false
}

// recordContact records that the sender's zone is reachable. If the sender is in the own
// zone, it also records when the sender last received a message from other zones.
func (m *Machine) recordContact(now time.Duration, message Message) {
	zone := message.Sender.Member.Zone
	m.recordZoneMessage(now, zone, now)
	if zone != m.self.Member.Zone {
		return
	}
	for other, age := range message.ZoneAges {
		if age != ageUnknown && Zone(other) != zone {
			// One unit is added, so that the transmission time cannot make an old
			// message look recent again.
			m.recordZoneMessage(now, Zone(other), now-time.Duration(age+1)*ageUnit)
		}
	}
}

func (m *Machine) recordZoneMessage(now time.Duration, zone Zone, at time.Duration) {
	record := &m.memberList.zones[zone]
	record.lastMessageAt = max(record.lastMessageAt, at)
	if !record.reachable && now < record.lastMessageAt+m.unreachableAfter() {
		record.reachable = true
		m.emit(Effect{Kind: EffectZoneReachable, Zone: zone})
	}
}

// zoneAges returns how long ago each zone last sent a message.
func (m *Machine) zoneAges(now time.Duration) []byte {
	length := 0
	for zone := range m.memberList.zones {
		if m.memberList.zones[zone].reachable {
			length = zone + 1
		}
	}
	ages := make([]byte, length)
	for zone := range ages {
		ages[zone] = m.zoneAge(now, Zone(zone))
	}
	return ages
}

func (m *Machine) zoneAge(now time.Duration, zone Zone) byte {
	record := &m.memberList.zones[zone]
	units := (now - record.lastMessageAt + ageUnit - 1) / ageUnit
	if !record.reachable || units >= ageUnknown {
		return ageUnknown
	}
	return byte(units)
}

// unreachableAfter returns how long a zone may be silent before it counts as unreachable.
// The members of the own zone share the pings into other zones, so a small zone waits
// longer.
func (m *Machine) unreachableAfter() time.Duration {
	others := 0
	for zone := range m.memberList.zones {
		if m.memberList.zones[zone].live > 0 {
			others++
		}
	}
	own := max(m.memberList.zones[m.self.Member.Zone].live, 1)
	expected := m.config.RemoteInterval * time.Duration(others) / time.Duration(own)
	return m.config.UnreachableTimeout + maxMissedMessages*expected
}

// detectUnreachableZones marks the zones that have been silent for too long.
func (m *Machine) detectUnreachableZones(now time.Duration) {
	if m.recovery.active {
		return
	}
	limit := m.unreachableAfter()
	for zone := range m.memberList.zones {
		record := &m.memberList.zones[zone]
		if !record.reachable || Zone(zone) == m.self.Member.Zone || now < record.lastMessageAt+limit {
			continue
		}
		record.reachable = false
		record.unreachableSince = now
		m.emit(Effect{Kind: EffectZoneUnreachable, Zone: Zone(zone)})
	}
}
