// This file defines what a Machine asks its caller to do.

package membership

// EffectKind tells what an effect is.
type EffectKind uint8

// The kinds of effects.
const (
	// EffectSend: transmit Message to To.
	EffectSend EffectKind = iota
	// EffectJoined: Member was heard of for the first time, with a new
	// incarnation, or again after it had failed.
	EffectJoined
	// EffectSuspected: Member may have failed.
	EffectSuspected
	// EffectRecovered: Member refuted a suspicion.
	EffectRecovered
	// EffectFailed: Member has failed or was replaced by another incarnation.
	EffectFailed
	// EffectLeft: Member stopped as planned.
	EffectLeft
	// EffectZoneUnreachable: nothing was heard of Zone for too long.
	EffectZoneUnreachable
	// EffectZoneReachable: Zone was heard of again.
	EffectZoneReachable
	// EffectAttachment: Member sent Attachment.
	EffectAttachment
)

// Effect is one thing that the caller of the machine has to do or may want to
// know. Which fields are set depends on Kind.
type Effect struct {
	Kind       EffectKind
	To         Address
	Message    Message
	Member     Identity
	Zone       Zone
	Attachment []byte
}
