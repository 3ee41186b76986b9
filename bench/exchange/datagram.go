// This file defines the datagrams between the callers and the back ends of UDP services.

package exchange

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Datagram is a request, or an answer if Backend is set.
type Datagram struct {
	// Flow identifies the caller's socket.
	Flow string `json:"flow"`
	// Request is the ID of the request. The answer has the same value.
	Request string `json:"request"`
	// Service names the service that a request is meant for or that sent an answer.
	Service string `json:"service"`
	// Backend names the back end that answered.
	Backend string `json:"backend,omitempty"`
}

// Encode returns the datagram in its JSON encoding.
func (d Datagram) Encode() []byte {
	encoded, err := json.Marshal(d)
	if err != nil {
		panic("exchange: encode a datagram that has only strings: " + err.Error())
	}
	return encoded
}

// DecodeDatagram decodes a datagram. It fails if the data are not valid JSON of a datagram.
func DecodeDatagram(data []byte) (Datagram, error) {
	var decoded Datagram
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Datagram{}, errors.Wrap(err, "decode the datagram")
	}
	return decoded, nil
}
