package relaydaemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/membership/transport"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/settings"
)

const (
	// directoryPath is where a balancer gives its directory to others.
	directoryPath = "/v1/directory"
	// parameterVersion and parameterComplete are the digest of who asks.
	parameterVersion  = "version"
	parameterComplete = "complete"
	// parameterConfirm asks for a directory that the store has confirmed since.
	parameterConfirm = "confirm"
	// exchangeTick is how often a balancer considers a fetch from a peer, and startTick
	// how often while it knows nothing.
	exchangeTick = 100 * time.Millisecond
	startTick    = 50 * time.Millisecond
	// introductionTime bounds how long after its start a balancer asks seeds.
	introductionTime = 3 * time.Second
	// fetchTimeout bounds a fetch from a peer, and connectTimeout the connection to it:
	// a machine without power says nothing.
	fetchTimeout   = 800 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
	// confirmRate bounds the confirmations a second that a balancer makes for others,
	// each of which costs calls of the store, and confirmBurst those at once.
	confirmRate  = 50
	confirmBurst = 20
)

// peers is what balancers tell each other: who there is, how much each knows of
// the directory, and the directory itself.
type peers struct {
	role       *balancerRole
	membership *transport.Endpoint
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	exchange   *directory.Exchange[membership.Address]
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
	created.exchange = directory.NewExchange(role.directory, timingOf(given), seeds, random)
	var err error
	created.membership, err = transport.New(transport.Config{
		Listen:     given.Exchange,
		Membership: membership.DefaultConfig(identityOf(checked), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Events:     created.handle,
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

// setSeeds replaces the balancers to ask where none is known.
func (p *peers) setSeeds(given *settings.RelayBalancer) {
	seeds := seedsOf(given)
	p.membership.SetSeeds(seeds)
	p.role.executor.do(func(time.Duration) []relay.Effect {
		p.exchange.SetSeeds(seeds)
		p.role.spread.SetSeeds(peersOf(seeds))
		return nil
	})
}

// lacks makes follow fetch what an update did not hold. The executor holds its lock.
func (p *peers) lacks(now time.Duration, from membership.Address) {
	p.exchange.Lacks(now, from)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// handle takes what the membership tells.
func (p *peers) handle(event membership.Effect) {
	switch event.Kind {
	case membership.EffectAttachment:
		var digest directory.Digest
		if _, err := digest.UnmarshalMsg(event.Attachment); err == nil {
			p.role.executor.do(func(now time.Duration) []relay.Effect {
				p.exchange.Heard(now, event.Member.Address, digest)
				return nil
			})
		}
	case membership.EffectFailed, membership.EffectLeft:
		p.joined.Store(true)
		p.role.executor.do(func(time.Duration) []relay.Effect {
			p.exchange.Lost(event.Member.Address)
			p.role.spread.Lost(directory.Peer(event.Member.Address))
			return nil
		})
	case membership.EffectJoined, membership.EffectZoneReachable, membership.EffectZoneUnreachable:
		p.joined.Store(true)
	}
}

// announce makes all further messages to peers carry the digest.
func (p *peers) announce(digest directory.Digest) {
	encoded, err := digest.MarshalMsg(nil)
	if err != nil {
		panic("relaydaemon: cannot encode a digest: " + err.Error())
	}
	p.membership.SetAttachment(encoded)
}

// handler gives the directory to other balancers.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+directoryPath, kithttp.NewServer(
		func(ctx context.Context, asked any) (any, error) { return p.answer(ctx, asked.(directoryRequest)) },
		p.decodeRequest, encodeState))
	return mux
}

// directoryRequest is what another balancer asks.
type directoryRequest struct {
	known   directory.Digest
	confirm bool
	// by is who asks.
	by directory.Peer
}

// decodeRequest reads what the asking balancer knows; what is missing is zero.
func (p *peers) decodeRequest(_ context.Context, request *http.Request) (any, error) {
	query := request.URL.Query()
	version, _ := strconv.ParseUint(query.Get(parameterVersion), 10, 64)
	complete, _ := strconv.ParseUint(query.Get(parameterComplete), 10, 64)
	asked := directoryRequest{
		known:   directory.Digest{Version: version, Complete: directory.Revision(complete)},
		confirm: query.Has(parameterConfirm),
	}
	if from, err := netip.ParseAddrPort(request.RemoteAddr); err == nil {
		asked.by, _ = p.role.updates.peerAt(from.Addr())
	}
	return asked, nil
}

// answer returns the encoded state that a balancer has asked for.
func (p *peers) answer(ctx context.Context, asked directoryRequest) ([]byte, error) {
	if asked.confirm && !p.confirms.Allow() {
		return nil, errUnconfirmed
	}
	if asked.confirm {
		if err := p.role.confirmForPeer(ctx); err != nil {
			return nil, err
		}
	}
	var encoded []byte
	var err error
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		p.role.spread.Fetched(now, asked.by)
		encoded, err = p.cache.encode(now, asked.known, p.role.directory.Digest(), func() directory.State {
			return p.role.spread.State(now, asked.known)
		})
		return nil
	})
	return encoded, err
}

func encodeState(_ context.Context, w http.ResponseWriter, response any) error {
	_, err := w.Write(response.([]byte))
	return err
}

func (p *peers) add(group *run.Group) {
	addActor(group, p.membership.Run)
	addActor(group, p.serve)
	addActor(group, p.follow)
}

func (p *peers) serve(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, func() { p.server.Close() })
	defer stopped()
	if err := p.server.Serve(p.listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "exchange")
	}
	return nil
}

// follow fetches from peers whenever the exchange wants to, and tells the spread who
// there is.
func (p *peers) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		p.refreshMembers()
		from, asked, wanted := p.nextFetch()
		if wanted {
			state, at, err := p.fetch(ctx, from.AddrPort(), asked)
			p.conclude(from, state, at, err)
		}
		timer := time.NewTimer(p.tick())
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// tick returns how long follow waits if nothing happens.
func (p *peers) tick() time.Duration {
	known, asking := false, false
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		known = p.role.directory.Known()
		asking = now <= introductionTime
		p.role.metrics.observeAge(now, p.role.spread.Confirmed())
		return nil
	})
	if known && !asking {
		return exchangeTick
	}
	return startTick
}

// nextFetch returns the fetch to make now. A balancer that knows nothing asks a seed who
// does.
func (p *peers) nextFetch() (from membership.Address, asked directoryRequest, wanted bool) {
	balancers := p.membership.Live()
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		from, wanted = p.exchange.Next(now)
		asked.known = p.role.directory.Digest()
		p.role.follower.Share(balancers, p.storeRate)
		p.role.confirmer.Share(balancers, p.storeRate)
		p.role.updates.send(p.role.spread.Repeat(now))
		p.role.updates.send(p.role.spread.Renewal(now))
		if wanted || now > introductionTime {
			return nil
		}
		if question, exists := p.role.spread.Question(now); exists {
			p.role.updates.send([]directory.Outgoing{question})
		}
		return nil
	})
	return from, asked, wanted
}

// refreshMembers tells the spread who there is, if that has changed.
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

// confirmByPeer lets another balancer confirm the directory, and takes what it knows.
func (p *peers) confirmByPeer(ctx context.Context) error {
	var from membership.Address
	var known directory.Digest
	exists := false
	p.role.executor.do(func(time.Duration) []relay.Effect {
		from, exists = p.exchange.Any()
		known = p.role.directory.Digest()
		return nil
	})
	if !exists {
		return errUnconfirmed
	}
	state, at, err := p.fetch(ctx, from.AddrPort(), directoryRequest{known: known, confirm: true})
	if err != nil {
		return err
	}
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		changed := p.role.directory.Adopt(now, state)
		p.role.updates.send(p.role.spread.Took(now, at, directory.Peer(from), state))
		return p.role.installIf(changed, now)
	})
	return nil
}

func (p *peers) conclude(from membership.Address, state directory.State, at time.Duration, err error) {
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		if err != nil {
			p.exchange.FetchFailed()
			return nil
		}
		changed := p.exchange.Fetched(now, state)
		p.role.updates.send(p.role.spread.Took(now, at, directory.Peer(from), state))
		p.role.balancer.Confirm(p.role.spread.Confirmed())
		p.role.executor.journal.logger.Info("directory fetched", "peer", from.String(), "changed", changed,
			"took_ms", (now - at).Milliseconds(),
			"endpoints", len(state.Endpoints), "revision", uint64(state.Complete))
		return p.role.installIf(changed, now)
	})
}

// fetch asks another balancer for its directory. It returns when that was.
func (p *peers) fetch(ctx context.Context, from netip.AddrPort, asked directoryRequest) (state directory.State, at time.Duration, err error) {
	at = time.Since(p.role.executor.started)
	query := url.Values{
		parameterVersion:  {strconv.FormatUint(asked.known.Version, 10)},
		parameterComplete: {strconv.FormatUint(uint64(asked.known.Complete), 10)},
	}
	if asked.confirm {
		query.Set(parameterConfirm, "")
	}
	target := url.URL{Scheme: "http", Host: from.String(), Path: directoryPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return state, at, errors.Wrap(err, "directory of a peer")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return state, at, errors.Wrap(err, "directory of a peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, at, errors.Errorf("directory of a peer: %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumState))
	if err != nil {
		return state, at, errors.Wrap(err, "directory of a peer")
	}
	state, err = decodeState(body)
	return state, at, err
}
