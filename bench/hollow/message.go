// This file implements the datagrams of hollow processes and their sizes.

package hollow

import (
	"github.com/vanetiller/vanetiller/bench/simnet"
	"github.com/vanetiller/vanetiller/internal/admission"
	"github.com/vanetiller/vanetiller/internal/control"
	"github.com/vanetiller/vanetiller/internal/encap"
	"github.com/vanetiller/vanetiller/internal/table"
)

// message is a datagram; exactly one member is set. Messages are passed as
// values, but their sizes are those of the product's encoding.
type message struct {
	control  *control.Datagram
	question *admission.Message
	packet   *admission.Packet
}

// network is the simulated network of a fleet.
type network = simnet.Network[message]

// sizer computes sizes on the wire, below the UDP header.
type sizer struct {
	encoder *encap.Encoder
	encoded []byte
	wrapped []byte
}

func newSizer() *sizer { return &sizer{encoder: encap.NewEncoder()} }

func (s *sizer) control(datagram *control.Datagram) int {
	encoded, err := datagram.MarshalMsg(s.encoded[:0])
	if err != nil {
		panic("hollow: cannot encode a control datagram: " + err.Error())
	}
	s.encoded = encoded
	return len(encoded)
}

func (s *sizer) question(service table.ServiceID, sent *admission.Message) int {
	encoded, err := sent.MarshalMsg(s.encoded[:0])
	if err != nil {
		panic("hollow: cannot encode a message: " + err.Error())
	}
	s.encoded = encoded
	s.wrapped = s.encoder.AppendControl(s.wrapped[:0], service, encoded)
	return len(s.wrapped)
}
