// This file implements the check that daemons end only when the schedule says
// so, and in the way it says.

package experiment

import (
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/bench/fleet"
)

// expect records that the schedule ends a process.
func (c *Cluster) expect(process *fleet.Process, how expectedExit) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expected[process] = how
}

// watch records a fault when a process ends in another way than expected.
func (c *Cluster) watch(process *fleet.Process) {
	go func() {
		<-process.Done()
		c.mutex.Lock()
		how, expected := c.expected[process]
		c.mutex.Unlock()
		exit := process.Exit()
		switch {
		case !expected:
			c.fault("%s ended unexpectedly with code %d", process.Name(), exit.Code)
		case how == exitPlanned && exit.Code != 0:
			c.fault("%s ended its planned stop with code %d", process.Name(), exit.Code)
		case how == exitKilled && exit.Signal != syscall.SIGKILL:
			c.fault("%s ended with code %d before it was killed", process.Name(), exit.Code)
		}
	}()
}

// limitExit records a fault when a process has not ended after the limit.
func (c *Cluster) limitExit(process *fleet.Process, limit time.Duration) {
	time.AfterFunc(limit, func() {
		if process.Running() {
			c.fault("%s has not ended %s after its planned stop began", process.Name(), limit)
		}
	})
}

// expectAll marks every running process as ended by plan, for the end of the
// experiment.
func (c *Cluster) expectAll() {
	for _, process := range c.fleet.Running() {
		c.expect(process, exitPlanned)
	}
}
