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
	// repeatMinimum is the number of agents from which a survey asks those again that are
	// behind the others. A datagram is lost now and then, so that among 100 agents most
	// rounds lack an answer. Left to the next round of the balancer, 100 ms later, a dead
	// flow took 0.23 s to prove in the middle (80 agents).
	repeatMinimum = surveyFirstMinimum
	// repeatLimit is how often that is done, repeatFactor after how many times as long as
	// half of the agents took to answer, and shortestRepeat the least time for it: some
	// round trips in a region.
	repeatLimit    = 2
	repeatFactor   = 3
	shortestRepeat = 10 * time.Millisecond
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
	unsure  []Targets
	// question is what each was asked, at begun, and count the number of those.
	question Message
	begun    time.Duration
	count    int
	// patience is how long an answer may take before it counts as lost, once half of the
	// agents have answered; repeatAt is when those are asked again that have not, never if
	// that is not to be done, and repeats how often it was.
	patience time.Duration
	repeatAt time.Duration
	repeats  int
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
		begun: now, repeatAt: never, reportAt: now + surveyPatience, ends: now + surveyLifetime,
	}
	a.surveys[key] = begun
	question := Message{
		Kind: KindVerify, Service: message.Service, Flow: message.Flow,
		Acknowledgment: message.Acknowledgment, Flags: message.Flags,
	}
	if len(message.Packet) > 0 {
		question = Message{Kind: KindProbe, Service: message.Service, Terms: message.Terms, Packet: message.Packet}
		a.receivePacket(now, from, question)
	} else {
		a.receiveVerify(now, from, question)
	}
	question.ReplyTo = EncodeAddress(from)
	question.Packet = slices.Clone(question.Packet)
	begun.question = question
	for _, group := range message.Targets {
		question.Service = group.Service
		for _, target := range group.Addresses() {
			begun.pending[target] = group.Service
			a.send(target, question)
		}
	}
	begun.count = len(begun.pending)
}

// noteAnswered takes account of one more answer. Once half have come it is known how long
// the others should take.
func (s *survey) noteAnswered(now time.Duration) {
	half := s.count >= repeatMinimum && 2*len(s.pending) <= s.count
	if !half || s.patience > 0 {
		return
	}
	s.patience = max(repeatFactor*(now-s.begun), shortestRepeat)
	s.repeatAt = s.begun + s.patience
}

// repeat asks those agents of a survey again that are behind the others.
func (a *Agent) repeat(now time.Duration, known *survey) {
	known.repeats++
	known.repeatAt = never
	if known.repeats < repeatLimit {
		known.repeatAt = now + known.patience
	}
	question := known.question
	for _, group := range known.silent() {
		question.Service = group.Service
		for _, target := range group.Addresses() {
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
	known.noteAnswered(a.now)
	known.oldest = max(known.oldest, message.Age)
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
		Kind: KindSurveyed, Service: a.config.Service, Flow: FlowOf(known.flow), Sequence: known.number,
		Age: known.oldest, Unsure: known.unsure, Silent: known.silent(),
	})
}

// silent returns the agents that have not answered, in the order of their addresses.
func (s *survey) silent() []Targets {
	addresses := make([]segment.Address, 0, len(s.pending))
	for address := range s.pending {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, segment.Address.Compare)
	var groups []Targets
	for _, address := range addresses {
		groups = appendTarget(groups, s.pending[address], address)
	}
	return groups
}

// expireSurveys asks agents again that are late, tells balancers of those that have not
// answered, and later forgets the surveys.
func (a *Agent) expireSurveys(now time.Duration) {
	var due []*survey
	for key, known := range a.surveys {
		if now >= known.ends {
			delete(a.surveys, key)
			continue
		}
		if now >= min(known.reportAt, known.repeatAt) {
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(a, b *survey) int {
		return cmp.Or(cmp.Compare(a.reportAt, b.reportAt), slices.Compare(flowBytes(a), flowBytes(b)))
	})
	for _, known := range due {
		if now >= known.repeatAt {
			a.repeat(now, known)
		}
		if now >= known.reportAt {
			known.reportAt = never
			a.reportSurvey(known)
		}
	}
}

func flowBytes(s *survey) []byte {
	encoded := FlowOf(s.flow)
	return encoded[:]
}

// nextSurvey returns when expireSurveys should be called at the latest.
func (a *Agent) nextSurvey() time.Duration {
	next := never
	for _, known := range a.surveys {
		next = min(next, known.reportAt, known.repeatAt)
	}
	return next
}
