package relaydaemon

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// confirmPoll is how often a wanted confirmation is considered that may not begin yet.
const confirmPoll = 20 * time.Millisecond

// wantConfirmation asks for a confirmation of the directory. It is called by the
// executor, which holds its lock.
func (r *balancerRole) wantConfirmation() {
	r.confirmer.Want()
	select {
	case r.confirmations <- struct{}{}:
	default:
	}
}

// confirm makes the calls that confirm the directory until ctx ends.
func (r *balancerRole) confirm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.confirmations:
		}
		for r.confirmNext(ctx) && sleep(ctx, confirmPoll) {
		}
	}
}

// confirmNext makes the next calls, if they may begin. It reports whether a
// confirmation is still wanted.
func (r *balancerRole) confirmNext(ctx context.Context) bool {
	for {
		var next storeCall
		wanted, pending := false, false
		r.executor.do(func(now time.Duration) []relay.Effect {
			var call directory.Call
			call, wanted = r.confirmer.Next(now)
			pending = r.confirmer.Wanted()
			next = storeCall{call, r.store, r.storeTurn}
			return nil
		})
		if !wanted {
			return pending
		}
		r.performConfirmation(ctx, next)
	}
}

func (r *balancerRole) performConfirmation(running context.Context, next storeCall) {
	ctx, cancel := context.WithTimeout(running, next.call.Timeout)
	defer cancel()
	if next.call.Listing {
		page, err := next.store.List(ctx, next.call.After)
		r.concludeConfirmation(next.turn, err, func(now time.Duration) []relay.Effect {
			through, current := r.confirmer.Listed(page)
			return r.currentThrough(now, through, current)
		})
		return
	}
	changes, err := next.store.Watch(ctx, next.call.AfterRevision, next.call.Wait)
	r.concludeConfirmation(next.turn, err, func(now time.Duration) []relay.Effect {
		changed, through, current := r.confirmer.Watched(now, changes)
		r.executor.execute(r.installIf(changed, now))
		return r.currentThrough(now, through, current)
	})
}

// concludeConfirmation hands the outcome of a call to the confirmer. An answer of a
// store that is no longer used is dropped.
func (r *balancerRole) concludeConfirmation(turn int, err error, merge func(now time.Duration) []relay.Effect) {
	r.executor.do(func(now time.Duration) []relay.Effect {
		if err != nil || turn != r.storeTurn {
			r.confirmer.Failed()
			return nil
		}
		return merge(now)
	})
}

func (r *balancerRole) currentThrough(now, through time.Duration, current bool) []relay.Effect {
	if !current {
		return nil
	}
	return r.balancer.Current(now, through)
}
