package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// admitsNewFlow reports whether outlier detection permits a new flow of a client in a zone. If the
// flow is a trial, it is counted as one.
func (a *Agent) admitsNewFlow(now time.Duration, zone string) bool {
	if a.unanswered.stuck(now, a.usage.meanResponseTime) {
		a.detector.RecordHang(now)
	}
	return a.detector.Admit(now, zone)
}

// recordWritten records how far the endpoint has written, and reads the outcome from the first packet
// of an answer. An answer begins at the sequence number that the endpoint had reached when it was
// given the request, so copies and later packets that arrive first are not mistaken for it.
func (a *Agent) recordWritten(now time.Duration, flow *agentFlow, header segment.Header, packet []byte) {
	if header.Flags.Has(segment.Reset) && flow.request.occupiesSlot {
		a.detector.RecordOutcome(now, flow.zone, outlier.ConnectionReset, 0)
	}
	answerBegins := !flow.request.answerSequenceKnown || header.Sequence == flow.request.answerSequence
	if flow.request.answerUnread && header.Length > 0 && answerBegins {
		flow.request.answerUnread = false
		a.classifyAnswer(now, flow, packet)
	}
	end := header.Sequence + uint32(header.Length)
	if header.Flags.Has(segment.Synchronize) {
		end++
	}
	if !flow.writtenKnown || int32(end-flow.writtenEnd) > 0 {
		flow.writtenEnd, flow.writtenKnown = end, true
	}
}

func (a *Agent) classifyAnswer(now time.Duration, flow *agentFlow, packet []byte) {
	answer := a.config.Codec.Answer(packet)
	switch answer.Kind {
	case segment.AnswerSuccess:
		a.detector.RecordOutcome(now, flow.zone, outlier.Success, 0)
	case segment.AnswerFailure:
		a.detector.RecordOutcome(now, flow.zone, outlier.Failure, 0)
	case segment.AnswerRefusal:
		a.detector.RecordOutcome(now, flow.zone, outlier.Refusal, answer.RetryAfter)
	}
}

// reportStateChanges records changes in the health of the endpoint and notifies the balancers
// concerned. They would receive a change too late otherwise: with 16 balancers each exchanges
// messages with an endpoint only every other second.
func (a *Agent) reportStateChanges() {
	for _, change := range a.detector.TakeChanges() {
		a.recordEvent(Event{
			Kind: stateEvent(change.State), Reason: change.Reason.String(), Zone: change.Zone,
			Failures: change.Failures, Outcomes: change.Outcomes, Elapsed: change.HoldTime,
		})
		if change.State == outlier.Probation {
			continue
		}
		a.sendReport(change.Zone)
	}
}

// sendReport sends the health of the endpoint to the balancers of a zone, or to all if zone is
// empty.
func (a *Agent) sendReport(zone string) {
	for _, balancer := range a.knownBalancers() {
		concerned := zone == "" || zone == a.balancers[balancer].zone
		if concerned && !a.returnsFlowTo(balancer) {
			a.send(balancer, Message{Kind: KindPong, Service: a.config.Service})
		}
	}
}

// returnsFlowTo reports whether a balancer receives a change with a flow that is returned to it in
// the same call.
func (a *Agent) returnsFlowTo(balancer segment.Address) bool {
	return slices.ContainsFunc(a.effects, func(effect Effect) bool {
		return effect.Kind == EffectSendMessage && effect.Message.Kind == KindReturned && effect.To == balancer
	})
}

func stateEvent(state outlier.State) EventKind {
	switch state {
	case outlier.Ejected:
		return EventEjected
	case outlier.Probation:
		return EventProbation
	}
	return EventRestored
}

// recordReport records the health that an agent reports for its endpoint. It ignores a report for
// another service, since another endpoint may have taken over the address.
func (b *Balancer) recordReport(now time.Duration, from segment.Address, message Message) {
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || candidate.Endpoint.Service != message.Service {
		return
	}
	report := message.Load.Report
	if !report.Valid() {
		b.recordEvent(Event{Kind: EventForged, Peer: from, Reason: "report"})
		return
	}
	health := b.healthOf(candidate.ID)
	health.report = report
	health.ejectedUntil = now + report.HoldTime()
	b.lastEjectionEnd = max(b.lastEjectionEnd, health.ejectedUntil)
}

// serviceHealth compares the endpoints of a service. It returns nil while no endpoint of any
// service is ejected.
func (b *Balancer) serviceHealth(now time.Duration, service string) *outlier.ServiceHealth {
	if now >= b.lastEjectionEnd {
		return nil
	}
	compared := &outlier.ServiceHealth{}
	for _, candidate := range b.snapshot.Candidates(service) {
		if !candidate.Leaving && !candidate.ZoneClosed {
			health := b.healthOf(candidate.ID)
			compared.Add(health.report, health.ejected(now))
		}
	}
	return compared
}

// excluded reports whether an endpoint gets no new flow because its agent has ejected it and the
// other endpoints of its service do better.
func (h *endpointHealth) excluded(now time.Duration, serviceHealth *outlier.ServiceHealth) bool {
	return serviceHealth != nil && h.ejected(now) && serviceHealth.ConfirmsEjection(h.report)
}

// ejected reports whether the agent of the endpoint has ejected it.
func (h *endpointHealth) ejected(now time.Duration) bool { return now < h.ejectedUntil }
