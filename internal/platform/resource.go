// This file implements conditional requests (RFC 9110, section 13) for one service of the
// platform. An unchanged response is neither sent nor parsed again.

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

// resource is one URL of the platform with its last response. It is safe for concurrent use.
type resource[Response any] struct {
	target  string
	decode  func(io.Reader) (Response, error)
	request endpoint.Endpoint

	// mutex guards cached, which is replaced but never modified.
	mutex  sync.Mutex
	cached *cachedResponse[Response]
}

// cachedResponse is a complete, valid response and its entity tag.
type cachedResponse[Response any] struct {
	tag     string
	content Response
}

// decodedResponse is a decoded HTTP response: complete content or, if notModified is set, the
// confirmation that the cached response is current.
type decodedResponse[Response any] struct {
	notModified bool
	tag         string
	content     Response
}

const (
	headerTag         = "ETag"
	headerIfNoneMatch = "If-None-Match"
	// weakTagPrefix marks a weak entity tag, which identifies equivalent responses.
	weakTagPrefix = "W/"
)

// newResource returns a resource without a cached response. It fails if the URL cannot be
// parsed.
func newResource[Response any](client *http.Client, target string, decode func(io.Reader) (Response, error)) (*resource[Response], error) {
	parsed, err := url.Parse(target)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	created := &resource[Response]{target: target, decode: decode}
	created.request = kithttp.NewClient(http.MethodGet, parsed,
		setIfNoneMatch, created.decodeResponse, kithttp.SetClient(client)).Endpoint()
	return created, nil
}

// fetch requests the current response. The result may be shared with earlier calls and must not
// be modified.
func (r *resource[Response]) fetch(ctx context.Context) (Response, error) {
	cached := r.load()
	response, err := r.request(ctx, cached.ifNoneMatch())
	if err != nil {
		var none Response
		return none, asFetchError(err)
	}
	decoded := response.(decodedResponse[Response])
	if decoded.notModified {
		return r.revalidate(cached, decoded.tag)
	}
	r.store(decoded)
	return decoded.content, nil
}

// ifNoneMatch returns the entity tag to send with a request, or an empty string for an
// unconditional request.
func (c *cachedResponse[Response]) ifNoneMatch() string {
	if c == nil {
		return ""
	}
	return c.tag
}

func (r *resource[Response]) load() *cachedResponse[Response] {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cached
}

// store caches the last response even if its revision is older than that of an earlier one. A
// service that is stale for hours then costs no more than one that is current.
func (r *resource[Response]) store(decoded decodedResponse[Response]) {
	var cached *cachedResponse[Response]
	if decoded.tag != "" {
		cached = &cachedResponse[Response]{decoded.tag, decoded.content}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cached = cached
}

// revalidate returns the cached response after status 304. It fails if there is none or if the
// service named a different tag. It then clears the cache, so that the next request is
// unconditional and the fault does not persist.
func (r *resource[Response]) revalidate(cached *cachedResponse[Response], tag string) (Response, error) {
	if cached != nil && (tag == "" || tagsMatch(tag, cached.tag)) {
		return cached.content, nil
	}
	r.store(decodedResponse[Response]{})
	var none Response
	return none, FetchError{r.target, BadStatus, errors.Errorf("status 304 names entity tag %q instead of %q", tag, cached.ifNoneMatch())}
}

// tagsMatch is the weak comparison of RFC 9110, section 8.8.3.2, which applies to
// If-None-Match.
func tagsMatch(a, b string) bool {
	return strings.TrimPrefix(a, weakTagPrefix) == strings.TrimPrefix(b, weakTagPrefix)
}

func setIfNoneMatch(_ context.Context, request *http.Request, condition any) error {
	if tag := condition.(string); tag != "" {
		request.Header.Set(headerIfNoneMatch, tag)
	}
	return nil
}

func (r *resource[Response]) decodeResponse(_ context.Context, response *http.Response) (any, error) {
	tag := response.Header.Get(headerTag)
	switch response.StatusCode {
	case http.StatusOK:
		return r.decodeContent(tag, response.Body)
	case http.StatusNotModified:
		return decodedResponse[Response]{notModified: true, tag: tag}, nil
	}
	return nil, FetchError{r.target, BadStatus, errors.Errorf("status %s", response.Status)}
}

func (r *resource[Response]) decodeContent(tag string, body io.Reader) (any, error) {
	content, err := r.decode(body)
	if err == nil {
		return decodedResponse[Response]{tag: tag, content: content}, nil
	}
	if errors.As(err, &incompleteBody{}) {
		return nil, FetchError{r.target, Unreachable, err}
	}
	return nil, FetchError{r.target, BadContent, err}
}
