// Package timing provides a wait that a context can interrupt. The simulated callers and back ends
// and the schedules of the bench use it.
package timing

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false if ctx ends first or at the same time.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
