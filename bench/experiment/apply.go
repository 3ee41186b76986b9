// This file implements the events of a schedule on the running cluster.

package experiment

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/bench/timing"
)

const (
	// detectionDelay is how long the fabric goes on sending to a balancer
	// that has died or paused.
	detectionDelay = time.Second
	// leaveDelay is how long a balancer that leaves goes on after the fabric
	// has stopped sending to it.
	leaveDelay = 500 * time.Millisecond
	// agentExitLimit is how long after SIGTERM an agent may take to end.
	agentExitLimit = agentStopLimit + time.Second
	// balancerExitLimit is how long after SIGTERM a balancer may take to end.
	balancerExitLimit = 5 * time.Second
)

// Play applies the events at their times. It returns when the last one has
// been applied or ctx ends.
func (c *Cluster) Play(ctx context.Context, events []Event) {
	start := time.Now()
	for _, event := range events {
		if !timing.Sleep(ctx, time.Until(start.Add(event.At))) {
			return
		}
		c.progress("event %s %s", event.Kind, event.Target)
		if err := c.apply(ctx, event); err != nil {
			c.fault("%s %s: %v", event.Kind, event.Target, err)
		}
	}
}

func (c *Cluster) apply(ctx context.Context, event Event) error {
	switch event.Kind {
	case EventBalancerAdd, EventBalancerStart:
		return c.addBalancer(ctx, c.balancerNamed(event.Target))
	case EventBalancerRemove:
		return c.removeBalancer(c.balancerNamed(event.Target))
	case EventBalancerKill:
		return c.killBalancer(c.balancerNamed(event.Target))
	case EventBalancerPause:
		return c.pauseBalancer(c.balancerNamed(event.Target))
	case EventBalancerResume:
		return c.resumeBalancer(c.balancerNamed(event.Target))
	case EventEndpointAdd:
		return c.addEndpoint(c.endpointNamed(event.Target))
	case EventEndpointDrain:
		c.endpointNamed(event.Target).row.Drain = true
		c.publishTable()
		c.depart(event.Target)
	case EventEndpointUndrain:
		c.comeBack(event.Target)
		c.endpointNamed(event.Target).row.Drain = false
		c.publishTable()
	case EventEndpointReweight:
		c.endpointNamed(event.Target).row.Weight = event.Weight
		c.publishTable()
	case EventAgentStop:
		return c.stopAgent(c.endpointNamed(event.Target))
	case EventAgentKill:
		return c.killAgent(c.endpointNamed(event.Target))
	case EventAgentStart:
		return c.restartAgent(c.endpointNamed(event.Target))
	case EventAgentPause:
		return c.endpointNamed(event.Target).process.Pause()
	case EventAgentResume:
		return c.endpointNamed(event.Target).process.Resume()
	case EventPlatformDown:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.Skew, Down: true})
	case EventPlatformStale:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.Skew, Stale: true})
	case EventPlatformRecover:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.Skew})
	}
	return nil
}

func (c *Cluster) publishTable() {
	c.version++
	c.platform.PublishTable(c.currentTable())
}

func (c *Cluster) publishMachines() {
	c.platform.PublishMachines(c.currentMachines())
}

func (c *Cluster) startBalancer(member *balancerMember) error {
	process, err := c.fleet.Start(c.balancerSettings(member))
	if err != nil {
		return err
	}
	member.process = process
	member.listed = true
	member.state = platform.StateLive
	c.watch(process)
	return nil
}

// addBalancer starts a balancer and lets the fabric send to it once it is
// healthy.
func (c *Cluster) addBalancer(ctx context.Context, member *balancerMember) error {
	if err := c.startBalancer(member); err != nil {
		return err
	}
	c.publishMachines()
	process := member.process
	c.running.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, healthTimeout)
		defer cancel()
		err := fleet.WaitHealthy(ctx, process, member.observability)
		c.introduce(process, member, err)
		return nil
	})
	return nil
}

// introduce lets the fabric send to a started balancer unless the schedule has
// ended it meanwhile.
func (c *Cluster) introduce(process *fleet.Process, member *balancerMember, unhealthy error) {
	c.mutex.Lock()
	_, ended := c.expected[process]
	if !ended && unhealthy == nil {
		c.fabric.AddBalancer(member.listen)
	}
	c.mutex.Unlock()
	if !ended && unhealthy != nil {
		c.fault("%v", unhealthy)
	}
}

func (c *Cluster) removeBalancer(member *balancerMember) error {
	member.state = platform.StateLeaving
	c.publishMachines()
	process := member.process
	c.expect(process, exitPlanned)
	c.fabric.RemoveBalancer(member.listen)
	time.AfterFunc(leaveDelay, func() {
		if err := process.Terminate(); err != nil {
			c.fault("%v", err)
		}
	})
	c.limitExit(process, leaveDelay+balancerExitLimit)
	return nil
}

func (c *Cluster) killBalancer(member *balancerMember) error {
	c.expect(member.process, exitKilled)
	time.AfterFunc(detectionDelay, func() { c.fabric.RemoveBalancer(member.listen) })
	return member.process.Kill()
}

func (c *Cluster) pauseBalancer(member *balancerMember) error {
	time.AfterFunc(detectionDelay, func() { c.fabric.RemoveBalancer(member.listen) })
	return member.process.Pause()
}

func (c *Cluster) resumeBalancer(member *balancerMember) error {
	if err := member.process.Resume(); err != nil {
		return err
	}
	c.fabric.AddBalancer(member.listen)
	return nil
}

func (c *Cluster) startAgent(member *endpointMember) error {
	process, err := c.fleet.Start(c.agentSettings(member))
	if err != nil {
		return err
	}
	member.process = process
	member.listed = true
	member.state = platform.StateLive
	c.watch(process)
	return nil
}

func (c *Cluster) addEndpoint(member *endpointMember) error {
	if err := c.startAgent(member); err != nil {
		return err
	}
	c.publishMachines()
	c.publishTable()
	return nil
}

func (c *Cluster) stopAgent(member *endpointMember) error {
	member.state = platform.StateLeaving
	c.publishMachines()
	c.expect(member.process, exitPlanned)
	c.limitExit(member.process, agentExitLimit)
	c.depart(member.row.Name)
	return member.process.Terminate()
}

func (c *Cluster) killAgent(member *endpointMember) error {
	c.expect(member.process, exitKilled)
	c.mutex.Lock()
	c.kills = append(c.kills, kill{backend: member.row.Name, at: time.Now()})
	c.mutex.Unlock()
	return member.process.Kill()
}

func (c *Cluster) restartAgent(member *endpointMember) error {
	c.comeBack(member.row.Name)
	if err := c.startAgent(member); err != nil {
		return err
	}
	c.publishMachines()
	return nil
}
