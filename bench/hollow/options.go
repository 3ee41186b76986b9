// Package hollow implements a fleet of hollow processes: daemons and agents
// that run the product's own state machines on a simulated network in virtual
// time, without sockets, transport stacks and back ends. It shows what a fleet
// far larger than any test machine costs and which promises it keeps.
//
// Nothing that the product decides is written again here. Callers, the fabric
// and the operators' changes are simulated; what stands in for a part that the
// product lacks is named in Options.
package hollow

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Liveness tells how daemons learn which agents are alive.
type Liveness string

// The sources of liveness.
const (
	// LivenessRegistry is the product as it is: a daemon knows of the agents
	// that send it heartbeats.
	LivenessRegistry Liveness = "registry"
	// LivenessAgreed is an assumption: every daemon is told, at no cost, of
	// every agent whose lease must have ended.
	LivenessAgreed Liveness = "agreed"
)

// Options describe a fleet, its load and the length of a run. Times are
// virtual.
type Options struct {
	// Seed determines the whole run.
	Seed uint64 `json:"seed"`
	// Daemons, Services and RowsPerService are the size of the fleet. There
	// is one agent for each row.
	Daemons        int `json:"daemons"`
	Services       int `json:"services"`
	RowsPerService int `json:"rows_per_service"`
	// Zones are spread over Regions.
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	// SpanningEvery makes one of that many services of each region have rows in
	// two regions; zero means none.
	SpanningEvery int `json:"spanning_every"`
	// DaemonsPerAgent is the number of daemons, of its own zone if that has
	// enough, to which an agent sends heartbeats.
	DaemonsPerAgent int      `json:"daemons_per_agent"`
	Liveness        Liveness `json:"liveness"`
	// OpenFlows is reached at the end of Filling; from then on NewFlows open,
	// and as many close, every second.
	OpenFlows int `json:"open_flows"`
	NewFlows  int `json:"new_flows_per_second"`
	// Probes is the number of packets of open flows sent every second to find
	// out whether they still reach the row that owns the flow.
	Probes int `json:"probes_per_second"`
	// Starting is the time without flows at the beginning. Agents ask more
	// about new flows while they are in doubt about earlier views; the default
	// leaves that time out.
	Starting time.Duration `json:"starting_ns"`
	Filling  time.Duration `json:"filling_ns"`
	// Duration is the measured time that follows.
	Duration time.Duration `json:"duration_ns"`
	// ChangeInterval is the time between changes of the table; zero means
	// none.
	ChangeInterval time.Duration `json:"change_interval_ns"`
	// PublishDelay bounds the time after which a daemon has a new table, which
	// is uniform. It stands for the transport of tables to daemons, whose cost
	// is not counted.
	PublishDelay time.Duration `json:"publish_delay_ns"`
	// Loss is the probability that a datagram is lost.
	Loss float64 `json:"loss"`
	// Faults adds the schedule of faults.
	Faults bool `json:"faults"`
	// Progress receives a log line now and then; nil means none.
	Progress io.Writer `json:"-"`
}

// SmallOptions returns a fleet that runs in about a second.
func SmallOptions() Options {
	return Options{
		Seed:            1,
		Daemons:         11,
		Services:        15,
		RowsPerService:  8,
		Zones:           11,
		Regions:         5,
		SpanningEvery:   5,
		DaemonsPerAgent: 2,
		Liveness:        LivenessAgreed,
		OpenFlows:       17_000,
		NewFlows:        770,
		Probes:          1000,
		Starting:        30 * time.Second,
		Filling:         20 * time.Second,
		Duration:        40 * time.Second,
		ChangeInterval:  5 * time.Second,
		PublishDelay:    time.Second,
		Loss:            0.0005,
		Faults:          true,
	}
}

// TargetOptions returns the fleet of the capacity target.
func TargetOptions() Options {
	options := SmallOptions()
	options.Daemons = 1100
	options.Services = 1500
	options.OpenFlows = 17_000_000
	options.NewFlows = 77_000
	options.Probes = 20_000
	options.Filling = time.Minute
	options.Duration = time.Minute
	return options
}

// Scaled returns the options with the fleet and its load made smaller by the
// divisor.
func (o Options) Scaled(divisor int) Options {
	o.Daemons = max(o.Daemons/divisor, 1)
	o.Services = max(o.Services/divisor, 1)
	o.OpenFlows /= divisor
	o.NewFlows /= divisor
	o.Probes /= divisor
	return o
}

func (o Options) rows() int { return o.Services * o.RowsPerService }

const (
	maximumNodes = 1 << 16
	maximumFlows = 1 << 30
)

func (o Options) validate() error {
	sizes := []int{o.Daemons, o.Services, o.RowsPerService, o.Zones, o.Regions, o.DaemonsPerAgent}
	for _, size := range sizes {
		if size < 1 {
			return errors.New("hollow: every size must be at least 1")
		}
	}
	for _, rate := range []int{o.OpenFlows, o.NewFlows, o.Probes, o.SpanningEvery} {
		if rate < 0 {
			return errors.New("hollow: no rate may be negative")
		}
	}
	switch {
	case o.Daemons > maximumNodes || o.rows() > maximumNodes || o.OpenFlows > maximumFlows:
		return errors.Errorf("hollow: at most %d daemons and rows and %d flows", maximumNodes, maximumFlows)
	case o.Regions > o.Zones:
		return errors.New("hollow: there must be a zone in every region")
	case o.DaemonsPerAgent > o.Daemons:
		return errors.New("hollow: there are fewer daemons than each agent is to have")
	case o.Liveness != LivenessRegistry && o.Liveness != LivenessAgreed:
		return errors.Errorf("hollow: unknown liveness %q", o.Liveness)
	case o.Starting < 0 || o.Filling < time.Second || o.Duration < time.Second || o.PublishDelay <= 0 || o.ChangeInterval < 0:
		return errors.New("hollow: Filling and Duration must be at least a second and no time negative")
	case o.Loss < 0 || o.Loss >= 1:
		return errors.New("hollow: Loss must be from 0 to below 1")
	}
	return nil
}
