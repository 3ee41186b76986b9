// Package timing holds the interruptible pause that the stand-ins share.
package timing

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false when ctx ends first.
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
