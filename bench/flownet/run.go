package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
)

// HashScheme is how the fabric chooses a balancer.
type HashScheme string

// The ways of choosing a balancer.
const (
	// HashRendezvous moves only the flows of a balancer that comes or goes.
	HashRendezvous HashScheme = "steady"
	// HashModulo moves nearly all flows.
	HashModulo HashScheme = "modulo"
)

// Options determine a run.
type Options struct {
	Shape    Scenario
	Seed     uint64
	Duration time.Duration
	Hash     HashScheme
	// Events is the number of events of the schedule.
	Events int
	// PlannedOnly leaves out all events but planned work.
	PlannedOnly bool
	// Load multiplies the traffic of the shape.
	Load float64
	// PowerLoss makes all machines lose power once, near the end.
	PowerLoss bool
	// ColdRate is how many requests a second an endpoint carries after a start, 0 for any
	// number. One that gets too many fails. Untold is set if no configuration tells it.
	ColdRate       float64
	ColdRateHidden bool
	// Baseline replaces the product by a stateless hash, as negative control.
	Baseline bool
	// Defect makes the daemons break a promise on purpose, so that a test can
	// show that the ledger sees it.
	Defect Defect
	// DisableAgentQueue makes agents give all packets to their endpoints at once, for
	// comparison.
	DisableAgentQueue bool
}

func (o Options) newBalancer(config relay.BalancerConfig) balancerPart {
	if o.Baseline {
		return &hashBalancer{config: config}
	}
	if o.Defect == DefectResetUnknownFlows {
		return &resettingBalancer{relay.NewBalancer(config), config.Codec}
	}
	return relay.NewBalancer(config)
}

func (o Options) newAgent(config relay.AgentConfig) agentPart {
	if o.Baseline {
		return &hashAgent{config: config}
	}
	if o.DisableAgentQueue {
		return &unboundedAgent{relay.NewAgent(config)}
	}
	switch o.Defect {
	case DefectAcceptAllPackets:
		return &greedyAgent{relay.NewAgent(config)}
	case DefectCorruptPackets:
		return &alteringAgent{relay.NewAgent(config)}
	case DefectDenyAfterRestart:
		return &hastyAgent{relay.NewAgent(config)}
	case DefectNoColdStartLimit:
		return &eagerAgent{relay.NewAgent(config)}
	}
	return relay.NewAgent(config)
}

const (
	// leadTime passes before traffic begins, tailTime after it ends.
	leadTime = 2 * time.Second
	tailTime = 6 * time.Second
	// quietTime passes at both ends of the traffic without events.
	quietTime = 2 * time.Second
	// powerLossTime is how long machines stay without power.
	powerLossTime = 800 * time.Millisecond
	// windowLength is the length of a window of a report.
	windowLength = 2 * time.Second
)

// Run plays one run.
func Run(options Options) Report {
	w := newWorld(options)
	end := leadTime + options.Duration
	for _, class := range options.Shape.Classes {
		w.scheduleRequests(class, end)
	}
	w.scheduleEvents(end)
	if options.PowerLoss {
		w.net.At(leadTime+options.Duration*2/3, func() { w.powerLoss(powerLossTime) })
	}
	w.net.Run(end + tailTime)
	return w.report()
}

// scheduleRequests lets clients send the requests of a class at random times.
func (w *world) scheduleRequests(class RequestClass, end time.Duration) {
	rate := class.RequestsPerSecond * w.options.Load
	var next func()
	next = func() {
		if w.net.Now() >= end {
			return
		}
		host, _ := pick(w, w.clients)
		host.try(w.ledger.ask(class))
		gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		w.net.At(w.net.Now()+gap, next)
	}
	w.net.At(leadTime, next)
}

func (w *world) scheduleEvents(end time.Duration) {
	kinds := faults()
	if w.options.PlannedOnly {
		kinds = slices.DeleteFunc(kinds, func(each fault) bool { return each.lasts > 0 })
	}
	span := end - leadTime - 2*quietTime
	for range w.options.Events {
		at := leadTime + quietTime + time.Duration(w.random.Int64N(int64(span)))
		chosen, _ := pick(w, kinds)
		w.net.At(at, func() {
			if chosen.lasts > 0 {
				w.disturb(chosen.lasts)
			}
			w.ledger.decisions["event: "+chosen.name]++
			chosen.act(w)
		})
	}
}
