// Package members implements a fleet of hollow daemons that run the product's
// membership and dissemination machines on a simulated network in virtual time.
// It measures their traffic, how soon failures are known, how soon changes of the
// table are in force, and whether views are right after a zone was lost and after
// regions were cut from each other.
package members

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// Options describe a run. Times are virtual.
type Options struct {
	// Seed determines the whole run.
	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	// Zones are spread over Regions.
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	// Loss is the probability that a datagram is lost.
	Loss float64 `json:"loss"`
	// Settling bounds the time for all views to become right after the start
	// and after each fault.
	Settling time.Duration `json:"settling_ns"`
	// Usual is the time of a usual day that is measured, with restarts and
	// failures at the rates of RestartsPerDay and FailuresPerDay.
	Usual          time.Duration `json:"usual_ns"`
	RestartsPerDay int           `json:"restarts_per_day"`
	FailuresPerDay int           `json:"failures_per_day"`
	// ChangesPerDay are changes of the table, in the usual day and in the cut.
	ChangesPerDay int `json:"changes_per_day"`
	// AgentsPerDaemon is the number of agents that report to a daemon; each
	// reports to two. Zero leaves agents out. AgentRestartsPerDay are those of
	// the whole fleet.
	AgentsPerDaemon     int `json:"agents_per_daemon"`
	AgentRestartsPerDay int `json:"agent_restarts_per_day"`
	// Kills is the number of daemons killed one after another to measure how
	// soon it is known.
	Kills int `json:"kills"`
	// Cut is how long the first region is cut from the others.
	Cut time.Duration `json:"cut_ns"`
}

// TargetOptions returns the fleet of the capacity target.
func TargetOptions() Options {
	return Options{
		Seed:           1,
		Daemons:        1100,
		Zones:          11,
		Regions:        5,
		Loss:           0.0005,
		Settling:       10 * time.Minute,
		Usual:          30 * time.Minute,
		RestartsPerDay: 1800,
		FailuresPerDay: 22,
		ChangesPerDay:  1500,

		AgentsPerDaemon:     22,
		AgentRestartsPerDay: 1800,

		Kills: 5,
		Cut:   time.Hour,
	}
}

func (o Options) validate() error {
	switch {
	case o.Zones < 1 || o.Zones > membership.MaximumZones:
		return errors.Errorf("members: zones must be from 1 to %d", membership.MaximumZones)
	case o.Regions < 1 || o.Regions > o.Zones:
		return errors.New("members: regions must be from 1 to the number of zones")
	case o.Daemons < 2*o.Zones || o.Daemons > maximumDaemons:
		return errors.Errorf("members: daemons must be from twice the zones to %d", maximumDaemons)
	case o.Settling <= 0 || o.Usual < time.Second || o.Cut < 0 || o.Kills < 0:
		return errors.New("members: times must be positive, Usual at least a second")
	case o.RestartsPerDay < 0 || o.FailuresPerDay < 0 || o.ChangesPerDay < 0 ||
		o.AgentsPerDaemon < 0 || o.AgentRestartsPerDay < 0:
		return errors.New("members: no rate may be negative")
	case o.Loss < 0 || o.Loss >= 1:
		return errors.New("members: Loss must be from 0 to below 1")
	}
	return nil
}

const maximumDaemons = 4096
