// Command vanetiller-relay runs one process of a fleet that carries the packets
// of flows whole, on the users' platform: a balancer, or the agent beside an
// endpoint.
package main

import (
	"github.com/vanetiller/vanetiller/internal/relaydaemon"
	"github.com/vanetiller/vanetiller/platform"
)

func main() {
	relaydaemon.Program(relaydaemon.Surroundings{
		Codec:    platform.PacketCodec{},
		NewStore: platform.NewStore,
	}).Main()
}
