// This file defines what a Machine asks its caller to do.

package dissemination

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// EffectKind tells what an effect is.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectApply: put Delta in force, then call InForce. Deltas come in
	// order and each once.
	EffectApply
	// EffectFetch: fetch from To, over a connection, the deltas after Version
	// or a full table, then call Installed or FetchFailed.
	EffectFetch
	// EffectSurveyDone: Survey has ended.
	EffectSurveyDone
)

// Effect is one thing that the caller of the machine has to do. Which fields
// are set depends on Kind.
type Effect struct {
	Kind    EffectKind
	To      membership.Address
	Message Message
	Delta   Delta
	Version table.Version
	Survey  Survey
}

// Survey tells how far a version has come into force.
type Survey struct {
	Version table.Version
	// Zones lists every zone with a member, in order.
	Zones []ZoneSurvey
}

// ZoneSurvey is the part of a survey for one zone.
type ZoneSurvey struct {
	Zone membership.Zone
	// Answered is false if no member of the zone answered; its members then
	// count as behind.
	Answered     bool
	AppliedCount int
	// BehindCount counts the members that have not put the version in force or did
	// not answer. Missing names them, as many as fit in a message.
	BehindCount   int
	BehindMembers []membership.Address
}

// Complete reports whether the version is in force on every member.
func (s Survey) Complete() bool {
	for _, zone := range s.Zones {
		if zone.BehindCount > 0 {
			return false
		}
	}
	return true
}
