package lookup

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Candidate is a row that can be the primary of a slot. A weight of 0 excludes it.
type Candidate struct {
	Backend table.BackendID
	Weight  uint32
}

// NoCandidate marks a slot without a primary.
const NoCandidate = -1

const (
	minSlots = 256
	maxSlots = 4096
	// slotGrowth is the factor between consecutive slot counts.
	slotGrowth = 4
	// minSlotsPerRow is the number of slots per row below which the next larger count
	// is used.
	minSlotsPerRow = 8
)

// SlotCount returns the number of hash slots of a service with the given number of rows.
// It is a power of two. A change of the count moves most slots to other rows, so there are
// only three counts: up to 32 rows, up to 128 rows, and beyond.
func SlotCount(rows int) int {
	count := minSlots
	for count < rows*minSlotsPerRow && count < maxSlots {
		count *= slotGrowth
	}
	return count
}

// SlotOf returns the slot of a flow hash among count slots. count must be a power of two.
func SlotOf(flowHash uint64, count int) int {
	return int(flowHash>>32) & (count - 1)
}

// Primary returns the index of the candidate that is the primary of the slot, by weighted
// rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", 1998; weights after Schindelhauer and Schomaker,
// "Weighted distributed hash tables", 2005). Removing a candidate moves only its own
// slots. It returns NoCandidate if all weights are 0.
func Primary(service table.ServiceID, slot int, candidates []Candidate) int {
	best := NoCandidate
	var leader contender
	for index, candidate := range candidates {
		if candidate.Weight == 0 {
			continue
		}
		challenger := contender{hash: rendezvousHash(service, slot, candidate.Backend), weight: candidate.Weight}
		if best != NoCandidate && challenger.cannotBeat(leader) {
			continue
		}
		challenger.score = negativeLog2(challenger.hash)
		if best == NoCandidate || scoreLess(challenger.score, challenger.weight, leader.score, leader.weight) {
			best = index
			leader = challenger
		}
	}
	return best
}

// contender is a candidate with its hash and score for one slot.
type contender struct {
	hash   uint64
	weight uint32
	score  uint64
}

// cannotBeat returns true only if the score of c cannot be less than that of the leader. It
// does not use the score of c: equal weights compare like the hashes, and otherwise the
// leading zeros of the hash give a lower bound of the score. This avoids computing most
// logarithms and does not change the result of Primary.
func (c contender) cannotBeat(leader contender) bool {
	if c.weight == leader.weight {
		return c.hash <= leader.hash
	}
	leastScore := uint64(bits.LeadingZeros64(c.hash)) << logFractionBits
	return !scoreLess(leastScore, c.weight, leader.score, leader.weight)
}

// scoreLess reports whether a/weightA < b/weightB. Integer arithmetic gives the same
// result on every processor.
func scoreLess(a uint64, weightA uint32, b uint64, weightB uint32) bool {
	return a*uint64(weightB) < b*uint64(weightA)
}

func rendezvousHash(service table.ServiceID, slot int, backend table.BackendID) uint64 {
	var encoded [12]byte
	// A single store as wide as the first load of Sum64 avoids a store-forwarding stall.
	binary.BigEndian.PutUint64(encoded[0:], uint64(service)<<32|uint64(uint32(slot)))
	binary.BigEndian.PutUint32(encoded[8:], uint32(backend))
	return xxhash.Sum64(encoded[:])
}

const logFractionBits = 24

// negativeLog2 returns -log2(value / 2^64) as a fixed-point number with
// logFractionBits fraction bits, by repeated squaring.
func negativeLog2(value uint64) uint64 {
	if value == 0 {
		value = 1
	}
	leading := bits.LeadingZeros64(value)
	mantissa := value << leading // in [2^63, 2^64), represents [1, 2)
	var fraction uint64
	for range logFractionBits {
		high, low := bits.Mul64(mantissa, mantissa) // represents [1, 4)
		bit := high >> 63
		fraction = fraction<<1 | bit
		if bit == 0 {
			high = high<<1 | low>>63
		}
		mantissa = high
	}
	integer := uint64(63-leading)<<logFractionBits | fraction
	return 64<<logFractionBits - integer
}
