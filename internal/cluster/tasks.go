// This file defines the steps by which a newer table comes into force.

package cluster

import (
	"github.com/vanetiller/vanetiller/internal/dissemination"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// task is one step towards a newer table. Exactly one of the pointers is set.
type task struct {
	delta   *dissemination.Delta
	install *installTask
	fetch   *fetchTask
}

// installTask takes over the state of the log of this process.
type installTask struct {
	version table.Version
	state   []byte
}

// fetchTask fetches what leads from a version to the newest one.
type fetchTask struct {
	from    membership.Address
	version table.Version
}
