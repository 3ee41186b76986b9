// Command vanetiller-relay runs one process of a fleet that carries the packets
// of flows whole, on the users' platform: a balancer, or the agent beside an
// endpoint.
package main

import (
	"runtime/debug"
	"time"

	"github.com/vanetiller/vanetiller/internal/relaydaemon"
	"github.com/vanetiller/vanetiller/platform"
)

// collectorPercent makes the garbage collector run when the heap has grown by a
// quarter: memory is dear on the platform's machines, and the live heap small.
const collectorPercent = 25

// collectorDelay is how long the collector has its usual setting after the start, in
// which no collection is due while the process gets ready.
const collectorDelay = 3 * time.Second

func main() {
	time.AfterFunc(collectorDelay, func() { debug.SetGCPercent(collectorPercent) })
	relaydaemon.Program(relaydaemon.Dependencies{
		Codec:    platform.PacketCodec{},
		NewStore: platform.NewStore,
	}).Main()
}
