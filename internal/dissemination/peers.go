// This file implements the list of peers by zone and region.

package dissemination

import (
	"math/rand/v2"
	"slices"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// Peer is another live member of the fleet, as reported by package membership.
type Peer struct {
	Identity membership.Identity
	// Reachable is false while the zone of the peer is unreachable.
	Reachable bool
}

// peerList holds the peers and the last status received from each.
type peerList struct {
	zones     [membership.MaxZones][]Peer
	byAddress map[membership.Address]Peer
	status    map[membership.Address]Status
}

func newPeerList() *peerList {
	return &peerList{
		byAddress: make(map[membership.Address]Peer),
		status:    make(map[membership.Address]Status),
	}
}

// set replaces the peers. It discards the status of peers that have gone or were replaced
// by another process.
func (p *peerList) set(peers []Peer, self membership.Address) {
	before := p.byAddress
	p.byAddress = make(map[membership.Address]Peer, len(peers))
	p.zones = [membership.MaxZones][]Peer{}
	for _, peer := range peers {
		address := peer.Identity.Address
		if address == self || peer.Identity.Zone >= membership.MaxZones {
			continue
		}
		p.zones[peer.Identity.Zone] = append(p.zones[peer.Identity.Zone], peer)
		p.byAddress[address] = peer
	}
	for address, known := range before {
		if p.byAddress[address].Identity != known.Identity {
			delete(p.status, address)
		}
	}
}

// recordStatus records a status. An older one that arrives late does not lower the
// versions.
func (p *peerList) recordStatus(from membership.Address, status Status) {
	if _, exists := p.byAddress[from]; !exists {
		return
	}
	known := p.status[from]
	p.status[from] = Status{
		Held:    max(known.Held, status.Held),
		Applied: max(known.Applied, status.Applied),
	}
}

// choose returns up to count different reachable peers that match, at random.
func (p *peerList) choose(random *rand.Rand, count int, matches func(Peer) bool) []membership.Address {
	var candidates []membership.Address
	for zone := range p.zones {
		for _, peer := range p.zones[zone] {
			if peer.Reachable && matches(peer) {
				candidates = append(candidates, peer.Identity.Address)
			}
		}
	}
	count = min(count, len(candidates))
	for index := range count {
		other := index + random.IntN(len(candidates)-index)
		candidates[index], candidates[other] = candidates[other], candidates[index]
	}
	return candidates[:count]
}

// regions returns the regions that have a peer, in the order of their zones.
func (p *peerList) regions() []membership.Region {
	var regions []membership.Region
	for zone := range p.zones {
		if len(p.zones[zone]) == 0 {
			continue
		}
		region := p.zones[zone][0].Identity.Region
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions
}
