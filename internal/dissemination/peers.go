// This file implements the list of peers, by zone and region.

package dissemination

import (
	"math/rand/v2"
	"slices"

	"github.com/vanetiller/vanetiller/internal/membership"
)

// Peer is another live member, as package membership knows it.
type Peer struct {
	Identity membership.Identity
	// Reachable is false while its zone cannot be reached.
	Reachable bool
}

// peerList holds the peers and the last status heard of each.
type peerList struct {
	zones    [membership.MaximumZones][]Peer
	identity map[membership.Address]Peer
	status   map[membership.Address]Status
}

func newPeerList() *peerList {
	return &peerList{
		identity: make(map[membership.Address]Peer),
		status:   make(map[membership.Address]Status),
	}
}

// set replaces the peers. The status of a process that was replaced is
// forgotten.
func (p *peerList) set(peers []Peer, self membership.Address) {
	before := p.identity
	p.identity = make(map[membership.Address]Peer, len(peers))
	p.zones = [membership.MaximumZones][]Peer{}
	for _, peer := range peers {
		address := peer.Identity.Address
		if address == self || peer.Identity.Zone >= membership.MaximumZones {
			continue
		}
		p.zones[peer.Identity.Zone] = append(p.zones[peer.Identity.Zone], peer)
		p.identity[address] = peer
	}
	for address, known := range before {
		if p.identity[address].Identity != known.Identity {
			delete(p.status, address)
		}
	}
}

// hear records a status. An older one that was delayed does not replace it.
func (p *peerList) hear(from membership.Address, status Status) {
	if _, exists := p.identity[from]; !exists {
		return
	}
	known := p.status[from]
	p.status[from] = Status{
		Held:    max(known.Held, status.Held),
		Applied: max(known.Applied, status.Applied),
	}
}

// choose returns up to count different reachable peers that suit.
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

// regions returns the regions with a peer, in order.
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
