package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
)

// DefaultTimeout bounds one request, from dialling to the end of the body. A
// daemon takes itself for paused after no less than this time, so an answer
// that is accepted was never held up by a pause of the process.
const DefaultTimeout = time.Second

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	ConfigurationURL string
	MachinesURL      string
	// Timeout bounds one request; 0 means DefaultTimeout.
	Timeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Client reads from the services of the platform. It is safe for concurrent
// use.
type Client struct {
	configuration endpoint.Endpoint
	machines      endpoint.Endpoint
	timeout       time.Duration
	now           func() time.Time
}

// NewClient returns a client. It fails if a URL cannot be parsed.
func NewClient(config ClientConfig) (*Client, error) {
	timeout := config.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	now := config.Now
	if now == nil {
		now = time.Now
	}
	// The platform is reached directly by IP number, so proxy settings of the
	// environment do not apply.
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
	configuration, err := newEndpoint(client, config.ConfigurationURL, decodeConfiguration)
	if err != nil {
		return nil, err
	}
	machines, err := newEndpoint(client, config.MachinesURL, decodeMachines)
	if err != nil {
		return nil, err
	}
	return &Client{configuration, machines, timeout, now}, nil
}

// Configuration requests the current configuration. Errors are of type
// FetchError.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return fetch[Configuration](ctx, c, c.configuration)
}

// Machines requests the current list of machines. Errors are of type
// FetchError.
func (c *Client) Machines(ctx context.Context) (Machines, error) {
	return fetch[Machines](ctx, c, c.machines)
}

// errLate is the cause for an answer that came after the timeout. The HTTP
// client alone does not ensure this: a process that was paused may read an
// answer that waited in the socket before its timer fires.
var errLate = errors.New("answer came after the timeout")

func fetch[Answer any](ctx context.Context, client *Client, request endpoint.Endpoint) (Answer, error) {
	var none Answer
	started := client.now()
	response, err := request(ctx, nil)
	if err != nil {
		return none, asFetchError(err)
	}
	if client.now().Sub(started) > client.timeout {
		return none, FetchError{"", Unreachable, errLate}
	}
	return response.(Answer), nil
}

func newEndpoint[Answer any](client *http.Client, target string, decode func(io.Reader) (Answer, error)) (endpoint.Endpoint, error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	decodeResponse := func(_ context.Context, response *http.Response) (any, error) {
		if response.StatusCode != http.StatusOK {
			return nil, FetchError{target, BadStatus, errors.Errorf("status %s", response.Status)}
		}
		answer, err := decode(response.Body)
		if err == nil {
			return answer, nil
		}
		if errors.As(err, &unreadable{}) {
			return nil, FetchError{target, Unreachable, err}
		}
		return nil, FetchError{target, BadContent, err}
	}
	return kithttp.NewClient(http.MethodGet, parsed, encodeNothing, decodeResponse, kithttp.SetClient(client)).Endpoint(), nil
}

func encodeNothing(context.Context, *http.Request, any) error { return nil }
