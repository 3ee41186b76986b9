package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// DefaultTimeout limits one request, from dialling to the end of the body. The daemons treat
// only interruptions of at least this time as a pause of their process, so no accepted response
// was delayed by such a pause.
const DefaultTimeout = time.Second

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	ConfigurationURL string
	MachinesURL      string
	// Timeout limits one request. 0 means DefaultTimeout.
	Timeout time.Duration
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Client reads from the services of the platform. It is safe for concurrent use. Its requests
// are conditional if the service sends entity tags. An unchanged response then costs a few
// hundred bytes, and the client returns the previous value, which the caller must not modify.
type Client struct {
	configuration *resource[Configuration]
	machines      *resource[Machines]
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
	// The platform is reached directly by IP address, so the proxy settings of the environment
	// must not apply.
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
	configuration, err := newResource(client, config.ConfigurationURL, decodeConfiguration)
	if err != nil {
		return nil, err
	}
	machines, err := newResource(client, config.MachinesURL, decodeMachines)
	if err != nil {
		return nil, err
	}
	return &Client{configuration, machines, timeout, now}, nil
}

// Configuration requests the current configuration. Errors are of type FetchError.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return fetch[Configuration](ctx, c, c.configuration)
}

// Machines requests the current list of machines. Errors are of type FetchError.
func (c *Client) Machines(ctx context.Context) (Machines, error) {
	return fetch[Machines](ctx, c, c.machines)
}

// errLateResponse reports a response that arrived after the timeout. The timeout of the HTTP
// client does not cover this: a process that was paused may read a response from the socket
// before its timer fires.
var errLateResponse = errors.New("response arrived after the timeout")

// fetch rejects a late response. The resource still caches it: if it is current at the next
// request, the service confirms that then.
func fetch[Response any](ctx context.Context, client *Client, source *resource[Response]) (Response, error) {
	started := client.now()
	response, err := source.fetch(ctx)
	if err == nil && client.now().Sub(started) > client.timeout {
		var none Response
		return none, FetchError{"", Unreachable, errLateResponse}
	}
	return response, err
}
