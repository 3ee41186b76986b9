package directory

import (
	"context"
	"time"

	"github.com/vanetiller/vanetiller/internal/label"
)

// Page is one answer to a listing.
type Page struct {
	Items []Item
	// Last is the last key of the page, and More is set if others follow it.
	LastKey string
	More    bool
	// At is the revision of the store when it answered.
	Revision Revision
}

// Changes is one answer to a watch: all changes after the revision asked for,
// up to Through.
type Changes struct {
	Items   []Item
	Through Revision
}

// Store is the platform's store of items. Both calls return a *StoreError if
// they fail.
type Store interface {
	// List returns a page of items whose keys come after a key.
	List(ctx context.Context, after string) (Page, error)
	// Watch waits for changes after a revision, for as long as given. The
	// answer is empty if there were none.
	Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error)
}

// StoreFailure is the reason why a call of the store failed.
type StoreFailure uint8

// The reasons why a call fails.
const (
	// StoreUnreachable: no whole answer came in time.
	StoreUnreachable StoreFailure = iota
	// StoreUnavailable: the store answered that it cannot serve now.
	StoreUnavailable
	// StoreThrottled: too many calls were made.
	StoreThrottled
	// StoreCompacted: the changes asked for are no longer known.
	StoreCompacted
	// StoreBadContent: the answer could not be understood.
	StoreBadContent
	storeFailureCount
)

// StoreFailures lists every reason, for counters that are kept by reason.
func StoreFailures() []StoreFailure { return label.All(storeFailureCount) }

var storeFailureNames = []string{"unreachable", "unavailable", "throttled", "compacted", "bad_content"}

// String returns the reason in the form used as a metric label.
func (f StoreFailure) String() string { return label.Of(storeFailureNames, f) }

// StoreError tells why a call of the store failed.
type StoreError struct {
	Failure StoreFailure
	Detail  string
}

// Error implements error.
func (e *StoreError) Error() string { return "store: " + e.Failure.String() + ": " + e.Detail }
