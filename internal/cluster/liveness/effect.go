// This file defines what a Machine asks its caller to do.

package liveness

import "github.com/vanetiller/vanetiller/internal/membership"

// EffectKind tells what an effect is.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectConditionChanged: what other daemons claim of the agent of Claim has
	// changed to Claim.
	EffectConditionChanged
	// EffectReady: this process knows what others claim. It comes once.
	EffectReady
)

// Effect is one thing that the caller of the machine has to do. Which fields
// are set depends on Kind.
type Effect struct {
	Kind    EffectKind
	To      membership.Address
	Message Message
	Claim   Claim
}
