package udpfront

import (
	"encoding/binary"
	"net"
	"net/netip"
	"unsafe"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// maximumSegments is the most datagrams that Linux accepts in one message
	// with UDP_SEGMENT in every version that has it.
	maximumSegments = 64
	// maximumMessage is the most payload bytes of one message, since the
	// kernel builds one IPv4 packet of it before cutting it up.
	maximumMessage = 65535 - 20 - 8
	segmentOption  = 2 // bytes of the option UDP_SEGMENT
)

// destinationKey is an IPv4 address and port in one word.
type destinationKey uint64

func keyOf(destination netip.AddrPort) destinationKey {
	address := destination.Addr().As4()
	return destinationKey(binary.BigEndian.Uint32(address[:]))<<16 | destinationKey(destination.Port())
}

// group is one message to the kernel: datagrams for one destination, all of
// one size but the last, which may be shorter.
type group struct {
	address  net.UDPAddr
	control  []byte // encoded UDP_SEGMENT option
	buffers  [][]byte
	size     int // bytes of every datagram but the last
	lastSize int
	total    int
}

// accepts reports whether the kernel can send one more datagram with the
// group, which may have the given number of segments. A datagram after a
// shorter one needs a new group.
func (g *group) accepts(size, segments int) bool {
	return size <= g.size &&
		size > 0 &&
		g.lastSize == g.size &&
		len(g.buffers) < segments &&
		g.total+size <= maximumMessage
}

func (g *group) add(payload []byte) {
	g.buffers = append(g.buffers, payload)
	g.lastSize = len(payload)
	g.total += len(payload)
}

// grouper collects the datagrams of a batch into as few messages as the
// kernel allows. Datagrams for one destination keep their order.
type grouper struct {
	keys     []destinationKey // of groups, kept together for a fast search
	groups   []group
	messages []ipv4.Message
	count    int
	segments int // most datagrams in a message
}

func newGrouper(capacity int) *grouper {
	created := &grouper{
		keys:     make([]destinationKey, capacity),
		groups:   make([]group, capacity),
		messages: make([]ipv4.Message, capacity),
		segments: maximumSegments,
	}
	for i := range created.groups {
		fresh := &created.groups[i]
		fresh.address.IP = make(net.IP, net.IPv4len)
		fresh.control = newSegmentControl()
		fresh.buffers = make([][]byte, 0, capacity)
		created.messages[i].Addr = &fresh.address
	}
	return created
}

// newSegmentControl returns a control message UDP_SEGMENT whose size is not
// set yet.
func newSegmentControl() []byte {
	control := make([]byte, unix.CmsgSpace(segmentOption))
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	header.Level = unix.SOL_UDP
	header.Type = unix.UDP_SEGMENT
	header.SetLen(unix.CmsgLen(segmentOption))
	return control
}

func setSegmentSize(control []byte, size int) {
	binary.NativeEndian.PutUint16(control[unix.CmsgLen(0):], uint16(size))
}

// stopGrouping makes every later datagram a message of its own.
func (g *grouper) stopGrouping() { g.segments = 1 }

// add puts a datagram into the newest group for its destination, or into a new
// one. At most the grouper's capacity may be added between two resets.
func (g *grouper) add(datagram Datagram) {
	key := keyOf(datagram.Destination)
	newest := g.newest(key)
	if newest == nil || !newest.accepts(len(datagram.Payload), g.segments) {
		newest = g.open(key, datagram)
	}
	newest.add(datagram.Payload)
}

func (g *grouper) newest(key destinationKey) *group {
	for i := g.count - 1; i >= 0; i-- {
		if g.keys[i] == key {
			return &g.groups[i]
		}
	}
	return nil
}

func (g *grouper) open(key destinationKey, first Datagram) *group {
	opened := &g.groups[g.count]
	g.keys[g.count] = key
	g.count++
	destination := first.Destination.Addr().As4()
	copy(opened.address.IP, destination[:])
	opened.address.Port = int(first.Destination.Port())
	opened.buffers = opened.buffers[:0]
	opened.size = len(first.Payload)
	opened.total = 0
	return opened
}

// finish returns the messages to send and empties the grouper. They are valid
// until the next add.
func (g *grouper) finish() []ipv4.Message {
	messages := g.messages[:g.count]
	for i := range messages {
		grouped := &g.groups[i]
		messages[i].Buffers = grouped.buffers
		messages[i].OOB = nil
		if len(grouped.buffers) > 1 {
			setSegmentSize(grouped.control, grouped.size)
			messages[i].OOB = grouped.control
		}
	}
	g.count = 0
	return messages
}
