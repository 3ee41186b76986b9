// This file implements the caller's side of the API.

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

// MaxResponseSize bounds the body of an answer, in bytes.
const MaxResponseSize = 64 << 20

// Client asks one server. It is safe for concurrent use.
type Client struct {
	server *url.URL
	token  tenant.Token
	http   *http.Client
}

// NewClient returns a client of the server at a URL such as
// https://192.0.2.10:8443. It fails for text that is no such URL.
func NewClient(server string, token tenant.Token, transport *http.Client) (*Client, error) {
	parsed, err := url.Parse(server)
	if err != nil || parsed.Host == "" || parsed.Scheme != "https" && parsed.Scheme != "http" {
		return nil, errors.Errorf("server %q: must be a URL such as https://192.0.2.10:8443", server)
	}
	return &Client{server: parsed, token: token, http: transport}, nil
}

// Table returns the table, or one service of it unless the name is empty.
func (c *Client) Table(ctx context.Context, service string) (TableResponse, error) {
	query := url.Values{}
	if service != "" {
		query.Set(serviceParameter, service)
	}
	return get[TableResponse](ctx, c, query, "v1", "table")
}

// History returns the latest records after a version, oldest first.
func (c *Client) History(ctx context.Context, after table.Version, limit int) (HistoryResponse, error) {
	query := url.Values{
		afterParameter: {strconv.FormatUint(uint64(after), 10)},
		limitParameter: {strconv.Itoa(limit)},
	}
	return get[HistoryResponse](ctx, c, query, "v1", "history")
}

// VersionStatus tells where a version is in force.
func (c *Client) VersionStatus(ctx context.Context, version table.Version) (VersionStatusResponse, error) {
	return get[VersionStatusResponse](ctx, c, nil, "v1", "versions", strconv.FormatUint(uint64(version), 10))
}

// Members returns the processes that forward by the table.
func (c *Client) Members(ctx context.Context) (MembersResponse, error) {
	return get[MembersResponse](ctx, c, nil, "v1", "members")
}

// Snapshot returns the whole table.
func (c *Client) Snapshot(ctx context.Context) (*table.Table, error) {
	answer, err := get[table.Table](ctx, c, nil, "v1", "snapshot")
	return &answer, err
}

// Outcome returns what became of a change.
func (c *Client) Outcome(ctx context.Context, id string) (ChangeResponse, error) {
	return get[ChangeResponse](ctx, c, nil, "v1", "changes", id)
}

// Change makes a change. If the answer is lost or not one of the API, the
// outcome is Unknown.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "changes")
}

// Drain sets the drain flag of one row.
func (c *Client) Drain(ctx context.Context, backend table.BackendID, request DrainRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "backends", strconv.FormatUint(uint64(backend), 10), "drain")
}

// Zones returns the zones in which the caller sees rows.
func (c *Client) Zones(ctx context.Context) (ZonesResponse, error) {
	return get[ZonesResponse](ctx, c, nil, "v1", "zones")
}

// CloseZone closes a zone to new flows, or opens it again.
func (c *Client) CloseZone(ctx context.Context, zone string, request ZoneRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "zones", zone)
}

// ImportSnapshot makes the change that leads to the table of the request.
func (c *Client) ImportSnapshot(ctx context.Context, request SnapshotRequest) (ChangeResponse, error) {
	return c.submit(ctx, request.ID, request, "v1", "snapshot")
}

func (c *Client) submit(ctx context.Context, id string, body any, path ...string) (ChangeResponse, error) {
	answer, err := call[ChangeResponse](ctx, c, http.MethodPost, body, nil, path...)
	var lost lostAnswer
	var unusable unusableAnswer
	switch {
	case errors.As(err, &lost) && lost.beforeSending():
		return ChangeResponse{ID: id, Outcome: NotAccepted, Message: err.Error()}, nil
	case errors.As(err, &lost) || errors.As(err, &unusable):
		// Something in between may have passed the change on.
		return ChangeResponse{ID: id, Outcome: Unknown, Message: err.Error()}, nil
	}
	return answer, err
}

func get[Answer any](ctx context.Context, client *Client, query url.Values, path ...string) (Answer, error) {
	return call[Answer](ctx, client, http.MethodGet, nil, query, path...)
}

// lostAnswer is the error of a request that the server may have served.
type lostAnswer struct{ cause error }

// Error implements error.
func (l lostAnswer) Error() string { return "no answer: " + l.cause.Error() }

// Unwrap returns the cause.
func (l lostAnswer) Unwrap() error { return l.cause }

// dialOperation is the operation of a net.OpError for a connection that was
// not made.
const dialOperation = "dial"

// beforeSending reports whether there was no connection to send the request
// over.
func (l lostAnswer) beforeSending() bool {
	var network *net.OpError
	var certificate *tls.CertificateVerificationError
	return errors.As(l.cause, &network) && network.Op == dialOperation || errors.As(l.cause, &certificate)
}

// call makes one request. An answer that is a Failure is returned as the
// error.
func call[Answer any](ctx context.Context, client *Client, method string, body any, query url.Values, path ...string) (Answer, error) {
	target := client.server.JoinPath(escaped(path)...)
	target.RawQuery = query.Encode()
	encode := kithttp.EncodeJSONRequest
	if body == nil {
		encode = func(context.Context, *http.Request, any) error { return nil }
	}
	endpoint := kithttp.NewClient(method, target, encode, decodeAnswer[Answer],
		kithttp.SetClient(client.http),
		kithttp.ClientBefore(kithttp.SetRequestHeader("Authorization", bearerPrefix+string(client.token))),
	).Endpoint()
	var none Answer
	answer, err := endpoint(ctx, body)
	if err != nil {
		return none, answerError(err)
	}
	return answer.(Answer), nil
}

func escaped(path []string) []string {
	parts := make([]string, len(path))
	for index, part := range path {
		parts[index] = url.PathEscape(part)
	}
	return parts
}

// answerError marks errors of the connection.
func answerError(err error) error {
	var failure Error
	var unusable unusableAnswer
	if errors.As(err, &failure) || errors.As(err, &unusable) {
		return err
	}
	return lostAnswer{err}
}

// unusableAnswer is the error of an answer that is not one of this API.
type unusableAnswer struct{ detail string }

// Error implements error.
func (u unusableAnswer) Error() string {
	return "the answer is not one of the administration API: " + u.detail
}

func decodeAnswer[Answer any](_ context.Context, response *http.Response) (any, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxResponseSize {
		return nil, unusableAnswer{fmt.Sprintf("it is larger than %d bytes", MaxResponseSize)}
	}
	var failure Error
	if json.Unmarshal(data, &failure) == nil && failure.Code != "" {
		failure.RetryAfter = retryAfter(response)
		return nil, failure
	}
	var answer Answer
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&answer); err != nil {
		return nil, unusableAnswer{fmt.Sprintf("status %s, %s", response.Status, err)}
	}
	return answer, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
