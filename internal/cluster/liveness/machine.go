// This file implements the entry points of the machine.

package liveness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

const (
	// zoneFanout is the number of members of its own zone to which a member pushes.
	zoneFanout = 4
	// remoteFanout is the number of members of another zone or region to which a member
	// pushes.
	remoteFanout = 2
	// maxRecords limits the records of one message, so that it fits in a datagram.
	maxRecords = 16
	// readyTimeout is the time after which a process that finds no member with the same
	// claims relies on the claims it has.
	readyTimeout = 20 * time.Second
	// nonMemberRetention is how long the claims of a daemon that is not a member are kept,
	// since its claims may arrive before membership lists it.
	nonMemberRetention = time.Minute
)

// Peer is another live member of the fleet, as reported by package membership.
type Peer struct {
	Identity membership.Identity
	// Reachable is false while the zone of the peer is unreachable.
	Reachable bool
}

// Config holds the settings of a Machine.
type Config struct {
	// Self is the identity of this process.
	Self membership.Identity
	// Random is used to choose peers. No other component may use it.
	Random *rand.Rand
}

// Machine holds the claims that one process has recorded about agents. It is not safe for
// concurrent use.
type Machine struct {
	config Config
	peers  []Peer
	claims claims
	// nonMembers records since when a daemon with claims has not been a member.
	nonMembers map[membership.Address]time.Duration
	sequence   uint64
	// reported is the last claim that EffectConditionChanged reported for each agent.
	reported map[table.Endpoint]Claim
	// pending holds, by scope, the records to push at the next tick.
	pending    [ScopeFleet + 1][]Record
	comparison comparisonState
	started    bool
	startTime  time.Duration
	ready      bool
	effects    []Effect
	// affected lists the agents whose condition may have changed in the current call.
	affected []table.Endpoint
}

// New returns the machine of a process without agents. It returns an error if the
// configuration is invalid.
func New(config Config) (*Machine, error) {
	if config.Self.Address == 0 || config.Self.Zone >= membership.MaxZones {
		return nil, errors.New("liveness: the identity of this process has no address or an invalid zone")
	}
	if config.Random == nil {
		return nil, errors.New("liveness: the source of randomness is missing")
	}
	return &Machine{
		config:     config,
		claims:     newClaims(),
		nonMembers: make(map[membership.Address]time.Duration),
		reported:   make(map[table.Endpoint]Claim),
	}, nil
}

// SetSelf gives this process another incarnation and repeats its claims under it.
func (m *Machine) SetSelf(self membership.Identity) {
	if self == m.config.Self {
		return
	}
	own, claimed := m.claims.reporters[m.config.Self.Address]
	m.config.Self = self
	if !claimed {
		return
	}
	for _, record := range own.sorted() {
		m.claim(record.Claim)
	}
}

// SetPeers replaces the live members. Claims of processes that have ended or are
// unreachable are no longer considered. The returned effects are valid until the next call.
func (m *Machine) SetPeers(now time.Duration, peers []Peer) []Effect {
	m.resetEffects()
	m.peers = slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		return peer.Identity.Address == m.config.Self.Address || peer.Identity.Zone >= membership.MaxZones
	})
	slices.SortFunc(m.peers, comparePeers)
	m.expireNonMembers(now)
	for agent := range m.claims.byAgent {
		m.affected = append(m.affected, agent)
	}
	for agent := range m.reported {
		m.affected = append(m.affected, agent)
	}
	m.emitChanges()
	return m.effects
}

// Claim records a claim of this process about an agent. It does nothing if the last claim
// was the same. The returned effects are valid until the next call.
func (m *Machine) Claim(claim Claim) []Effect {
	m.resetEffects()
	if own, exists := m.claims.reporters[m.config.Self.Address]; exists {
		if known, claimed := own.records[claim.Agent]; claimed && known.Claim == claim {
			return nil
		}
	}
	m.claim(claim)
	return m.effects
}

func (m *Machine) claim(claim Claim) {
	m.sequence++
	record := Record{
		Reporter:    m.config.Self.Address,
		Incarnation: m.config.Self.Incarnation,
		Sequence:    m.sequence,
		Claim:       claim,
	}
	if m.claims.put(record) {
		m.pending[ScopeFleet] = append(m.pending[ScopeFleet], record)
	}
}

// Tick must be called every TickInterval. The returned effects are valid until the next
// call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.resetEffects()
	if !m.started {
		m.started = true
		m.startTime = now
	}
	m.flush()
	m.exchangeDigests(now)
	if now >= m.startTime+readyTimeout {
		m.becomeReady()
	}
	return m.effects
}

// Receive handles a message from another process. The returned effects are valid until the
// next call.
func (m *Machine) Receive(now time.Duration, from membership.Address, message Message) []Effect {
	m.resetEffects()
	if from == m.config.Self.Address || message.Scope > ScopeFleet || message.Zone >= membership.MaxZones {
		return nil
	}
	switch message.Kind {
	case KindPush:
		m.receiveRecords(message.Records, message.Scope)
	case KindRecords:
		m.receiveRecords(message.Records, ScopeZone)
	case KindDigest:
		m.send(from, Message{Kind: KindDigestReply, Zones: m.digests()})
		m.compareDigests(now, from, message.Zones)
	case KindDigestReply:
		m.compareDigests(now, from, message.Zones)
	case KindCompare:
		m.replyToComparison(from, message)
	}
	m.emitChanges()
	return m.effects
}

func (m *Machine) resetEffects() {
	m.effects = m.effects[:0]
	m.affected = m.affected[:0]
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to membership.Address, message Message) {
	m.emit(Effect{Kind: EffectSend, To: to, Message: message})
}

func (m *Machine) becomeReady() {
	if !m.ready {
		m.ready = true
		m.emit(Effect{Kind: EffectReady})
	}
}

// receiveRecords stores records and queues the new ones to be pushed on.
func (m *Machine) receiveRecords(records []Record, scope Scope) {
	for _, record := range records {
		if !record.valid() || record.Reporter == m.config.Self.Address {
			continue
		}
		if m.claims.put(record) {
			m.affected = append(m.affected, record.Claim.Agent)
			m.pending[scope] = append(m.pending[scope], record)
		}
	}
}

// expireNonMembers drops the claims of daemons that have not been members for
// nonMemberRetention.
func (m *Machine) expireNonMembers(now time.Duration) {
	for address, origin := range m.claims.reporters {
		if address == m.config.Self.Address || m.isLive(address, origin.incarnation) {
			delete(m.nonMembers, address)
			continue
		}
		since, recorded := m.nonMembers[address]
		switch {
		case !recorded:
			m.nonMembers[address] = now
		case now >= since+nonMemberRetention:
			delete(m.nonMembers, address)
			m.dropReporter(address, origin)
		}
	}
}

func (m *Machine) dropReporter(address membership.Address, origin *reporter) {
	for agent := range origin.records {
		m.affected = append(m.affected, agent)
	}
	m.claims.drop(address)
}

// peer returns the live member at an address.
func (m *Machine) peer(address membership.Address) (Peer, bool) {
	position, exists := slices.BinarySearchFunc(m.peers, Peer{Identity: membership.Identity{Address: address}}, comparePeers)
	if !exists {
		return Peer{}, false
	}
	return m.peers[position], true
}

func comparePeers(a, b Peer) int {
	switch {
	case a.Identity.Address < b.Identity.Address:
		return -1
	case a.Identity.Address > b.Identity.Address:
		return 1
	}
	return 0
}

func (m *Machine) isLive(address membership.Address, incarnation membership.Incarnation) bool {
	peer, exists := m.peer(address)
	return exists && peer.Identity.Incarnation == incarnation
}
