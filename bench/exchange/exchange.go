// Package exchange defines the protocol between the simulated callers and back ends of the bench:
// the paths, headers and content of HTTP requests and answers, and the format of datagrams. The
// content and checksums let callers detect an answer that belongs to another request.
package exchange

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The HTTP paths of the back ends.
const (
	// PathUpload accepts a body and answers with its checksum.
	PathUpload = "/upload"
	// PathDownload streams the Content of the request.
	PathDownload = "/download"
	// PathPoll answers immediately.
	PathPoll = "/poll"
	// PathSubmit accepts a submission that must be executed at most once.
	PathSubmit = "/submit"
	// PathHealth and PathLoad report the state of the back end.
	PathHealth = "/health"
	PathLoad   = "/load"
)

// The headers of requests and answers, and the query parameters of requests.
const (
	// HeaderRequest is the ID of the request. The answer has the same value.
	HeaderRequest = "Bench-Request"
	// HeaderService names the service that the request is meant for.
	HeaderService = "Bench-Service"
	// HeaderFlow identifies the TCP connection of the caller.
	HeaderFlow = "Bench-Flow"
	// HeaderBackend names the back end that answered.
	HeaderBackend = "Bench-Backend"
	// HeaderChecksum is Checksum of the request body.
	HeaderChecksum = "Bench-Checksum"
	// HeaderNotRun is set in an answer if the request has not been executed.
	HeaderNotRun = "Bench-Not-Run"
	// QuerySize is the number of bytes of a download.
	QuerySize = "size"
	// QueryPieces is the number of pieces in which a download is streamed.
	QueryPieces = "pieces"
	// QueryPause is the pause between two pieces in milliseconds.
	QueryPause = "pause_ms"
)

// Content returns pseudorandom bytes that depend on the request ID and the size.
func Content(request string, size int) []byte {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(request), uint64(size)))
	content := make([]byte, size+8)
	for offset := 0; offset < size; offset += 8 {
		binary.LittleEndian.PutUint64(content[offset:], random.Uint64())
	}
	return content[:size]
}

// Checksum returns the 64-bit xxHash of data in hexadecimal.
func Checksum(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// ChecksumReader returns the Checksum of everything it reads. It fails if the reader fails.
func ChecksumReader(reader io.Reader) (string, error) {
	digest := xxhash.New()
	if _, err := io.Copy(digest, reader); err != nil {
		return "", err
	}
	return strconv.FormatUint(digest.Sum64(), 16), nil
}
