// This file implements the flows of UDP services.

package caller

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/exchange"
	"github.com/vanetiller/vanetiller/bench/timing"
)

const (
	// retransmitInterval is the time after which a request without an answer is retransmitted.
	retransmitInterval = 250 * time.Millisecond
	datagramBufferSize = 9000
)

// datagramFlow is a flow on a UDP socket.
type datagramFlow struct {
	plan       Plan
	connection net.Conn
	timeout    time.Duration
	result     *Result
}

// runDatagrams sends requests one after the other on one socket. All answers must come from the
// same back end.
func (c *Client) runDatagrams(ctx context.Context, plan Plan, result *Result) *flowFailure {
	connection, err := c.Dialer.DialUDP(plan.Service.Address)
	if err != nil {
		return &flowFailure{OutcomeNotOpened, CauseConnectFailed, err}
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	result.Caller = addrPortOf(connection.LocalAddr())
	flow := &datagramFlow{plan: plan, connection: connection, timeout: c.ProgressTimeout, result: result}
	for number := range plan.Pieces {
		if failure := flow.exchange(number); failure != nil {
			return failure
		}
		if number+1 < plan.Pieces && !timing.Sleep(ctx, plan.Pause) {
			return &flowFailure{OutcomeBroken, CauseCancelled, ctx.Err()}
		}
	}
	return nil
}

// exchange sends one request and retransmits it until the answer arrives or the timeout has passed.
func (f *datagramFlow) exchange(number int) *flowFailure {
	request := exchange.Datagram{
		Flow:    f.plan.ID,
		Request: fmt.Sprintf("%s-%d", f.plan.ID, number),
		Service: f.plan.Service.Name,
	}
	f.result.Request = request.Request
	encoded := request.Encode()
	started := time.Now()
	for time.Since(started) < f.timeout {
		if _, err := f.connection.Write(encoded); err != nil {
			return classifyTransfer(err)
		}
		answer, answered := f.awaitAnswer(request.Request)
		if !answered {
			continue
		}
		if answer.Service != f.plan.Service.Name {
			return &flowFailure{OutcomeBroken, CauseWrongService, errors.Errorf("got an answer from service %q instead of the service of the flow", answer.Service)}
		}
		f.result.AnswerTimes = append(f.result.AnswerTimes, time.Since(started))
		return f.result.checkBackend(answer.Backend)
	}
	return &flowFailure{OutcomeBroken, CauseStalled, errors.Errorf("no answer to request %s within the progress timeout", request.Request)}
}

// awaitAnswer waits up to retransmitInterval for the answer to a request. It skips late answers to
// earlier requests.
func (f *datagramFlow) awaitAnswer(request string) (exchange.Datagram, bool) {
	deadline := time.Now().Add(retransmitInterval)
	if err := f.connection.SetReadDeadline(deadline); err != nil {
		return exchange.Datagram{}, false
	}
	buffer := make([]byte, datagramBufferSize)
	for {
		size, err := f.connection.Read(buffer)
		if err != nil {
			return exchange.Datagram{}, false
		}
		answer, err := exchange.DecodeDatagram(buffer[:size])
		if err == nil && answer.Request == request {
			return answer, true
		}
	}
}
