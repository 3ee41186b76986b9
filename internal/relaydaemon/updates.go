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

// updateTransport carries what balancers tell each other of the directory by datagrams.
type updateTransport struct {
	role   *balancerRole
	socket *socket
	// listenAddress is where this balancer takes updates; all of a fleet use its port, and
	// exchange is the port by which they name each other.
	listenAddress netip.AddrPort
	exchangePort  uint16
	encodeBuffer  []byte
	// pendingConfirmations are those of others that wait for a confirmation by the store.
	pendingConfirmations directory.ConfirmationQueue
	// outstanding is the question of this balancer that is under way.
	outstanding confirmationRequest
	// replied wakes who waits for its answer.
	replied       chan struct{}
	lastRequestID uint32
}

// confirmationRequest is one of this balancer for a confirmation of the directory, which was sent to a
// watcher at a time, when the directory had a revision; confirmed is set once it was answered.
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

// peerAt returns the name of the balancer on a machine.
func (u *updateTransport) peerAt(machine netip.Addr) (directory.Peer, bool) {
	address, usable := membership.AddressOf(netip.AddrPortFrom(machine, u.exchangePort))
	return directory.Peer(address), usable
}

// receive handles a datagram of another balancer.
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

// handleUpdate hands an update to the parts that decide on it. The executor holds its lock.
func (u *updateTransport) handleUpdate(now time.Duration, from directory.Peer, update directory.Update) []relay.Effect {
	role := u.role
	changed, lacks, answers := role.disseminator.Receive(now, from, update)
	u.send(answers)
	if lacks {
		role.peers.fetchMissing(now, membership.Address(update.SourceOrSender(from)))
	}
	role.balancer.MarkConfirmed(role.disseminator.ConfirmedAt())
	effects := role.installIfChanged(changed, now)
	switch {
	case update.Confirmation && update.RequestsChanges:
		u.pendingConfirmations.Add(now, from, update)
		role.requestConfirmation()
	case update.Confirmation && !lacks && role.replica.ConfirmedBy(update.State.Through, u.outstanding.knownRevision):
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

// send transmits updates. The executor holds its lock.
func (u *updateTransport) send(outgoing []directory.Outgoing) {
	for index := range outgoing {
		encoded, err := outgoing[index].Update.MarshalMsg(u.encodeBuffer[:0])
		if err != nil {
			panic("relaydaemon: cannot encode an update: " + err.Error())
		}
		u.encodeBuffer = encoded
		machine := membership.Address(outgoing[index].To).AddrPort().Addr()
		u.socket.send(segment.AddressOf(netip.AddrPortFrom(machine, u.listenAddress.Port())), encoded)
	}
	u.role.directoryMetrics.updates.With(directionLabel, directionSent).Add(float64(len(outgoing)))
}

// replyThrough answers the questions that came until the time for which the directory
// is confirmed. The executor holds its lock.
func (u *updateTransport) replyThrough(now, through time.Duration) {
	for _, each := range u.pendingConfirmations.TakeThrough(through) {
		u.send(u.role.disseminator.ConfirmationReplies(now, each.From, each.Update))
	}
}

// watcherReplyTimeout is how long a balancer waits for a watcher to confirm its directory
// before it asks the store. It is several times as long as a watcher takes, and short enough
// for a client whose flow is dead to be served in time if a datagram is lost.
const watcherReplyTimeout = 150 * time.Millisecond

// watcherOutcome is what became of asking a watcher for a confirmation.
type watcherOutcome uint8

const (
	// watcherNotAsked: there is no watcher to ask, or others wait for this balancer.
	watcherNotAsked watcherOutcome = iota
	// watcherAskLater: nothing is wanted, or the next question must wait.
	watcherAskLater
	// watcherNoReply: the watcher has not confirmed the directory in time.
	watcherNoReply
	// watcherConfirmed: it has.
	watcherConfirmed
)

// confirmByWatcher lets a balancer that watches the store confirm the directory, unless
// others wait for this one to do it. It returns the time for which it is confirmed, if it is.
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

// askWatcher sends a question to a watcher. It returns askUnanswered once it is sent.
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

// takeReply ends the question under way.
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
