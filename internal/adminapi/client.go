// This file implements the client of the API.

package adminapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/vanetiller/vanetiller/internal/table"
	"github.com/vanetiller/vanetiller/internal/tenant"
)

// MaxResponseSize is the maximum size of a response body, in bytes.
const MaxResponseSize = 64 << 20

// Client sends requests to one API server. It is safe for concurrent use.
type Client struct {
	server *url.URL
	token  tenant.Token
	http   *http.Client
}

// NewClient returns a client for the server at a URL such as
// https://192.0.2.10:8443. It fails unless the URL has a host and the scheme
// https or http.
func NewClient(server string, token tenant.Token, transport *http.Client) (*Client, error) {
	parsed, err := url.Parse(server)
	if err != nil || parsed.Host == "" || parsed.Scheme != "https" && parsed.Scheme != "http" {
		return nil, errors.Errorf("server %q: must be a URL such as https://192.0.2.10:8443", server)
	}
	return &Client{server: parsed, token: token, http: transport}, nil
}

// Table returns the table, restricted to one service unless the name is empty.
func (c *Client) Table(ctx context.Context, service string) (TableResponse, error) {
	query := url.Values{}
	if service != "" {
		query.Set(serviceParameter, service)
	}
	return get[TableResponse](ctx, c, query, "v1", "table")
}

// History returns up to limit of the latest records after a version, oldest
// first.
func (c *Client) History(ctx context.Context, after table.Version, limit int) (HistoryResponse, error) {
	query := url.Values{
		afterParameter: {strconv.FormatUint(uint64(after), 10)},
		limitParameter: {strconv.Itoa(limit)},
	}
	return get[HistoryResponse](ctx, c, query, "v1", "history")
}

// VersionStatus returns which members have applied a version.
func (c *Client) VersionStatus(ctx context.Context, version table.Version) (VersionStatusResponse, error) {
	return get[VersionStatusResponse](ctx, c, nil, "v1", "versions", strconv.FormatUint(uint64(version), 10))
}

// Members returns the processes that forward traffic according to the table.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	return get[MembersResponse](ctx, c, nil, "v1", "members")
}

// Snapshot returns the whole table.
func (c *Client) Snapshot(ctx context.Context) (*table.Table, error) {
	response, err := get[table.Table](ctx, c, nil, "v1", "snapshot")
	return &response, err
}

// Outcome returns the outcome of an earlier change.
func (c *Client) Outcome(ctx context.Context, id string) (ChangeResponse, error) {
	return get[ChangeResponse](ctx, c, nil, "v1", "changes", id)
}

// Change submits a change. The outcome is Unknown if the response is lost or
// not a valid response of the API.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "changes")
}

// Drain sets the drain flag of one row.
func (c *Client) Drain(ctx context.Context, backend table.BackendID, request DrainRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "backends", strconv.FormatUint(uint64(backend), 10), "drain")
}

// Zones returns the closed zones and those with rows visible to the caller.
func (c *Client) Zones(ctx context.Context) (ZonesResponse, error) {
	return get[ZonesResponse](ctx, c, nil, "v1", "zones")
}

// CloseZone closes a zone to new flows, or reopens it.
func (c *Client) CloseZone(ctx context.Context, zone string, request ZoneRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "zones", zone)
}

// ImportSnapshot changes the table to that of the request.
func (c *Client) ImportSnapshot(ctx context.Context, request SnapshotRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "snapshot")
}

func (c *Client) submit(ctx context.Context, id string, body any, path ...string) (ChangeResponse, error) {
	response, err := doRequest[ChangeResponse](ctx, c, http.MethodPost, body, nil, path...)
	var noResponse noResponseError
	var invalid invalidResponseError
	switch {
	case errors.As(err, &noResponse) && noResponse.notSent():
		return ChangeResponse{ID: id, Outcome: NotAccepted, Message: err.Error()}, nil
	case errors.As(err, &noResponse) || errors.As(err, &invalid):
		// The server, or a proxy before it, may have processed the change.
		return ChangeResponse{ID: id, Outcome: Unknown, Message: err.Error()}, nil
	}
	return response, err
}

func get[Response any](ctx context.Context, client *Client, query url.Values, path ...string) (Response, error) {
	return doRequest[Response](ctx, client, http.MethodGet, nil, query, path...)
}

// noResponseError is the error of a request without a response. Unless notSent
// reports true, the server may have processed the request.
type noResponseError struct{ cause error }

// Error implements error.
func (e noResponseError) Error() string { return "no response from the server: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e noResponseError) Unwrap() error { return e.cause }

// dialOperation is the Op of a net.OpError for a connection that could not be
// established.
const dialOperation = "dial"

// notSent reports whether the request was not sent, because the TCP connection
// failed or the certificate of the server was rejected.
func (e noResponseError) notSent() bool {
	var network *net.OpError
	var certificate *tls.CertificateVerificationError
	return errors.As(e.cause, &network) && network.Op == dialOperation || errors.As(e.cause, &certificate)
}

// doRequest sends one request and decodes the response. A response with an Error is
// returned as the error.
func doRequest[Response any](ctx context.Context, client *Client, method string, body any, query url.Values, path ...string) (Response, error) {
	target := client.server.JoinPath(escapePath(path)...)
	target.RawQuery = query.Encode()
	encode := kithttp.EncodeJSONRequest
	if body == nil {
		encode = func(context.Context, *http.Request, any) error { return nil }
	}
	endpoint := kithttp.NewClient(method, target, encode, decodeResponse[Response],
		kithttp.SetClient(client.http),
		kithttp.ClientBefore(kithttp.SetRequestHeader("Authorization", bearerPrefix+string(client.token))),
	).Endpoint()
	var zero Response
	response, err := endpoint(ctx, body)
	if err != nil {
		return zero, classifyError(err)
	}
	return response.(Response), nil
}

func escapePath(path []string) []string {
	parts := make([]string, len(path))
	for index, part := range path {
		parts[index] = url.PathEscape(part)
	}
	return parts
}

// classifyError wraps connection errors as noResponseError and returns others as they
// are.
func classifyError(err error) error {
	var apiError Error
	var invalid invalidResponseError
	if errors.As(err, &apiError) || errors.As(err, &invalid) {
		return err
	}
	return noResponseError{err}
}

// invalidResponseError is the error of a response that does not come from this API.
type invalidResponseError struct{ detail string }

// Error implements error.
func (e invalidResponseError) Error() string {
	return "the response is not one of the administration API: " + e.detail
}

func decodeResponse[Response any](_ context.Context, httpResponse *http.Response) (any, error) {
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, MaxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxResponseSize {
		return nil, invalidResponseError{fmt.Sprintf("its body exceeds %d bytes", MaxResponseSize)}
	}
	var apiError Error
	if json.Unmarshal(data, &apiError) == nil && apiError.Code != "" {
		apiError.RetryAfter = retryAfter(httpResponse)
		return nil, apiError
	}
	var response Response
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&response); err != nil {
		return nil, invalidResponseError{fmt.Sprintf("status %s, %s", httpResponse.Status, err)}
	}
	return response, nil
}

func retryAfter(httpResponse *http.Response) time.Duration {
	seconds, err := strconv.Atoi(httpResponse.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
