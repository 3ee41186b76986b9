package relaydaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// confirmRetryInterval is how often a wanted confirmation is considered that may not begin yet.
const confirmRetryInterval = 5 * time.Millisecond

// errUnconfirmed tells that the store had changes which did not come.
var errUnconfirmed = errors.New("the directory could not be confirmed")

// requestConfirmation asks for a confirmation of the directory. It is called by the
// executor, which holds its lock.
func (r *balancerRole) requestConfirmation() {
	r.confirmer.Request()
	select {
	case r.confirmerWake <- struct{}{}:
	default:
	}
}

// runConfirmer confirms the directory whenever that is wanted, until ctx ends.
func (r *balancerRole) runConfirmer(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.confirmerWake:
		}
		for r.confirmIfRequested(ctx) && sleep(ctx, confirmRetryInterval) {
		}
	}
}

// confirmIfRequested confirms the directory by a balancer that watches the store, else by the
// store itself or else by any peer, if a confirmation may begin. It reports whether one is
// still wanted.
func (r *balancerRole) confirmIfRequested(ctx context.Context) bool {
	startedAt := time.Duration(0)
	r.executor.do(func(now time.Duration) []relay.Effect {
		startedAt = now
		return nil
	})
	through, outcome := r.updates.confirmByWatcher(ctx)
	var err error
	switch outcome {
	case watcherAskLater:
		err = errNoConfirmationDue
	case watcherNotAsked, watcherNoReply:
		through, err = r.confirmByStore(ctx, r.confirmer)
	}
	if err != nil && !errors.Is(err, errNoConfirmationDue) {
		through, err = startedAt, r.peers.confirmByPeer(ctx)
	}
	requested := false
	r.executor.do(func(now time.Duration) []relay.Effect {
		requested = r.confirmer.Requested()
		if errors.Is(err, errNoConfirmationDue) {
			return nil
		}
		if err != nil {
			// Who has asked gets no answer in time and asks the store.
			r.updates.pendingConfirmations.TakeThrough(startedAt)
			return nil
		}
		r.updates.replyThrough(now, through)
		return r.balancer.MarkCurrentThrough(now, through)
	})
	return requested
}

// errNoConfirmationDue tells that no confirmation is wanted, or that it is too early for one.
var errNoConfirmationDue = errors.New("no confirmation now")

// confirmByStore makes the calls of a confirmer. It returns the time for which the
// directory is confirmed.
func (r *balancerRole) confirmByStore(ctx context.Context, confirmer *directory.Confirmer) (time.Duration, error) {
	for {
		var next storeCall
		wanted := false
		r.executor.do(func(now time.Duration) []relay.Effect {
			var call directory.Call
			confirmer.SetServesOthers(r.updates.pendingConfirmations.Pending())
			call, wanted = confirmer.Next(now)
			next = storeCall{call, r.store, r.storeGeneration}
			return nil
		})
		if !wanted {
			return 0, errNoConfirmationDue
		}
		through, complete, err := r.performConfirmationCall(ctx, confirmer, next)
		if err != nil || complete {
			return through, err
		}
	}
}

// performConfirmationCall makes one call of a confirmer. It reports whether no further one
// is needed.
func (r *balancerRole) performConfirmationCall(parent context.Context, confirmer *directory.Confirmer, next storeCall) (through time.Duration, complete bool, err error) {
	ctx, cancel := context.WithTimeout(parent, next.call.Timeout)
	defer cancel()
	if next.call.Listing {
		page, err := next.store.List(ctx, next.call.AfterKey)
		r.directoryMetrics.countStoreCall(callConfirmation, err)
		err = r.finishConfirmationCall(confirmer, next.generation, err, func(time.Duration) []relay.Effect {
			through, complete = confirmer.HandlePage(page)
			return nil
		})
		return through, complete, err
	}
	changes, err := next.store.Watch(ctx, next.call.AfterRevision, next.call.Wait)
	r.directoryMetrics.countStoreCall(callConfirmation, err)
	err = r.finishConfirmationCall(confirmer, next.generation, err, func(now time.Duration) []relay.Effect {
		changed := false
		changed, through, complete = confirmer.HandleChanges(now, changes)
		return r.installIfChanged(changed, now)
	})
	if err == nil && !complete {
		err = errUnconfirmed
	}
	return through, complete, err
}

// finishConfirmationCall hands the outcome of a call to the confirmer. An answer of a
// store that is no longer used is dropped.
func (r *balancerRole) finishConfirmationCall(confirmer *directory.Confirmer, generation int, err error, apply func(now time.Duration) []relay.Effect) error {
	r.executor.do(func(now time.Duration) []relay.Effect {
		if err == nil && generation != r.storeGeneration {
			err = errUnconfirmed
		}
		if err != nil {
			confirmer.HandleFailure()
			return nil
		}
		return apply(now)
	})
	return err
}

// confirmForPeer confirms the directory for another balancer, which the store does not
// answer.
func (r *balancerRole) confirmForPeer(ctx context.Context) error {
	confirmer := directory.NewConfirmer(r.replica)
	confirmer.Request()
	_, err := r.confirmByStore(ctx, confirmer)
	return err
}
