// This file implements the error responses of the API.

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

// ErrorCode classifies why a request failed.
type ErrorCode string

// The error codes.
const (
	CodeUnauthenticated ErrorCode = "unauthenticated"
	CodeForbidden       ErrorCode = "forbidden"
	CodeInvalid         ErrorCode = "invalid"
	CodeTooLarge        ErrorCode = "too_large"
	CodeRateExceeded    ErrorCode = "rate_exceeded"
	CodeNotFound        ErrorCode = "not_found"
	CodeInternal        ErrorCode = "internal"
)

// Status returns the HTTP status for the code.
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

// Error is the response to a request that failed. If the request holds a change,
// that change was not applied.
type Error struct {
	Code    ErrorCode `json:"error"`
	Message string    `json:"message"`
	// RetryAfter is sent in the Retry-After header, unless it is zero.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e Error) Error() string { return string(e.Code) + ": " + e.Message }

const jsonContentType = "application/json; charset=utf-8"

// writeError writes an error response. It is the error encoder of all paths.
func writeError(_ context.Context, err error, writer http.ResponseWriter) {
	var apiError Error
	if !errors.As(err, &apiError) {
		apiError = Error{Code: CodeInternal, Message: err.Error()}
	}
	if apiError.Code == CodeUnauthenticated {
		writer.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(writer, apiError.Code.Status(), apiError.RetryAfter, apiError)
}

func writeJSON(writer http.ResponseWriter, status int, retryAfter time.Duration, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("adminapi: cannot encode a response as JSON: " + err.Error())
	}
	header := writer.Header()
	header.Set("Content-Type", jsonContentType)
	header.Set("Cache-Control", "no-store")
	if retryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	writer.WriteHeader(status)
	// A write error means that the client has disconnected; there is no one to
	// report it to.
	_, _ = writer.Write(append(encoded, '\n'))
}

// formatRetryAfter rounds up to whole seconds, the unit of the Retry-After header.
func formatRetryAfter(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
