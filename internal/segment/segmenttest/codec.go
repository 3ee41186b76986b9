// Package segmenttest implements an encoding of packets of the project's own,
// sealed by a keyed sum, for tests and for the emulator. It differs from that
// of any platform, so that code which passes with it depends on none.
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
	offsetSum      = 0
	offsetFlags    = 8
	offsetSource   = 10
	offsetTarget   = 16
	offsetSequence = 22
	offsetAck      = 26
	headSize       = 30
	maximumSize    = headSize + 1200
	// sealedFlags leaves out the bit that is no part of what is sealed.
	sealedFlags = ^byte(segment.Returned)
)

// Codec implements segment.Codec, and for the two ends of flows also encoding
// and checking.
type Codec struct {
	// Key seals packets. The daemons under test are not given it.
	Key uint64
}

// Encode returns a sealed packet. The acknowledgment of one that opens a flow is for how
// many milliseconds its client has tried.
func (c Codec) Encode(header segment.Header, data []byte) []byte {
	packet := make([]byte, headSize, headSize+len(data))
	packet[offsetFlags] = byte(header.Flags)
	putAddress(packet[offsetSource:], header.Source)
	putAddress(packet[offsetTarget:], header.Destination)
	binary.BigEndian.PutUint32(packet[offsetSequence:], header.Sequence)
	binary.BigEndian.PutUint32(packet[offsetAck:], header.Acknowledgment)
	packet = append(packet, data...)
	binary.BigEndian.PutUint64(packet[offsetSum:], c.sum(packet))
	return packet
}

// Sealed reports whether the packet is as its sender wrote it.
func (c Codec) Sealed(packet []byte) bool {
	return binary.BigEndian.Uint64(packet[offsetSum:]) == c.sum(packet)
}

// Data returns the data of a packet.
func (Codec) Data(packet []byte) []byte { return packet[headSize:] }

// MarkReturned marks, in place, a packet that an endpoint does not take.
func (Codec) MarkReturned(packet []byte) { packet[offsetFlags] |= byte(segment.Returned) }

func (c Codec) sum(packet []byte) uint64 {
	digest := xxhash.NewWithSeed(c.Key)
	_, _ = digest.Write([]byte{packet[offsetFlags] & sealedFlags})
	_, _ = digest.Write(packet[offsetFlags+1:])
	return digest.Sum64()
}

// Decode implements segment.Codec.
func (Codec) Decode(packet []byte) (segment.Header, segment.Outcome) {
	switch {
	case len(packet) < headSize:
		return segment.Header{}, segment.Truncated
	case len(packet) > maximumSize:
		return segment.Header{}, segment.Oversized
	}
	header := segment.Header{
		Source:         addressAt(packet[offsetSource:]),
		Destination:    addressAt(packet[offsetTarget:]),
		Flags:          segment.Flags(packet[offsetFlags]),
		Sequence:       binary.BigEndian.Uint32(packet[offsetSequence:]),
		Acknowledgment: binary.BigEndian.Uint32(packet[offsetAck:]),
		Length:         len(packet) - headSize,
	}
	if header.OpensFlow() {
		header.SinceFirstAttempt = time.Duration(header.Acknowledgment) * time.Millisecond
	}
	return header, segment.Decoded
}

// requestMark stands before the identifier of a request, which ends at a blank.
const requestMark = "id="

// RequestID implements segment.Codec.
func (c Codec) RequestID(packet []byte) string {
	marked, found := strings.CutPrefix(string(c.Data(packet)), requestMark)
	if !found {
		return ""
	}
	id, _, _ := strings.Cut(marked, " ")
	return id
}

// The beginnings of answers that tell of a failure and of a request that has not run; the
// milliseconds until it may be sent again follow the latter.
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
	// A wait that cannot be read is none.
	wait, _, _ = strings.Cut(wait, " ")
	after, _ := strconv.Atoi(wait)
	return segment.Answer{Kind: segment.AnswerRefusal, RetryAfter: time.Duration(after) * time.Millisecond}
}

// ClearReturned implements segment.Codec.
func (Codec) ClearReturned(packet []byte) { packet[offsetFlags] &= sealedFlags }

// AppendReset implements segment.Codec. The sum stays 0.
func (Codec) AppendReset(output []byte, key segment.FlowKey, sequence uint32) []byte {
	head := make([]byte, headSize)
	head[offsetFlags] = byte(segment.Reset)
	putAddress(head[offsetSource:], key.Service)
	putAddress(head[offsetTarget:], key.Client)
	binary.BigEndian.PutUint32(head[offsetSequence:], sequence)
	return append(output, head...)
}

func putAddress(target []byte, address segment.Address) {
	copy(target, address.IP[:])
	binary.BigEndian.PutUint16(target[4:], address.Port)
}

func addressAt(source []byte) segment.Address {
	return segment.Address{IP: [4]byte(source[0:4]), Port: binary.BigEndian.Uint16(source[4:])}
}
