// This file connects the membership of balancers to the directory.

package relaydaemon

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// handle takes an event of the membership.
func (p *peers) handle(event membership.Effect) {
	switch event.Kind {
	case membership.EffectAttachment:
		var digest directory.Digest
		if _, err := digest.UnmarshalMsg(event.Attachment); err == nil {
			p.role.executor.do(func(now time.Duration) []relay.Effect {
				p.exchange.ReceiveDigest(now, event.Member.Address, digest)
				return nil
			})
		}
	case membership.EffectFailed, membership.EffectLeft:
		p.joined.Store(true)
		p.role.executor.do(func(time.Duration) []relay.Effect {
			p.exchange.PeerLost(event.Member.Address)
			p.role.spread.PeerLost(directory.Peer(event.Member.Address))
			return nil
		})
	case membership.EffectJoined, membership.EffectZoneReachable, membership.EffectZoneUnreachable:
		p.joined.Store(true)
	}
}

// announce attaches the digest to all further messages of the membership.
func (p *peers) announce(digest directory.Digest) {
	encoded, err := digest.MarshalMsg(nil)
	if err != nil {
		panic("relaydaemon: cannot encode a digest: " + err.Error())
	}
	p.membership.SetAttachment(encoded)
}

// refreshMembers gives the spread the members, if they have changed.
func (p *peers) refreshMembers() {
	if !p.joined.Swap(false) {
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
	p.role.executor.do(func(time.Duration) []relay.Effect {
		p.role.spread.SetMembers(members)
		return nil
	})
	p.role.wakeFollow()
}
