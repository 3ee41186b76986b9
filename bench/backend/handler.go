// This file implements the HTTP handlers of a back end.

package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/vanetiller/vanetiller/bench/exchange"
	"github.com/vanetiller/vanetiller/bench/timing"
)

// Load is the answer to exchange.PathLoad.
type Load struct {
	// Open is the number of open connections.
	Open int64 `json:"open"`
	// Running is the number of submissions that are running.
	Running int64 `json:"running"`
	// Slots is the number of submissions that may run at a time. Zero means no limit.
	Slots int `json:"slots"`
}

func (b *Backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchange.PathUpload, b.recordRequests(b.upload))
	mux.HandleFunc("GET "+exchange.PathDownload, b.recordRequests(b.download))
	mux.HandleFunc("GET "+exchange.PathPoll, b.recordRequests(b.poll))
	mux.HandleFunc("POST "+exchange.PathSubmit, b.recordRequests(b.submit))
	mux.HandleFunc("GET "+exchange.PathHealth, b.health)
	mux.HandleFunc("GET "+exchange.PathLoad, b.load)
	return mux
}

// recordRequests returns a handler that records the flow of a request and copies the request ID to
// the answer. It then serves the request, or refuses it if it is meant for another service.
func (b *Backend) recordRequests(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		b.settings.Recorder.recordContact(request.Header.Get(exchange.HeaderFlow), b.settings.Name)
		header := writer.Header()
		header.Set(exchange.HeaderRequest, request.Header.Get(exchange.HeaderRequest))
		header.Set(exchange.HeaderBackend, b.settings.Name)
		header.Set(exchange.HeaderService, b.settings.Service)
		if request.Header.Get(exchange.HeaderService) != b.settings.Service {
			b.settings.Recorder.recordMisdelivery()
			http.Error(writer, "request meant for another service", http.StatusMisdirectedRequest)
			return
		}
		serve(writer, request)
	}
}

func (b *Backend) upload(writer http.ResponseWriter, request *http.Request) {
	checksum, err := exchange.ChecksumReader(request.Body)
	if err != nil {
		http.Error(writer, "request body is incomplete", http.StatusBadRequest)
		return
	}
	writer.Header().Set(exchange.HeaderChecksum, checksum)
	writer.WriteHeader(http.StatusOK)
}

func (b *Backend) download(writer http.ResponseWriter, request *http.Request) {
	size, sizeErr := strconv.Atoi(request.URL.Query().Get(exchange.QuerySize))
	pieces, piecesErr := strconv.Atoi(request.URL.Query().Get(exchange.QueryPieces))
	pause, pauseErr := strconv.Atoi(request.URL.Query().Get(exchange.QueryPause))
	if sizeErr != nil || piecesErr != nil || pauseErr != nil || pieces < 1 {
		http.Error(writer, "size, pieces and pause_ms must be numbers", http.StatusBadRequest)
		return
	}
	content := exchange.Content(request.Header.Get(exchange.HeaderRequest), size)
	writer.Header().Set("Content-Length", strconv.Itoa(size))
	for piece := range pieces {
		start, end := piece*size/pieces, (piece+1)*size/pieces
		if _, err := writer.Write(content[start:end]); err != nil {
			return
		}
		flush(writer)
		if piece+1 < pieces && !timing.Sleep(request.Context(), time.Duration(pause)*time.Millisecond) {
			return
		}
	}
}

func (b *Backend) poll(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(exchange.HeaderChecksum, exchange.Checksum(nil))
	writer.WriteHeader(http.StatusNoContent)
}

// submit executes a submission if a slot is free. Otherwise it refuses the submission before
// executing any part of it.
func (b *Backend) submit(writer http.ResponseWriter, request *http.Request) {
	checksum, err := exchange.ChecksumReader(request.Body)
	if err != nil {
		http.Error(writer, "request body is incomplete", http.StatusBadRequest)
		return
	}
	if !b.acquireSlot() {
		writer.Header().Set("Retry-After", "1")
		writer.Header().Set(exchange.HeaderNotRun, "true")
		http.Error(writer, "no slot is free for the submission", http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.settings.Recorder.recordExecution(request.Header.Get(exchange.HeaderRequest))
	timing.Sleep(request.Context(), b.settings.WorkTime)
	writer.Header().Set(exchange.HeaderChecksum, checksum)
	writer.WriteHeader(http.StatusOK)
}

func (b *Backend) acquireSlot() bool {
	running := b.running.Add(1)
	if b.settings.Slots > 0 && running > int64(b.settings.Slots) {
		b.running.Add(-1)
		b.shed.Add(1)
		return false
	}
	return true
}

func (b *Backend) health(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusNoContent)
}

func (b *Backend) load(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	report := Load{Open: b.open.Load(), Running: b.running.Load(), Slots: b.settings.Slots}
	if err := json.NewEncoder(writer).Encode(report); err != nil {
		return
	}
}
