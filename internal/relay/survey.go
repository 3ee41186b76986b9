package relay

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyLifetime is how long an agent waits for the answers of others. The balancer
	// asks again before that.
	surveyLifetime = 500 * time.Millisecond
	// surveyLimit bounds the surveys that an agent has under way.
	surveyLimit = 1024
)

// survey is the search for the owner of a flow among other agents, which an agent makes
// for a balancer: there are many agents, with time to spare, when a few balancers have
// all flows to find.
type survey struct {
	balancer segment.Address
	number   uint32
	// pending are the agents that have not answered, and unsure is set if one has that
	// does not know.
	pending map[segment.Address]bool
	unsure  bool
	// oldest is the greatest age of those that have answered.
	oldest time.Duration
	ends   time.Duration
}

// receiveSurvey asks other agents for the owner of a flow, and this one too. The owner
// answers the balancer itself, the others this agent.
func (a *Agent) receiveSurvey(now time.Duration, from segment.Address, message Message) {
	header, outcome := a.config.Codec.Decode(message.Packet)
	if outcome != segment.Decoded {
		a.event(Event{Kind: EventMalformed, Peer: from, Reason: outcome.String()})
		return
	}
	if len(a.surveys) >= surveyLimit {
		return
	}
	begun := &survey{
		balancer: from, number: message.Sequence, pending: make(map[segment.Address]bool), ends: now + surveyLifetime,
	}
	for _, target := range message.Targets {
		begun.pending[target.Address()] = true
	}
	key := segment.FlowKey{Client: header.Source, Service: header.Destination}
	a.surveys[key] = begun
	question := Message{
		Kind: KindVerify, Service: message.Service, Flow: FlowOf(key),
		Acknowledgment: header.Acknowledgment, Flags: header.Flags,
	}
	if message.Probing {
		question = Message{Kind: KindProbe, Service: message.Service, Terms: message.Terms, Packet: message.Packet}
		a.receivePacket(now, from, question)
	} else {
		a.receiveVerify(now, from, question)
	}
	question.ReplyTo = EncodeAddress(from)
	for _, target := range message.Targets {
		question.Service = target.Service
		a.send(target.Address(), question)
	}
}

// receiveNotOwned notes that another agent does not own a flow, or does not know. The
// balancer is told once all have answered.
func (a *Agent) receiveNotOwned(from segment.Address, message Message) {
	known, exists := a.surveys[message.Flow.Key()]
	if !exists || !known.pending[from] {
		return
	}
	delete(known.pending, from)
	known.oldest = max(known.oldest, message.Age)
	known.unsure = known.unsure || message.Kind == KindUncertain
	if len(known.pending) > 0 {
		return
	}
	delete(a.surveys, message.Flow.Key())
	a.send(known.balancer, Message{
		Kind: KindSurveyed, Service: a.config.Service, Flow: message.Flow, Sequence: known.number,
		Age: known.oldest, Unsure: known.unsure,
	})
}

// expireSurveys forgets surveys that some agents have not answered.
func (a *Agent) expireSurveys(now time.Duration) {
	for key, known := range a.surveys {
		if now >= known.ends {
			delete(a.surveys, key)
		}
	}
}
