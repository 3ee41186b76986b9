// This file maps the errors of connections to outcomes and causes.

package caller

import (
	"context"
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
	"gvisor.dev/gvisor/pkg/tcpip"
)

// flowFailure describes why a flow did not complete.
type flowFailure struct {
	outcome Outcome
	cause   Cause
	err     error
}

// The network stack reports its errors only as text, so they are classified by text.
var (
	textRefused = (&tcpip.ErrConnectionRefused{}).String()
	textReset   = (&tcpip.ErrConnectionReset{}).String()
	textAborted = (&tcpip.ErrConnectionAborted{}).String()
	textTimeout = (&tcpip.ErrTimeout{}).String()
)

func classifyDial(ctx context.Context, err error) *flowFailure {
	text := err.Error()
	switch {
	case strings.Contains(text, textRefused), strings.Contains(text, textReset):
		return &flowFailure{OutcomeRefused, CauseConnectRefused, err}
	case ctx.Err() != nil:
		return &flowFailure{OutcomeNotOpened, CauseCancelled, err}
	case errors.Is(err, context.DeadlineExceeded), strings.Contains(text, textTimeout):
		return &flowFailure{OutcomeNotOpened, CauseConnectTimeout, err}
	}
	return &flowFailure{OutcomeNotOpened, CauseConnectFailed, err}
}

func classifyTransfer(err error) *flowFailure {
	text := err.Error()
	var networkError net.Error
	switch {
	case errors.As(err, &networkError) && networkError.Timeout(), strings.Contains(text, textTimeout):
		return &flowFailure{OutcomeBroken, CauseStalled, err}
	case strings.Contains(text, textReset), strings.Contains(text, textAborted):
		return &flowFailure{OutcomeBroken, CauseReset, err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &flowFailure{OutcomeBroken, CauseTruncated, err}
	}
	return &flowFailure{OutcomeBroken, CauseReset, err}
}
