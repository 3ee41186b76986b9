// This file waits until a daemon is healthy.

package fleet

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const healthInterval = 50 * time.Millisecond

// WaitHealthy waits until the daemon answers its health check with the status 200. It fails if the
// process ends or ctx ends first.
func WaitHealthy(ctx context.Context, process *Process, observability netip.AddrPort) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		if healthy(ctx, observability) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-process.Done():
			return errors.Errorf("%s exited with code %d before it was healthy", process.Name(), process.Exit().Code)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s did not become healthy", process.Name())
		}
	}
}

func healthy(ctx context.Context, observability netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+observability.String()+"/healthz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
