// This file checks that daemons exit only when the schedule ends them, and in the expected way.

package experiment

import (
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/bench/fleet"
)

// expectExit records that the run ends a process, and how.
func (c *Cluster) expectExit(process *fleet.Process, kind expectedExit) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expectedExits[process] = kind
}

// watchExit records a fault if a process exits in another way than expected.
func (c *Cluster) watchExit(process *fleet.Process) {
	go func() {
		<-process.Done()
		c.mutex.Lock()
		kind, expected := c.expectedExits[process]
		c.mutex.Unlock()
		exit := process.Exit()
		switch {
		case !expected:
			c.recordFault("%s exited unexpectedly with code %d", process.Name(), exit.Code)
		case kind == exitPlanned && exit.Code != 0:
			c.recordFault("%s exited with code %d, not 0, after a planned stop", process.Name(), exit.Code)
		case kind == exitKilled && exit.Signal != syscall.SIGKILL:
			c.recordFault("%s exited with code %d before it was killed", process.Name(), exit.Code)
		}
	}()
}

// limitExit records a fault if a process is still running after the limit.
func (c *Cluster) limitExit(process *fleet.Process, limit time.Duration) {
	time.AfterFunc(limit, func() {
		if process.Running() {
			c.recordFault("%s is still running %s after the start of its planned stop", process.Name(), limit)
		}
	})
}

// expectAllExits expects a planned exit of every running process, for the end of the experiment.
func (c *Cluster) expectAllExits() {
	for _, process := range c.fleet.Running() {
		c.expectExit(process, exitPlanned)
	}
}
