// This file saves the metrics of a daemon next to its log.

package fleet

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	metricsExtension = ".metrics"
	metricsFileMode  = 0o600
)

// SaveMetrics writes the current metrics of a daemon to a file next to its log. It fails if the
// daemon does not answer or the file cannot be written.
func (f *Fleet) SaveMetrics(ctx context.Context, process *Process, observability netip.AddrPort) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+observability.String()+"/metrics", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create the request for the metrics of a daemon")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "request the metrics of %s", process.Name())
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read the metrics of %s", process.Name())
	}
	path := filepath.Join(f.directory, process.Name()+metricsExtension)
	return errors.Wrap(os.WriteFile(path, content, metricsFileMode), "write the metrics of a daemon")
}
