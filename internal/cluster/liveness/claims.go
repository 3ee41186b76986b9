// This file implements the store of all known claims.

package liveness

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/membership"
	"github.com/vanetiller/vanetiller/internal/table"
)

const (
	// maxClaims limits the claims kept of one daemon.
	maxClaims = 4096
	// maxReporters limits the daemons whose claims are kept.
	maxReporters = 4096
)

// reporter holds the claims of one process.
type reporter struct {
	incarnation membership.Incarnation
	records     map[table.Endpoint]Record
	hash        uint64
}

func newReporter(incarnation membership.Incarnation) *reporter {
	return &reporter{incarnation: incarnation, records: make(map[table.Endpoint]Record)}
}

// put stores a record. It reports whether the record was new.
func (r *reporter) put(record Record) bool {
	known, exists := r.records[record.Claim.Agent]
	if exists && known.Sequence >= record.Sequence || !exists && len(r.records) >= maxClaims {
		return false
	}
	if exists {
		r.hash ^= known.hash()
	}
	r.records[record.Claim.Agent] = record
	r.hash ^= record.hash()
	return true
}

// sorted returns the records ordered by agent.
func (r *reporter) sorted() []Record {
	records := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Claim.Agent < b.Claim.Agent {
			return -1
		}
		return 1
	})
	return records
}

// hash covers the origin of the record, its sequence and the agent. These identify the claim,
// so that daemons with equal hashes hold the same claims.
func (r Record) hash() uint64 {
	var encoded [24]byte
	binary.BigEndian.PutUint64(encoded[0:], uint64(r.Reporter))
	binary.BigEndian.PutUint64(encoded[8:], uint64(r.Incarnation))
	binary.BigEndian.PutUint64(encoded[16:], r.Sequence)
	digest := xxhash.New()
	_, _ = digest.Write(encoded[:])
	_, _ = digest.WriteString(string(r.Claim.Agent))
	return digest.Sum64()
}

// valid reports whether a record received from the network is well formed.
func (r Record) valid() bool {
	return r.Reporter != 0 && r.Claim.Condition <= Leaving && r.Claim.Agent != ""
}

// claims holds the claims of all processes.
type claims struct {
	reporters map[membership.Address]*reporter
	// byAgent lists the daemons that claim a condition of each agent.
	byAgent map[table.Endpoint][]membership.Address
}

func newClaims() claims {
	return claims{
		reporters: make(map[membership.Address]*reporter),
		byAgent:   make(map[table.Endpoint][]membership.Address),
	}
}

// put stores a record. It reports whether the record was new. The first record of a later
// process discards all claims of the earlier one.
func (c *claims) put(record Record) bool {
	origin, known := c.reporters[record.Reporter]
	switch {
	case known && record.Incarnation < origin.incarnation:
		return false
	case !known && len(c.reporters) >= maxReporters:
		return false
	case !known || record.Incarnation > origin.incarnation:
		c.drop(record.Reporter)
		origin = newReporter(record.Incarnation)
		c.reporters[record.Reporter] = origin
	}
	if !origin.put(record) {
		return false
	}
	agent := record.Claim.Agent
	if !slices.Contains(c.byAgent[agent], record.Reporter) {
		c.byAgent[agent] = append(c.byAgent[agent], record.Reporter)
	}
	return true
}

// drop removes all claims of a daemon.
func (c *claims) drop(address membership.Address) {
	origin, known := c.reporters[address]
	if !known {
		return
	}
	for agent := range origin.records {
		left := slices.DeleteFunc(c.byAgent[agent], func(other membership.Address) bool { return other == address })
		if len(left) == 0 {
			delete(c.byAgent, agent)
			continue
		}
		c.byAgent[agent] = left
	}
	delete(c.reporters, address)
}
