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
	// fetchCheckInterval is the time between checks whether to fetch from another balancer.
	// startupCheckInterval replaces it while there is no directory and during
	// seedQueryPeriod.
	fetchCheckInterval   = 100 * time.Millisecond
	startupCheckInterval = 50 * time.Millisecond
	// seedQueryPeriod is how long after its start a balancer asks seeds which balancer has a
	// directory to fetch.
	seedQueryPeriod = 3 * time.Second
	// fetchTimeout bounds a fetch from another balancer, and connectTimeout the
	// establishment of its connection. A machine without power does not refuse connections,
	// so only a timeout detects it.
	fetchTimeout   = 800 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
)

// fetchMissing makes runFetcher fetch the changes that an update announced but did not
// contain. The caller holds the lock of the executor.
func (p *peerExchange) fetchMissing(now time.Duration, from membership.Address) {
	p.fetcher.UpdateIncomplete(now, from)
	select {
	case p.fetcherSignal <- struct{}{}:
	default:
	}
}

// runFetcher fetches the directory from other balancers when the fetcher asks for it, and
// passes changes of the membership to the disseminator, until ctx ends.
func (p *peerExchange) runFetcher(ctx context.Context) error {
	for ctx.Err() == nil {
		p.updateMembers()
		from, request, wanted := p.nextFetch()
		if wanted {
			state, startedAt, err := p.fetch(ctx, from.AddrPort(), request)
			p.finishFetch(from, state, startedAt, err)
		}
		timer := time.NewTimer(p.checkInterval())
		select {
		case <-timer.C:
		case <-p.fetcherSignal:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// checkInterval returns the time until runFetcher checks again if it gets no signal.
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

// nextFetch returns the fetch to make now, if any. It also updates the limits on store calls
// and sends the updates that are due: repeats, renewals and, during seedQueryPeriod and
// unless there is a fetch to make, a request that asks a seed which balancer has a directory.
// That request is repeated until this balancer and a seed have one.
func (p *peerExchange) nextFetch() (from membership.Address, request directoryRequest, wanted bool) {
	balancers := p.membership.LiveCount()
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		from, wanted = p.fetcher.Next(now)
		request.known = p.role.replica.Digest()
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
	return from, request, wanted
}

// confirmByPeer asks another balancer to confirm its directory and applies the state that
// it returns.
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
	state, startedAt, err := p.fetch(ctx, from.AddrPort(), directoryRequest{known: known, confirm: true})
	if err != nil {
		return err
	}
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		state = state.Delayed(now - startedAt)
		changed := p.role.replica.ApplyState(now, state)
		// ConfirmedBy is false for a known revision of 0, that of a balancer without a
		// directory. With 1, any state that has a revision can confirm the directory.
		if !p.role.replica.ConfirmedBy(state.Through, max(known.Revision, 1)) {
			err = errUnconfirmed
		}
		p.role.updates.send(p.role.disseminator.StateFetched(now, directory.Peer(from), state))
		return p.role.installIfChanged(changed, now)
	})
	return err
}

func (p *peerExchange) finishFetch(from membership.Address, state directory.State, startedAt time.Duration, err error) {
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		if err != nil {
			p.fetcher.FetchFailed()
			return nil
		}
		state = state.Delayed(now - startedAt)
		changed := p.fetcher.Fetched(now, state)
		p.role.updates.send(p.role.disseminator.StateFetched(now, directory.Peer(from), state))
		p.role.balancer.MarkConfirmed(p.role.disseminator.ConfirmedAt())
		p.role.executor.recorder.logger.Info("directory fetched", "peer", from.String(), "changed", changed,
			"took_ms", (now - startedAt).Milliseconds(),
			"endpoints", len(state.Endpoints), "revision", uint64(state.Through))
		return p.role.installIfChanged(changed, now)
	})
}

// fetch gets the state of the directory from another balancer. It also returns the time at
// which the request began.
func (p *peerExchange) fetch(ctx context.Context, from netip.AddrPort, request directoryRequest) (state directory.State, startedAt time.Duration, err error) {
	startedAt = time.Since(p.role.executor.startedAt)
	query := url.Values{
		versionParam:  {strconv.FormatUint(request.known.ConfigurationVersion, 10)},
		revisionParam: {strconv.FormatUint(uint64(request.known.Revision), 10)},
	}
	if request.confirm {
		query.Set(confirmParam, "")
	}
	target := url.URL{Scheme: "http", Host: from.String(), Path: directoryPath, RawQuery: query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return state, startedAt, errors.Wrap(err, "create directory request to peer")
	}
	response, err := p.client.Do(httpRequest)
	if err != nil {
		return state, startedAt, errors.Wrap(err, "request directory of peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, startedAt, errors.Errorf("request directory of peer: HTTP status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateSize))
	if err != nil {
		return state, startedAt, errors.Wrap(err, "read directory of peer")
	}
	state, err = decodeState(body)
	return state, startedAt, err
}
