// This file implements surveys, which find out which members have applied a version.

package dissemination

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// maxSurveys limits the surveys that one process runs at a time.
const maxSurveys = 8

// ErrTooManySurveys is returned by Survey while maxSurveys are running.
var ErrTooManySurveys = errors.New("dissemination: the maximum number of surveys is already running")

// survey is one running survey.
type survey struct {
	sequence uint32
	version  table.Version
	zones    []*zoneRequest
}

// zoneRequest is the part of a survey that concerns one zone.
type zoneRequest struct {
	result   ZoneSurvey
	done     bool
	attempts int
	asked    []membership.Address
	deadline time.Duration
}

// Survey starts to find out which members have applied a version. Members that are declared
// failed in the meantime are not counted. The result is an EffectSurveyDone after at most
// ReportAttempts times ReportTimeout. Survey returns ErrTooManySurveys if too many surveys
// are running.
func (m *Machine) Survey(now time.Duration, version table.Version) ([]Effect, error) {
	m.resetEffects()
	if len(m.surveys) >= maxSurveys {
		return nil, ErrTooManySurveys
	}
	started := &survey{sequence: m.nextSequence(), version: version}
	for zone := range membership.Zone(membership.MaxZones) {
		if zone == m.config.Self.Zone || len(m.peers.zones[zone]) > 0 {
			started.zones = append(started.zones, &zoneRequest{result: ZoneSurvey{Zone: zone}, deadline: now})
		}
	}
	m.surveys = append(m.surveys, started)
	m.startZonePoll(now, &zonePoll{sequence: started.sequence, version: version})
	m.advanceSurveys(now)
	return m.effects, nil
}

func (m *Machine) advanceSurveys(now time.Duration) {
	for _, running := range m.surveys {
		for _, request := range running.zones {
			m.advanceRequest(now, running, request)
		}
	}
	m.surveys = slices.DeleteFunc(m.surveys, m.finishSurvey)
}

// advanceRequest asks further members of a zone if the previous ones did not reply. Asking
// ReportFanout members at a time compensates for lost datagrams, and the first reply
// counts. The own zone is not asked, since this process polls it itself.
func (m *Machine) advanceRequest(now time.Duration, running *survey, request *zoneRequest) {
	zone := request.result.Zone
	if request.done || now < request.deadline || zone == m.config.Self.Zone {
		return
	}
	found := m.peers.choose(m.config.Random, m.config.ReportFanout, func(peer Peer) bool {
		return peer.Identity.Zone == zone && !slices.Contains(request.asked, peer.Identity.Address)
	})
	if request.attempts >= m.config.ReportAttempts || len(found) == 0 {
		m.endWithoutReply(request)
		return
	}
	request.attempts++
	request.asked = append(request.asked, found...)
	request.deadline = now + m.config.ReportTimeout
	for _, address := range found {
		m.send(address, Message{Kind: KindZoneRequest, Sequence: running.sequence, Version: running.version})
	}
}

// endWithoutReply counts all members of a zone as behind, since none of them replied.
func (m *Machine) endWithoutReply(request *zoneRequest) {
	request.done = true
	for _, peer := range m.peers.zones[request.result.Zone] {
		request.result.BehindCount++
		if len(request.result.BehindMembers) < maxBehindMembers {
			request.result.BehindMembers = append(request.result.BehindMembers, peer.Identity.Address)
		}
	}
}

// receiveReport handles the report of a member that was asked.
func (m *Machine) receiveReport(from membership.Address, message Message) {
	for _, running := range m.surveys {
		if running.sequence != message.Sequence {
			continue
		}
		for _, request := range running.zones {
			if !request.done && slices.Contains(request.asked, from) {
				m.endReplied(request, message)
			}
		}
	}
	m.surveys = slices.DeleteFunc(m.surveys, m.finishSurvey)
}

func (m *Machine) endReplied(request *zoneRequest, report Message) {
	request.done = true
	request.result.Replied = true
	request.result.AppliedCount = int(report.AppliedCount)
	request.result.BehindCount = int(report.BehindCount)
	request.result.BehindMembers = report.BehindMembers
}

// finishSurvey emits the result of a survey if all zones are done. It reports whether they
// are.
func (m *Machine) finishSurvey(running *survey) bool {
	result := Survey{Version: running.version}
	for _, request := range running.zones {
		if !request.done {
			return false
		}
		result.Zones = append(result.Zones, request.result)
	}
	m.effects = append(m.effects, Effect{Kind: EffectSurveyDone, Survey: result})
	return true
}
