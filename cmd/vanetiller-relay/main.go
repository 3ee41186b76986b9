// Command vanetiller-relay runs one process of a fleet that relays whole packets of flows on
// the users' platform: a balancer, or the agent next to an endpoint.
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

// gcPercentDelay is how long after the start the garbage collector keeps its default
// setting. With that setting no collection is due while the process gets ready.
const gcPercentDelay = 3 * time.Second

func main() {
	time.AfterFunc(gcPercentDelay, func() { debug.SetGCPercent(gcPercent) })
	relaydaemon.Program(relaydaemon.Dependencies{
		Codec:    platform.PacketCodec{},
		NewStore: platform.NewStore,
	}).Main()
}
