// This file implements the tokens file: strict TOML that is checked as a
// whole.

package tenant

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

// Limits bounds what one team may ask of one process.
type Limits struct {
	// RequestsPerSecond is the sustained rate of requests.
	RequestsPerSecond float64
	// Burst is the number of requests that may come at once.
	Burst int
	// RequestSize is the largest body of a request, in bytes.
	RequestSize int64
}

// DefaultLimits are the limits of administrators and of a team whose entry
// leaves them out.
func DefaultLimits() Limits {
	return Limits{RequestsPerSecond: 10, Burst: 50, RequestSize: 4 << 20}
}

// The bounds of limits.
const (
	MaxRequestsPerSecond = 10_000
	MaxBurst             = 100_000
	MaxRequestSize       = 64 << 20
)

// holder is what the file says of one token.
type holder struct {
	principal Principal
	// expires is the end of the token's validity; zero means none.
	expires time.Time
}

// Credentials is the checked content of a tokens file. It is never changed.
type Credentials struct {
	holders map[Hash]holder
	limits  map[Team]Limits
}

// Error is the first broken rule of a tokens file.
type Error struct {
	File string
	// Entry is the entry that breaks the rule, such as token "anna". It is
	// empty for text that is not TOML.
	Entry string
	Key   string
	Rule  string
}

// Error implements error in the form file: entry: key: rule.
func (e Error) Error() string {
	parts := []string{e.File}
	for _, part := range []string{e.Entry, e.Key, e.Rule} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

type document struct {
	Teams  []teamEntry  `toml:"team"`
	Tokens []TokenEntry `toml:"token"`
}

type teamEntry struct {
	Name              string   `toml:"name"`
	RequestsPerSecond *float64 `toml:"requests_per_second"`
	Burst             *int     `toml:"burst"`
	RequestSize       *int64   `toml:"request_size"`
}

// TokenEntry is one [[token]] of a tokens file.
type TokenEntry struct {
	// Name is written into the history of changes.
	Name string `toml:"name"`
	// Hash is that of the token in text form.
	Hash string `toml:"hash"`
	Role Role   `toml:"role"`
	// Team is empty for administrators only.
	Team Team `toml:"team,omitempty"`
	// Expires is the end of the token's validity; zero means none.
	Expires time.Time `toml:"expires,omitzero"`
}

// Encode returns the entry as it stands in a tokens file. It fails with an
// Error if the entry breaks a rule; that the team exists is not checked.
func (e TokenEntry) Encode() (string, error) {
	trial := &Credentials{
		holders: make(map[Hash]holder),
		limits:  map[Team]Limits{"": DefaultLimits(), e.Team: DefaultLimits()},
	}
	if err := trial.addToken(e, make(map[string]bool)); err != nil {
		return "", err
	}
	encoded, err := toml.Marshal(struct {
		Tokens []TokenEntry `toml:"token"`
	}{[]TokenEntry{e}})
	return string(encoded), errors.Wrap(err, "tokens")
}

// ParseCredentials checks the content of a tokens file; file is the name used in
// errors. It returns an Error for the first broken rule.
func ParseCredentials(file string, data []byte) (*Credentials, error) {
	var raw document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return nil, syntaxError(file, err)
	}
	directory := &Credentials{
		holders: make(map[Hash]holder, len(raw.Tokens)),
		limits:  map[Team]Limits{"": DefaultLimits()},
	}
	for _, entry := range raw.Teams {
		if err := directory.addTeam(entry); err != nil {
			return nil, inFile(file, err)
		}
	}
	names := make(map[string]bool, len(raw.Tokens))
	for _, entry := range raw.Tokens {
		if err := directory.addToken(entry, names); err != nil {
			return nil, inFile(file, err)
		}
	}
	if len(raw.Tokens) == 0 {
		return nil, Error{File: file, Rule: "must have at least one [[token]]"}
	}
	return directory, nil
}

func inFile(file string, err error) error {
	var broken Error
	if errors.As(err, &broken) {
		broken.File = file
		return broken
	}
	return err
}

func syntaxError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return Error{File: file, Key: strings.Join(unknown.Errors[0].Key(), "."), Rule: "is not a known key"}
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return Error{File: file, Entry: fmt.Sprintf("line %d", line), Rule: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	return Error{File: file, Rule: err.Error()}
}

func (d *Credentials) addTeam(entry teamEntry) error {
	broken := func(key, rule string, arguments ...any) error {
		return Error{Entry: fmt.Sprintf("team %q", entry.Name), Key: key, Rule: fmt.Sprintf(rule, arguments...)}
	}
	if entry.Name == "" || len(entry.Name) > table.MaxNameLength {
		return broken("name", "must have 1 to %d bytes", table.MaxNameLength)
	}
	if strings.Contains(entry.Name, "/") {
		return broken("name", "must not contain a slash")
	}
	if _, exists := d.limits[Team(entry.Name)]; exists {
		return broken("name", "must be unique")
	}
	limits := DefaultLimits()
	if entry.RequestsPerSecond != nil {
		limits.RequestsPerSecond = *entry.RequestsPerSecond
	}
	if entry.Burst != nil {
		limits.Burst = *entry.Burst
	}
	if entry.RequestSize != nil {
		limits.RequestSize = *entry.RequestSize
	}
	// The negated form refuses what is not a number, too.
	if !(limits.RequestsPerSecond > 0 && limits.RequestsPerSecond <= MaxRequestsPerSecond) {
		return broken("requests_per_second", "must be above 0 and at most %d", MaxRequestsPerSecond)
	}
	if limits.Burst < 1 || limits.Burst > MaxBurst {
		return broken("burst", "must be from 1 to %d", MaxBurst)
	}
	if limits.RequestSize < 1 || limits.RequestSize > MaxRequestSize {
		return broken("request_size", "must be from 1 to %d bytes", MaxRequestSize)
	}
	d.limits[Team(entry.Name)] = limits
	return nil
}

func (d *Credentials) addToken(entry TokenEntry, names map[string]bool) error {
	broken := func(key, rule string, arguments ...any) error {
		return Error{Entry: fmt.Sprintf("token %q", entry.Name), Key: key, Rule: fmt.Sprintf(rule, arguments...)}
	}
	if entry.Name == "" || len(entry.Name) > table.MaxNameLength {
		return broken("name", "must have 1 to %d bytes", table.MaxNameLength)
	}
	if names[entry.Name] {
		return broken("name", "must be unique")
	}
	names[entry.Name] = true
	hash, err := ParseHash(entry.Hash)
	if err != nil {
		return broken("hash", "%s", err)
	}
	if _, exists := d.holders[hash]; exists {
		return broken("hash", "must be unique")
	}
	switch entry.Role {
	case RoleViewer, RoleEditor:
		if entry.Team == "" {
			return broken("team", "is required for a viewer or editor")
		}
	case RoleAdministrator:
		if entry.Team != "" {
			return broken("team", "must not be given for an administrator")
		}
	default:
		return broken("role", "must be viewer, editor or administrator")
	}
	limits, exists := d.limits[entry.Team]
	if !exists {
		return broken("team", "names no [[team]] of the file")
	}
	d.holders[hash] = holder{
		principal: Principal{Name: entry.Name, Role: entry.Role, Team: entry.Team, RequestSize: limits.RequestSize},
		expires:   entry.Expires,
	}
	return nil
}

// Authenticate returns the holder of a token, if the token is known and has
// not expired.
func (d *Credentials) Authenticate(token Token, now time.Time) (Principal, bool) {
	found, known := d.holders[token.Hash()]
	if !known || !found.expires.IsZero() && !now.Before(found.expires) {
		return Principal{}, false
	}
	return found.principal, true
}
