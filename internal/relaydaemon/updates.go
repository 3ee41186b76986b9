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

// updates carries what balancers tell each other of the directory by datagrams.
type updates struct {
	role   *balancerRole
	socket *socket
	// listen is where this balancer takes updates; all of a fleet use its port, and
	// exchange is the port by which they name each other.
	listen   netip.AddrPort
	exchange uint16
	encoded  []byte
	// questions are those of others that wait for a confirmation by the store.
	questions directory.ConfirmationQueue
	// asked is the question of this balancer that is under way.
	asked question
	// answered wakes who waits for its answer.
	answered chan struct{}
	number   uint32
}

// question is one of this balancer for a confirmation of the directory, which was sent to a
// watcher at a time, when the directory had a revision; confirmed is set once it was answered.
type question struct {
	number    uint32
	watcher   directory.Peer
	at        time.Duration
	known     directory.Revision
	confirmed bool
}

func newUpdates(given *settings.RelayBalancer, role *balancerRole) (*updates, error) {
	created := &updates{
		role: role, listen: given.Updates, exchange: given.Exchange.Port(), answered: make(chan struct{}, 1),
	}
	var err error
	created.socket, err = listen(given.Updates, created.receive)
	return created, err
}

// peerAt returns the name of the balancer on a machine.
func (u *updates) peerAt(machine netip.Addr) (directory.Peer, bool) {
	address, usable := membership.AddressOf(netip.AddrPortFrom(machine, u.exchange))
	return directory.Peer(address), usable
}

// receive handles a datagram of another balancer.
func (u *updates) receive(from netip.AddrPort, datagram []byte) {
	peer, usable := u.peerAt(from.Addr())
	var update directory.Update
	if _, err := update.UnmarshalMsg(datagram); err != nil || !usable {
		u.role.executor.record(relay.Event{Kind: relay.EventMalformed, Peer: segment.AddressOf(from), Reason: "update"})
		return
	}
	u.role.metrics.updates.With(directionLabel, directionReceived).Add(1)
	u.role.executor.do(func(now time.Duration) []relay.Effect { return u.take(now, peer, update) })
}

// take hands an update to the parts that decide on it. The executor holds its lock.
func (u *updates) take(now time.Duration, from directory.Peer, update directory.Update) []relay.Effect {
	role := u.role
	changed, lacks, answers := role.spread.Receive(now, from, update)
	u.send(answers)
	if lacks {
		role.peers.lacks(now, membership.Address(update.SourceOrSender(from)))
	}
	role.balancer.MarkConfirmed(role.spread.ConfirmedAt())
	effects := role.installIf(changed, now)
	switch {
	case update.Confirmation && update.RequestsChanges:
		u.questions.Add(now, from, update)
		role.wantConfirmation()
	case update.Confirmation && !lacks && role.directory.ConfirmedBy(update.State.Through, u.asked.known):
		u.noteAnswer(update.RequestID)
	}
	return effects
}

func (u *updates) noteAnswer(number uint32) {
	if number != u.asked.number {
		return
	}
	u.asked.confirmed = true
	select {
	case u.answered <- struct{}{}:
	default:
	}
}

// send transmits updates. The executor holds its lock.
func (u *updates) send(outgoing []directory.Outgoing) {
	for index := range outgoing {
		encoded, err := outgoing[index].Update.MarshalMsg(u.encoded[:0])
		if err != nil {
			panic("relaydaemon: cannot encode an update: " + err.Error())
		}
		u.encoded = encoded
		machine := membership.Address(outgoing[index].To).AddrPort().Addr()
		u.socket.send(segment.AddressOf(netip.AddrPortFrom(machine, u.listen.Port())), encoded)
	}
	u.role.metrics.updates.With(directionLabel, directionSent).Add(float64(len(outgoing)))
}

// answerThrough answers the questions that came until the time for which the directory
// is confirmed. The executor holds its lock.
func (u *updates) answerThrough(now, through time.Duration) {
	for _, each := range u.questions.TakeThrough(through) {
		u.send(u.role.spread.ConfirmationReplies(now, each.From, each.Update))
	}
}

// confirmPatience is how long a balancer waits for a watcher to confirm its directory
// before it asks the store. It is several times as long as a watcher takes, and short enough
// for a client whose flow is dead to be served in time if a datagram is lost.
const confirmPatience = 150 * time.Millisecond

// askOutcome is what became of asking a watcher for a confirmation.
type askOutcome uint8

const (
	// askedNobody: there is no watcher to ask, or others wait for this balancer.
	askedNobody askOutcome = iota
	// askLater: nothing is wanted, or the next question must wait.
	askLater
	// askUnanswered: the watcher has not confirmed the directory in time.
	askUnanswered
	// askConfirmed: it has.
	askConfirmed
)

// confirmByWatcher lets a balancer that watches the store confirm the directory, unless
// others wait for this one to do it. It returns the time for which it is confirmed, if it is.
func (u *updates) confirmByWatcher(ctx context.Context) (time.Duration, askOutcome) {
	select {
	case <-u.answered:
	default:
	}
	outcome := u.ask()
	if outcome != askUnanswered {
		return 0, outcome
	}
	timer := time.NewTimer(confirmPatience)
	defer timer.Stop()
	select {
	case <-u.answered:
	case <-timer.C:
	case <-ctx.Done():
	}
	return u.takeAnswer()
}

// ask sends a question to a watcher. It returns askUnanswered once it is sent.
func (u *updates) ask() askOutcome {
	outcome := askedNobody
	u.role.executor.do(func(now time.Duration) []relay.Effect {
		watcher, exists := u.role.spread.ConfirmationWatcher(now)
		if !exists || u.questions.Pending() {
			return nil
		}
		if !u.role.confirmer.BeginWithWatcher(now) {
			outcome = askLater
			return nil
		}
		outcome = askUnanswered
		u.number++
		u.asked = question{number: u.number, watcher: watcher, at: now, known: u.role.directory.AppliedRevision()}
		asking := directory.Update{RequestsChanges: true, Confirmation: true, RequestID: u.number, State: u.role.spread.Summary(now)}
		u.send([]directory.Outgoing{{To: watcher, Update: asking}})
		return nil
	})
	return outcome
}

// takeAnswer ends the question under way.
func (u *updates) takeAnswer() (through time.Duration, outcome askOutcome) {
	u.role.executor.do(func(now time.Duration) []relay.Effect {
		asked := u.asked
		u.asked = question{}
		if asked.confirmed {
			through, outcome = asked.at, askConfirmed
			return nil
		}
		outcome = askUnanswered
		u.role.confirmer.WatcherTimedOut()
		u.role.spread.WatcherTimedOut(now, asked.watcher)
		return nil
	})
	return through, outcome
}
