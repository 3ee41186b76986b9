// Package exchange defines the HTTP requests between the callers and the back
// ends of the bench: paths, headers and the content of answers.
package exchange

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Paths of the back ends.
const (
	// PathUpload takes a body and answers with its checksum.
	PathUpload = "/upload"
	// PathDownload streams Content of the request.
	PathDownload = "/download"
	// PathPoll answers at once.
	PathPoll = "/poll"
	// PathSubmit takes a submission that must run at most once.
	PathSubmit = "/submit"
	// PathHealth and PathLoad report the state of the back end.
	PathHealth = "/health"
	PathLoad   = "/load"
)

// Headers of requests and answers.
const (
	// HeaderRequest identifies the request; the answer repeats it.
	HeaderRequest = "Bench-Request"
	// HeaderService names the service that the request is meant for.
	HeaderService = "Bench-Service"
	// HeaderFlow identifies the TCP connection of the caller.
	HeaderFlow = "Bench-Flow"
	// HeaderBackend names the back end that answered.
	HeaderBackend = "Bench-Backend"
	// HeaderChecksum is Checksum of the request body.
	HeaderChecksum = "Bench-Checksum"
	// HeaderNotRun is set on an answer that promises that the request has not
	// run.
	HeaderNotRun = "Bench-Not-Run"
	// QuerySize is the number of bytes of a download.
	QuerySize = "size"
	// QueryPieces is the number of pieces in which a download is streamed.
	QueryPieces = "pieces"
	// QueryPause is the pause between two pieces in milliseconds.
	QueryPause = "pause_ms"
)

// Content returns the bytes that belong to one request and to no other.
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

// ChecksumReader reads everything and returns its Checksum. It fails when the
// reader does.
func ChecksumReader(reader io.Reader) (string, error) {
	digest := xxhash.New()
	if _, err := io.Copy(digest, reader); err != nil {
		return "", err
	}
	return strconv.FormatUint(digest.Sum64(), 16), nil
}
