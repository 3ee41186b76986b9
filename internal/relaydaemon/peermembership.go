// This file connects the membership of balancers to the dissemination of the directory.

package relaydaemon

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
)

// handleMembershipEvent passes the digests and losses of other balancers to the fetcher and
// the disseminator, and notes that the members have changed for updateMembers.
func (p *peerExchange) handleMembershipEvent(event membership.Effect) {
	switch event.Kind {
	case membership.EffectAttachment:
		var digest directory.Digest
		if _, err := digest.UnmarshalMsg(event.Attachment); err == nil {
			p.role.executor.do(func(now time.Duration) []relay.Effect {
				p.fetcher.ReceiveDigest(now, event.Member.Address, digest)
				return nil
			})
		}
	case membership.EffectFailed, membership.EffectLeft:
		p.membersChanged.Store(true)
		p.role.executor.do(func(time.Duration) []relay.Effect {
			p.fetcher.PeerLost(event.Member.Address)
			p.role.disseminator.PeerLost(directory.Peer(event.Member.Address))
			return nil
		})
	case membership.EffectJoined, membership.EffectZoneReachable, membership.EffectZoneUnreachable:
		p.membersChanged.Store(true)
	}
}

// announceDigest attaches digest to all further membership messages.
func (p *peerExchange) announceDigest(digest directory.Digest) {
	encoded, err := digest.MarshalMsg(nil)
	if err != nil {
		panic("relaydaemon: cannot encode digest: " + err.Error())
	}
	p.membership.SetAttachment(encoded)
}

// updateMembers passes the reachable members to the disseminator and the balancer if the membership
// has changed, and signals the follower, whose next store call depends on them.
func (p *peerExchange) updateMembers() {
	if !p.membersChanged.Swap(false) {
		return
	}
	var members []directory.Member
	for _, member := range p.membership.Members() {
		if member.Reachable {
			members = append(members, directory.Member{
				Peer: directory.Peer(member.Identity.Address), Zone: int(member.Identity.Zone),
			})
		}
	}
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		p.role.disseminator.SetMembers(members)
		return p.role.balancer.SetPeers(now, p.role.peerAddresses(members))
	})
	p.role.signalFollower()
}

// peerAddresses returns the addresses at which the other members receive messages of the relay.
func (r *balancerRole) peerAddresses(members []directory.Member) []segment.Address {
	var addresses []segment.Address
	for _, member := range members {
		address := segment.AddressOf(membership.Address(member.Peer).AddrPort())
		if member.Peer != r.self {
			addresses = append(addresses, address.WithPort(r.settings.Peers.Port()))
		}
	}
	return addresses
}
