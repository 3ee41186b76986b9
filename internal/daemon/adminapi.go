// This file runs the administration API of a balancer and reloads its files.

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

// reloadInterval is the interval at which the token and certificate files are
// reloaded.
const reloadInterval = 2 * time.Second

// reloadable is a set of files that can be reloaded.
type reloadable interface {
	// Reload reads the files and reports whether new content took effect.
	Reload(now time.Time) (changed bool, err error)
}

// adminAPI serves the administration API and reloads its files.
type adminAPI struct {
	logger  *log.Logger
	server  *adminapi.Server
	reloads []*fileReload
}

// newAdminAPI loads the token and certificate files and opens the listener of
// the API for store.
func newAdminAPI(deps dependencies, store adminapi.Store) (*adminAPI, error) {
	config := deps.settings.API
	tokens, err := tenant.OpenTokenFile(config.Tokens)
	if err != nil {
		return nil, err
	}
	certificates, err := tlsfiles.Open(tlsfiles.Files{
		Certificate: config.Certificate,
		Key:         config.Key,
		CA:          config.ClientAuthority,
	}, time.Now())
	if err != nil {
		return nil, err
	}
	server, err := adminapi.NewServer(adminapi.ServerConfig{
		Listen: config.Listen,
		TLS:    certificates.ServerConfig(),
		Handler: adminapi.NewHandler(adminapi.HandlerConfig{
			Store:     store,
			Admission: tokens.AdmissionController(),
			Requests:  newAPIRequests(deps),
		}),
	})
	if err != nil {
		return nil, err
	}
	return &adminAPI{
		logger: deps.logger,
		server: server,
		reloads: []*fileReload{
			{kind: "tokens", file: tokens},
			{kind: "certificates", file: certificates},
		},
	}, nil
}

// Address returns the address of the listener.
func (a *adminAPI) Address() netip.AddrPort { return a.server.Address() }

// Run serves the API until ctx ends and then returns nil.
func (a *adminAPI) Run(ctx context.Context) error {
	a.logger.Info("administration API started", "address", a.Address())
	var group run.Group
	addActor(&group, a.server.Run)
	addActor(&group, a.reloadFiles)
	addActor(&group, func(groupContext context.Context) error {
		select {
		case <-ctx.Done():
		case <-groupContext.Done():
		}
		return nil
	})
	return group.Run()
}

func (a *adminAPI) reloadFiles(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, entry := range a.reloads {
				entry.reload(a.logger, now)
			}
		}
	}
}

// fileReload reloads one kind of file and logs the result.
type fileReload struct {
	kind string
	file reloadable
	// lastError is the error logged last. The same error is not logged again.
	lastError string
}

func (r *fileReload) reload(logger *log.Logger, now time.Time) {
	changed, err := r.file.Reload(now)
	switch {
	case err != nil && err.Error() != r.lastError:
		r.lastError = err.Error()
		logger.Warn("files not reloaded", "files", r.kind, "error", errors.Cause(err))
	case err == nil:
		r.lastError = ""
	}
	if changed {
		logger.Info("files reloaded", "files", r.kind)
	}
}
