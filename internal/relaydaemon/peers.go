// This file sets up the exchange of membership and directories between balancers.

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

// peerExchange runs the exchange between balancers: the membership with the digests of
// their directories, and the fetching and serving of directory states.
type peerExchange struct {
	role       *balancerRole
	membership *transport.Endpoint
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	fetcher    *directory.PeerFetcher[membership.Address]
	// storeRate is the number of calls per second that the store accepts from all balancers
	// together.
	storeRate float64
	// confirmLimiter limits how often the store is asked to confirm the directory on behalf of
	// other balancers.
	confirmLimiter *rate.Limiter
	// fetcherSignal makes runFetcher check for due fetches. membersChanged is set when the
	// membership has changed since the last call of updateMembers.
	fetcherSignal  chan struct{}
	membersChanged atomic.Bool
	stateCache     stateCache
}

func newPeerExchange(config *settings.Settings, role *balancerRole) (*peerExchange, error) {
	balancerConfig := config.Relay.Balancer
	exchange := &peerExchange{
		role:           role,
		storeRate:      float64(balancerConfig.StoreRate),
		fetcherSignal:  make(chan struct{}, 1),
		confirmLimiter: rate.NewLimiter(peerConfirmRate, peerConfirmBurst),
		client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
		}},
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	seeds := otherSeeds(balancerConfig)
	exchange.fetcher = directory.NewPeerFetcher(role.replica, timingOf(balancerConfig), seeds, random)
	var err error
	exchange.membership, err = transport.New(transport.Config{
		Listen:     balancerConfig.Exchange,
		Membership: membership.DefaultConfig(selfIdentity(config), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		OnEvent:    exchange.handleMembershipEvent,
		Logger:     role.executor.recorder.logger,
	})
	if err != nil {
		return nil, err
	}
	exchange.membership.SetSeeds(seeds)
	exchange.listener, err = net.Listen("tcp4", balancerConfig.Exchange.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen on exchange address")
	}
	exchange.server = &http.Server{Handler: exchange.handler(), ReadTimeout: fetchTimeout, WriteTimeout: fetchTimeout}
	return exchange, nil
}

// selfIdentity returns the identity of this process in the membership. The zone is the index of
// its name among the sorted names of all configured zones, or 0 if it is not
// configured. The incarnation is the start time in milliseconds.
func selfIdentity(config *settings.Settings) membership.Identity {
	zones := slices.Sorted(slices.Values(config.Relay.Balancer.Zones))
	return membership.Identity{
		Zone:        membership.Zone(max(slices.Index(zones, config.Zone), 0)),
		Incarnation: membership.Incarnation(time.Now().UnixMilli()),
	}
}

// otherSeeds returns the seeds other than this process.
func otherSeeds(config *settings.RelayBalancer) []membership.Address {
	var seeds []membership.Address
	for _, seed := range config.Seeds {
		if address, usable := membership.AddressOf(seed); usable && seed != config.Exchange {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// setSeeds replaces the seeds, which are the balancers to contact while no member is known.
func (p *peerExchange) setSeeds(config *settings.RelayBalancer) {
	seeds := otherSeeds(config)
	p.membership.SetSeeds(seeds)
	p.role.executor.do(func(time.Duration) []relay.Effect {
		p.fetcher.SetSeeds(seeds)
		p.role.disseminator.SetSeeds(toPeers(seeds))
		return nil
	})
}

func (p *peerExchange) addActors(group *run.Group) {
	addActor(group, p.membership.Run)
	addActor(group, p.serve)
	addActor(group, p.runFetcher)
}
