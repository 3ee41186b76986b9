package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	// surveyReportDelay is how long an agent waits for replies before it reports the agents that
	// have not replied. It is shorter than verifyInterval, so that the balancer's next round asks
	// only those.
	surveyReportDelay = 60 * time.Millisecond
	// surveyLifetime is how long an agent accepts replies. The balancer has asked again by then.
	surveyLifetime = 500 * time.Millisecond
	// maxSurveys limits the concurrent surveys of an agent.
	maxSurveys = 1024
)

// agentSurvey is a search for the owner of a flow that an agent makes among other agents on behalf
// of a balancer. A few balancers may have to find the owners of all flows at once, while many
// agents have spare capacity.
type agentSurvey struct {
	flow     segment.FlowKey
	balancer segment.Address
	number   uint32
	// pending holds the agents that have not replied, with the service that each was asked about.
	// uncertain holds those that are uncertain whether they own the flow.
	pending   map[segment.Address]string
	uncertain []AgentGroup
	// unregistered is set if an agent has replied that is not registered.
	unregistered bool
	// reportAt is when unresponsive agents are reported to the balancer, never once that is done.
	reportAt  time.Duration
	expiresAt time.Duration
}

// receiveSurvey asks other agents, and this one, for the owner of a flow. The owner replies to the
// balancer, the others to this agent.
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
		for _, agent := range group.Addresses() {
			survey.pending[agent] = group.Service
			a.send(agent, query)
		}
	}
}

// receiveSurveyReply records that another agent does not own a flow, or is uncertain. It reports
// to the balancer once all agents have replied.
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
	survey.unregistered = survey.unregistered || !message.Registered
	if message.Kind == KindUncertain {
		survey.uncertain = appendToGroup(survey.uncertain, service, from)
	}
	if len(survey.pending) == 0 {
		delete(a.surveys, survey.flow)
		a.reportSurvey(survey)
	}
}

// reportSurvey sends the result of a survey to its balancer.
func (a *Agent) reportSurvey(survey *agentSurvey) {
	a.send(survey.balancer, Message{
		Kind: KindSurveyResult, Service: a.config.Service, Flow: EncodeFlow(survey.flow), Sequence: survey.number,
		Registered: !survey.unregistered, Uncertain: survey.uncertain, Unresponsive: survey.unresponsive(),
	})
}

// unresponsive returns the agents that have not replied, in the order of their addresses.
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

// expireSurveys reports unresponsive agents to balancers, and later removes the surveys.
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

// nextSurveyReport returns the latest time for the next call of expireSurveys.
func (a *Agent) nextSurveyReport() time.Duration {
	next := never
	for _, survey := range a.surveys {
		next = min(next, survey.reportAt)
	}
	return next
}
