package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyReportDelay is how long an agent waits before it tells the balancer who has not
	// answered. It is shorter than verifyInterval, so that the next round asks only those.
	surveyReportDelay = 60 * time.Millisecond
	// surveyLifetime is how long an agent takes answers. The balancer has asked again by
	// then.
	surveyLifetime = 500 * time.Millisecond
	// maxSurveys bounds the surveys that an agent has under way.
	maxSurveys = 1024
)

// agentSurvey is the search for the owner of a flow among other agents, which an agent makes
// for a balancer: there are many agents, with time to spare, when a few balancers have
// all flows to find.
type agentSurvey struct {
	flow     segment.FlowKey
	balancer segment.Address
	number   uint32
	// pending are the agents that have not answered, and the service that each was asked
	// about; unsure are those that do not know.
	pending   map[segment.Address]string
	uncertain []AgentGroup
	// maxUptime is the greatest age of those that have answered.
	maxUptime time.Duration
	// reportAt is when the balancer is told who has not answered, never once it was.
	reportAt  time.Duration
	expiresAt time.Duration
}

// receiveSurvey asks other agents for the owner of a flow, and this one too. The owner
// answers the balancer itself, the others this agent.
func (a *Agent) receiveSurvey(now time.Duration, from segment.Address, message Message) {
	if len(a.surveys) >= maxSurveys {
		return
	}
	key := message.Flow.Key()
	survey := &agentSurvey{
		flow: key, balancer: from, number: message.Sequence, pending: make(map[segment.Address]string),
		reportAt: now + surveyReportDelay, expiresAt: now + surveyLifetime,
	}
	a.surveys[key] = survey
	query := Message{
		Kind: KindVerify, Service: message.Service, Flow: message.Flow,
		Acknowledgment: message.Acknowledgment, Flags: message.Flags,
	}
	if len(message.Packet) > 0 {
		query = Message{Kind: KindProbe, Service: message.Service, Parameters: message.Parameters, Packet: message.Packet}
		a.receivePacket(now, from, query)
	} else {
		a.receiveVerify(now, from, query)
	}
	query.ReplyTo = EncodeAddress(from)
	for _, group := range message.Targets {
		query.Service = group.Service
		for _, target := range group.Addresses() {
			survey.pending[target] = group.Service
			a.send(target, query)
		}
	}
}

// receiveSurveyReply notes that another agent does not own a flow, or does not know. The
// balancer is told once all have answered.
func (a *Agent) receiveSurveyReply(from segment.Address, message Message) {
	survey, exists := a.surveys[message.Flow.Key()]
	if !exists {
		return
	}
	service, pending := survey.pending[from]
	if !pending {
		return
	}
	delete(survey.pending, from)
	survey.maxUptime = max(survey.maxUptime, message.Uptime)
	if message.Kind == KindUncertain {
		survey.uncertain = appendToGroup(survey.uncertain, service, from)
	}
	if len(survey.pending) == 0 {
		delete(a.surveys, survey.flow)
		a.reportSurvey(survey)
	}
}

// reportSurvey tells the balancer of a survey what has been answered.
func (a *Agent) reportSurvey(survey *agentSurvey) {
	a.send(survey.balancer, Message{
		Kind: KindSurveyResult, Service: a.config.Service, Flow: EncodeFlow(survey.flow), Sequence: survey.number,
		Uptime: survey.maxUptime, Uncertain: survey.uncertain, Unresponsive: survey.unresponsive(),
	})
}

// unresponsive returns the agents that have not answered, in the order of their addresses.
func (s *agentSurvey) unresponsive() []AgentGroup {
	addresses := make([]segment.Address, 0, len(s.pending))
	for address := range s.pending {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, segment.Address.Compare)
	var groups []AgentGroup
	for _, address := range addresses {
		groups = appendToGroup(groups, s.pending[address], address)
	}
	return groups
}

// expireSurveys tells balancers of the agents that have not answered, and later forgets
// the surveys.
func (a *Agent) expireSurveys(now time.Duration) {
	var due []*agentSurvey
	for key, survey := range a.surveys {
		if now >= survey.expiresAt {
			delete(a.surveys, key)
			continue
		}
		if now >= survey.reportAt {
			due = append(due, survey)
		}
	}
	slices.SortFunc(due, func(a, b *agentSurvey) int {
		return cmp.Or(cmp.Compare(a.reportAt, b.reportAt), slices.Compare(flowBytes(a), flowBytes(b)))
	})
	for _, survey := range due {
		survey.reportAt = never
		a.reportSurvey(survey)
	}
}

func flowBytes(s *agentSurvey) []byte {
	encoded := EncodeFlow(s.flow)
	return encoded[:]
}

// nextSurveyReport returns when expireSurveys should be called at the latest.
func (a *Agent) nextSurveyReport() time.Duration {
	next := never
	for _, survey := range a.surveys {
		next = min(next, survey.reportAt)
	}
	return next
}
