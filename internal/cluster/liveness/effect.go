// This file defines the effects that a Machine returns to its caller.

package liveness

import "github.com/vanetiller/vanetiller/internal/membership"

// EffectKind is the type of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectConditionChanged: the condition of an agent, as claimed by the other daemons, has
	// changed to Claim. If none claims a condition any more, it is Down and Start is zero.
	EffectConditionChanged
	// EffectReady: this process has received the claims of the others. It is emitted once.
	EffectReady
)

// Effect is an action that the caller must carry out. Kind determines which fields are set.
type Effect struct {
	Kind    EffectKind
	To      membership.Address
	Message Message
	Claim   Claim
}
