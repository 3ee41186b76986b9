package changelog

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

// A forged length must not make the decoder allocate without bound.
//
//msgp:limit arrays:1048576

// MaximumTextLength bounds the identifier, author and reason of a change, in
// bytes.
const MaximumTextLength = 256

// ChangeID identifies a change. Whoever makes the change chooses it; a repeat
// of the change has the same identifier.
type ChangeID string

// Revision numbers the states of the platform's configuration service.
type Revision uint64

// CellUpdate sets cells of one row; a nil cell stays as it is.
type CellUpdate struct {
	Backend         table.BackendID `msg:"b"`
	Weight          *uint32         `msg:"w"`
	ConnectionLimit *uint32         `msg:"l"`
	Drain           *bool           `msg:"d"`
	Zone            *string         `msg:"z,omitempty"`
}

// ZoneUpdate closes a zone to new flows, or opens it again.
type ZoneUpdate struct {
	Zone   string `msg:"z"`
	Closed bool   `msg:"c"`
	// Force closes it even if a service then has no row that gets new flows.
	Force bool `msg:"f"`
}

// RowPrecondition makes a change depend on a row not having changed since a
// table version.
type RowPrecondition struct {
	Backend table.BackendID `msg:"b"`
	// Version is the table version of the row's last change; zero means that
	// the row does not exist.
	Version table.Version `msg:"v"`
}

// Import brings in a revision of the platform's configuration.
type Import struct {
	Revision Revision        `msg:"r"`
	Services []table.Service `msg:"s"`
	Backends []table.Backend `msg:"b"`
	// ClosedZones are those that the platform has closed.
	ClosedZones []table.ClosedZone `msg:"z,omitempty"`
}

// Change is one change of the table. Its parts are applied in the order of the
// fields.
type Change struct {
	ID ChangeID `msg:"id"`
	// BaseVersion is the table version known to the author when the change was made.
	// A repeat keeps it.
	BaseVersion table.Version `msg:"base"`
	Author      string        `msg:"who"`
	// Timestamp is the author's time, in nanoseconds since 1970.
	Timestamp int64  `msg:"when"`
	Reason    string `msg:"why"`
	// ExpectedVersion is the table version that the change depends on; zero
	// means any.
	ExpectedVersion table.Version     `msg:"ev"`
	ExpectedRows    []RowPrecondition `msg:"er"`
	AddServices     []table.Service   `msg:"as"`
	AddBackends     []table.Backend   `msg:"ab"`
	Cells           []CellUpdate      `msg:"c"`
	RemoveBackends  []table.BackendID `msg:"rb"`
	RemoveServices  []table.ServiceID `msg:"rs"`
	Zones           []ZoneUpdate      `msg:"z,omitempty"`
	Import          *Import           `msg:"im"`
}

// Time returns the author's time of the change.
func (c *Change) Time() time.Time { return time.Unix(0, c.Timestamp).UTC() }

// Refusal names the row, the column and the rule that a change breaks.
type Refusal struct {
	Row    string `msg:"row"`
	Column string `msg:"column"`
	Rule   string `msg:"rule"`
}

// CellError returns the refusal as the table's error.
func (r Refusal) CellError() table.CellError {
	return table.CellError{Row: r.Row, Column: r.Column, Rule: r.Rule}
}

// Outcome is what became of a change.
type Outcome struct {
	ID       ChangeID `msg:"id"`
	Accepted bool     `msg:"ok"`
	// Version is the table version after the change.
	Version table.Version `msg:"v"`
	// Refusal is set if the change was not accepted.
	Refusal *Refusal `msg:"no"`
}

// CellChange is one cell that an accepted change altered, in text form.
type CellChange struct {
	Row    string `msg:"row"`
	Column string `msg:"column"`
	Old    string `msg:"old"`
	New    string `msg:"new"`
}

// Record is one accepted change in the history.
type Record struct {
	Version   table.Version `msg:"v"`
	ID        ChangeID      `msg:"id"`
	Author    string        `msg:"who"`
	Timestamp int64         `msg:"when"`
	Reason    string        `msg:"why"`
	Cells     []CellChange  `msg:"cells"`
}
