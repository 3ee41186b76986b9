// This file implements the machine's entry points.

package liveness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

// TickInterval is how often Tick shall be called.
const TickInterval = 100 * time.Millisecond

const (
	// zoneFanout is to how many members of its zone each member pushes.
	zoneFanout = 4
	// entryFanout is to how many members of another zone or region one member
	// pushes.
	entryFanout = 2
	// maximumRecords bounds the records of one message, so that it fits in a
	// datagram.
	maximumRecords = 16
	// readyTimeout is when a process that finds nobody with the same claims
	// goes by what it knows.
	readyTimeout = 20 * time.Second
	// forgetAfter is how long the claims of a daemon that is no member are
	// kept: membership may hear of it later than of its claims.
	forgetAfter = time.Minute
)

// Peer is another live member, as package membership knows it.
type Peer struct {
	Identity membership.Identity
	// Reachable is false while its zone cannot be reached.
	Reachable bool
}

// Config holds the settings of a Machine.
type Config struct {
	// Self names this process.
	Self membership.Identity
	// Random decides whom to tell. The machine alone may use it.
	Random *rand.Rand
}

// Machine is the liveness of agents as one process knows it. It is not safe
// for concurrent use.
type Machine struct {
	config   Config
	peers    []Peer
	claims   claims
	strange  map[membership.Address]time.Duration
	sequence uint64
	// told is what EffectCondition has told of each agent.
	told     map[table.Endpoint]Claim
	pending  [ScopeFleet + 1][]Record
	compare  comparison
	started  bool
	since    time.Duration
	ready    bool
	effects  []Effect
	affected []table.Endpoint
}

// New returns the machine of a process that knows of no agent. It fails if the
// configuration cannot be used.
func New(config Config) (*Machine, error) {
	if config.Self.Address == 0 || config.Self.Zone >= membership.MaximumZones {
		return nil, errors.New("liveness: no usable identity")
	}
	if config.Random == nil {
		return nil, errors.New("liveness: no source of randomness")
	}
	return &Machine{
		config:  config,
		claims:  newClaims(),
		strange: make(map[membership.Address]time.Duration),
		told:    make(map[table.Endpoint]Claim),
	}, nil
}

// SetSelf gives this process another incarnation. Its claims go on under it.
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

// SetPeers replaces the live members. The claims of a process that has ended,
// or cannot be reached, count no more. The returned effects are valid until
// the next call.
func (m *Machine) SetPeers(now time.Duration, peers []Peer) []Effect {
	m.begin()
	m.peers = slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		return peer.Identity.Address == m.config.Self.Address || peer.Identity.Zone >= membership.MaximumZones
	})
	slices.SortFunc(m.peers, comparePeers)
	m.forgetStrangers(now)
	for agent := range m.claims.byAgent {
		m.affected = append(m.affected, agent)
	}
	for agent := range m.told {
		m.affected = append(m.affected, agent)
	}
	m.tell()
	return m.effects
}

// Claim takes in what this process knows of an agent. Nothing happens unless
// that differs from its last claim. The returned effects are valid until the
// next call.
func (m *Machine) Claim(claim Claim) []Effect {
	m.begin()
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

// Tick must be called every TickInterval. The returned effects are valid until
// the next call.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.begin()
	if !m.started {
		m.started = true
		m.since = now
	}
	m.flush()
	m.exchangeDigests(now)
	if now >= m.since+readyTimeout {
		m.becomeReady()
	}
	return m.effects
}

// Receive handles a message from another process. The returned effects are
// valid until the next call.
func (m *Machine) Receive(now time.Duration, from membership.Address, message Message) []Effect {
	m.begin()
	if from == m.config.Self.Address || message.Scope > ScopeFleet || message.Zone >= membership.MaximumZones {
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
		m.answerCompare(from, message)
	}
	m.tell()
	return m.effects
}

func (m *Machine) begin() {
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

// receiveRecords takes in records and passes on those that were news.
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

// forgetStrangers drops the claims of daemons that have been no members for
// long.
func (m *Machine) forgetStrangers(now time.Duration) {
	for address, from := range m.claims.reporters {
		if address == m.config.Self.Address || m.isLive(address, from.incarnation) {
			delete(m.strange, address)
			continue
		}
		since, noted := m.strange[address]
		switch {
		case !noted:
			m.strange[address] = now
		case now >= since+forgetAfter:
			delete(m.strange, address)
			m.dropReporter(address, from)
		}
	}
}

func (m *Machine) dropReporter(address membership.Address, from *reporter) {
	for agent := range from.records {
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
