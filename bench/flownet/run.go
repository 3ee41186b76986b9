package flownet

import (
	"slices"
	"time"

	"github.com/vanetiller/vanetiller/internal/relay"
)

// HashScheme selects how the fabric maps a flow to a balancer.
type HashScheme string

// Hash schemes of the fabric.
const (
	// HashRendezvous uses rendezvous hashing: if a balancer is added or removed, only
	// the flows of that balancer move.
	HashRendezvous HashScheme = "steady"
	// HashModulo takes the hash modulo the number of balancers: if a balancer is added or
	// removed, nearly all flows move.
	HashModulo HashScheme = "modulo"
)

// Options configure a run.
type Options struct {
	Shape    Scenario
	Seed     uint64
	Duration time.Duration
	Hash     HashScheme
	// Events is the number of scheduled events.
	Events int
	// PlannedOnly restricts the schedule to planned work and leaves out faults.
	PlannedOnly bool
	// Load multiplies the request rates of the scenario.
	Load float64
	// PowerLoss makes all machines lose power once, after two thirds of the duration.
	PowerLoss bool
	// KillAll kills all daemons once, after two thirds of the duration. Endpoints live on. Shortly
	// before, a third of the endpoints of each service leave without notice.
	KillAll bool
	// PauseWatchers pauses the balancers that watch the store after a third of the duration, and
	// makes many endpoints leave without notice.
	PauseWatchers bool
	// ColdRate is the number of requests a second that a freshly started endpoint can
	// handle, or 0 for no limit. An endpoint that gets more than coldOverrun and coldSlack
	// tolerate crashes. ColdRateHidden leaves the rate out of the configuration.
	ColdRate       float64
	ColdRateHidden bool
	// Baseline replaces the product by a stateless hash. It serves as a negative control
	// of the checker.
	Baseline bool
	// Defect makes the daemons violate a guarantee on purpose, so that a test can show
	// that the checker detects it.
	Defect Defect
	// DisableAgentQueue makes agents pass all packets to their endpoints at once, for
	// comparison.
	DisableAgentQueue bool
}

func (o Options) newBalancer(config relay.BalancerConfig) balancerLogic {
	if o.Baseline {
		return &hashBalancer{config: config}
	}
	if o.Defect == DefectResetUnknownFlows {
		return &resettingBalancer{relay.NewBalancer(config), config.Codec}
	}
	return relay.NewBalancer(config)
}

func (o Options) newAgent(config relay.AgentConfig) agentLogic {
	if o.Baseline {
		return &hashAgent{config: config}
	}
	if o.DisableAgentQueue {
		return &unqueuedAgent{relay.NewAgent(config)}
	}
	switch o.Defect {
	case DefectAcceptAllPackets:
		return &acceptAllAgent{relay.NewAgent(config)}
	case DefectCorruptPackets:
		return &corruptingAgent{relay.NewAgent(config)}
	case DefectDenyAfterRestart:
		return &denyingAgent{relay.NewAgent(config)}
	case DefectNoColdStartLimit:
		return &noColdLimitAgent{relay.NewAgent(config)}
	}
	return relay.NewAgent(config)
}

const (
	// leadTime is the time before traffic begins, tailTime the time after it ends.
	leadTime = 2 * time.Second
	tailTime = 6 * time.Second
	// quietTime is the time without events at the start and at the end of the traffic.
	quietTime = 2 * time.Second
	// powerLossTime is how long machines are without power.
	powerLossTime = 800 * time.Millisecond
	// killDelay is the time from the departures before a kill of all daemons to the kill.
	killDelay = 300 * time.Millisecond
	// pauseDelay is the time from a change that reaches all balancers to the pause of the watchers.
	pauseDelay = 100 * time.Millisecond
	// windowLength is the length of a report window.
	windowLength = 2 * time.Second
)

// Run simulates one run and returns its report.
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
	if options.KillAll {
		w.net.At(leadTime+options.Duration*2/3-killDelay, func() { w.leaveWithoutNotice(1.0 / 3) })
		w.net.At(leadTime+options.Duration*2/3, func() { w.killAll(powerLossTime) })
	}
	if options.PauseWatchers {
		w.net.At(leadTime+options.Duration/3, func() { w.store.configure(w.store.routes) })
		w.net.At(leadTime+options.Duration/3+pauseDelay, w.pauseWatchers)
	}
	w.net.Run(end + tailTime)
	return w.report()
}

// scheduleRequests makes clients send the requests of a class, with exponentially
// distributed intervals.
func (w *world) scheduleRequests(class RequestClass, end time.Duration) {
	rate := class.RequestsPerSecond * w.options.Load
	var next func()
	next = func() {
		if w.net.Now() >= end {
			return
		}
		host, _ := pickRandom(w, w.clients)
		host.startAttempt(w.checker.newRequest(class))
		gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		w.net.At(w.net.Now()+gap, next)
	}
	w.net.At(leadTime, next)
}

func (w *world) scheduleEvents(end time.Duration) {
	kinds := eventKinds()
	if w.options.PlannedOnly {
		kinds = slices.DeleteFunc(kinds, func(each scheduledEvent) bool { return each.duration > 0 })
	}
	span := end - leadTime - 2*quietTime
	for range w.options.Events {
		at := leadTime + quietTime + time.Duration(w.random.Int64N(int64(span)))
		chosen, _ := pickRandom(w, kinds)
		w.net.At(at, func() {
			if chosen.duration > 0 {
				w.suspendTimeBounds(chosen.duration)
			}
			w.checker.decisions["event: "+chosen.name]++
			chosen.apply(w)
		})
	}
}
