// This file implements the administration API of a balancer.

package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/adminapi"
	"github.com/vanetiller/vanetiller/internal/tenant"
	"github.com/vanetiller/vanetiller/internal/tlsfiles"
)

// reloadInterval is how often the files with tokens and certificates are read
// again.
const reloadInterval = 2 * time.Second

// reloader is a file that can be read again.
type reloader interface {
	// Reload reports whether other content came into force.
	Reload(now time.Time) (changed bool, err error)
}

// administration serves the administration API.
type administration struct {
	logger  *log.Logger
	server  *adminapi.Server
	reloads []*reload
}

// newAdministration opens the files and the listener of the API for a store.
func newAdministration(shared parts, store adminapi.Store) (*administration, error) {
	configured := shared.settings.API
	tokens, err := tenant.OpenTokenFile(configured.Tokens)
	if err != nil {
		return nil, err
	}
	certificates, err := tlsfiles.Open(tlsfiles.Files{
		Certificate: configured.Certificate,
		Key:         configured.Key,
		CA:          configured.ClientAuthority,
	}, time.Now())
	if err != nil {
		return nil, err
	}
	server, err := adminapi.NewServer(adminapi.ServerConfig{
		Listen: configured.Listen,
		TLS:    certificates.ServerConfig(),
		Handler: adminapi.NewHandler(adminapi.HandlerConfig{
			Store:     store,
			Admission: tokens.AdmissionController(),
			Requests:  newAPIRequests(shared),
		}),
	})
	if err != nil {
		return nil, err
	}
	return &administration{
		logger: shared.logger,
		server: server,
		reloads: []*reload{
			{what: "tokens", file: tokens},
			{what: "certificates", file: certificates},
		},
	}, nil
}

// Address returns the address of the API.
func (a *administration) Address() netip.AddrPort { return a.server.Address() }

// Run serves the API until ctx ends and then returns nil.
func (a *administration) Run(ctx context.Context) error {
	a.logger.Info("administration API started", "address", a.Address())
	var group run.Group
	addActor(&group, a.server.Run)
	addActor(&group, a.reloadFiles)
	addActor(&group, func(ended context.Context) error {
		select {
		case <-ctx.Done():
		case <-ended.Done():
		}
		return nil
	})
	return group.Run()
}

func (a *administration) reloadFiles(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, watched := range a.reloads {
				watched.run(a.logger, now)
			}
		}
	}
}

// reload reads one kind of file again and reports what came of it.
type reload struct {
	what string
	file reloader
	// failure is the error reported last, so that it is not repeated.
	failure string
}

func (r *reload) run(logger *log.Logger, now time.Time) {
	changed, err := r.file.Reload(now)
	switch {
	case err != nil && err.Error() != r.failure:
		r.failure = err.Error()
		logger.Warn("files not reloaded", "files", r.what, "error", errors.Cause(err))
	case err == nil:
		r.failure = ""
	}
	if changed {
		logger.Info("files reloaded", "files", r.what)
	}
}
