// This file decodes HTTP requests.

package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/table"
)

type tableRequest struct {
	// service is the name of a service; empty selects all services.
	service string
}

type outcomeRequest struct{ id string }

type historyRequest struct {
	after table.Version
	limit int
}

type versionStatusRequest struct{ version table.Version }

type drainRequest struct {
	backend table.BackendID
	body    DrainRequest
}

type zoneRequest struct {
	zone string
	body ZoneRequest
}

// Limits of the number of records in a HistoryResponse.
const (
	DefaultHistoryLimit = 100
	MaxHistoryLimit     = 2000
)

// Names of query parameters and path values.
const (
	serviceParameter = "service"
	afterParameter   = "after"
	limitParameter   = "limit"
	idValue          = "id"
	versionValue     = "version"
	zoneValue        = "zone"
)

// checkParameters refuses unknown and repeated query parameters, so that a
// misspelt parameter is not silently ignored.
func checkParameters(query url.Values, allowed ...string) error {
	for _, name := range allowed {
		if len(query[name]) > 1 {
			return invalidRequest("parameter %s is given more than once", name)
		}
		query.Del(name)
	}
	for name := range query {
		return invalidRequest("unknown parameter %s", name)
	}
	return nil
}

func decodeTable(_ context.Context, request *http.Request) (any, error) {
	name := request.URL.Query().Get(serviceParameter)
	return tableRequest{name}, checkParameters(request.URL.Query(), serviceParameter)
}

func decodeEmpty(_ context.Context, request *http.Request) (any, error) {
	return nil, checkParameters(request.URL.Query())
}

func decodeOutcome(_ context.Context, request *http.Request) (any, error) {
	return outcomeRequest{request.PathValue(idValue)}, checkParameters(request.URL.Query())
}

func decodeHistory(_ context.Context, request *http.Request) (any, error) {
	query := request.URL.Query()
	if err := checkParameters(request.URL.Query(), afterParameter, limitParameter); err != nil {
		return nil, err
	}
	decoded := historyRequest{limit: DefaultHistoryLimit}
	if text := query.Get(afterParameter); text != "" {
		after, err := parseVersion(text)
		if err != nil {
			return nil, err
		}
		decoded.after = after
	}
	if text := query.Get(limitParameter); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > MaxHistoryLimit {
			return nil, invalidRequest("limit must be from 1 to %d", MaxHistoryLimit)
		}
		decoded.limit = limit
	}
	return decoded, nil
}

func parseVersion(text string) (table.Version, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidRequest("version %q is not a whole number", text)
	}
	return table.Version(version), nil
}

func decodeVersionStatus(_ context.Context, request *http.Request) (any, error) {
	version, err := parseVersion(request.PathValue(versionValue))
	if err != nil {
		return nil, err
	}
	return versionStatusRequest{version}, checkParameters(request.URL.Query())
}

func decodeDrain(_ context.Context, request *http.Request) (any, error) {
	id, err := strconv.ParseUint(request.PathValue(idValue), 10, 32)
	if err != nil {
		return nil, invalidRequest("row %q is not an identifier from 0 to 4294967295", request.PathValue(idValue))
	}
	decoded := drainRequest{backend: table.BackendID(id)}
	err = decodeBody(request, &decoded.body)
	return decoded, err
}

func decodeZone(_ context.Context, request *http.Request) (any, error) {
	decoded := zoneRequest{zone: request.PathValue(zoneValue)}
	err := decodeBody(request, &decoded.body)
	return decoded, err
}

func decodeChange(_ context.Context, request *http.Request) (any, error) {
	var decoded ChangeRequest
	err := decodeBody(request, &decoded)
	return decoded, err
}

func decodeSnapshot(_ context.Context, request *http.Request) (any, error) {
	var decoded SnapshotRequest
	err := decodeBody(request, &decoded)
	return decoded, err
}

// decodeBody decodes one JSON value and refuses unknown members. The caller must
// limit the size of the body.
func decodeBody(request *http.Request, target any) error {
	if err := checkParameters(request.URL.Query()); err != nil {
		return err
	}
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if decoder.More() {
		return invalidRequest("text after the JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return tooLargeError(tooLarge.Limit)
	}
	return invalidRequest("cannot decode the request body as JSON: %s", err)
}

func tooLargeError(limit int64) error {
	return Error{Code: CodeTooLarge, Message: "the body must have at most " + strconv.FormatInt(limit, 10) + " bytes"}
}
