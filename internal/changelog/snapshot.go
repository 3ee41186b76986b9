package changelog

import (
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound.
//
//msgp:limit arrays:1048576

// RowVersion is the table version of a row's last change.
type RowVersion struct {
	Backend table.BackendID `msg:"b"`
	Version table.Version   `msg:"v"`
}

// Snapshot is the whole state. Every slice is in a fixed order, so that equal
// states have equal encodings.
type Snapshot struct {
	Table       table.Table  `msg:"table"`
	RowVersions []RowVersion `msg:"rows"`
	// RetiredServices are the identifiers that must not be used again.
	RetiredServices []table.ServiceID `msg:"retired"`
	// Imported is the platform's revision imported last.
	Imported Import `msg:"imported"`
	// Outcomes are in the order of application.
	Outcomes []Outcome `msg:"outcomes"`
	// OutcomesDroppedThrough is the table version up to which outcomes were dropped.
	OutcomesDroppedThrough table.Version `msg:"forgotten"`
	// History is in the order of application.
	History []Record `msg:"history"`
}

// Encode returns the canonical encoding of the state.
func (s *State) Encode() ([]byte, error) {
	encoded, err := s.snapshot.MarshalMsg(nil)
	return encoded, errors.Wrap(err, "changelog snapshot")
}

// Decode returns the state of an encoding made by Encode. It fails for an
// encoding that is damaged or holds a table that Validate refuses.
func Decode(limits Limits, encoded []byte) (*State, error) {
	state := NewState(limits)
	rest, err := state.snapshot.UnmarshalMsg(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "changelog snapshot")
	}
	if len(rest) > 0 {
		return nil, errors.Errorf("changelog snapshot: %d bytes after its end", len(rest))
	}
	if err := state.snapshot.Table.Validate(); err != nil {
		return nil, errors.Wrap(err, "changelog snapshot")
	}
	state.indexOutcomes()
	return state, nil
}
