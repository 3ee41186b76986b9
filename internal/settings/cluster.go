// This file checks the settings of the cluster table, which configures the
// messages between balancers.

package settings

import (
	"net/netip"
	"slices"
)

// MaxZones is the maximum number of zones. Messages between balancers cannot
// distinguish more.
const MaxZones = 32

func (c *checker) cluster(raw *clusterDocument, zone string) *Cluster {
	checked := &Cluster{
		// Other processes send to this address, so it must not be 0.0.0.0.
		Listen: c.address("cluster.listen", raw.Listen, remoteAddress),
		Seeds:  c.addresses("cluster.seeds", raw.Seeds, remoteAddress),
		Zones:  c.names("cluster.zones", raw.Zones, MaxZones),
	}
	c.checkSeedPorts(checked.Listen, checked.Seeds)
	if zone != "" && len(checked.Zones) > 0 && !slices.Contains(checked.Zones, zone) {
		c.addError("cluster.zones", "must contain the zone of this process, %s", zone)
	}
	return checked
}

// checkSeedPorts rejects seeds whose port differs from that of cluster.listen.
// All balancers of a fleet use the same port: a balancer recognizes messages of
// other balancers by it, and contacts the machines of the platform's list on it,
// because that list contains no ports.
func (c *checker) checkSeedPorts(listen netip.AddrPort, seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if listen.IsValid() && seed.IsValid() && seed.Port() != listen.Port() {
			c.addError("cluster.seeds", "must have the same port as cluster.listen, %d; %s has another", listen.Port(), seed)
			return
		}
	}
}
