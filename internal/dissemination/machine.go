// This file implements the entry points of the machine.

package dissemination

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

// Machine is the dissemination state of one process. It is not safe for concurrent use.
type Machine struct {
	config  Config
	status  Status
	peers   *peerList
	history deltaHistory
	pull    pullState
	effects []Effect

	sequence  uint32
	surveys   []*survey
	zonePolls []*zonePoll
}

// New returns the machine of a process that holds no table. It returns an error if the
// configuration is invalid.
func New(config Config) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Machine{
		config:  config,
		peers:   newPeerList(),
		history: deltaHistory{limit: config.HistoryBytes},
	}, nil
}

// Status returns the versions that this process holds and has applied.
func (m *Machine) Status() Status { return m.status }

// Attachment returns the encoded status for membership.Machine.SetAttachment.
func (m *Machine) Attachment() []byte {
	encoded, err := m.status.MarshalMsg(nil)
	if err != nil {
		panic("dissemination: cannot encode the status of this process: " + err.Error())
	}
	return encoded
}

// SetPeers replaces the live members.
func (m *Machine) SetPeers(peers []Peer) { m.peers.set(peers, m.config.Self.Address) }

// Publish distributes a delta that this process did not get from a peer. It does nothing
// unless the delta leads to the next version.
func (m *Machine) Publish(delta Delta) []Effect {
	m.resetEffects()
	if delta.Version != m.status.Held+1 {
		return nil
	}
	m.applyDeltas([]Delta{delta}, ScopeFleet)
	return m.effects
}

// Installed records that a full table, or the deltas up to a version, are held
// now. It changes nothing if the version is not newer.
func (m *Machine) Installed(now time.Duration, version table.Version) []Effect {
	m.resetEffects()
	m.pull.fetching = false
	if version > m.status.Held {
		m.status.Held = version
		m.history.reset()
	}
	m.continuePull(now)
	return m.effects
}

// FetchFailed records that a fetch failed. Another peer is asked next.
func (m *Machine) FetchFailed(now time.Duration, from membership.Address) {
	m.pull.fetching = false
	m.pull.next = now + m.config.PullTimeout
	delete(m.peers.status, from)
}

// Applied records that this process has applied a version.
func (m *Machine) Applied(version table.Version) {
	m.status.Applied = max(m.status.Applied, version)
}

// ReceiveAttachment handles an attachment of a membership message. It ignores one that
// cannot be decoded.
func (m *Machine) ReceiveAttachment(now time.Duration, from membership.Address, attachment []byte) {
	var status Status
	if _, err := status.UnmarshalMsg(attachment); err == nil {
		m.recordStatus(now, from, status, ScopeZone)
	}
}

// DeltasAfter returns the deltas after a version, to serve a fetch. It returns false if
// some of them are no longer kept, so that the full table must be sent.
func (m *Machine) DeltasAfter(version table.Version) ([]Delta, bool) {
	return m.history.after(version, m.status.Held)
}

// Tick must be called every TickInterval. The returned effects are valid until the next
// call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.resetEffects()
	m.pullIfBehind(now)
	m.advanceZonePolls(now)
	m.advanceSurveys(now)
	return m.effects
}

// Receive handles a message from another process. The returned effects are valid until the
// next call.
func (m *Machine) Receive(now time.Duration, from membership.Address, message Message) []Effect {
	m.resetEffects()
	if from == m.config.Self.Address || message.Scope > ScopeFleet {
		return nil
	}
	m.recordStatus(now, from, message.Status, message.Scope)
	switch message.Kind {
	case KindPush, KindDeltas:
		m.receiveDeltas(now, message)
	case KindPull:
		m.replyToPull(from, message)
	case KindFetchRequired:
		m.requestFetch(now, from, message)
	case KindStatusRequest:
		m.send(from, Message{Kind: KindStatus, Sequence: message.Sequence})
	case KindStatus:
		m.receiveStatus(now, from)
	case KindZoneRequest:
		m.receiveZoneRequest(now, from, message)
	case KindZoneReport:
		m.receiveReport(from, message)
	}
	return m.effects
}

func (m *Machine) resetEffects() { m.effects = m.effects[:0] }

func (m *Machine) send(to membership.Address, message Message) {
	message.Status = m.status
	m.effects = append(m.effects, Effect{Kind: EffectSend, To: to, Message: message})
}

func (m *Machine) nextSequence() uint32 {
	m.sequence++
	return m.sequence
}
