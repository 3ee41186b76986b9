package outlier

import "time"

//go:generate go tool msgp -tests=false
//msgp:tuple Report
//msgp:shim Outcome as:uint8 using:uint8/Outcome
//msgp:ignore Config StateChange Detector ServiceHealth

// Report is what a detector tells a balancer of its endpoint, as the balancer's clients see
// it.
type Report struct {
	// Failures of the latest Outcomes were bad.
	Outcomes uint8
	Failures uint8
	// Reason is why the endpoint was ejected, Success if it is healthy.
	Reason Outcome
	// HoldMilliseconds is for how long it shall get no new flow, in milliseconds.
	HoldMilliseconds uint16
}

// Valid reports whether a detector can have made the report.
func (r Report) Valid() bool { return r.Failures <= r.Outcomes && r.Reason < classCount }

// HoldTime returns for how long the endpoint shall get no new flow.
func (r Report) HoldTime() time.Duration { return time.Duration(r.HoldMilliseconds) * time.Millisecond }

func (r Report) ratio() float64 {
	if r.Outcomes == 0 {
		return 0
	}
	return float64(r.Failures) / float64(r.Outcomes)
}

const (
	// panicShare is the share of the endpoints that are there and may be ejected. If more
	// are, the fault is the service's, and the others would fall over next (the panic
	// threshold of Envoy's load balancing).
	panicShare = 0.5
	// excess is how much larger the share of bad outcomes has to be than that of the
	// others: requests may fail by their nature, with every endpoint.
	excess = 0.2
)

// ServiceHealth compares the endpoints of one service.
type ServiceHealth struct {
	present, ejected   int
	outcomes, failures int
}

// Add takes an endpoint into account; ejected tells whether its detector holds it back.
func (p *ServiceHealth) Add(report Report, ejected bool) {
	switch {
	case ejected && report.Reason.absent():
		return
	case ejected:
		p.ejected++
	default:
		p.outcomes += int(report.Outcomes)
		p.failures += int(report.Failures)
	}
	p.present++
}

// ConfirmsEjection reports whether an endpoint that its detector holds back shall get no new flow.
func (p *ServiceHealth) ConfirmsEjection(report Report) bool {
	if report.Reason.absent() {
		return true
	}
	if float64(p.ejected) > panicShare*float64(p.present) {
		return false
	}
	if !report.Reason.byItsNature() || p.outcomes == 0 {
		return true
	}
	return report.ratio() >= float64(p.failures)/float64(p.outcomes)+excess
}
