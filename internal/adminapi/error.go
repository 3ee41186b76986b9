// This file implements the answers to requests that are not served.

package adminapi

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrorCode tells why a request was not served.
type ErrorCode string

// The reasons for not serving a request.
const (
	CodeUnauthenticated ErrorCode = "unauthenticated"
	CodeForbidden       ErrorCode = "forbidden"
	CodeInvalid         ErrorCode = "invalid"
	CodeTooLarge        ErrorCode = "too_large"
	CodeRateExceeded    ErrorCode = "rate_exceeded"
	CodeNotFound        ErrorCode = "not_found"
	CodeInternal        ErrorCode = "internal"
)

// Status returns the status of the HTTP answer.
func (c ErrorCode) Status() int {
	switch c {
	case CodeUnauthenticated:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeRateExceeded:
		return http.StatusTooManyRequests
	case CodeNotFound:
		return http.StatusNotFound
	}
	return http.StatusInternalServerError
}

// Error is the answer to a request that was not served. A change in it was
// not applied.
type Error struct {
	Code    ErrorCode `json:"error"`
	Message string    `json:"message"`
	// RetryAfter is sent in the header of the answer, unless it is zero.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (f Error) Error() string { return string(f.Code) + ": " + f.Message }

const jsonContent = "application/json; charset=utf-8"

// writeFailure is the error encoder of all paths.
func writeFailure(_ context.Context, err error, writer http.ResponseWriter) {
	var failure Error
	if !errors.As(err, &failure) {
		failure = Error{Code: CodeInternal, Message: err.Error()}
	}
	if failure.Code == CodeUnauthenticated {
		writer.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(writer, failure.Code.Status(), failure.RetryAfter, failure)
}

func writeJSON(writer http.ResponseWriter, status int, retryAfter time.Duration, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("adminapi: cannot encode an answer: " + err.Error())
	}
	header := writer.Header()
	header.Set("Content-Type", jsonContent)
	header.Set("Cache-Control", "no-store")
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfterText(retryAfter))
	}
	writer.WriteHeader(status)
	// A caller that is gone cannot be told.
	_, _ = writer.Write(append(encoded, '\n'))
}

// retryAfterText rounds up to whole seconds, as the header takes them.
func retryAfterText(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
