// This file implements the HTTP side: paths, authentication and bounds.

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

// DefaultSubmitTimeout bounds how long a change waits for its outcome before
// it is answered as unknown.
const DefaultSubmitTimeout = 10 * time.Second

// The labels of HandlerConfig.Requests.
const (
	// OperationLabel has the method and the pattern of the path.
	OperationLabel = "operation"
	// StatusLabel has the status of the HTTP answer.
	StatusLabel = "status"
)

// unmatchedOperation labels requests for which there is no path.
const unmatchedOperation = "unmatched"

// HandlerConfig holds the settings of a Handler.
type HandlerConfig struct {
	Store Store
	// Admission decides who may ask, and how often.
	Admission *tenant.AdmissionController
	// Now is the clock; nil means that of the system.
	Now func() time.Time
	// SubmitTimeout is DefaultSubmitTimeout if it is zero.
	SubmitTimeout time.Duration
	// Requests counts the answers by OperationLabel and StatusLabel. Nil
	// discards the counts.
	Requests metrics.Counter
}

// Handler serves the API.
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
	handler.addPaths(&service{store: config.Store, now: config.Now, submitTimeout: config.SubmitTimeout})
	return handler
}

func (h *Handler) addPaths(served *service) {
	viewer := require(tenant.RoleViewer)
	editor := require(tenant.RoleEditor)
	administrator := require(tenant.RoleAdministrator)
	h.add("GET /v1/table", viewer(served.tableEndpoint), decodeTable)
	h.add("POST /v1/changes", editor(served.changeEndpoint), decodeChange)
	h.add("GET /v1/changes/{id}", viewer(served.outcomeEndpoint), decodeOutcome)
	h.add("GET /v1/history", viewer(served.historyEndpoint), decodeHistory)
	h.add("GET /v1/versions/{version}", viewer(served.reachEndpoint), decodeReach)
	h.add("GET /v1/members", viewer(served.membersEndpoint), decodeNothing)
	h.add("POST /v1/backends/{id}/drain", editor(served.drainEndpoint), decodeDrain)
	h.add("GET /v1/zones", viewer(served.zonesEndpoint), decodeNothing)
	h.add("POST /v1/zones/{zone}", administrator(served.closeZoneEndpoint), decodeZone)
	h.add("GET /v1/snapshot", administrator(served.exportSnapshotEndpoint), decodeNothing)
	h.add("POST /v1/snapshot", administrator(served.importSnapshotEndpoint), decodeSnapshot)
	h.mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		writeFailure(request.Context(), Error{Code: CodeNotFound, Message: "no such method and path"}, writer)
	})
}

func (h *Handler) add(pattern string, served endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
	h.mux.Handle(pattern, kithttp.NewServer(served, decode, encodeAnswer,
		kithttp.ServerErrorEncoder(writeFailure)))
}

// ServeHTTP implements http.Handler. It asks for authentication before
// anything else of the request is read.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, operation := h.mux.Handler(request)
	if operation == "/" {
		operation = unmatchedOperation
	}
	counted := &statusWriter{ResponseWriter: writer, status: http.StatusOK}
	h.serve(counted, request)
	h.config.Requests.With(OperationLabel, operation, StatusLabel, strconv.Itoa(counted.status)).Add(1)
}

func (h *Handler) serve(writer http.ResponseWriter, request *http.Request) {
	admission := h.config.Admission.Admit(bearerToken(request), h.config.Now())
	switch admission.Verdict {
	case tenant.Unauthenticated:
		writeFailure(request.Context(), Error{
			Code: CodeUnauthenticated, Message: "a valid token is required in the header Authorization: Bearer TOKEN"}, writer)
		return
	case tenant.RateLimited:
		writeFailure(request.Context(), Error{
			Code: CodeRateExceeded, Message: "the team asks too often; nothing was done", RetryAfter: admission.RetryAfter}, writer)
		return
	}
	limit := admission.Principal.RequestSize
	if request.ContentLength > limit {
		writeFailure(request.Context(), tooLargeFailure(limit), writer)
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

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func encodeAnswer(_ context.Context, writer http.ResponseWriter, answer any) error {
	switch typed := answer.(type) {
	case ChangeResponse:
		writeJSON(writer, typed.Outcome.Status(), typed.retryAfter, typed)
	case rememberedOutcome:
		writeJSON(writer, typed.status(), 0, typed)
	default:
		writeJSON(writer, http.StatusOK, 0, typed)
	}
	return nil
}

// rememberedOutcome is the answer to GET /v1/changes/{id}.
type rememberedOutcome struct{ ChangeResponse }

func (o rememberedOutcome) status() int {
	if o.Outcome == Unknown {
		return http.StatusNotFound
	}
	return http.StatusOK
}

// Status returns the status of the HTTP answer.
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
