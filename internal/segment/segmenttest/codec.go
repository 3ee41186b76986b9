// Package segmenttest implements a packet encoding for tests and for the flow simulation. Packets
// are protected by a keyed checksum. The encoding differs from that of any platform, so that
// code which passes tests with it depends on no platform.
package segmenttest

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanetiller/vanetiller/internal/segment"
)

const (
	offsetChecksum       = 0
	offsetFlags          = 8
	offsetSource         = 10
	offsetDestination    = 16
	offsetSequence       = 22
	offsetAcknowledgment = 26
	headerSize           = 30
	maxSize              = headerSize + 1200
	// protectedFlags masks out Returned, which the checksum does not cover.
	protectedFlags = ^byte(segment.Returned)
)

// Codec implements segment.Codec. For clients and endpoints it also encodes packets and
// verifies their checksums.
type Codec struct {
	// Key is the key of the checksum. The daemons under test do not get it.
	Key uint64
}

// Encode returns a packet with its checksum. In a packet that opens a flow, the
// acknowledgment number holds the milliseconds since the first attempt of the client.
func (c Codec) Encode(header segment.Header, data []byte) []byte {
	packet := make([]byte, headerSize, headerSize+len(data))
	packet[offsetFlags] = byte(header.Flags)
	putAddress(packet[offsetSource:], header.Source)
	putAddress(packet[offsetDestination:], header.Destination)
	binary.BigEndian.PutUint32(packet[offsetSequence:], header.Sequence)
	binary.BigEndian.PutUint32(packet[offsetAcknowledgment:], header.Acknowledgment)
	packet = append(packet, data...)
	binary.BigEndian.PutUint64(packet[offsetChecksum:], c.checksum(packet))
	return packet
}

// ChecksumValid reports whether the checksum of the packet is valid.
func (c Codec) ChecksumValid(packet []byte) bool {
	return binary.BigEndian.Uint64(packet[offsetChecksum:]) == c.checksum(packet)
}

// Data returns the payload of a packet.
func (Codec) Data(packet []byte) []byte { return packet[headerSize:] }

// MarkReturned sets Returned in place, for an endpoint that does not accept the packet.
func (Codec) MarkReturned(packet []byte) { packet[offsetFlags] |= byte(segment.Returned) }

func (c Codec) checksum(packet []byte) uint64 {
	digest := xxhash.NewWithSeed(c.Key)
	_, _ = digest.Write([]byte{packet[offsetFlags] & protectedFlags})
	_, _ = digest.Write(packet[offsetFlags+1:])
	return digest.Sum64()
}

// Decode implements segment.Codec.
func (Codec) Decode(packet []byte) (segment.Header, segment.Outcome) {
	switch {
	case len(packet) < headerSize:
		return segment.Header{}, segment.Truncated
	case len(packet) > maxSize:
		return segment.Header{}, segment.Oversized
	}
	header := segment.Header{
		Source:         addressAt(packet[offsetSource:]),
		Destination:    addressAt(packet[offsetDestination:]),
		Flags:          segment.Flags(packet[offsetFlags]),
		Sequence:       binary.BigEndian.Uint32(packet[offsetSequence:]),
		Acknowledgment: binary.BigEndian.Uint32(packet[offsetAcknowledgment:]),
		Length:         len(packet) - headerSize,
	}
	if header.OpensFlow() {
		header.SinceFirstAttempt = time.Duration(header.Acknowledgment) * time.Millisecond
	}
	return header, segment.Decoded
}

// requestIDPrefix precedes the identifier of a request, which ends at a space.
const requestIDPrefix = "id="

// RequestID implements segment.Codec.
func (c Codec) RequestID(packet []byte) string {
	rest, found := strings.CutPrefix(string(c.Data(packet)), requestIDPrefix)
	if !found {
		return ""
	}
	id, _, _ := strings.Cut(rest, " ")
	return id
}

// FailurePrefix starts an answer that reports a failure, and RefusalPrefix one that reports
// a refusal. After RefusalPrefix, the answer holds the milliseconds until the request may be retried.
const (
	FailurePrefix = "failed"
	RefusalPrefix = "refused "
)

// Answer implements segment.Codec.
func (c Codec) Answer(packet []byte) segment.Answer {
	data := string(c.Data(packet))
	if strings.HasPrefix(data, FailurePrefix) {
		return segment.Answer{Kind: segment.AnswerFailure}
	}
	wait, refused := strings.CutPrefix(data, RefusalPrefix)
	if !refused {
		return segment.Answer{Kind: segment.AnswerSuccess}
	}
	// A time that cannot be parsed counts as 0.
	wait, _, _ = strings.Cut(wait, " ")
	milliseconds, _ := strconv.Atoi(wait)
	return segment.Answer{Kind: segment.AnswerRefusal, RetryAfter: time.Duration(milliseconds) * time.Millisecond}
}

// ClearReturned implements segment.Codec.
func (Codec) ClearReturned(packet []byte) { packet[offsetFlags] &= protectedFlags }

// AppendReset implements segment.Codec. The checksum stays 0.
func (Codec) AppendReset(output []byte, key segment.FlowKey, sequence uint32) []byte {
	header := make([]byte, headerSize)
	header[offsetFlags] = byte(segment.Reset)
	putAddress(header[offsetSource:], key.Service)
	putAddress(header[offsetDestination:], key.Client)
	binary.BigEndian.PutUint32(header[offsetSequence:], sequence)
	return append(output, header...)
}

func putAddress(target []byte, address segment.Address) {
	copy(target, address.IP[:])
	binary.BigEndian.PutUint16(target[4:], address.Port)
}

func addressAt(source []byte) segment.Address {
	return segment.Address{IP: [4]byte(source[0:4]), Port: binary.BigEndian.Uint16(source[4:])}
}
