// This file implements the seeded decision what happens to one packet: lost,
// duplicated, delayed or passed on.

package fabric

import (
	"math/rand/v2"
	"time"
)

// Impairment sets the probabilities, from 0 to 1, with which packets are
// disturbed. The zero value disturbs nothing.
type Impairment struct {
	// Loss is the probability that a packet is dropped.
	Loss float64
	// Duplication is the probability that a packet is sent twice.
	Duplication float64
	// Reordering is the probability that a packet is held back.
	Reordering float64
	// ReorderingDelay is how long a held packet waits.
	ReorderingDelay time.Duration
}

// Decision is what happens to one packet.
type Decision struct {
	// Copies is how many times the packet is sent; zero means lost.
	Copies int
	// Delay is how long the packet is held back before it is sent.
	Delay time.Duration
}

// Impairer decides the fate of successive packets. The same seed and settings
// give the same sequence. It is not safe for concurrent use.
type Impairer struct {
	settings Impairment
	random   *rand.Rand
}

// NewImpairer returns an Impairer with its own random sequence.
func NewImpairer(settings Impairment, seed uint64) *Impairer {
	return &Impairer{settings: settings, random: rand.New(rand.NewPCG(seed, seed))}
}

// Next decides the fate of the next packet. It always draws the same number
// of random values, so that one probability does not shift the others.
func (i *Impairer) Next() Decision {
	loss := i.random.Float64()
	duplication := i.random.Float64()
	reordering := i.random.Float64()
	if loss < i.settings.Loss {
		return Decision{}
	}
	fate := Decision{Copies: 1}
	if duplication < i.settings.Duplication {
		fate.Copies = 2
	}
	if reordering < i.settings.Reordering {
		fate.Delay = i.settings.ReorderingDelay
	}
	return fate
}
