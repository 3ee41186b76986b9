package relay

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/outlier"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// trusts reports whether the endpoint is well enough for a new flow of a client's zone, and
// takes account of it if it is a trial.
func (a *Agent) trusts(now time.Duration, zone string) bool {
	if a.unanswered.stuck(now, a.pace.working) {
		a.detector.RecordHang(now)
	}
	return a.detector.Admit(now, zone)
}

// wrote notes how far the endpoint has written, and what an answer among that says. An
// answer begins where the endpoint had stopped writing when it was given the request, so
// that copies and later packets which come first are not taken for it.
func (a *Agent) wrote(now time.Duration, known *agentFlow, header segment.Header, packet []byte) {
	if header.Flags.Has(segment.Reset) && known.work.occupies {
		a.detector.RecordOutcome(now, known.zone, outlier.ConnectionReset, 0)
	}
	begins := !known.work.follows || header.Sequence == known.work.begins
	if known.work.unread && header.Length > 0 && begins {
		known.work.unread = false
		a.readAnswer(now, known, packet)
	}
	end := header.Sequence + uint32(header.Length)
	if header.Flags.Has(segment.Synchronize) {
		end++
	}
	if !known.wrote || int32(end-known.written) > 0 {
		known.written, known.wrote = end, true
	}
}

func (a *Agent) readAnswer(now time.Duration, known *agentFlow, packet []byte) {
	answer := a.config.Codec.Answer(packet)
	switch answer.Kind {
	case segment.AnswerSuccess:
		a.detector.RecordOutcome(now, known.zone, outlier.Success, 0)
	case segment.AnswerFailure:
		a.detector.RecordOutcome(now, known.zone, outlier.Failure, 0)
	case segment.AnswerRefusal:
		a.detector.RecordOutcome(now, known.zone, outlier.Refusal, answer.RetryAfter)
	}
}

// tellChanges records changes of the endpoint's state, and tells the balancers concerned of
// those that they would not find out in time: among 16 balancers each sees an endpoint
// every other second.
func (a *Agent) tellChanges() {
	for _, change := range a.detector.TakeChanges() {
		a.event(Event{
			Kind: eventOfState(change.State), Reason: change.Reason.String(), Zone: change.Zone,
			Failures: change.Failures, Outcomes: change.Outcomes, Elapsed: change.HoldTime,
		})
		if change.State == outlier.Probation {
			continue
		}
		a.pushReport(change.Zone)
	}
}

// pushReport tells the balancers of a zone, empty for all, how well the endpoint is.
func (a *Agent) pushReport(zone string) {
	for _, balancer := range a.knownBalancers() {
		concerned := zone == "" || zone == a.balancers[balancer].zone
		if concerned && !a.returnsTo(balancer) {
			a.send(balancer, Message{Kind: KindPong, Service: a.config.Service})
		}
	}
}

// returnsTo reports whether a balancer learns of a change by the return of a flow.
func (a *Agent) returnsTo(balancer segment.Address) bool {
	return slices.ContainsFunc(a.effects, func(effect Effect) bool {
		return effect.Kind == EffectSendMessage && effect.Message.Kind == KindReturned && effect.To == balancer
	})
}

func eventOfState(state outlier.State) EventKind {
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
	candidate, exists := b.snapshot.CandidateAt(from.IP)
	if !exists || candidate.Endpoint.Service != message.Service {
		return
	}
	report := message.Load.Report
	if !report.Valid() {
		b.event(Event{Kind: EventForged, Peer: from, Reason: "report"})
		return
	}
	known := b.healthOf(candidate.ID)
	known.report = report
	known.ejectionEnds = now + report.HoldTime()
	b.ejectionsEnd = max(b.ejectionsEnd, known.ejectionEnds)
}

// panel compares the endpoints of a service. It is nil while no endpoint at all is ejected.
func (b *Balancer) panel(now time.Duration, service string) *outlier.ServiceHealth {
	if now >= b.ejectionsEnd {
		return nil
	}
	compared := &outlier.ServiceHealth{}
	for _, candidate := range b.snapshot.Candidates(service) {
		if !candidate.Leaving && !candidate.ZoneClosed {
			known := b.healthOf(candidate.ID)
			compared.Add(known.report, known.ejected(now))
		}
	}
	return compared
}

// leftOut reports whether an endpoint gets no new flow since its agent holds it back and
// the others of its service do better.
func (h *health) leftOut(now time.Duration, compared *outlier.ServiceHealth) bool {
	return compared != nil && h.ejected(now) && compared.ConfirmsEjection(h.report)
}

// ejected reports whether the agent of an endpoint holds it back.
func (h *health) ejected(now time.Duration) bool { return now < h.ejectionEnds }
