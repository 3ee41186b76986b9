package relaydaemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/relay"
	"github.com/vanetiller/vanetiller/internal/segment"
	"github.com/vanetiller/vanetiller/internal/settings"
)

// updateTransport sends and receives the datagrams that carry changes and confirmations of
// the directory between balancers.
type updateTransport struct {
	role   *balancerRole
	socket *socket
	// listenAddress is where this balancer receives updates. All balancers of a fleet use
	// the same port. exchangePort is the port in the addresses that identify balancers.
	listenAddress netip.AddrPort
	exchangePort  uint16
	encodeBuffer  []byte
	// pendingConfirmations are the requests of other balancers that wait for a confirmation
	// by the store.
	pendingConfirmations directory.ConfirmationQueue
	// outstanding is the request of this balancer that waits for a reply.
	outstanding confirmationRequest
	// replied resumes confirmByWatcher when outstanding is confirmed.
	replied       chan struct{}
	lastRequestID uint32
}

// confirmationRequest is a request to a watcher, a balancer that watches the store, to
// confirm the directory. knownRevision is the revision of the directory when the request
// was sent. confirmed is set when a reply has confirmed it.
type confirmationRequest struct {
	id            uint32
	watcher       directory.Peer
	sentAt        time.Duration
	knownRevision directory.Revision
	confirmed     bool
}

func newUpdateTransport(config *settings.RelayBalancer, role *balancerRole) (*updateTransport, error) {
	created := &updateTransport{
		role: role, listenAddress: config.Updates, exchangePort: config.Exchange.Port(), replied: make(chan struct{}, 1),
	}
	var err error
	created.socket, err = listen(config.Updates, created.receive)
	return created, err
}

// peerAt returns the identity of the balancer on a machine, false if the address is not
// usable.
func (u *updateTransport) peerAt(machine netip.Addr) (directory.Peer, bool) {
	address, usable := membership.AddressOf(netip.AddrPortFrom(machine, u.exchangePort))
	return directory.Peer(address), usable
}

// receive decodes a datagram of another balancer and handles it.
func (u *updateTransport) receive(from netip.AddrPort, datagram []byte) {
	peer, usable := u.peerAt(from.Addr())
	var update directory.Update
	if _, err := update.UnmarshalMsg(datagram); err != nil || !usable {
		u.role.executor.recordEvent(relay.Event{Kind: relay.EventMalformed, Peer: segment.AddressOf(from), Reason: "update"})
		return
	}
	u.role.directoryMetrics.updates.With(directionLabel, directionReceived).Add(1)
	u.role.executor.do(func(now time.Duration) []relay.Effect { return u.handleUpdate(now, peer, update) })
}

// handleUpdate applies an update, sends the replies, and handles a confirmation request or
// reply. The caller holds the lock of the executor.
func (u *updateTransport) handleUpdate(now time.Duration, from directory.Peer, update directory.Update) []relay.Effect {
	role := u.role
	changed, incomplete, replies := role.disseminator.Receive(now, from, update)
	u.send(replies)
	if incomplete {
		role.peers.fetchMissing(now, membership.Address(update.SourceOrSender(from)))
	}
	role.balancer.MarkConfirmed(role.disseminator.ConfirmedAt())
	effects := role.installIfChanged(changed, now)
	switch {
	case update.Confirmation && update.RequestsChanges:
		u.pendingConfirmations.Add(now, from, update)
		role.requestConfirmation()
	case update.Confirmation && !incomplete && role.replica.ConfirmedBy(update.State.Through, u.outstanding.knownRevision):
		u.handleReply(update.RequestID)
	}
	return effects
}

func (u *updateTransport) handleReply(id uint32) {
	if id != u.outstanding.id {
		return
	}
	u.outstanding.confirmed = true
	select {
	case u.replied <- struct{}{}:
	default:
	}
}

// send transmits updates. The caller holds the lock of the executor.
func (u *updateTransport) send(outgoing []directory.Outgoing) {
	for index := range outgoing {
		encoded, err := outgoing[index].Update.MarshalMsg(u.encodeBuffer[:0])
		if err != nil {
			panic("relaydaemon: cannot encode update: " + err.Error())
		}
		u.encodeBuffer = encoded
		machine := membership.Address(outgoing[index].To).AddrPort().Addr()
		u.socket.send(segment.AddressOf(netip.AddrPortFrom(machine, u.listenAddress.Port())), encoded)
	}
	u.role.directoryMetrics.updates.With(directionLabel, directionSent).Add(float64(len(outgoing)))
}

// replyThrough replies to the confirmation requests that were received until through, the
// time for which the directory is confirmed. The caller holds the lock of the executor.
func (u *updateTransport) replyThrough(now, through time.Duration) {
	for _, pending := range u.pendingConfirmations.TakeThrough(through) {
		u.send(u.role.disseminator.ConfirmationReplies(now, pending.From, pending.Update))
	}
}

// watcherReplyTimeout is how long a balancer waits for a watcher to confirm its directory
// before it asks the store. It is several times as long as a watcher takes. It is short
// enough that a client whose flow no endpoint holds any more is still served in time if a
// datagram is lost.
const watcherReplyTimeout = 150 * time.Millisecond

// watcherOutcome is the result of asking a watcher for a confirmation.
type watcherOutcome uint8

const (
	// watcherNotAsked: there is no watcher to ask, or other balancers wait for this one to
	// ask the store.
	watcherNotAsked watcherOutcome = iota
	// watcherAskLater: no confirmation is requested, or the rate limit does not allow a
	// request yet.
	watcherAskLater
	// watcherNoReply: the watcher has not confirmed the directory in time.
	watcherNoReply
	// watcherConfirmed: the watcher has confirmed the directory.
	watcherConfirmed
)

// confirmByWatcher asks a watcher to confirm the directory, unless other balancers wait for
// this one to ask the store. With watcherConfirmed it returns the time through which the
// directory is confirmed.
func (u *updateTransport) confirmByWatcher(ctx context.Context) (time.Duration, watcherOutcome) {
	select {
	case <-u.replied:
	default:
	}
	outcome := u.askWatcher()
	if outcome != watcherNoReply {
		return 0, outcome
	}
	timer := time.NewTimer(watcherReplyTimeout)
	defer timer.Stop()
	select {
	case <-u.replied:
	case <-timer.C:
	case <-ctx.Done():
	}
	return u.takeReply()
}

// askWatcher sends a request to a watcher. It returns watcherNoReply once the request is
// sent.
func (u *updateTransport) askWatcher() watcherOutcome {
	outcome := watcherNotAsked
	u.role.executor.do(func(now time.Duration) []relay.Effect {
		watcher, exists := u.role.disseminator.ConfirmationWatcher(now)
		if !exists || u.pendingConfirmations.Pending() {
			return nil
		}
		if !u.role.confirmer.BeginWithWatcher(now) {
			outcome = watcherAskLater
			return nil
		}
		outcome = watcherNoReply
		u.lastRequestID++
		u.outstanding = confirmationRequest{id: u.lastRequestID, watcher: watcher, sentAt: now, knownRevision: u.role.replica.AppliedRevision()}
		request := directory.Update{RequestsChanges: true, Confirmation: true, RequestID: u.lastRequestID, State: u.role.disseminator.Summary(now)}
		u.send([]directory.Outgoing{{To: watcher, Update: request}})
		return nil
	})
	return outcome
}

// takeReply ends the outstanding request and returns its outcome. If there was no reply, a
// confirmation is requested again and another watcher is preferred for a while.
func (u *updateTransport) takeReply() (through time.Duration, outcome watcherOutcome) {
	u.role.executor.do(func(now time.Duration) []relay.Effect {
		request := u.outstanding
		u.outstanding = confirmationRequest{}
		if request.confirmed {
			through, outcome = request.sentAt, watcherConfirmed
			return nil
		}
		outcome = watcherNoReply
		u.role.confirmer.WatcherTimedOut()
		u.role.disseminator.WatcherTimedOut(now, request.watcher)
		return nil
	})
	return through, outcome
}
