package platform

import (
	"net/url"

	"github.com/pkg/errors"
)

// FetchReason is the reason for which a request failed.
type FetchReason uint8

// The reasons for a failed request.
const (
	// Unreachable means that no complete response arrived in time.
	Unreachable FetchReason = iota
	// BadStatus means an HTTP status other than 200.
	BadStatus
	// BadContent means a response that violates a rule, for example an invalid table.
	BadContent
)

// String returns the reason as text for error messages.
func (r FetchReason) String() string {
	switch r {
	case Unreachable:
		return "unreachable"
	case BadStatus:
		return "bad status"
	case BadContent:
		return "bad content"
	}
	return "unknown"
}

// FetchError is a failed request to the platform.
type FetchError struct {
	// URL is empty if the failure does not concern a single URL.
	URL    string
	Reason FetchReason
	// Cause is the underlying error, for example a table.CellError.
	Cause error
}

// Error implements error.
func (e FetchError) Error() string {
	return "platform: " + e.URL + ": " + e.Reason.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e FetchError) Unwrap() error { return e.Cause }

func asFetchError(err error) error {
	var fetchError FetchError
	if errors.As(err, &fetchError) {
		return fetchError
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return FetchError{urlError.URL, Unreachable, urlError.Err}
	}
	return FetchError{"", Unreachable, err}
}
