// This file fetches the directory from other balancers.

package relaydaemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/relay"
)

const (
	// fetchCheckInterval is how often a balancer considers a fetch from a peer, and startTick
	// how often while it has no directory.
	fetchCheckInterval   = 100 * time.Millisecond
	startupCheckInterval = 50 * time.Millisecond
	// seedQueryPeriod bounds how long after its start a balancer asks seeds.
	seedQueryPeriod = 3 * time.Second
	// fetchTimeout bounds a fetch from a peer, and connectTimeout the connection to it:
	// a machine without power refuses nothing.
	fetchTimeout   = 800 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
)

// fetchMissing makes follow fetch what an update did not hold. The executor holds its lock.
func (p *peerExchange) fetchMissing(now time.Duration, from membership.Address) {
	p.fetcher.UpdateIncomplete(now, from)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runFetcher fetches from peers whenever the exchange wants to, and keeps the spread's members
// current.
func (p *peerExchange) runFetcher(ctx context.Context) error {
	for ctx.Err() == nil {
		p.updateMembers()
		from, asked, wanted := p.nextFetch()
		if wanted {
			state, at, err := p.fetch(ctx, from.AddrPort(), asked)
			p.finishFetch(from, state, at, err)
		}
		timer := time.NewTimer(p.checkInterval())
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// checkInterval returns how long follow waits if nothing happens.
func (p *peerExchange) checkInterval() time.Duration {
	hasDirectory, queryingSeeds := false, false
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		hasDirectory = p.role.replica.Loaded()
		queryingSeeds = now <= seedQueryPeriod
		p.role.directoryMetrics.observeAge(now, p.role.disseminator.ConfirmedAt())
		return nil
	})
	if hasDirectory && !queryingSeeds {
		return fetchCheckInterval
	}
	return startupCheckInterval
}

// nextFetch returns the fetch to make now. A balancer without a directory asks a seed for a
// source.
func (p *peerExchange) nextFetch() (from membership.Address, asked directoryRequest, wanted bool) {
	balancers := p.membership.LiveCount()
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		from, wanted = p.fetcher.Next(now)
		asked.known = p.role.replica.Digest()
		p.role.follower.SetStoreRate(balancers, p.storeRate)
		p.role.confirmer.SetStoreRate(balancers, p.storeRate)
		p.role.updates.send(p.role.disseminator.Repeat(now))
		p.role.updates.send(p.role.disseminator.RenewalRequest(now))
		if wanted || now > seedQueryPeriod {
			return nil
		}
		if startupRequest, exists := p.role.disseminator.StartupRequest(now); exists {
			p.role.updates.send([]directory.Outgoing{startupRequest})
		}
		return nil
	})
	return from, asked, wanted
}

// confirmByPeer lets another balancer confirm the directory, and adopts the answer.
func (p *peerExchange) confirmByPeer(ctx context.Context) error {
	var from membership.Address
	var known directory.Digest
	exists := false
	p.role.executor.do(func(time.Duration) []relay.Effect {
		from, exists = p.fetcher.RandomPeer()
		known = p.role.replica.Digest()
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
		changed := p.role.replica.ApplyState(now, state)
		// Whoever knows nothing yet is behind any state that has something.
		if !p.role.replica.ConfirmedBy(state.Through, max(known.Revision, 1)) {
			err = errUnconfirmed
		}
		p.role.updates.send(p.role.disseminator.StateFetched(now, at, directory.Peer(from), state))
		return p.role.installIfChanged(changed, now)
	})
	return err
}

func (p *peerExchange) finishFetch(from membership.Address, state directory.State, at time.Duration, err error) {
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		if err != nil {
			p.fetcher.FetchFailed()
			return nil
		}
		changed := p.fetcher.Fetched(now, state)
		p.role.updates.send(p.role.disseminator.StateFetched(now, at, directory.Peer(from), state))
		p.role.balancer.MarkConfirmed(p.role.disseminator.ConfirmedAt())
		p.role.executor.recorder.logger.Info("directory fetched", "peer", from.String(), "changed", changed,
			"took_ms", (now - at).Milliseconds(),
			"endpoints", len(state.Endpoints), "revision", uint64(state.Through))
		return p.role.installIfChanged(changed, now)
	})
}

// fetch asks another balancer for its directory. It returns when that was.
func (p *peerExchange) fetch(ctx context.Context, from netip.AddrPort, asked directoryRequest) (state directory.State, at time.Duration, err error) {
	at = time.Since(p.role.executor.startedAt)
	query := url.Values{
		versionParam:  {strconv.FormatUint(asked.known.ConfigurationVersion, 10)},
		revisionParam: {strconv.FormatUint(uint64(asked.known.Revision), 10)},
	}
	if asked.confirm {
		query.Set(confirmParam, "")
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateSize))
	if err != nil {
		return state, at, errors.Wrap(err, "directory of a peer")
	}
	state, err = decodeState(body)
	return state, at, err
}
