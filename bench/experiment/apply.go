// This file applies the events of a schedule to the running cluster.

package experiment

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/bench/fleet"
	"github.com/vanetiller/vanetiller/bench/platform"
	"github.com/vanetiller/vanetiller/bench/timing"
)

const (
	// detectionDelay is how long the fabric still sends to a balancer that was killed or
	// paused.
	detectionDelay = time.Second
	// shutdownDelay is how long a removed balancer keeps running after the fabric has stopped
	// sending to it.
	shutdownDelay = 500 * time.Millisecond
	// agentExitLimit is the longest time an agent may take to exit after SIGTERM.
	agentExitLimit = agentStopLimit + time.Second
	// balancerExitLimit is the longest time a balancer may take to exit after SIGTERM.
	balancerExitLimit = 5 * time.Second
)

// ApplyEvents applies the events at their times. It returns when the last one has been applied
// or ctx ends.
func (c *Cluster) ApplyEvents(ctx context.Context, events []Event) {
	start := time.Now()
	for _, event := range events {
		if !timing.Sleep(ctx, time.Until(start.Add(event.At))) {
			return
		}
		c.progress("event %s %s", event.Kind, event.Target)
		if err := c.apply(ctx, event); err != nil {
			c.recordFault("apply event %s to %s: %v", event.Kind, event.Target, err)
		}
	}
}

func (c *Cluster) apply(ctx context.Context, event Event) error {
	switch event.Kind {
	case EventBalancerAdd, EventBalancerStart:
		return c.addBalancer(ctx, c.balancerByName(event.Target))
	case EventBalancerRemove:
		return c.removeBalancer(c.balancerByName(event.Target))
	case EventBalancerKill:
		return c.killBalancer(c.balancerByName(event.Target))
	case EventBalancerPause:
		return c.pauseBalancer(c.balancerByName(event.Target))
	case EventBalancerResume:
		return c.resumeBalancer(c.balancerByName(event.Target))
	case EventEndpointAdd:
		return c.addEndpoint(c.endpointByName(event.Target))
	case EventEndpointDrain:
		c.endpointByName(event.Target).row.Drain = true
		c.publishTable()
		c.startDrain(event.Target)
	case EventEndpointUndrain:
		c.endDrain(event.Target)
		c.endpointByName(event.Target).row.Drain = false
		c.publishTable()
	case EventEndpointReweight:
		c.endpointByName(event.Target).row.Weight = event.Weight
		c.publishTable()
	case EventAgentStop:
		return c.stopAgent(c.endpointByName(event.Target))
	case EventAgentKill:
		return c.killAgent(c.endpointByName(event.Target))
	case EventAgentStart:
		return c.restartAgent(c.endpointByName(event.Target))
	case EventAgentPause:
		return c.endpointByName(event.Target).process.Pause()
	case EventAgentResume:
		return c.endpointByName(event.Target).process.Resume()
	case EventPlatformDown:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.RevisionSkew, Down: true})
	case EventPlatformStale:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.RevisionSkew, Stale: true})
	case EventPlatformRecover:
		c.platform.SetFaults(platform.Faults{MaxReaderLag: c.options.Experiment.RevisionSkew})
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
	c.watchExit(process)
	return nil
}

// addBalancer starts a balancer and adds it to the fabric once it is healthy.
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
		c.addToFabric(process, member, err)
		return nil
	})
	return nil
}

// addToFabric makes the fabric send to a started balancer, unless the schedule has ended its
// process meanwhile.
func (c *Cluster) addToFabric(process *fleet.Process, member *balancerMember, unhealthy error) {
	c.mutex.Lock()
	_, ended := c.expectedExits[process]
	if !ended && unhealthy == nil {
		c.fabric.AddBalancer(member.listen)
	}
	c.mutex.Unlock()
	if !ended && unhealthy != nil {
		c.recordFault("%v", unhealthy)
	}
}

func (c *Cluster) removeBalancer(member *balancerMember) error {
	member.state = platform.StateLeaving
	c.publishMachines()
	process := member.process
	c.expectExit(process, exitPlanned)
	c.fabric.RemoveBalancer(member.listen)
	time.AfterFunc(shutdownDelay, func() {
		if err := process.Terminate(); err != nil {
			c.recordFault("%v", err)
		}
	})
	c.requireExitWithin(process, shutdownDelay+balancerExitLimit)
	return nil
}

func (c *Cluster) killBalancer(member *balancerMember) error {
	c.expectExit(member.process, exitKilled)
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
	c.watchExit(process)
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
	c.expectExit(member.process, exitPlanned)
	c.requireExitWithin(member.process, agentExitLimit)
	c.startDrain(member.row.Name)
	return member.process.Terminate()
}

func (c *Cluster) killAgent(member *endpointMember) error {
	c.expectExit(member.process, exitKilled)
	c.mutex.Lock()
	c.agentKills = append(c.agentKills, kill{backend: member.row.Name, at: time.Now()})
	c.mutex.Unlock()
	return member.process.Kill()
}

func (c *Cluster) restartAgent(member *endpointMember) error {
	c.endDrain(member.row.Name)
	if err := c.startAgent(member); err != nil {
		return err
	}
	c.publishMachines()
	return nil
}
