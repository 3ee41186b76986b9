// This file implements the seeded decision whether a packet is dropped, duplicated,
// delayed or forwarded unchanged.

package fabric

import (
	"math/rand/v2"
	"time"
)

// Impairment sets the probabilities, from 0 to 1, of impairments. The zero value impairs
// nothing.
type Impairment struct {
	// Loss is the probability that a packet is dropped.
	Loss float64
	// Duplication is the probability that a packet is sent twice.
	Duplication float64
	// Reordering is the probability that a packet is delayed, so that later ones overtake it.
	Reordering float64
	// ReorderingDelay is the delay of such a packet.
	ReorderingDelay time.Duration
}

// Decision is the impairment of one packet.
type Decision struct {
	// Copies is how many times the packet is sent. Zero drops it.
	Copies int
	// Delay is how long the packet is delayed before it is sent.
	Delay time.Duration
}

// Impairer decides the impairment of successive packets. The same seed and settings give the
// same sequence. It is not safe for concurrent use.
type Impairer struct {
	settings Impairment
	random   *rand.Rand
}

// NewImpairer returns an Impairer with its own random sequence.
func NewImpairer(settings Impairment, seed uint64) *Impairer {
	return &Impairer{settings: settings, random: rand.New(rand.NewPCG(seed, seed))}
}

// Next decides the impairment of the next packet. It draws the same number of random values
// for each packet, so that one probability does not affect the draws of the others.
func (i *Impairer) Next() Decision {
	loss := i.random.Float64()
	duplication := i.random.Float64()
	reordering := i.random.Float64()
	if loss < i.settings.Loss {
		return Decision{}
	}
	decision := Decision{Copies: 1}
	if duplication < i.settings.Duplication {
		decision.Copies = 2
	}
	if reordering < i.settings.Reordering {
		decision.Delay = i.settings.ReorderingDelay
	}
	return decision
}
