// Command vanetiller-relay runs one process of a fleet that relays the packets of flows on
// the platform: a balancer, or the agent next to an endpoint.
package main

import (
	"runtime/debug"
	"time"

	"github.com/vanetiller/vanetiller/internal/relaydaemon"
	"github.com/vanetiller/vanetiller/platform"
)

// gcPercent makes the garbage collector run when the heap has grown by a quarter. Memory is
// expensive on the platform's machines, and the live heap is small.
const gcPercent = 25

// gcPercentDelay is how long the garbage collector keeps its default setting after the
// start. No collection is due in that time, in which the process gets ready.
const gcPercentDelay = 3 * time.Second

func main() {
	time.AfterFunc(gcPercentDelay, func() { debug.SetGCPercent(gcPercent) })
	relaydaemon.Program(relaydaemon.Dependencies{
		Codec:    platform.PacketCodec{},
		NewStore: platform.NewStore,
	}).Main()
}
