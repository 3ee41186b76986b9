// This file implements a member's part in a survey: asking its own zone.

package dissemination

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// maximumTasks bounds the zone requests that one process works on.
const maximumTasks = 16

// zoneTask asks the members of the own zone on behalf of a survey.
type zoneTask struct {
	// requester is zero for a survey of this process.
	requester membership.Address
	// sequence is that of the survey, request that of the status requests.
	sequence uint32
	request  uint32
	version  table.Version
	tries    int
	next     time.Duration
}

// beginTask starts the work on a zone request, unless it is a repetition.
func (m *Machine) beginTask(now time.Duration, from membership.Address, message Message) {
	repeated := slices.ContainsFunc(m.tasks, func(running *zoneTask) bool {
		return running.requester == from && running.sequence == message.Sequence
	})
	if repeated || len(m.tasks) >= maximumTasks {
		return
	}
	m.startTask(now, &zoneTask{requester: from, sequence: message.Sequence, version: message.Version})
}

func (m *Machine) startTask(now time.Duration, started *zoneTask) {
	started.request = m.nextSequence()
	started.next = now
	m.tasks = append(m.tasks, started)
	m.advanceTasks(now)
}

func (m *Machine) advanceTasks(now time.Duration) {
	m.tasks = slices.DeleteFunc(m.tasks, func(running *zoneTask) bool { return m.advanceTask(now, running) })
}

// receiveStatus may end tasks; the status itself has been recorded.
func (m *Machine) receiveStatus(now time.Duration, _ membership.Address) { m.advanceTasks(now) }

// advanceTask asks the members that are not known to have the version, and
// returns whether the task has ended.
func (m *Machine) advanceTask(now time.Duration, running *zoneTask) bool {
	missing := m.behind(running.version)
	if len(missing) == 0 || now >= running.next && running.tries >= m.config.StatusAttempts {
		m.report(running, missing)
		return true
	}
	if now < running.next {
		return false
	}
	running.tries++
	running.next = now + m.config.StatusTimeout
	for _, address := range missing {
		if address != m.config.Self.Address {
			m.send(address, Message{Kind: KindStatusRequest, Sequence: running.request})
		}
	}
	return false
}

// behind returns the members of the own zone, this process included, that are
// not known to have put the version in force.
func (m *Machine) behind(version table.Version) []membership.Address {
	var missing []membership.Address
	if m.status.Applied < version {
		missing = append(missing, m.config.Self.Address)
	}
	for _, peer := range m.peers.zones[m.config.Self.Zone] {
		if m.peers.status[peer.Identity.Address].Applied < version {
			missing = append(missing, peer.Identity.Address)
		}
	}
	return missing
}

func (m *Machine) report(ended *zoneTask, missing []membership.Address) {
	members := 1 + len(m.peers.zones[m.config.Self.Zone])
	report := Message{
		Kind:          KindZoneReport,
		Sequence:      ended.sequence,
		Version:       ended.version,
		AppliedCount:  uint32(members - len(missing)),
		BehindCount:   uint32(len(missing)),
		BehindMembers: missing[:min(len(missing), namedMembers)],
	}
	if ended.requester != 0 {
		m.send(ended.requester, report)
		return
	}
	for _, running := range m.surveys {
		if running.sequence == ended.sequence {
			m.concludeOwnZone(running, report)
		}
	}
}

func (m *Machine) concludeOwnZone(running *survey, report Message) {
	for _, inquiry := range running.zones {
		if inquiry.result.Zone == m.config.Self.Zone {
			m.concludeAnswered(inquiry, report)
		}
	}
}
