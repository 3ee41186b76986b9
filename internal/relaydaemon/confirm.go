package relaydaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// confirmPoll is how often a wanted confirmation is considered that may not begin yet.
const confirmPoll = 5 * time.Millisecond

// errUnconfirmed tells that the store had changes which did not come.
var errUnconfirmed = errors.New("the directory could not be confirmed")

// wantConfirmation asks for a confirmation of the directory. It is called by the
// executor, which holds its lock.
func (r *balancerRole) wantConfirmation() {
	r.confirmer.Request()
	select {
	case r.confirmations <- struct{}{}:
	default:
	}
}

// confirm confirms the directory whenever that is wanted, until ctx ends.
func (r *balancerRole) confirm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.confirmations:
		}
		for r.confirmWanted(ctx) && sleep(ctx, confirmPoll) {
		}
	}
}

// confirmWanted confirms the directory by a balancer that watches the store, else by the
// store itself or else by any peer, if a confirmation may begin. It reports whether one is
// still wanted.
func (r *balancerRole) confirmWanted(ctx context.Context) bool {
	begun := time.Duration(0)
	r.executor.do(func(now time.Duration) []relay.Effect {
		begun = now
		return nil
	})
	through, outcome := r.updates.confirmByWatcher(ctx)
	var err error
	switch outcome {
	case askLater:
		err = errNotNow
	case askedNobody, askUnanswered:
		through, err = r.confirmByStore(ctx, r.confirmer)
	}
	if err != nil && !errors.Is(err, errNotNow) {
		through, err = begun, r.peers.confirmByPeer(ctx)
	}
	wanted := false
	r.executor.do(func(now time.Duration) []relay.Effect {
		wanted = r.confirmer.Requested()
		if errors.Is(err, errNotNow) {
			return nil
		}
		if err != nil {
			// Who has asked gets no answer in time and asks the store.
			r.updates.questions.TakeThrough(begun)
			return nil
		}
		r.updates.answerThrough(now, through)
		return r.balancer.MarkCurrentThrough(now, through)
	})
	return wanted
}

// errNotNow tells that no confirmation is wanted, or that it is too early for one.
var errNotNow = errors.New("no confirmation now")

// confirmByStore makes the calls of a confirmer. It returns the time for which the
// directory is confirmed.
func (r *balancerRole) confirmByStore(ctx context.Context, confirmer *directory.Confirmer) (time.Duration, error) {
	for {
		var next storeCall
		wanted := false
		r.executor.do(func(now time.Duration) []relay.Effect {
			var call directory.Call
			confirmer.SetServesOthers(r.updates.questions.Pending())
			call, wanted = confirmer.Next(now)
			next = storeCall{call, r.store, r.storeTurn}
			return nil
		})
		if !wanted {
			return 0, errNotNow
		}
		through, complete, err := r.performConfirmation(ctx, confirmer, next)
		if err != nil || complete {
			return through, err
		}
	}
}

// performConfirmation makes one call of a confirmer. It reports whether no further one
// is needed.
func (r *balancerRole) performConfirmation(running context.Context, confirmer *directory.Confirmer, next storeCall) (through time.Duration, complete bool, err error) {
	ctx, cancel := context.WithTimeout(running, next.call.Timeout)
	defer cancel()
	if next.call.Listing {
		page, err := next.store.List(ctx, next.call.AfterKey)
		r.metrics.called(callConfirmation, err)
		err = r.concludeConfirmation(confirmer, next.turn, err, func(time.Duration) []relay.Effect {
			through, complete = confirmer.HandlePage(page)
			return nil
		})
		return through, complete, err
	}
	changes, err := next.store.Watch(ctx, next.call.AfterRevision, next.call.Wait)
	r.metrics.called(callConfirmation, err)
	err = r.concludeConfirmation(confirmer, next.turn, err, func(now time.Duration) []relay.Effect {
		changed := false
		changed, through, complete = confirmer.HandleChanges(now, changes)
		return r.installIf(changed, now)
	})
	if err == nil && !complete {
		err = errUnconfirmed
	}
	return through, complete, err
}

// concludeConfirmation hands the outcome of a call to the confirmer. An answer of a
// store that is no longer used is dropped.
func (r *balancerRole) concludeConfirmation(confirmer *directory.Confirmer, turn int, err error, merge func(now time.Duration) []relay.Effect) error {
	r.executor.do(func(now time.Duration) []relay.Effect {
		if err == nil && turn != r.storeTurn {
			err = errUnconfirmed
		}
		if err != nil {
			confirmer.HandleFailure()
			return nil
		}
		return merge(now)
	})
	return err
}

// confirmForPeer confirms the directory for another balancer, which the store does not
// answer.
func (r *balancerRole) confirmForPeer(ctx context.Context) error {
	confirmer := directory.NewConfirmer(r.directory)
	confirmer.Request()
	_, err := r.confirmByStore(ctx, confirmer)
	return err
}
