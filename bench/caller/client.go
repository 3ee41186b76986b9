// This file implements the HTTP flows of callers.
//
// Each flow writes its requests to a connection of its own. It does not use http.Transport, which
// would open another connection after a failure and hide the failures that are counted here.

package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/bench/exchange"
	"github.com/vanetiller/vanetiller/bench/timing"
)

// Dialer opens connections to services.
type Dialer interface {
	DialUDP(service netip.AddrPort) (net.Conn, error)
	DialTCP(ctx context.Context, service netip.AddrPort) (net.Conn, error)
}

// Client runs flows. It is safe for concurrent use.
type Client struct {
	// Dialer opens the connections.
	Dialer Dialer
	// ConnectTimeout bounds the handshake.
	ConnectTimeout time.Duration
	// ProgressTimeout is how long a read or write of an established flow may take before the
	// flow counts as broken. For datagram flows it bounds the wait for each answer.
	ProgressTimeout time.Duration
}

// Run runs one flow and returns its result. If ctx ends while the flow is established, the result
// is OutcomeBroken with CauseCancelled.
func (c *Client) Run(ctx context.Context, plan Plan) Result {
	result := Result{Plan: plan, Outcome: OutcomeCompleted, Started: time.Now()}
	run := c.runStream
	if plan.Kind == KindDatagrams {
		run = c.runDatagrams
	}
	if failure := run(ctx, plan, &result); failure != nil {
		if ctx.Err() != nil && failure.outcome == OutcomeBroken {
			failure = &flowFailure{OutcomeBroken, CauseCancelled, ctx.Err()}
		}
		result.setFailure(failure)
	}
	result.Ended = time.Now()
	return result
}

// runStream runs one flow on a TCP connection.
func (c *Client) runStream(ctx context.Context, plan Plan, result *Result) *flowFailure {
	raw, err := c.dial(ctx, plan.Service.Address)
	result.HandshakeTime = time.Since(result.Started)
	if err != nil {
		return classifyDial(ctx, err)
	}
	defer raw.Close()
	result.Caller = addrPortOf(raw.LocalAddr())
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	connection := &progressConn{Conn: raw, timeout: c.ProgressTimeout}
	flow := &streamFlow{plan: plan, connection: connection, reader: bufio.NewReader(connection), result: result}
	return flow.run(ctx)
}

// addrPortOf returns the address as an AddrPort, or the zero AddrPort if it is not an IP address
// with a port.
func addrPortOf(address net.Addr) netip.AddrPort {
	withPort, hasPort := address.(interface{ AddrPort() netip.AddrPort })
	if !hasPort {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(withPort.AddrPort().Addr().Unmap(), withPort.AddrPort().Port())
}

func (c *Client) dial(ctx context.Context, service netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.ConnectTimeout)
	defer cancel()
	return c.Dialer.DialTCP(ctx, service)
}

func (r *Result) setFailure(failure *flowFailure) {
	r.Outcome = failure.outcome
	r.Cause = failure.cause
	r.Detail = failure.err.Error()
}

// progressConn is a connection on which each read and each write has a timeout.
type progressConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements net.Conn.
func (c *progressConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}

// Write implements net.Conn.
func (c *progressConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// streamFlow is a flow on an established TCP connection.
type streamFlow struct {
	plan       Plan
	connection net.Conn
	reader     *bufio.Reader
	result     *Result
}

func (f *streamFlow) run(ctx context.Context) *flowFailure {
	switch f.plan.Kind {
	case KindUpload:
		body := exchange.Content(f.plan.ID, f.plan.Pieces*f.plan.PieceSize)
		return f.exchange(ctx, 0, http.MethodPost, exchange.PathUpload, body, f.plan.Pieces)
	case KindDownload:
		return f.exchange(ctx, 0, http.MethodGet, f.downloadPath(), nil, 1)
	case KindSubmit:
		body := exchange.Content(f.plan.ID, f.plan.PieceSize)
		return f.timedExchange(ctx, 0, http.MethodPost, exchange.PathSubmit, body)
	case KindPoll:
		return f.poll(ctx)
	}
	return &flowFailure{OutcomeBroken, CauseMalformedRequest, errors.Errorf("unknown kind of flow %q", f.plan.Kind)}
}

func (f *streamFlow) downloadPath() string {
	query := url.Values{}
	query.Set(exchange.QuerySize, strconv.Itoa(f.plan.Pieces*f.plan.PieceSize))
	query.Set(exchange.QueryPieces, strconv.Itoa(f.plan.Pieces))
	query.Set(exchange.QueryPause, strconv.FormatInt(f.plan.Pause.Milliseconds(), 10))
	return exchange.PathDownload + "?" + query.Encode()
}

func (f *streamFlow) poll(ctx context.Context) *flowFailure {
	for number := range f.plan.Pieces {
		if failure := f.timedExchange(ctx, number, http.MethodGet, exchange.PathPoll, nil); failure != nil {
			return failure
		}
		if number+1 < f.plan.Pieces && !timing.Sleep(ctx, f.plan.Pause) {
			return &flowFailure{OutcomeBroken, CauseCancelled, ctx.Err()}
		}
	}
	return nil
}

func (f *streamFlow) timedExchange(ctx context.Context, number int, method, path string, body []byte) *flowFailure {
	started := time.Now()
	failure := f.exchange(ctx, number, method, path, body, 1)
	if failure == nil {
		f.result.AnswerTimes = append(f.result.AnswerTimes, time.Since(started))
	}
	return failure
}

// exchange sends one request in pieces and checks its answer.
func (f *streamFlow) exchange(ctx context.Context, number int, method, path string, body []byte, pieces int) *flowFailure {
	requestID := fmt.Sprintf("%s-%d", f.plan.ID, number)
	f.result.Request = requestID
	request, err := f.newRequest(method, path, requestID, body)
	if err != nil {
		return &flowFailure{OutcomeBroken, CauseMalformedRequest, err}
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return &flowFailure{OutcomeBroken, CauseMalformedRequest, err}
	}
	if failure := f.send(ctx, encoded.Bytes(), pieces); failure != nil {
		return failure
	}
	response, err := http.ReadResponse(f.reader, request)
	if err != nil {
		return classifyTransfer(err)
	}
	defer response.Body.Close()
	return f.checkResponse(response, requestID, body)
}

func (f *streamFlow) newRequest(method, path, requestID string, body []byte) (*http.Request, error) {
	target := "http://" + f.plan.Service.Address.String() + path
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request of a flow")
	}
	request.Header.Set(exchange.HeaderRequest, requestID)
	request.Header.Set(exchange.HeaderFlow, f.plan.ID)
	request.Header.Set(exchange.HeaderService, f.plan.Service.Name)
	return request, nil
}

// send writes the encoded request in pieces with pauses between them. The first piece contains the
// whole header, since the body is larger than the header.
func (f *streamFlow) send(ctx context.Context, encoded []byte, pieces int) *flowFailure {
	for piece := range pieces {
		start, end := piece*len(encoded)/pieces, (piece+1)*len(encoded)/pieces
		if _, err := f.connection.Write(encoded[start:end]); err != nil {
			return classifyTransfer(err)
		}
		if piece+1 < pieces && !timing.Sleep(ctx, f.plan.Pause) {
			return &flowFailure{OutcomeBroken, CauseCancelled, ctx.Err()}
		}
	}
	return nil
}

// checkResponse reads the answer and checks that it is complete and belongs to the request.
func (f *streamFlow) checkResponse(response *http.Response, requestID string, body []byte) *flowFailure {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return classifyTransfer(err)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(exchange.HeaderNotRun) != "" {
		return &flowFailure{OutcomeRefused, CauseShed, errors.New(response.Status)}
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &flowFailure{OutcomeBroken, CauseWrongService, errors.New(response.Status)}
	}
	if response.StatusCode/100 != 2 {
		return &flowFailure{OutcomeBroken, CauseWrongStatus, errors.New(response.Status)}
	}
	if answered := response.Header.Get(exchange.HeaderRequest); answered != requestID {
		return &flowFailure{OutcomeBroken, CauseMismatchedAnswer, errors.Errorf("got the answer to request %q, want that to %q", answered, requestID)}
	}
	if service := response.Header.Get(exchange.HeaderService); service != f.plan.Service.Name {
		return &flowFailure{OutcomeBroken, CauseWrongService, errors.Errorf("got an answer from service %q instead of the service of the flow", service)}
	}
	if failure := f.result.checkBackend(response.Header.Get(exchange.HeaderBackend)); failure != nil {
		return failure
	}
	return f.checkContent(response, content, requestID, body)
}

// checkBackend records the back end of an answer. It fails if another back end answered before.
func (r *Result) checkBackend(backend string) *flowFailure {
	if r.Backend != "" && r.Backend != backend {
		return &flowFailure{OutcomeBroken, CauseBackendChanged, errors.Errorf("back end %s answered first, then %s", r.Backend, backend)}
	}
	r.Backend = backend
	return nil
}

func (f *streamFlow) checkContent(response *http.Response, content []byte, requestID string, body []byte) *flowFailure {
	if f.plan.Kind == KindDownload {
		expected := exchange.Content(requestID, f.plan.Pieces*f.plan.PieceSize)
		if !bytes.Equal(content, expected) {
			return &flowFailure{OutcomeBroken, CauseWrongContent, errors.Errorf("download of %d bytes differs from the expected %d bytes", len(content), len(expected))}
		}
		return nil
	}
	if answered := response.Header.Get(exchange.HeaderChecksum); answered != exchange.Checksum(body) {
		return &flowFailure{OutcomeBroken, CauseWrongContent, errors.Errorf("checksum %q in the answer does not match the body", answered)}
	}
	return nil
}
