// This file implements conditional requests (RFC 9110, section 13) for one
// service of the platform: an answer that has not changed since is neither sent
// nor parsed again.

package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
)

// resource is one URL of the platform together with the answer that it gave
// last. It is safe for concurrent use.
type resource[Answer any] struct {
	target  string
	decode  func(io.Reader) (Answer, error)
	request endpoint.Endpoint

	// mutex guards held, which is replaced but never changed.
	mutex sync.Mutex
	held  *heldAnswer[Answer]
}

// heldAnswer is a whole, valid answer and the tag by which the service
// recognizes it.
type heldAnswer[Answer any] struct {
	tag    string
	answer Answer
}

// reply is what came back over HTTP: a whole answer, or, if notModified is
// set, the statement that the held one is current.
type reply[Answer any] struct {
	notModified bool
	tag         string
	answer      Answer
}

const (
	headerTag         = "ETag"
	headerIfNoneMatch = "If-None-Match"
	// weakTagPrefix marks a tag that stands for equivalent answers.
	weakTagPrefix = "W/"
)

// newResource fails if the URL cannot be parsed.
func newResource[Answer any](client *http.Client, target string, decode func(io.Reader) (Answer, error)) (*resource[Answer], error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	created := &resource[Answer]{target: target, decode: decode}
	created.request = kithttp.NewClient(http.MethodGet, parsed,
		encodeCondition, created.decodeReply, kithttp.SetClient(client)).Endpoint()
	return created, nil
}

// fetch requests the current answer. The one it returns may be shared with
// earlier calls and must not be changed.
func (r *resource[Answer]) fetch(ctx context.Context) (Answer, error) {
	held := r.current()
	response, err := r.request(ctx, held.condition())
	if err != nil {
		var none Answer
		return none, asFetchError(err)
	}
	replied := response.(reply[Answer])
	if replied.notModified {
		return r.confirm(held, replied.tag)
	}
	r.keep(replied)
	return replied.answer, nil
}

// condition is the tag to be sent with a request, empty for an unconditional
// one.
func (h *heldAnswer[Answer]) condition() string {
	if h == nil {
		return ""
	}
	return h.tag
}

func (r *resource[Answer]) current() *heldAnswer[Answer] {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.held
}

// keep holds the answer received last, even if its revision is older than that
// of one before: a service that is stale for hours then costs no more than one
// that is current.
func (r *resource[Answer]) keep(replied reply[Answer]) {
	var held *heldAnswer[Answer]
	if replied.tag != "" {
		held = &heldAnswer[Answer]{replied.tag, replied.answer}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.held = held
}

// confirm returns the held answer, unless the service speaks of another one.
// The next request is then unconditional, so that the fault ends by itself.
func (r *resource[Answer]) confirm(held *heldAnswer[Answer], tag string) (Answer, error) {
	if held != nil && (tag == "" || sameTag(tag, held.tag)) {
		return held.answer, nil
	}
	r.keep(reply[Answer]{})
	var none Answer
	return none, FetchError{r.target, BadStatus, errors.Errorf("status 304 for tag %q instead of %q", tag, held.condition())}
}

// sameTag is the weak comparison of RFC 9110, section 8.8.3.2, which applies to
// If-None-Match.
func sameTag(a, b string) bool {
	return strings.TrimPrefix(a, weakTagPrefix) == strings.TrimPrefix(b, weakTagPrefix)
}

func encodeCondition(_ context.Context, request *http.Request, condition any) error {
	if tag := condition.(string); tag != "" {
		request.Header.Set(headerIfNoneMatch, tag)
	}
	return nil
}

func (r *resource[Answer]) decodeReply(_ context.Context, response *http.Response) (any, error) {
	tag := response.Header.Get(headerTag)
	switch response.StatusCode {
	case http.StatusOK:
		return r.decodeWhole(tag, response.Body)
	case http.StatusNotModified:
		return reply[Answer]{notModified: true, tag: tag}, nil
	}
	return nil, FetchError{r.target, BadStatus, errors.Errorf("status %s", response.Status)}
}

func (r *resource[Answer]) decodeWhole(tag string, body io.Reader) (any, error) {
	answer, err := r.decode(body)
	if err == nil {
		return reply[Answer]{tag: tag, answer: answer}, nil
	}
	if errors.As(err, &unreadable{}) {
		return nil, FetchError{r.target, Unreachable, err}
	}
	return nil, FetchError{r.target, BadContent, err}
}
