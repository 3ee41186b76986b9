// This file computes the schedule of events. It depends only on the shape, experiment, duration
// and seed.

package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The lengths of outages, and the smallest number of members that stay available.
const (
	balancerOutage = 4 * time.Second
	agentPause     = 3 * time.Second
	platformOutage = 8 * time.Second
	balancerPause  = 3 * time.Second
	drainTime      = 6 * time.Second
	agentOutage    = 5 * time.Second
	agentStopTime  = 14 * time.Second
	// recoveryMargin is how long no event affects a member after its recovery.
	recoveryMargin    = 2 * time.Second
	minimumBalancers  = 2
	minimumEndpoints  = 2
	weightChoices     = 3
	weightStep        = 50
	scheduleStreamKey = 0x5c4ed
)

type memberState int

const (
	memberSpare memberState = iota
	memberLive
	memberDisturbed
)

type member struct {
	name    string
	service int
	state   memberState
	// availableAt is the time at which a disturbed member is live again.
	availableAt time.Duration
}

// planner tracks the state that the fleet will have during the schedule, so that it chooses only
// events that are possible at their time.
type planner struct {
	random    *rand.Rand
	balancers []*member
	endpoints []*member
	platform  *member
	events    []Event
}

// Schedule returns the events of an experiment in order of time. The recovery of an event is
// included even if it falls after the duration.
func Schedule(shape Shape, experiment Experiment, duration time.Duration, seed uint64) []Event {
	if len(experiment.Kinds) == 0 {
		return nil
	}
	plan := newPlanner(shape, seed)
	for at := experiment.Spacing / 2; at < duration; at += plan.interval(experiment.Spacing) {
		plan.endDisturbances(at)
		for range experiment.BatchSize {
			plan.addRandomEvent(at, experiment.Kinds)
		}
	}
	slices.SortStableFunc(plan.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan.events
}

func newPlanner(shape Shape, seed uint64) *planner {
	plan := &planner{
		random:   rand.New(rand.NewPCG(seed, scheduleStreamKey)),
		platform: newMember(PlatformTarget, 0, true),
	}
	for i, name := range shape.balancerNames() {
		plan.balancers = append(plan.balancers, newMember(name, 0, i < shape.Balancers))
	}
	for number, service := range shape.Services {
		for i, name := range service.endpointNames() {
			plan.endpoints = append(plan.endpoints, newMember(name, number, i < service.Endpoints))
		}
	}
	return plan
}

func newMember(name string, service int, live bool) *member {
	state := memberSpare
	if live {
		state = memberLive
	}
	return &member{name: name, service: service, state: state}
}

// interval returns a random time between 0.5 and 1.5 times the spacing.
func (p *planner) interval(spacing time.Duration) time.Duration {
	return spacing/2 + time.Duration(p.random.Int64N(int64(spacing)))
}

func (p *planner) endDisturbances(now time.Duration) {
	for _, member := range slices.Concat(p.balancers, p.endpoints, []*member{p.platform}) {
		if member.state == memberDisturbed && member.availableAt <= now {
			member.state = memberLive
		}
	}
}

// addRandomEvent adds one event that is possible now. It tries the kinds in random order.
func (p *planner) addRandomEvent(at time.Duration, kinds []EventKind) {
	for _, index := range p.random.Perm(len(kinds)) {
		if p.tryEvent(at, kinds[index]) {
			return
		}
	}
}

func (p *planner) tryEvent(at time.Duration, kind EventKind) bool {
	switch kind {
	case EventBalancerAdd:
		return p.addSpare(at, kind, p.balancers)
	case EventEndpointAdd:
		return p.addSpare(at, kind, p.endpoints)
	case EventBalancerRemove, EventBalancerKill:
		return p.addDisturbance(at, kind, p.balancerToDisturb(), EventBalancerStart, balancerOutage)
	case EventBalancerPause:
		return p.addDisturbance(at, kind, p.balancerToDisturb(), EventBalancerResume, balancerPause)
	case EventEndpointDrain:
		return p.addDisturbance(at, kind, p.endpointToDisturb(), EventEndpointUndrain, drainTime)
	case EventAgentStop:
		return p.addDisturbance(at, kind, p.endpointToDisturb(), EventAgentStart, agentStopTime)
	case EventAgentKill:
		return p.addDisturbance(at, kind, p.endpointToDisturb(), EventAgentStart, agentOutage)
	case EventAgentPause:
		return p.addDisturbance(at, kind, p.endpointToDisturb(), EventAgentResume, agentPause)
	case EventPlatformDown, EventPlatformStale:
		return p.addDisturbance(at, kind, p.platformToDisturb(), EventPlatformRecover, platformOutage)
	case EventEndpointReweight:
		return p.reweight(at)
	}
	panic("experiment: unknown event kind " + string(kind))
}

func (p *planner) addSpare(at time.Duration, kind EventKind, members []*member) bool {
	spare := p.pickRandom(members, func(m *member) bool { return m.state == memberSpare })
	if spare == nil {
		return false
	}
	spare.state = memberLive
	p.events = append(p.events, Event{At: at, Kind: kind, Target: spare.name})
	return true
}

func (p *planner) addDisturbance(at time.Duration, kind EventKind, target *member, recovery EventKind, outage time.Duration) bool {
	if target == nil {
		return false
	}
	target.state = memberDisturbed
	recovered := at + outage
	target.availableAt = recovered + recoveryMargin
	p.events = append(p.events,
		Event{At: at, Kind: kind, Target: target.name},
		Event{At: recovered, Kind: recovery, Target: target.name})
	return true
}

func (p *planner) reweight(at time.Duration) bool {
	target := p.pickRandom(p.endpoints, func(m *member) bool { return m.state == memberLive })
	if target == nil {
		return false
	}
	weight := uint32(weightStep * (1 + p.random.IntN(weightChoices)))
	p.events = append(p.events, Event{At: at, Kind: EventEndpointReweight, Target: target.name, Weight: weight})
	return true
}

func (p *planner) balancerToDisturb() *member {
	live := func(m *member) bool { return m.state == memberLive }
	if countEligible(p.balancers, live) <= minimumBalancers {
		return nil
	}
	return p.pickRandom(p.balancers, live)
}

func (p *planner) endpointToDisturb() *member {
	return p.pickRandom(p.endpoints, func(m *member) bool {
		peers := countEligible(p.endpoints, func(peer *member) bool {
			return peer.service == m.service && peer.state == memberLive
		})
		return m.state == memberLive && peers > minimumEndpoints
	})
}

func (p *planner) platformToDisturb() *member {
	if p.platform.state != memberLive {
		return nil
	}
	return p.platform
}

func (p *planner) pickRandom(members []*member, eligible func(*member) bool) *member {
	var candidates []*member
	for _, member := range members {
		if eligible(member) {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[p.random.IntN(len(candidates))]
}

func countEligible(members []*member, eligible func(*member) bool) int {
	counted := 0
	for _, member := range members {
		if eligible(member) {
			counted++
		}
	}
	return counted
}
