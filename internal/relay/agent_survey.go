package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyPatience is how long an agent waits before it tells the balancer who has not
	// answered. It is shorter than verifyInterval, so that the next round asks only those.
	surveyPatience = 60 * time.Millisecond
	// surveyLifetime is how long an agent takes answers. The balancer has asked again by
	// then.
	surveyLifetime = 500 * time.Millisecond
	// surveyLimit bounds the surveys that an agent has under way.
	surveyLimit = 1024
)

// survey is the search for the owner of a flow among other agents, which an agent makes
// for a balancer: there are many agents, with time to spare, when a few balancers have
// all flows to find.
type survey struct {
	flow     segment.FlowKey
	balancer segment.Address
	number   uint32
	// pending are the agents that have not answered, and the service that each was asked
	// about; unsure are those that do not know.
	pending map[segment.Address]string
	unsure  []AgentGroup
	// oldest is the greatest age of those that have answered.
	oldest time.Duration
	// reportAt is when the balancer is told who has not answered, never once it was.
	reportAt time.Duration
	ends     time.Duration
}

// receiveSurvey asks other agents for the owner of a flow, and this one too. The owner
// answers the balancer itself, the others this agent.
func (a *Agent) receiveSurvey(now time.Duration, from segment.Address, message Message) {
	if len(a.surveys) >= surveyLimit {
		return
	}
	key := message.Flow.Key()
	begun := &survey{
		flow: key, balancer: from, number: message.Sequence, pending: make(map[segment.Address]string),
		reportAt: now + surveyPatience, ends: now + surveyLifetime,
	}
	a.surveys[key] = begun
	question := Message{
		Kind: KindVerify, Service: message.Service, Flow: message.Flow,
		Acknowledgment: message.Acknowledgment, Flags: message.Flags,
	}
	if len(message.Packet) > 0 {
		question = Message{Kind: KindProbe, Service: message.Service, Parameters: message.Parameters, Packet: message.Packet}
		a.receivePacket(now, from, question)
	} else {
		a.receiveVerify(now, from, question)
	}
	question.ReplyTo = EncodeAddress(from)
	for _, group := range message.Targets {
		question.Service = group.Service
		for _, target := range group.Addresses() {
			begun.pending[target] = group.Service
			a.send(target, question)
		}
	}
}

// receiveNotOwned notes that another agent does not own a flow, or does not know. The
// balancer is told once all have answered.
func (a *Agent) receiveNotOwned(from segment.Address, message Message) {
	known, exists := a.surveys[message.Flow.Key()]
	if !exists {
		return
	}
	service, asked := known.pending[from]
	if !asked {
		return
	}
	delete(known.pending, from)
	known.oldest = max(known.oldest, message.Uptime)
	if message.Kind == KindUncertain {
		known.unsure = appendTarget(known.unsure, service, from)
	}
	if len(known.pending) == 0 {
		delete(a.surveys, known.flow)
		a.reportSurvey(known)
	}
}

// reportSurvey tells the balancer of a survey what has been answered.
func (a *Agent) reportSurvey(known *survey) {
	a.send(known.balancer, Message{
		Kind: KindSurveyResult, Service: a.config.Service, Flow: EncodeFlow(known.flow), Sequence: known.number,
		Uptime: known.oldest, Uncertain: known.unsure, Unresponsive: known.silent(),
	})
}

// silent returns the agents that have not answered, in the order of their addresses.
func (s *survey) silent() []AgentGroup {
	addresses := make([]segment.Address, 0, len(s.pending))
	for address := range s.pending {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, segment.Address.Compare)
	var groups []AgentGroup
	for _, address := range addresses {
		groups = appendTarget(groups, s.pending[address], address)
	}
	return groups
}

// expireSurveys tells balancers of the agents that have not answered, and later forgets
// the surveys.
func (a *Agent) expireSurveys(now time.Duration) {
	var due []*survey
	for key, known := range a.surveys {
		if now >= known.ends {
			delete(a.surveys, key)
			continue
		}
		if now >= known.reportAt {
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(a, b *survey) int {
		return cmp.Or(cmp.Compare(a.reportAt, b.reportAt), slices.Compare(flowBytes(a), flowBytes(b)))
	})
	for _, known := range due {
		known.reportAt = never
		a.reportSurvey(known)
	}
}

func flowBytes(s *survey) []byte {
	encoded := EncodeFlow(s.flow)
	return encoded[:]
}

// nextSurvey returns when expireSurveys should be called at the latest.
func (a *Agent) nextSurvey() time.Duration {
	next := never
	for _, known := range a.surveys {
		next = min(next, known.reportAt)
	}
	return next
}
