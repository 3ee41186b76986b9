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
	// directoryPath is where a balancer serves snapshots of its directory to others.
	directoryPath = "/v1/directory"
	// versionParam and parameterComplete are the digest of who asks.
	versionParam  = "version"
	revisionParam = "complete"
	// confirmParam asks for a directory that the store has confirmed since.
	confirmParam = "confirm"
	// peerConfirmRate bounds the confirmations a second that a balancer makes for others,
	// each of which costs calls of the store, and confirmBurst those at once.
	peerConfirmRate  = 50
	peerConfirmBurst = 20
)

// handler serves the directory to other balancers.
func (p *peerExchange) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+directoryPath, kithttp.NewServer(
		func(ctx context.Context, asked any) (any, error) {
			return p.serveDirectory(ctx, asked.(directoryRequest))
		},
		p.decodeRequest, encodeState))
	return mux
}

// directoryRequest is what another balancer asks.
type directoryRequest struct {
	known   directory.Digest
	confirm bool
	// from is who asks.
	from directory.Peer
}

// decodeRequest reads the digest of the asking balancer; what is missing is zero.
func (p *peerExchange) decodeRequest(_ context.Context, request *http.Request) (any, error) {
	query := request.URL.Query()
	version, _ := strconv.ParseUint(query.Get(versionParam), 10, 64)
	complete, _ := strconv.ParseUint(query.Get(revisionParam), 10, 64)
	asked := directoryRequest{
		known:   directory.Digest{ConfigurationVersion: version, Revision: directory.Revision(complete)},
		confirm: query.Has(confirmParam),
	}
	if from, err := netip.ParseAddrPort(request.RemoteAddr); err == nil {
		asked.from, _ = p.role.updates.peerAt(from.Addr())
	}
	return asked, nil
}

// serveDirectory returns the encoded state that a balancer has asked for.
func (p *peerExchange) serveDirectory(ctx context.Context, asked directoryRequest) ([]byte, error) {
	if asked.confirm && !p.confirmLimiter.Allow() {
		return nil, errUnconfirmed
	}
	if asked.confirm {
		if err := p.role.confirmForPeer(ctx); err != nil {
			return nil, err
		}
	}
	var encoded []byte
	var err error
	p.role.executor.do(func(now time.Duration) []relay.Effect {
		p.role.disseminator.StateSent(now, asked.from)
		encoded, err = p.stateCache.encode(now, asked.known, p.role.replica.Digest(), func() directory.State {
			return p.role.disseminator.State(now, asked.known)
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
	stopped := context.AfterFunc(ctx, func() { p.server.Close() })
	defer stopped()
	if err := p.server.Serve(p.listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "exchange")
	}
	return nil
}
