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

// DefaultTimeout bounds one request, from dialling to the end of the body.
const DefaultTimeout = 2 * time.Second

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	ConfigurationURL string
	MachinesURL      string
	// Timeout bounds one request; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client reads from the services of the platform. It is safe for concurrent
// use.
type Client struct {
	configuration endpoint.Endpoint
	machines      endpoint.Endpoint
}

// NewClient returns a client. It fails if a URL cannot be parsed.
func NewClient(config ClientConfig) (*Client, error) {
	timeout := config.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
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
	return &Client{configuration, machines}, nil
}

// Configuration requests the current configuration. Errors are of type
// FetchError.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return fetch[Configuration](ctx, c.configuration)
}

// Machines requests the current list of machines. Errors are of type
// FetchError.
func (c *Client) Machines(ctx context.Context) (Machines, error) {
	return fetch[Machines](ctx, c.machines)
}

func fetch[Answer any](ctx context.Context, request endpoint.Endpoint) (Answer, error) {
	response, err := request(ctx, nil)
	if err != nil {
		var none Answer
		return none, asFetchError(err)
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
