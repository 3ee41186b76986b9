package changelog

import (
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

// The limit prevents a forged array length from making the decoder allocate
// unbounded memory.
//
//msgp:limit arrays:1048576

// RowVersion is the table version at which a row last changed.
type RowVersion struct {
	Backend table.BackendID `msg:"b"`
	Version table.Version   `msg:"v"`
}

// Snapshot is the serialized form of the whole state. Every slice has a defined
// order, so that equal states have equal encodings.
type Snapshot struct {
	Table       table.Table  `msg:"table"`
	RowVersions []RowVersion `msg:"rows"`
	// RetiredServices lists the identifiers of removed services, which must not
	// be reused.
	RetiredServices []table.ServiceID `msg:"retired"`
	// Imported is the last imported revision of the platform.
	Imported Import `msg:"imported"`
	// Outcomes are in the order in which the changes were applied.
	Outcomes []Outcome `msg:"outcomes"`
	// OutcomesDroppedThrough is the table version of the latest outcome that was
	// dropped. Changes with an older base version are refused, since they may be
	// retries of an accepted change whose outcome was dropped.
	OutcomesDroppedThrough table.Version `msg:"forgotten"`
	// History is in the order in which the changes were applied.
	History []Record `msg:"history"`
}

// Encode returns the canonical encoding of the state.
func (s *State) Encode() ([]byte, error) {
	encoded, err := s.snapshot.MarshalMsg(nil)
	return encoded, errors.Wrap(err, "changelog: encode snapshot")
}

// Decode restores a state from the result of Encode. It fails if the encoding is
// malformed or its table is invalid.
func Decode(limits Limits, encoded []byte) (*State, error) {
	state := NewState(limits)
	rest, err := state.snapshot.UnmarshalMsg(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "changelog: decode snapshot")
	}
	if len(rest) > 0 {
		return nil, errors.Errorf("changelog: decode snapshot: %d bytes follow its end", len(rest))
	}
	if err := state.snapshot.Table.Validate(); err != nil {
		return nil, errors.Wrap(err, "changelog: invalid table in snapshot")
	}
	state.indexOutcomes()
	return state, nil
}
