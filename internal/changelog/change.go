package changelog

import (
	"time"

	"github.com/vanetiller/vanetiller/internal/table"
)

//go:generate go tool msgp -tests=false

// The limit prevents a forged array length from making the decoder allocate
// unbounded memory.
//
//msgp:limit arrays:1048576

// MaxTextLength is the maximum length of the identifier, author and reason
// of a change, in bytes.
const MaxTextLength = 256

// ChangeID identifies a change. The author of the change chooses it, and a retry
// of the change has the same identifier.
type ChangeID string

// Revision is a revision number of the platform's configuration service.
type Revision uint64

// CellUpdate sets cells of one row. Cells that are nil keep their values.
type CellUpdate struct {
	Backend         table.BackendID `msg:"b"`
	Weight          *uint32         `msg:"w"`
	ConnectionLimit *uint32         `msg:"l"`
	Drain           *bool           `msg:"d"`
	Zone            *string         `msg:"z,omitempty"`
}

// ZoneUpdate closes a zone to new flows, or reopens it.
type ZoneUpdate struct {
	Zone   string `msg:"z"`
	Closed bool   `msg:"c"`
	// Force closes the zone even if this leaves a service without a row that
	// accepts new flows.
	Force bool `msg:"f"`
}

// RowPrecondition requires that a row has not changed since a table version.
type RowPrecondition struct {
	Backend table.BackendID `msg:"b"`
	// Version is the table version at which the row must have changed last; zero
	// requires that the row does not exist.
	Version table.Version `msg:"v"`
}

// Import is a revision of the platform's configuration, to be merged into the
// table.
type Import struct {
	Revision Revision        `msg:"r"`
	Services []table.Service `msg:"s"`
	Backends []table.Backend `msg:"b"`
	// ClosedZones lists the zones that the platform has closed.
	ClosedZones []table.ClosedZone `msg:"z,omitempty"`
}

// Change is one change of the table. Its operations are applied in the order of
// the fields.
type Change struct {
	ID ChangeID `msg:"id"`
	// BaseVersion is the table version that the author knew when it made the
	// change. A retry keeps it.
	BaseVersion table.Version `msg:"base"`
	Author      string        `msg:"who"`
	// Timestamp is the author's time, in nanoseconds since the Unix epoch.
	Timestamp int64  `msg:"when"`
	Reason    string `msg:"why"`
	// ExpectedVersion is the table version that the change requires; zero
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

// Refusal names the row, the column and the rule that a change violates. It is
// stored with the outcome.
type Refusal struct {
	Row    string `msg:"row"`
	Column string `msg:"column"`
	Rule   string `msg:"rule"`
}

// CellError converts the refusal to a table.CellError.
func (r Refusal) CellError() table.CellError {
	return table.CellError{Row: r.Row, Column: r.Column, Rule: r.Rule}
}

// Outcome is the result of a change.
type Outcome struct {
	ID       ChangeID `msg:"id"`
	Accepted bool     `msg:"ok"`
	// Version is the table version after the change, accepted or not.
	Version table.Version `msg:"v"`
	// Refusal is set if the change was not accepted.
	Refusal *Refusal `msg:"no"`
}

// CellChange is one cell modified by an accepted change, in text form.
type CellChange struct {
	Row    string `msg:"row"`
	Column string `msg:"column"`
	Old    string `msg:"old"`
	New    string `msg:"new"`
}

// Record is the history entry of one accepted change.
type Record struct {
	Version   table.Version `msg:"v"`
	ID        ChangeID      `msg:"id"`
	Author    string        `msg:"who"`
	Timestamp int64         `msg:"when"`
	Reason    string        `msg:"why"`
	Cells     []CellChange  `msg:"cells"`
}
