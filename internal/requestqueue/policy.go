package requestqueue

import (
	"encoding/binary"
	"math"

	"github.com/vanetiller/vanetiller/internal/label"
)

// Discipline names an Order.
type Discipline uint8

// The disciplines.
const (
	// DisciplineNewestFirst is NewestFirst.
	DisciplineNewestFirst Discipline = iota
	// DisciplineEarliestDue is EarliestDue.
	DisciplineEarliestDue
	disciplineCount
)

var disciplineNames = []string{"newest_first", "earliest_due"}

// String returns the discipline in the form used in settings.
func (d Discipline) String() string { return label.Of(disciplineNames, d) }

// Disciplines lists every discipline.
func Disciplines() []Discipline { return label.All(disciplineCount) }

// Policy holds the settings of a queue. The zero value is newest first without a floor.
type Policy struct {
	Discipline Discipline
	// FairShare is the least part of the slots that requests of less urgent priorities get
	// together while they wait, from 0 to 1; 0 means none.
	FairShare float64
	// NetworkBits is how many leading bits of a client's address are its network, for
	// networks to take turns within a priority; 0 means that they do not.
	NetworkBits int
}

// NetworkOf returns the network of a client's address, which is the same for all unless
// networks take turns.
func (p Policy) NetworkOf(address [4]byte) Network {
	return Network(binary.BigEndian.Uint32(address[:]) &^ (math.MaxUint32 >> p.NetworkBits))
}

// NewOrder returns the order of a queue. It must not be shared between queues.
func (p Policy) NewOrder() Order {
	var order Order = NewestFirst{}
	if p.Discipline == DisciplineEarliestDue {
		order = EarliestDue{}
	}
	if p.NetworkBits > 0 {
		order = NewNetworkShare(order)
	}
	if p.FairShare > 0 {
		order = NewFairShare(order, p.FairShare)
	}
	return order
}
