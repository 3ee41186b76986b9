package relaydaemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

// confirmRetryInterval is the time between attempts to begin a requested confirmation that
// is not allowed yet.
const confirmRetryInterval = 5 * time.Millisecond

// errUnconfirmed is returned if it is not proved that the directory has all changes of the
// store: changes that the store or another balancer has announced did not arrive, the store
// was replaced during the call, no other balancer is known, or the rate limit for
// confirmations on behalf of other balancers was reached.
var errUnconfirmed = errors.New("directory could not be confirmed")

// requestConfirmation requests a confirmation that the directory has all changes that the
// store has accepted. The caller holds the lock of the executor.
func (r *balancerRole) requestConfirmation() {
	r.confirmer.Request()
	select {
	case r.confirmerSignal <- struct{}{}:
	default:
	}
}

// runConfirmer performs requested confirmations until ctx ends.
func (r *balancerRole) runConfirmer(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.confirmerSignal:
		}
		for r.confirmIfRequested(ctx) && sleep(ctx, confirmRetryInterval) {
		}
	}
}

// confirmIfRequested confirms the directory if a confirmation is requested and allowed now:
// by a balancer that watches the store, else by the store itself, else by any other
// balancer. It reports whether a confirmation is still requested.
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
			// Balancers that asked this one get no reply before their timeout and ask the
			// store themselves.
			r.updates.pendingConfirmations.TakeThrough(startedAt)
			return nil
		}
		r.updates.replyThrough(now, through)
		return r.balancer.MarkCurrentThrough(now, through)
	})
	return requested
}

// errNoConfirmationDue is returned if no confirmation is requested, the limits on store
// calls and on requests to watchers do not allow one yet, or the directory has no revision
// to confirm.
var errNoConfirmationDue = errors.New("no confirmation of the directory is due")

// confirmByStore makes the store calls that the confirmer asks for. It returns the time
// through which the directory is confirmed.
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

// performConfirmationCall makes one store call of a confirmation. It reports whether the
// confirmation is complete.
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

// finishConfirmationCall passes the outcome of a call to the confirmer. It drops a response
// of a store that was replaced during the call.
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

// confirmForPeer confirms the directory on behalf of another balancer, which gets no reply
// from the store itself.
func (r *balancerRole) confirmForPeer(ctx context.Context) error {
	confirmer := directory.NewConfirmer(r.replica)
	confirmer.Request()
	_, err := r.confirmByStore(ctx, confirmer)
	return err
}
