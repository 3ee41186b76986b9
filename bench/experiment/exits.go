// This file checks that daemons exit only when the schedule ends them, and in the expected way.

package experiment

import (
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/bench/fleet"
)

// expectExit records in which way the experiment ends a process. watchExit compares the exit with it.
func (c *Cluster) expectExit(process *fleet.Process, kind expectedExit) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expectedExits[process] = kind
}

// watchExit starts a goroutine that waits for a process to exit and records a fault if the exit was
// not expected or happened in another way.
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
			c.recordFault("%s exited with code %d, expected SIGKILL", process.Name(), exit.Code)
		}
	}()
}

// requireExitWithin returns at once. It records a fault if a process is still running after the
// limit.
func (c *Cluster) requireExitWithin(process *fleet.Process, limit time.Duration) {
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
