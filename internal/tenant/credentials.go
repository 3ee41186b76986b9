// This file parses and validates the tokens file, which is TOML without unknown
// keys.

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

// Limits bounds the requests of one team to one process.
type Limits struct {
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64
	// Burst is the maximum number of requests admitted at once.
	Burst int
	// RequestSize is the maximum size of a request body, in bytes.
	RequestSize int64
}

// DefaultLimits returns the limits of administrators, and the defaults for limits
// that the entry of a team omits.
func DefaultLimits() Limits {
	return Limits{RequestsPerSecond: 10, Burst: 50, RequestSize: 4 << 20}
}

// Upper bounds of the configurable limits.
const (
	MaxRequestsPerSecond = 10_000
	MaxBurst             = 100_000
	MaxRequestSize       = 64 << 20
)

// holder is the validated entry of one token.
type holder struct {
	principal Principal
	// expires is when the token expires; zero means never.
	expires time.Time
}

// Credentials is the validated content of a tokens file. It is immutable.
type Credentials struct {
	holders map[Hash]holder
	limits  map[Team]Limits
}

// Error describes the first violated rule of a tokens file.
type Error struct {
	File string
	// Entry is the invalid entry, such as token "anna", or the line of a syntax
	// error. It is empty for an unknown key and for a rule about the whole file.
	Entry string
	Key   string
	Rule  string
}

// Error formats the error as "file: entry: key: rule" without empty parts.
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

// TokenEntry is one [[token]] entry of a tokens file.
type TokenEntry struct {
	// Name is recorded in the history as the author of changes.
	Name string `toml:"name"`
	// Hash is the hash of the token in the format of Hash.String.
	Hash string `toml:"hash"`
	Role Role   `toml:"role"`
	// Team is empty for administrators and required for other roles.
	Team Team `toml:"team,omitempty"`
	// Expires is when the token expires; zero means never.
	Expires time.Time `toml:"expires,omitzero"`
}

// Encode returns the entry in the format of the tokens file. It fails with an
// Error if the entry is invalid. It does not check that the team exists.
func (e TokenEntry) Encode() (string, error) {
	scratch := &Credentials{
		holders: make(map[Hash]holder),
		limits:  map[Team]Limits{"": DefaultLimits(), e.Team: DefaultLimits()},
	}
	if err := scratch.addToken(e, make(map[string]bool)); err != nil {
		return "", err
	}
	encoded, err := toml.Marshal(struct {
		Tokens []TokenEntry `toml:"token"`
	}{[]TokenEntry{e}})
	return string(encoded), errors.Wrap(err, "encode the token entry as TOML")
}

// ParseCredentials parses and validates the content of a tokens file. The name file
// is used in errors. It returns an Error for the first violated rule.
func ParseCredentials(file string, data []byte) (*Credentials, error) {
	var parsed document
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return nil, syntaxError(file, err)
	}
	credentials := &Credentials{
		holders: make(map[Hash]holder, len(parsed.Tokens)),
		limits:  map[Team]Limits{"": DefaultLimits()},
	}
	for _, entry := range parsed.Teams {
		if err := credentials.addTeam(entry); err != nil {
			return nil, withFile(file, err)
		}
	}
	names := make(map[string]bool, len(parsed.Tokens))
	for _, entry := range parsed.Tokens {
		if err := credentials.addToken(entry, names); err != nil {
			return nil, withFile(file, err)
		}
	}
	if len(parsed.Tokens) == 0 {
		return nil, Error{File: file, Rule: "must have at least one [[token]]"}
	}
	return credentials, nil
}

func withFile(file string, err error) error {
	var invalid Error
	if errors.As(err, &invalid) {
		invalid.File = file
		return invalid
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

func (c *Credentials) addTeam(entry teamEntry) error {
	violation := func(key, rule string, arguments ...any) error {
		return Error{Entry: fmt.Sprintf("team %q", entry.Name), Key: key, Rule: fmt.Sprintf(rule, arguments...)}
	}
	if entry.Name == "" || len(entry.Name) > table.MaxNameLength {
		return violation("name", "must have 1 to %d bytes", table.MaxNameLength)
	}
	if strings.Contains(entry.Name, "/") {
		return violation("name", "must not contain a slash")
	}
	if _, exists := c.limits[Team(entry.Name)]; exists {
		return violation("name", "must be unique")
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
	// The condition is negated so that it also rejects NaN.
	if !(limits.RequestsPerSecond > 0 && limits.RequestsPerSecond <= MaxRequestsPerSecond) {
		return violation("requests_per_second", "must be above 0 and at most %d", MaxRequestsPerSecond)
	}
	if limits.Burst < 1 || limits.Burst > MaxBurst {
		return violation("burst", "must be from 1 to %d", MaxBurst)
	}
	if limits.RequestSize < 1 || limits.RequestSize > MaxRequestSize {
		return violation("request_size", "must be from 1 to %d bytes", MaxRequestSize)
	}
	c.limits[Team(entry.Name)] = limits
	return nil
}

func (c *Credentials) addToken(entry TokenEntry, names map[string]bool) error {
	violation := func(key, rule string, arguments ...any) error {
		return Error{Entry: fmt.Sprintf("token %q", entry.Name), Key: key, Rule: fmt.Sprintf(rule, arguments...)}
	}
	if entry.Name == "" || len(entry.Name) > table.MaxNameLength {
		return violation("name", "must have 1 to %d bytes", table.MaxNameLength)
	}
	if names[entry.Name] {
		return violation("name", "must be unique")
	}
	names[entry.Name] = true
	hash, err := ParseHash(entry.Hash)
	if err != nil {
		return violation("hash", "%s", err)
	}
	if _, exists := c.holders[hash]; exists {
		return violation("hash", "must be unique")
	}
	switch entry.Role {
	case RoleViewer, RoleEditor:
		if entry.Team == "" {
			return violation("team", "is required for a viewer or editor")
		}
	case RoleAdministrator:
		if entry.Team != "" {
			return violation("team", "must not be given for an administrator")
		}
	default:
		return violation("role", "must be viewer, editor or administrator")
	}
	limits, exists := c.limits[entry.Team]
	if !exists {
		return violation("team", "names no [[team]] of the file")
	}
	c.holders[hash] = holder{
		principal: Principal{Name: entry.Name, Role: entry.Role, Team: entry.Team, RequestSize: limits.RequestSize},
		expires:   entry.Expires,
	}
	return nil
}

// Authenticate returns the principal of a token. It returns false if the token is
// unknown or has expired.
func (c *Credentials) Authenticate(token Token, now time.Time) (Principal, bool) {
	found, known := c.holders[token.Hash()]
	if !known || !found.expires.IsZero() && !now.Before(found.expires) {
		return Principal{}, false
	}
	return found.principal, true
}
