// This file serves the directory to other balancers.

package relaydaemon

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/directory"
	"github.com/vanetiller/vanetiller/internal/relay"
)

const (
	// directoryPath is the HTTP path under which a balancer serves its directory to others.
	directoryPath = "/v1/directory"
	// versionParam and revisionParam are the query parameters with the digest of the
	// requesting balancer.
	versionParam  = "version"
	revisionParam = "complete"
	// confirmParam is the query parameter that requests a directory which the store has
	// confirmed since the request.
	confirmParam = "confirm"
	// peerConfirmRate bounds the confirmations per second on behalf of other balancers,
	// each of which costs store calls, and peerConfirmBurst how many may begin at once.
	peerConfirmRate  = 50
	peerConfirmBurst = 20
)

// handler returns the HTTP handler that serves the directory to other balancers.
func (p *peerExchange) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+directoryPath, kithttp.NewServer(
		func(ctx context.Context, request any) (any, error) {
			return p.serveDirectory(ctx, request.(directoryRequest))
		},
		p.decodeRequest, encodeState))
	return mux
}

// directoryRequest is a request of another balancer for the directory. known is the digest
// of its own directory.
type directoryRequest struct {
	known   directory.Digest
	confirm bool
	// from is the requesting balancer.
	from directory.Peer
}

// decodeRequest reads the digest of the requesting balancer. Missing parameters count as
// zero.
func (p *peerExchange) decodeRequest(_ context.Context, httpRequest *http.Request) (any, error) {
	query := httpRequest.URL.Query()
	version, _ := strconv.ParseUint(query.Get(versionParam), 10, 64)
	revision, _ := strconv.ParseUint(query.Get(revisionParam), 10, 64)
	request := directoryRequest{
		known:   directory.Digest{ConfigurationVersion: version, Revision: directory.Revision(revision)},
		confirm: query.Has(confirmParam),
	}
	if from, err := netip.ParseAddrPort(httpRequest.RemoteAddr); err == nil {
		request.from, _ = p.role.updates.peerAt(from.Addr())
	}
	return request, nil
}

// serveDirectory returns the encoded state that the requesting balancer lacks. If the request
// asks for it, the store confirms the directory first.
func (p *peerExchange) serveDirectory(ctx context.Context, request directoryRequest) ([]byte, error) {
	if request.confirm && !p.confirmLimiter.Allow() {
		return nil, errUnconfirmed
	}
	if request.confirm {
		if err := p.role.confirmForPeer(ctx); err != nil {
			return nil, err
		}
	}
	var encoded []byte
	var err error
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		p.role.disseminator.StateSent(now, request.from)
		encoded, err = p.stateCache.encode(now, request.known, p.role.replica.Digest(), func() directory.State {
			return p.role.disseminator.State(now, request.known)
		})
		return nil
	})
	return encoded, err
}

func encodeState(_ context.Context, w http.ResponseWriter, response any) error {
	_, err := w.Write(response.([]byte))
	return err
}

func (p *peerExchange) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.server.Close() })
	defer stop()
	if err := p.server.Serve(p.listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve directory to peers")
	}
	return nil
}
