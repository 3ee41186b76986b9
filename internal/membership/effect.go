// This file defines the effects that a Machine returns to its caller.

package membership

// EffectKind is the type of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectJoined: Member is new, has a new incarnation, or is back after it had failed.
	EffectJoined
	// EffectSuspected: Member may have failed.
	EffectSuspected
	// EffectRecovered: Member refuted a suspicion.
	EffectRecovered
	// EffectFailed: Member has failed or was replaced by another incarnation.
	EffectFailed
	// EffectLeft: Member stopped as planned.
	EffectLeft
	// EffectZoneUnreachable: no message from Zone has arrived for too long.
	EffectZoneUnreachable
	// EffectZoneReachable: messages from Zone arrive again.
	EffectZoneReachable
	// EffectAttachment: Member sent Attachment.
	EffectAttachment
)

// Effect is an action that the caller must carry out or an event that it may handle. Kind
// determines which fields are set.
type Effect struct {
	Kind       EffectKind
	To         Address
	Message    Message
	Member     Identity
	Zone       Zone
	Attachment []byte
}
