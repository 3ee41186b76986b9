// This file implements the poll of a member's own zone on behalf of a survey.

package dissemination

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// maxZonePolls limits the zone polls that one process runs at a time.
const maxZonePolls = 16

// zonePoll asks the members of the own zone for their status on behalf of a survey.
type zonePoll struct {
	// requester is zero for a survey of this process.
	requester membership.Address
	// sequence is the sequence of the survey, statusSequence that of the status requests.
	sequence       uint32
	statusSequence uint32
	version        table.Version
	attempts       int
	next           time.Duration
}

// receiveZoneRequest starts a poll for a zone request, unless one is running for it
// already.
func (m *Machine) receiveZoneRequest(now time.Duration, from membership.Address, message Message) {
	repeated := slices.ContainsFunc(m.zonePolls, func(running *zonePoll) bool {
		return running.requester == from && running.sequence == message.Sequence
	})
	if repeated || len(m.zonePolls) >= maxZonePolls {
		return
	}
	m.startZonePoll(now, &zonePoll{requester: from, sequence: message.Sequence, version: message.Version})
}

func (m *Machine) startZonePoll(now time.Duration, started *zonePoll) {
	started.statusSequence = m.nextSequence()
	started.next = now
	m.zonePolls = append(m.zonePolls, started)
	m.advanceZonePolls(now)
}

func (m *Machine) advanceZonePolls(now time.Duration) {
	m.zonePolls = slices.DeleteFunc(m.zonePolls, func(running *zonePoll) bool { return m.advanceZonePoll(now, running) })
}

// receiveStatus advances the polls, some of which may be done. The status itself has been
// recorded already.
func (m *Machine) receiveStatus(now time.Duration, _ membership.Address) { m.advanceZonePolls(now) }

// advanceZonePoll asks the members that are not known to have applied the version. It
// reports whether the poll is done.
func (m *Machine) advanceZonePoll(now time.Duration, running *zonePoll) bool {
	behind := m.behindMembers(running.version)
	if len(behind) == 0 || now >= running.next && running.attempts >= m.config.StatusAttempts {
		m.report(running, behind)
		return true
	}
	if now < running.next {
		return false
	}
	running.attempts++
	running.next = now + m.config.StatusTimeout
	for _, address := range behind {
		if address != m.config.Self.Address {
			m.send(address, Message{Kind: KindStatusRequest, Sequence: running.statusSequence})
		}
	}
	return false
}

// behindMembers returns the members of the own zone, this process included, that are not
// known to have applied the version.
func (m *Machine) behindMembers(version table.Version) []membership.Address {
	var behind []membership.Address
	if m.status.Applied < version {
		behind = append(behind, m.config.Self.Address)
	}
	for _, peer := range m.peers.zones[m.config.Self.Zone] {
		if m.peers.status[peer.Identity.Address].Applied < version {
			behind = append(behind, peer.Identity.Address)
		}
	}
	return behind
}

func (m *Machine) report(ended *zonePoll, behindMembers []membership.Address) {
	members := 1 + len(m.peers.zones[m.config.Self.Zone])
	report := Message{
		Kind:          KindZoneReport,
		Sequence:      ended.sequence,
		Version:       ended.version,
		AppliedCount:  uint32(members - len(behindMembers)),
		BehindCount:   uint32(len(behindMembers)),
		BehindMembers: behindMembers[:min(len(behindMembers), maxBehindMembers)],
	}
	if ended.requester != 0 {
		m.send(ended.requester, report)
		return
	}
	for _, running := range m.surveys {
		if running.sequence == ended.sequence {
			m.endOwnZone(running, report)
		}
	}
}

func (m *Machine) endOwnZone(running *survey, report Message) {
	for _, request := range running.zones {
		if request.result.Zone == m.config.Self.Zone {
			m.endReplied(request, report)
		}
	}
}
