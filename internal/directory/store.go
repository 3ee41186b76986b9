package directory

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
)

// Page is one response to a listing.
type Page struct {
	Items []Item
	// LastKey is the last key of the page.
	LastKey string
	// More is set if the store has keys after LastKey.
	More bool
	// Revision is the revision of the store when it responded.
	Revision Revision
}

// Changes is one response to a watch. It contains all changes after the requested revision, up
// to and including the revision Through.
type Changes struct {
	Items   []Item
	Through Revision
}

// Store is the platform's metadata store. Both methods return a *StoreError on failure.
type Store interface {
	// List returns a page of the items whose keys sort after the given key.
	List(ctx context.Context, after string) (Page, error)
	// Watch waits up to the given time for changes after the given revision. The result has no
	// items if nothing changed.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

// StoreFailure is the reason why a call to the store failed.
type StoreFailure uint8

// The reasons are in the order of storeFailureNames.
const (
	// StoreUnreachable means that no complete response arrived in time.
	StoreUnreachable StoreFailure = iota
	// StoreUnavailable means that the store responded that it cannot serve the call.
	StoreUnavailable
	// StoreThrottled means that the store rejected the call because of its rate limit.
	StoreThrottled
	// StoreCompacted means that the store no longer keeps the requested changes, so the caller
	// has to list all items again.
	StoreCompacted
	// StoreBadContent means that the response could not be decoded.
	StoreBadContent
	storeFailureCount
)

// StoreFailures lists every reason, for counters labelled by reason.
func StoreFailures() []StoreFailure { return label.All(storeFailureCount) }

var storeFailureNames = []string{"unreachable", "unavailable", "throttled", "compacted", "bad_content"}

// String returns the reason as a metric label value.
func (f StoreFailure) String() string { return label.Of(storeFailureNames, f) }

// outage reports whether the store was unreachable or unavailable, as opposed to a call that it
// rejected.
func (f StoreFailure) outage() bool { return f == StoreUnreachable || f == StoreUnavailable }

// StoreError describes a failed call to the store.
type StoreError struct {
	Failure StoreFailure
	Detail  string
}

// Error implements error.
func (e *StoreError) Error() string { return "store: " + e.Failure.String() + ": " + e.Detail }
