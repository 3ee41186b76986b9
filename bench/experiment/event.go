// This file defines the events of a schedule and the experiments.

package experiment

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/fabric"
)

// EventKind is what happens to a balancer, a back end or the platform.
type EventKind string

// The kinds of events. A schedule contains those below "recoveries" only to end an earlier
// event.
const (
	EventBalancerAdd      EventKind = "balancer_add"
	EventBalancerRemove   EventKind = "balancer_remove"
	EventBalancerKill     EventKind = "balancer_kill"
	EventBalancerPause    EventKind = "balancer_pause"
	EventEndpointAdd      EventKind = "endpoint_add"
	EventEndpointDrain    EventKind = "endpoint_drain"
	EventEndpointReweight EventKind = "endpoint_reweight"
	EventAgentStop        EventKind = "agent_stop"
	EventAgentKill        EventKind = "agent_kill"
	EventAgentPause       EventKind = "agent_pause"
	EventPlatformDown     EventKind = "platform_down"
	EventPlatformStale    EventKind = "platform_stale"

	// recoveries

	EventBalancerResume  EventKind = "balancer_resume"
	EventBalancerStart   EventKind = "balancer_start"
	EventEndpointUndrain EventKind = "endpoint_undrain"
	EventAgentStart      EventKind = "agent_start"
	EventAgentResume     EventKind = "agent_resume"
	EventPlatformRecover EventKind = "platform_recover"
)

// PlatformTarget is the target of events that affect the platform.
const PlatformTarget = "platform"

// Event is one entry of a schedule.
type Event struct {
	// At is the time since the start of the event phase.
	At   time.Duration
	Kind EventKind
	// Target is the name of the balancer or back end, or PlatformTarget.
	Target string
	// Weight is the new weight of EventEndpointReweight.
	Weight uint32
}

// Experiment is a named choice of events and network faults.
type Experiment struct {
	Name string
	// Description describes the experiment in one line.
	Description string
	// Kinds lists the events that the schedule chooses from.
	Kinds []EventKind
	// BatchSize is the number of events that happen at the same time.
	BatchSize int
	// Spacing is the mean time between batches of events.
	Spacing time.Duration
	// Network is the impairment of packets in both directions.
	Network fabric.Impairment
	// RevisionSkew is the longest time by which a table revision reaches one balancer later
	// than another.
	RevisionSkew time.Duration
}

const (
	defaultSpacing = 3 * time.Second
	revisionSkew   = 3 * time.Second
)

var (
	balancerKinds = []EventKind{EventBalancerAdd, EventBalancerRemove, EventBalancerKill, EventBalancerPause}
	plannedKinds  = []EventKind{
		EventBalancerAdd, EventBalancerRemove,
		EventEndpointAdd, EventEndpointDrain, EventEndpointReweight, EventAgentStop,
	}
	stallKinds = []EventKind{
		EventAgentPause, EventBalancerPause, EventPlatformDown, EventPlatformStale,
		EventEndpointDrain, EventEndpointReweight,
	}
	demoKinds = []EventKind{
		EventBalancerAdd, EventBalancerRemove, EventBalancerKill, EventBalancerPause,
		EventEndpointAdd, EventEndpointDrain, EventEndpointReweight, EventAgentStop,
	}
	tableKinds = []EventKind{EventEndpointAdd, EventEndpointDrain, EventEndpointReweight}
	allKinds   = []EventKind{
		EventBalancerAdd, EventBalancerRemove, EventBalancerKill, EventBalancerPause,
		EventEndpointAdd, EventEndpointDrain, EventEndpointReweight, EventAgentStop, EventAgentKill,
	}
)

// Experiments lists the experiments.
func Experiments() []Experiment {
	lossy := fabric.Impairment{
		Loss: 0.005, Duplication: 0.005, Reordering: 0.01, ReorderingDelay: 5 * time.Millisecond,
	}
	return []Experiment{
		{Name: "steady", Description: "no events; imbalance and answer times"},
		{Name: "balancers", Description: "balancers are added, removed, killed and paused", Kinds: balancerKinds, BatchSize: 1, Spacing: defaultSpacing},
		{Name: "planned", Description: "planned changes of balancers and back ends", Kinds: plannedKinds, BatchSize: 1, Spacing: defaultSpacing},
		{Name: "revisions", Description: "table changes that reach balancers seconds apart", Kinds: tableKinds, BatchSize: 1, Spacing: defaultSpacing, RevisionSkew: revisionSkew},
		{Name: "stalls", Description: "paused agents and balancers, the platform down or stale, and table changes", Kinds: stallKinds, BatchSize: 2, Spacing: defaultSpacing, RevisionSkew: revisionSkew},
		// The callers of a killed agent's flows may detect the loss only after the progress
		// timeout. The demo is too short for that, so it kills no agent.
		{Name: "demo", Description: "churn without killed agents, two events at once", Kinds: demoKinds, BatchSize: 2, Spacing: defaultSpacing, RevisionSkew: revisionSkew},
		{Name: "churn", Description: "every kind of event, two at once, revisions seconds apart", Kinds: allKinds, BatchSize: 2, Spacing: defaultSpacing, RevisionSkew: revisionSkew},
		{Name: "lossy", Description: "churn with loss, duplication and reordering", Kinds: allKinds, BatchSize: 2, Spacing: defaultSpacing, RevisionSkew: revisionSkew, Network: lossy},
	}
}

// ExperimentByName returns the experiment of that name. It fails if there is none.
func ExperimentByName(name string) (Experiment, error) {
	for _, experiment := range Experiments() {
		if experiment.Name == name {
			return experiment, nil
		}
	}
	return Experiment{}, errors.Errorf("unknown experiment %q", name)
}
