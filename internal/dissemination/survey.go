// This file implements surveys: which members have put a version in force.

package dissemination

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// maximumSurveys bounds the surveys that one process has under way.
const maximumSurveys = 8

// ErrTooManySurveys is returned by Survey while maximumSurveys are under way.
var ErrTooManySurveys = errors.New("dissemination: too many surveys under way")

// survey is one survey under way.
type survey struct {
	sequence uint32
	version  table.Version
	zones    []*zoneInquiry
}

// zoneInquiry is the part of a survey for one zone.
type zoneInquiry struct {
	result   ZoneSurvey
	done     bool
	tries    int
	asked    []membership.Address
	deadline time.Duration
}

// Survey begins to find out which members have a version in force. A member
// that is declared failed meanwhile is none and is not counted. The result
// comes as an EffectSurveyed after at most ReportTries times ReportTimeout. It
// returns ErrTooManySurveys if too many are under way.
func (m *Machine) Survey(now time.Duration, version table.Version) ([]Effect, error) {
	m.begin()
	if len(m.surveys) >= maximumSurveys {
		return nil, ErrTooManySurveys
	}
	started := &survey{sequence: m.nextSequence(), version: version}
	for zone := range membership.Zone(membership.MaximumZones) {
		if zone == m.config.Self.Zone || len(m.peers.zones[zone]) > 0 {
			started.zones = append(started.zones, &zoneInquiry{result: ZoneSurvey{Zone: zone}, deadline: now})
		}
	}
	m.surveys = append(m.surveys, started)
	m.startTask(now, &zoneTask{sequence: started.sequence, version: version})
	m.advanceSurveys(now)
	return m.effects, nil
}

func (m *Machine) advanceSurveys(now time.Duration) {
	for _, running := range m.surveys {
		for _, inquiry := range running.zones {
			m.advanceInquiry(now, running, inquiry)
		}
	}
	m.surveys = slices.DeleteFunc(m.surveys, m.finishSurvey)
}

// advanceInquiry asks further members of a zone if the last ones were silent.
// Two at a time make up for lost datagrams; the first answer counts. The own
// zone is the matter of a task of this process.
func (m *Machine) advanceInquiry(now time.Duration, running *survey, inquiry *zoneInquiry) {
	zone := inquiry.result.Zone
	if inquiry.done || now < inquiry.deadline || zone == m.config.Self.Zone {
		return
	}
	found := m.peers.choose(m.config.Random, m.config.ReportFanout, func(peer Peer) bool {
		return peer.Identity.Zone == zone && !slices.Contains(inquiry.asked, peer.Identity.Address)
	})
	if inquiry.tries >= m.config.ReportAttempts || len(found) == 0 {
		m.concludeUnanswered(inquiry)
		return
	}
	inquiry.tries++
	inquiry.asked = append(inquiry.asked, found...)
	inquiry.deadline = now + m.config.ReportTimeout
	for _, address := range found {
		m.send(address, Message{Kind: KindZoneRequest, Sequence: running.sequence, Version: running.version})
	}
}

// concludeUnanswered names all members of a zone that did not answer.
func (m *Machine) concludeUnanswered(inquiry *zoneInquiry) {
	inquiry.done = true
	for _, peer := range m.peers.zones[inquiry.result.Zone] {
		inquiry.result.BehindCount++
		if len(inquiry.result.BehindMembers) < namedMembers {
			inquiry.result.BehindMembers = append(inquiry.result.BehindMembers, peer.Identity.Address)
		}
	}
}

// receiveReport takes in the answer of a member that was asked.
func (m *Machine) receiveReport(from membership.Address, message Message) {
	for _, running := range m.surveys {
		if running.sequence != message.Sequence {
			continue
		}
		for _, inquiry := range running.zones {
			if !inquiry.done && slices.Contains(inquiry.asked, from) {
				m.concludeAnswered(inquiry, message)
			}
		}
	}
	m.surveys = slices.DeleteFunc(m.surveys, m.finishSurvey)
}

func (m *Machine) concludeAnswered(inquiry *zoneInquiry, report Message) {
	inquiry.done = true
	inquiry.result.Answered = true
	inquiry.result.AppliedCount = int(report.AppliedCount)
	inquiry.result.BehindCount = int(report.BehindCount)
	inquiry.result.BehindMembers = report.BehindMembers
}

// finishSurvey reports a survey if all zones are done, and returns whether.
func (m *Machine) finishSurvey(running *survey) bool {
	result := Survey{Version: running.version}
	for _, inquiry := range running.zones {
		if !inquiry.done {
			return false
		}
		result.Zones = append(result.Zones, inquiry.result)
	}
	m.effects = append(m.effects, Effect{Kind: EffectSurveyDone, Survey: result})
	return true
}
