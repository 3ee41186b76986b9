// This file checks the settings of what balancers tell each other.

package settings

import (
	"net/netip"
	"slices"
)

// MaxZones is the number of zones that messages between balancers can tell apart.
const MaxZones = 32

func (c *checker) cluster(raw *clusterDocument, zone string) *Cluster {
	checked := &Cluster{
		// Other processes send to this address, so it must name the machine.
		Listen: c.address("cluster.listen", raw.Listen, remoteAddress),
		Seeds:  c.addresses("cluster.seeds", raw.Seeds, remoteAddress),
		Zones:  c.names("cluster.zones", raw.Zones, MaxZones),
	}
	c.checkSeedPorts(checked.Listen, checked.Seeds)
	if zone != "" && len(checked.Zones) > 0 && !slices.Contains(checked.Zones, zone) {
		c.broken("cluster.zones", "must name the zone of this process, %s", zone)
	}
	return checked
}

// checkSeedPorts refuses seeds with another port. All balancers of a fleet use the
// same port: it tells their messages from others', and machines of the platform's
// list, which have none, are asked at it.
func (c *checker) checkSeedPorts(listen netip.AddrPort, seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if listen.IsValid() && seed.IsValid() && seed.Port() != listen.Port() {
			c.broken("cluster.seeds", "must have the port of cluster.listen, %d; %s has not", listen.Port(), seed)
			return
		}
	}
}
