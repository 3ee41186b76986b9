// This file sets up the exchange between balancers.

package relaydaemon

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/transport"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// peers is what balancers exchange: the membership, the digests of their directories, and
// snapshots of the directory.
type peers struct {
	role       *balancerRole
	membership *transport.Endpoint
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	exchange   *directory.PeerFetcher[membership.Address]
	storeRate  float64
	// confirms bounds the confirmations for others.
	confirms *rate.Limiter
	// wake wakes follow, and joined is set once the members have changed.
	wake   chan struct{}
	joined atomic.Bool
	cache  stateCache
}

func newPeers(checked *settings.Settings, role *balancerRole) (*peers, error) {
	given := checked.Relay.Balancer
	created := &peers{
		role:      role,
		storeRate: float64(given.StoreRate),
		wake:      make(chan struct{}, 1),
		confirms:  rate.NewLimiter(confirmRate, confirmBurst),
		client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
		}},
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seeds := seedsOf(given)
	created.exchange = directory.NewPeerFetcher(role.directory, timingOf(given), seeds, random)
	var err error
	created.membership, err = transport.New(transport.Config{
		Listen:     given.Exchange,
		Membership: membership.DefaultConfig(identityOf(checked), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		OnEvent:    created.handle,
		Logger:     role.executor.journal.logger,
	})
	if err != nil {
		return nil, err
	}
	created.membership.SetSeeds(seeds)
	created.listener, err = net.Listen("tcp4", given.Exchange.String())
	if err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	created.server = &http.Server{Handler: created.handler(), ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout}
	return created, nil
}

func identityOf(checked *settings.Settings) membership.Identity {
	zones := slices.Sorted(slices.Values(checked.Relay.Balancer.Zones))
	return membership.Identity{
		Zone:        membership.Zone(max(slices.Index(zones, checked.Zone), 0)),
		Incarnation: membership.Incarnation(time.Now().UnixMilli()),
	}
}

// seedsOf returns the seeds without this process.
func seedsOf(given *settings.RelayBalancer) []membership.Address {
	var seeds []membership.Address
	for _, seed := range given.Seeds {
		if address, usable := membership.AddressOf(seed); usable && seed != given.Exchange {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// setSeeds replaces the balancers to ask where the membership has none.
func (p *peers) setSeeds(given *settings.RelayBalancer) {
	seeds := seedsOf(given)
	p.membership.SetSeeds(seeds)
	p.role.executor.do(func(time.Duration) []relay.Effect {
		p.exchange.SetSeeds(seeds)
		p.role.spread.SetSeeds(peersOf(seeds))
		return nil
	})
}

func (p *peers) add(group *run.Group) {
	addActor(group, p.membership.Run)
	addActor(group, p.serve)
	addActor(group, p.follow)
}
