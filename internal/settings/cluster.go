// This file checks the settings of what balancers tell each other.

package settings

import (
	"net/netip"
	"slices"
)

// DefaultVoters is the number of voters if the file gives none: enough for a
// log to outlive the loss of any zone of a large fleet. In a smaller fleet
// every balancer votes.
const DefaultVoters = 33

// The bounds of the numbers of a cluster.
const (
	MinVoters = 3
	MaxVoters = 63
	// MaxZones is the number of zones that messages between balancers can
	// tell apart.
	MaxZones = 32
)

func (c *checker) cluster(raw *clusterDocument, zone string) *Cluster {
	checked := &Cluster{
		// Other processes send to this address, so it must name the machine.
		Listen: c.address("cluster.listen", raw.Listen, remoteAddress),
		Seeds:  c.addresses("cluster.seeds", raw.Seeds, remoteAddress),
		Zones:  c.names("cluster.zones", raw.Zones, MaxZones),
		Voters: c.integer("cluster.voters", withDefault(raw.Voters, int64(DefaultVoters)), MinVoters, MaxVoters),
	}
	c.checkSeedPorts(checked.Listen, checked.Seeds)
	if zone != "" && len(checked.Zones) > 0 && !slices.Contains(checked.Zones, zone) {
		c.broken("cluster.zones", "must name the zone of this process, %s", zone)
	}
	return checked
}

// checkSeedPorts refuses seeds with another port. Balancers know each other in
// the log by their IPv4 addresses alone, which must therefore be enough to
// reach them.
func (c *checker) checkSeedPorts(listen netip.AddrPort, seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if listen.IsValid() && seed.IsValid() && seed.Port() != listen.Port() {
			c.broken("cluster.seeds", "must have the port of cluster.listen, %d; %s has not", listen.Port(), seed)
			return
		}
	}
}
