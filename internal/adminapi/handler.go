// This file implements the HTTP handler: routing, authentication, rate limits
// and body size limits.

package adminapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/vanetiller/vanetiller/internal/tenant"
)

// DefaultSubmitTimeout is how long a request waits for the outcome of its change
// before the response reports it as unknown.
const DefaultSubmitTimeout = 10 * time.Second

// The labels of HandlerConfig.Requests.
const (
	// OperationLabel is the method and path pattern of the request.
	OperationLabel = "operation"
	// StatusLabel is the HTTP status of the response.
	StatusLabel = "status"
)

// unmatchedOperation labels requests that match no path.
const unmatchedOperation = "unmatched"

// HandlerConfig holds the settings of a Handler.
type HandlerConfig struct {
	Store Store
	// Admission authenticates requests and limits their rate.
	Admission *tenant.AdmissionController
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// SubmitTimeout limits the wait for the outcome of a change; zero means
	// DefaultSubmitTimeout.
	SubmitTimeout time.Duration
	// Requests counts responses by OperationLabel and StatusLabel; nil disables
	// counting.
	Requests metrics.Counter
}

// Handler serves the API over HTTP.
type Handler struct {
	config HandlerConfig
	mux    *http.ServeMux
}

// NewHandler returns a handler for every path of the API.
func NewHandler(config HandlerConfig) *Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.SubmitTimeout == 0 {
		config.SubmitTimeout = DefaultSubmitTimeout
	}
	if config.Requests == nil {
		config.Requests = discard.NewCounter()
	}
	handler := &Handler{config: config, mux: http.NewServeMux()}
	handler.registerRoutes(&service{store: config.Store, now: config.Now, submitTimeout: config.SubmitTimeout})
	return handler
}

func (h *Handler) registerRoutes(operations *service) {
	viewer := requireRole(tenant.RoleViewer)
	editor := requireRole(tenant.RoleEditor)
	administrator := requireRole(tenant.RoleAdministrator)
	h.handle("GET /v1/table", viewer(operations.tableEndpoint), decodeTable)
	h.handle("POST /v1/changes", editor(operations.changeEndpoint), decodeChange)
	h.handle("GET /v1/changes/{id}", viewer(operations.outcomeEndpoint), decodeOutcome)
	h.handle("GET /v1/history", viewer(operations.historyEndpoint), decodeHistory)
	h.handle("GET /v1/versions/{version}", viewer(operations.versionStatusEndpoint), decodeVersionStatus)
	h.handle("GET /v1/members", viewer(operations.membersEndpoint), decodeEmpty)
	h.handle("POST /v1/backends/{id}/drain", editor(operations.drainEndpoint), decodeDrain)
	h.handle("GET /v1/zones", viewer(operations.zonesEndpoint), decodeEmpty)
	h.handle("POST /v1/zones/{zone}", administrator(operations.closeZoneEndpoint), decodeZone)
	h.handle("GET /v1/snapshot", administrator(operations.exportSnapshotEndpoint), decodeEmpty)
	h.handle("POST /v1/snapshot", administrator(operations.importSnapshotEndpoint), decodeSnapshot)
	h.mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		writeError(request.Context(), Error{Code: CodeNotFound, Message: "no such method and path"}, writer)
	})
}

func (h *Handler) handle(pattern string, target endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
	h.mux.Handle(pattern, kithttp.NewServer(target, decode, encodeResponse,
		kithttp.ServerErrorEncoder(writeError)))
}

// ServeHTTP implements http.Handler. It authenticates the request before it
// reads the body or dispatches the request. The path is matched earlier, but only
// for the metric label.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, operation := h.mux.Handler(request)
	if operation == "/" {
		operation = unmatchedOperation
	}
	recorder := &statusRecorder{ResponseWriter: writer, status: http.StatusOK}
	h.serve(recorder, request)
	h.config.Requests.With(OperationLabel, operation, StatusLabel, strconv.Itoa(recorder.status)).Add(1)
}

func (h *Handler) serve(writer http.ResponseWriter, request *http.Request) {
	admission := h.config.Admission.Admit(bearerToken(request), h.config.Now())
	switch admission.Verdict {
	case tenant.Unauthenticated:
		writeError(request.Context(), Error{
			Code: CodeUnauthenticated, Message: "a valid token is required in the header Authorization: Bearer TOKEN"}, writer)
		return
	case tenant.RateLimited:
		writeError(request.Context(), Error{
			Code: CodeRateExceeded, Message: "the team exceeds its request rate; the request was not processed", RetryAfter: admission.RetryAfter}, writer)
		return
	}
	limit := admission.Principal.RequestSize
	if request.ContentLength > limit {
		writeError(request.Context(), tooLargeError(limit), writer)
		return
	}
	request.Body = http.MaxBytesReader(writer, request.Body, limit)
	h.mux.ServeHTTP(writer, request.WithContext(withPrincipal(request.Context(), admission.Principal)))
}

const bearerPrefix = "Bearer "

func bearerToken(request *http.Request) tenant.Token {
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return tenant.Token(token)
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func encodeResponse(_ context.Context, writer http.ResponseWriter, response any) error {
	switch typed := response.(type) {
	case ChangeResponse:
		writeJSON(writer, typed.Outcome.Status(), typed.retryAfter, typed)
	case outcomeResponse:
		writeJSON(writer, typed.status(), 0, typed)
	default:
		writeJSON(writer, http.StatusOK, 0, typed)
	}
	return nil
}

// outcomeResponse is the response to GET /v1/changes/{id}.
type outcomeResponse struct{ ChangeResponse }

func (o outcomeResponse) status() int {
	if o.Outcome == Unknown {
		return http.StatusNotFound
	}
	return http.StatusOK
}

// Status returns the HTTP status for the outcome.
func (o ChangeOutcome) Status() int {
	switch o {
	case Accepted:
		return http.StatusOK
	case Refused:
		return http.StatusUnprocessableEntity
	case Conflict:
		return http.StatusConflict
	case NotAccepted:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
