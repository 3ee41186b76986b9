// This file defines the datagrams between callers and back ends of UDP
// services.

package exchange

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Datagram is a request, or its answer if Backend is set.
type Datagram struct {
	// Flow identifies the caller's socket.
	Flow string `json:"flow"`
	// Request identifies the request; the answer repeats it.
	Request string `json:"request"`
	// Service names the service that the request is meant for, or that
	// answered.
	Service string `json:"service"`
	// Backend names the back end that answered.
	Backend string `json:"backend,omitempty"`
}

// Encode returns the datagram as it is sent.
func (d Datagram) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("exchange: strings can always be encoded: " + err.Error())
	}
	return encoded
}

// DecodeDatagram reads a datagram. It fails for anything but one made by
// Encode.
func DecodeDatagram(data []byte) (Datagram, error) {
	var decoded Datagram
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Datagram{}, errors.Wrap(err, "datagram")
	}
	return decoded, nil
}
