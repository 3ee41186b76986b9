package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// admitsNewFlow reports whether the endpoint is well enough for a new flow of a client's zone, and
// takes account of it if it is a trial.
func (a *Agent) admitsNewFlow(now time.Duration, zone string) bool {
	if a.unanswered.stuck(now, a.usage.meanResponseTime) {
		a.detector.Hung(now)
	}
	return a.detector.Admits(now, zone)
}

// noteWritten notes how far the endpoint has written, and what an answer among that says. An
// answer begins where the endpoint had stopped writing when it was given the request, so
// that copies and later packets which come first are not taken for it.
func (a *Agent) noteWritten(now time.Duration, flow *agentFlow, header segment.Header, packet []byte) {
	if header.Flags.Has(segment.Reset) && flow.request.occupiesSlot {
		a.detector.Answered(now, flow.zone, outlier.Break, 0)
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
		a.detector.Answered(now, flow.zone, outlier.Success, 0)
	case segment.AnswerFailure:
		a.detector.Answered(now, flow.zone, outlier.Failure, 0)
	case segment.AnswerRefusal:
		a.detector.Answered(now, flow.zone, outlier.Refusal, answer.RetryAfter)
	}
}

// reportStateChanges records changes of the endpoint's state, and tells the balancers concerned of
// those that they would not find out in time: among 16 balancers each sees an endpoint
// every other second.
func (a *Agent) reportStateChanges() {
	for _, change := range a.detector.Changes() {
		a.recordEvent(Event{
			Kind: stateEvent(change.State), Reason: change.Reason.String(), Zone: change.Zone,
			Failures: change.Failures, Outcomes: change.Outcomes, Elapsed: change.Hold,
		})
		if change.State == outlier.Probation {
			continue
		}
		a.sendReport(change.Zone)
	}
}

// sendReport tells the balancers of a zone, empty for all, how well the endpoint is.
func (a *Agent) sendReport(zone string) {
	for _, balancer := range a.knownBalancers() {
		concerned := zone == "" || zone == a.balancers[balancer].zone
		if concerned && !a.returnsFlowTo(balancer) {
			a.send(balancer, Message{Kind: KindPong, Service: a.config.Service})
		}
	}
}

// returnsFlowTo reports whether a balancer learns of a change by the return of a flow.
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

// noteReport notes what an agent tells of the health of its endpoint. Another endpoint may
// have come to its address.
func (b *Balancer) noteReport(now time.Duration, from segment.Address, message Message) {
	candidate, exists := b.snapshot.At(from.IP)
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
	health.ejectedUntil = now + report.Held()
	b.lastEjectionEnd = max(b.lastEjectionEnd, health.ejectedUntil)
}

// panel compares the endpoints of a service. It is nil while no endpoint at all is ejected.
func (b *Balancer) panel(now time.Duration, service string) *outlier.Panel {
	if now >= b.lastEjectionEnd {
		return nil
	}
	panel := &outlier.Panel{}
	for _, candidate := range b.snapshot.Candidates(service) {
		if !candidate.Leaving && !candidate.Closed {
			health := b.healthOf(candidate.ID)
			panel.Add(health.report, health.ejected(now))
		}
	}
	return panel
}

// excluded reports whether an endpoint gets no new flow since its agent holds it back and
// the others of its service do better.
func (h *endpointHealth) excluded(now time.Duration, panel *outlier.Panel) bool {
	return panel != nil && h.ejected(now) && panel.Honors(h.report)
}

// ejected reports whether the agent of an endpoint holds it back.
func (h *endpointHealth) ejected(now time.Duration) bool { return now < h.ejectedUntil }
