// This file sorts the errors of connections into outcomes and causes.

package caller

import (
	"context"
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
)

// failed is why a flow did not complete.
type failed struct {
	outcome Outcome
	cause   Cause
	detail  error
}

// The stack reports its errors only as text, so they are told apart by it.
var (
	textRefused = (&tcpip.ErrConnectionRefused{}).String()
	textReset   = (&tcpip.ErrConnectionReset{}).String()
	textAborted = (&tcpip.ErrConnectionAborted{}).String()
	textTimeout = (&tcpip.ErrTimeout{}).String()
)

func classifyDial(ctx context.Context, err error) *failed {
	text := err.Error()
	switch {
	case strings.Contains(text, textRefused), strings.Contains(text, textReset):
		return &failed{OutcomeRefused, CauseConnectRefused, err}
	case ctx.Err() != nil:
		return &failed{OutcomeNotOpened, CauseCancelled, err}
	case errors.Is(err, context.DeadlineExceeded), strings.Contains(text, textTimeout):
		return &failed{OutcomeNotOpened, CauseConnectTimeout, err}
	}
	return &failed{OutcomeNotOpened, CauseConnectFailed, err}
}

func classifyTransfer(err error) *failed {
	text := err.Error()
	var networkError net.Error
	switch {
	case errors.As(err, &networkError) && networkError.Timeout(), strings.Contains(text, textTimeout):
		return &failed{OutcomeBroken, CauseStalled, err}
	case strings.Contains(text, textReset), strings.Contains(text, textAborted):
		return &failed{OutcomeBroken, CauseReset, err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &failed{OutcomeBroken, CauseTruncated, err}
	}
	return &failed{OutcomeBroken, CauseReset, err}
}
