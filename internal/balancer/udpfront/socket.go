package udpfront

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// socketBufferSize is the requested size in bytes of each socket's receive and send
// queues. It holds a few milliseconds of traffic of a fast link, which covers the
// time for which the scheduler may delay the process. The kernel may grant less.
const socketBufferSize = 4 << 20

// listenShared opens an IPv4 UDP socket whose port can be shared by other sockets of
// the process (SO_REUSEPORT). The kernel distributes datagrams over the sockets by
// the hash of their addresses.
func listenShared(address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: sharePort}
	opened, err := config.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	connection := opened.(*net.UDPConn)
	if err := setBuffers(connection); err != nil {
		connection.Close()
		return nil, err
	}
	return connection, nil
}

func sharePort(_, _ string, raw syscall.RawConn) error {
	var optionError error
	err := raw.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionError
}

func setBuffers(connection *net.UDPConn) error {
	if err := connection.SetReadBuffer(socketBufferSize); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(connection.SetWriteBuffer(socketBufferSize))
}
