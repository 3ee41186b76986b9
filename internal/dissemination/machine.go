// This file implements the machine's entry points.

package dissemination

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// TickInterval is how often Tick shall be called.
const TickInterval = 100 * time.Millisecond

// Machine is the dissemination of one process. It is not safe for concurrent
// use.
type Machine struct {
	config  Config
	status  Status
	peers   *peerList
	history history
	pull    pull
	effects []Effect

	sequence uint32
	surveys  []*survey
	tasks    []*zoneTask
}

// New returns the machine of a process that holds no table. It fails if the
// configuration cannot be used.
func New(config Config) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Machine{
		config:  config,
		peers:   newPeerList(),
		history: history{limit: config.HistoryBytes},
	}, nil
}

// Status returns what this process holds and has in force.
func (m *Machine) Status() Status { return m.status }

// Attachment returns the encoded status for membership.Machine.SetAttachment.
func (m *Machine) Attachment() []byte {
	encoded, err := m.status.MarshalMsg(nil)
	if err != nil {
		panic("dissemination: cannot encode a status: " + err.Error())
	}
	return encoded
}

// SetPeers replaces the live members.
func (m *Machine) SetPeers(peers []Peer) { m.peers.set(peers, m.config.Self.Address) }

// Publish spreads a delta that this process obtained otherwise, such as from
// the agreement on changes. Nothing happens unless its version is the next one.
func (m *Machine) Publish(delta Delta) []Effect {
	m.begin()
	if delta.Version != m.status.Held+1 {
		return nil
	}
	m.advance([]Delta{delta}, ScopeFleet)
	return m.effects
}

// Installed tells that a full table or the deltas up to a version were fetched
// and are held now. A version that is not newer changes nothing.
func (m *Machine) Installed(now time.Duration, version table.Version) []Effect {
	m.begin()
	m.pull.fetching = false
	if version > m.status.Held {
		m.status.Held = version
		m.history.reset()
	}
	m.continuePull(now)
	return m.effects
}

// FetchFailed tells that a fetch did not succeed; another peer is asked.
func (m *Machine) FetchFailed(now time.Duration, from membership.Address) {
	m.pull.fetching = false
	m.pull.next = now + m.config.PullTimeout
	delete(m.peers.status, from)
}

// Applied tells that this process has put a version in force.
func (m *Machine) Applied(version table.Version) {
	m.status.Applied = max(m.status.Applied, version)
}

// ReceiveAttachment handles an attachment that came with a membership message. One that
// cannot be decoded is ignored.
func (m *Machine) ReceiveAttachment(now time.Duration, from membership.Address, attachment []byte) {
	var status Status
	if _, err := status.UnmarshalMsg(attachment); err == nil {
		m.hear(now, from, status, ScopeZone)
	}
}

// DeltasAfter returns the deltas after a version, for serving a fetch. It
// returns false if some are no longer kept: the full table must be sent.
func (m *Machine) DeltasAfter(version table.Version) ([]Delta, bool) {
	return m.history.after(version, m.status.Held)
}

// Tick must be called every TickInterval. The returned effects are valid until
// the next call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.begin()
	m.pullIfBehind(now)
	m.advanceTasks(now)
	m.advanceSurveys(now)
	return m.effects
}

// Receive handles a message from another process. The returned effects are
// valid until the next call.
func (m *Machine) Receive(now time.Duration, from membership.Address, message Message) []Effect {
	m.begin()
	if from == m.config.Self.Address || message.Scope > ScopeFleet {
		return nil
	}
	m.hear(now, from, message.Status, message.Scope)
	switch message.Kind {
	case KindPush, KindDeltas:
		m.receiveDeltas(now, message)
	case KindPull:
		m.answerPull(from, message)
	case KindFetchRequired:
		m.beginFetch(now, from, message)
	case KindStatusRequest:
		m.send(from, Message{Kind: KindStatus, Sequence: message.Sequence})
	case KindStatus:
		m.receiveStatus(now, from)
	case KindZoneRequest:
		m.beginTask(now, from, message)
	case KindZoneReport:
		m.receiveReport(from, message)
	}
	return m.effects
}

func (m *Machine) begin() { m.effects = m.effects[:0] }

func (m *Machine) send(to membership.Address, message Message) {
	message.Status = m.status
	m.effects = append(m.effects, Effect{Kind: EffectSend, To: to, Message: message})
}

func (m *Machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}
