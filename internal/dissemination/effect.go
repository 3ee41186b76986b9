// This file defines the effects that a Machine returns to its caller.

package dissemination

import (
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// EffectKind is the type of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectApply: apply Delta, then call Applied. Deltas come in order and each once.
	EffectApply
	// EffectFetch: fetch from To, over a connection, the deltas after Version
	// or a full table, then call Installed or FetchFailed.
	EffectFetch
	// EffectSurveyDone: Survey is the result of a survey.
	EffectSurveyDone
)

// Effect is an action that the caller must carry out. Kind determines which fields are set.
type Effect struct {
	Kind    EffectKind
	To      membership.Address
	Message Message
	Delta   Delta
	Version table.Version
	Survey  Survey
}

// Survey is the result of a survey: which members have applied a version.
type Survey struct {
	Version table.Version
	// Zones lists every zone that has a member, in order.
	Zones []ZoneSurvey
}

// ZoneSurvey is the part of a survey for one zone.
type ZoneSurvey struct {
	Zone membership.Zone
	// Replied is false if no member of the zone replied. Its members then count as
	// behind.
	Replied      bool
	AppliedCount int
	// BehindCount counts the members that have not applied the version or did not reply.
	// BehindMembers lists them, as many as fit in a message.
	BehindCount   int
	BehindMembers []membership.Address
}

// Complete reports whether every member has applied the version.
func (s Survey) Complete() bool {
	for _, zone := range s.Zones {
		if zone.BehindCount > 0 {
			return false
		}
	}
	return true
}
