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
	// exchangeTick is how often a balancer considers a fetch from a peer, and startTick
	// how often while it has no directory.
	exchangeTick = 100 * time.Millisecond
	startTick    = 50 * time.Millisecond
	// introductionTime bounds how long after its start a balancer asks seeds.
	introductionTime = 3 * time.Second
	// fetchTimeout bounds a fetch from a peer, and connectTimeout the connection to it:
	// a machine without power refuses nothing.
	fetchTimeout   = 800 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
)

// lacks makes follow fetch what an update did not hold. The executor holds its lock.
func (p *peers) lacks(now time.Duration, from membership.Address) {
	p.exchange.UpdateIncomplete(now, from)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// follow fetches from peers whenever the exchange wants to, and keeps the spread's members
// current.
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
	hasDirectory, asking := false, false
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		hasDirectory = p.role.directory.Loaded()
		asking = now <= introductionTime
		p.role.metrics.observeAge(now, p.role.spread.ConfirmedAt())
		return nil
	})
	if hasDirectory && !asking {
		return exchangeTick
	}
	return startTick
}

// nextFetch returns the fetch to make now. A balancer without a directory asks a seed for a
// source.
func (p *peers) nextFetch() (from membership.Address, asked directoryRequest, wanted bool) {
	balancers := p.membership.LiveCount()
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		from, wanted = p.exchange.Next(now)
		asked.known = p.role.directory.Digest()
		p.role.follower.SetStoreRate(balancers, p.storeRate)
		p.role.confirmer.SetStoreRate(balancers, p.storeRate)
		p.role.updates.send(p.role.spread.Repeat(now))
		p.role.updates.send(p.role.spread.RenewalRequest(now))
		if wanted || now > introductionTime {
			return nil
		}
		if question, exists := p.role.spread.StartupRequest(now); exists {
			p.role.updates.send([]directory.Outgoing{question})
		}
		return nil
	})
	return from, asked, wanted
}

// confirmByPeer lets another balancer confirm the directory, and adopts the answer.
func (p *peers) confirmByPeer(ctx context.Context) error {
	var from membership.Address
	var known directory.Digest
	exists := false
	p.role.executor.do(func(time.Duration) []relay.Effect {
		from, exists = p.exchange.RandomPeer()
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
		changed := p.role.directory.ApplyState(now, state)
		// Whoever knows nothing yet is behind any state that has something.
		if !p.role.directory.ConfirmedBy(state.Through, max(known.Revision, 1)) {
			err = errUnconfirmed
		}
		p.role.updates.send(p.role.spread.StateFetched(now, at, directory.Peer(from), state))
		return p.role.installIf(changed, now)
	})
	return err
}

func (p *peers) conclude(from membership.Address, state directory.State, at time.Duration, err error) {
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		if err != nil {
			p.exchange.FetchFailed()
			return nil
		}
		changed := p.exchange.Fetched(now, state)
		p.role.updates.send(p.role.spread.StateFetched(now, at, directory.Peer(from), state))
		p.role.balancer.MarkConfirmed(p.role.spread.ConfirmedAt())
		p.role.executor.journal.logger.Info("directory fetched", "peer", from.String(), "changed", changed,
			"took_ms", (now - at).Milliseconds(),
			"endpoints", len(state.Endpoints), "revision", uint64(state.Through))
		return p.role.installIf(changed, now)
	})
}

// fetch asks another balancer for its directory. It returns when that was.
func (p *peers) fetch(ctx context.Context, from netip.AddrPort, asked directoryRequest) (state directory.State, at time.Duration, err error) {
	at = time.Since(p.role.executor.started)
	query := url.Values{
		parameterVersion:  {strconv.FormatUint(asked.known.ConfigurationVersion, 10)},
		parameterComplete: {strconv.FormatUint(uint64(asked.known.Revision), 10)},
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
