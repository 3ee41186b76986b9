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
	// maxSegmentsPerMessage is the number of datagrams in one UDP_SEGMENT message
	// that every Linux version with this option accepts.
	maxSegmentsPerMessage = 64
	// maxMessageSize is the largest payload of one message in bytes. The kernel
	// builds one IPv4 packet from it before splitting it into datagrams, so
	// the IPv4 and UDP headers count.
	maxMessageSize    = 65535 - 20 - 8
	segmentOptionSize = 2 // bytes of the UDP_SEGMENT option
)

// destinationKey is an IPv4 address and port in one integer.
type destinationKey uint64

func destinationKeyOf(destination netip.AddrPort) destinationKey {
	address := destination.Addr().As4()
	return destinationKey(binary.BigEndian.Uint32(address[:]))<<16 | destinationKey(destination.Port())
}

// segmentGroup collects the datagrams of one message to the kernel. All datagrams
// have the same destination and the same size, except that the last may be shorter.
type segmentGroup struct {
	address  net.UDPAddr
	control  []byte // encoded UDP_SEGMENT option
	buffers  [][]byte
	size     int // bytes of every datagram except the last
	lastSize int
	total    int
}

// accepts reports whether a datagram of the given size can be added to the group,
// which may hold the given number of segments. A datagram that follows a shorter
// one needs a new group.
func (g *segmentGroup) accepts(size, maxSegments int) bool {
	return size <= g.size &&
		size > 0 &&
		g.lastSize == g.size &&
		len(g.buffers) < maxSegments &&
		g.total+size <= maxMessageSize
}

func (g *segmentGroup) add(payload []byte) {
	g.buffers = append(g.buffers, payload)
	g.lastSize = len(payload)
	g.total += len(payload)
}

// coalescer combines the datagrams of a batch into as few messages as the kernel
// allows (UDP generic segmentation offload). Datagrams for one destination keep
// their order.
type coalescer struct {
	keys        []destinationKey // of groups, in a separate slice for a fast search
	groups      []segmentGroup
	messages    []ipv4.Message
	count       int
	maxSegments int // largest number of datagrams in a message
}

func newCoalescer(capacity int) *coalescer {
	created := &coalescer{
		keys:        make([]destinationKey, capacity),
		groups:      make([]segmentGroup, capacity),
		messages:    make([]ipv4.Message, capacity),
		maxSegments: maxSegmentsPerMessage,
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

// newSegmentControl returns a UDP_SEGMENT control message whose segment size is not
// set yet.
func newSegmentControl() []byte {
	control := make([]byte, unix.CmsgSpace(segmentOptionSize))
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	header.Level = unix.SOL_UDP
	header.Type = unix.UDP_SEGMENT
	header.SetLen(unix.CmsgLen(segmentOptionSize))
	return control
}

func setSegmentSize(control []byte, size int) {
	binary.NativeEndian.PutUint16(control[unix.CmsgLen(0):], uint16(size))
}

// disableCoalescing puts every later datagram into a message of its own.
func (c *coalescer) disableCoalescing() { c.maxSegments = 1 }

// add adds a datagram to the newest group for its destination, or to a new group. No
// more datagrams than the capacity may be added between two calls of takeMessages.
func (c *coalescer) add(datagram Datagram) {
	key := destinationKeyOf(datagram.Destination)
	newestGroup := c.newestGroup(key)
	if newestGroup == nil || !newestGroup.accepts(len(datagram.Payload), c.maxSegments) {
		newestGroup = c.openGroup(key, datagram)
	}
	newestGroup.add(datagram.Payload)
}

// newestGroup returns the newest group for a destination, or nil.
func (c *coalescer) newestGroup(key destinationKey) *segmentGroup {
	for i := c.count - 1; i >= 0; i-- {
		if c.keys[i] == key {
			return &c.groups[i]
		}
	}
	return nil
}

// openGroup starts an empty group for the destination and size of its first datagram.
func (c *coalescer) openGroup(key destinationKey, first Datagram) *segmentGroup {
	opened := &c.groups[c.count]
	c.keys[c.count] = key
	c.count++
	destination := first.Destination.Addr().As4()
	copy(opened.address.IP, destination[:])
	opened.address.Port = int(first.Destination.Port())
	opened.buffers = opened.buffers[:0]
	opened.size = len(first.Payload)
	opened.total = 0
	return opened
}

// takeMessages returns the messages to send and empties the coalescer. The messages
// are valid until the next call of add.
func (c *coalescer) takeMessages() []ipv4.Message {
	messages := c.messages[:c.count]
	for i := range messages {
		grouped := &c.groups[i]
		messages[i].Buffers = grouped.buffers
		messages[i].OOB = nil
		if len(grouped.buffers) > 1 {
			setSegmentSize(grouped.control, grouped.size)
			messages[i].OOB = grouped.control
		}
	}
	c.count = 0
	return messages
}
