package outlier

import "time"

//go:generate go tool msgp -tests=false
//msgp:tuple Report
//msgp:shim Outcome as:uint8 using:uint8/Outcome
//msgp:ignore Config StateChange Detector ServiceHealth

// Report is what a detector reports to a balancer about its endpoint, from the outcomes of
// clients in the balancer's zone or of all clients.
type Report struct {
	// Outcomes is the number of latest outcomes, and Failures the number of bad ones.
	Outcomes uint8
	Failures uint8
	// Reason is the outcome that ejected the endpoint, Success if it is healthy.
	Reason Outcome
	// HoldMilliseconds is how long the endpoint gets no new flow.
	HoldMilliseconds uint16
}

// Valid reports whether a detector can have sent the report.
func (r Report) Valid() bool { return r.Failures <= r.Outcomes && r.Reason < outcomeCount }

// HoldTime returns how long the endpoint gets no new flow.
func (r Report) HoldTime() time.Duration { return time.Duration(r.HoldMilliseconds) * time.Millisecond }

func (r Report) failureRatio() float64 {
	if r.Outcomes == 0 {
		return 0
	}
	return float64(r.Failures) / float64(r.Outcomes)
}

const (
	// panicThreshold is the largest share of the reachable endpoints that may be ejected. If
	// more are, the service is at fault, and the remaining endpoints would be overloaded next
	// (the panic threshold of Envoy's load balancing).
	panicThreshold = 0.5
	// minExcess is how much the failure ratio of an ejected endpoint must exceed that of the
	// endpoints that are not ejected, since some requests fail at every endpoint.
	minExcess = 0.2
)

// ServiceHealth compares the endpoints of one service. Ejections hold only if it confirms them.
type ServiceHealth struct {
	reachable, ejected int
	outcomes, failures int
}

// Add adds an endpoint with its report; ejected says whether its detector ejects it.
func (h *ServiceHealth) Add(report Report, ejected bool) {
	switch {
	case ejected && report.Reason.unreachable():
		return
	case ejected:
		h.ejected++
	default:
		h.outcomes += int(report.Outcomes)
		h.failures += int(report.Failures)
	}
	h.reachable++
}

// ConfirmsEjection reports whether an endpoint that its detector ejects gets no new flow.
func (h *ServiceHealth) ConfirmsEjection(report Report) bool {
	if report.Reason.unreachable() {
		return true
	}
	if float64(h.ejected) > panicThreshold*float64(h.reachable) {
		return false
	}
	if !report.Reason.needsComparison() || h.outcomes == 0 {
		return true
	}
	return report.failureRatio() >= float64(h.failures)/float64(h.outcomes)+minExcess
}
