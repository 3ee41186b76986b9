package platform

import (
	"context"
	"net/http"
	"time"

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
// use. Its requests are conditional if the service gives entity tags: an answer
// that has not changed costs a few hundred bytes, and is the same value as
// before, which must not be changed.
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
	// The platform is reached directly by IP number, so proxy settings of the
	// environment do not apply.
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

// fetch refuses an answer that came late. The resource holds it nevertheless:
// if it is still current at the next request, the service says so then.
func fetch[Answer any](ctx context.Context, client *Client, source *resource[Answer]) (Answer, error) {
	started := client.now()
	answer, err := source.fetch(ctx)
	if err == nil && client.now().Sub(started) > client.timeout {
		var none Answer
		return none, FetchError{"", Unreachable, errLate}
	}
	return answer, err
}
