package udpfront

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// socketBuffer is the size in bytes asked for each socket's receive and send
// queue: some milliseconds of a fast link, which cover the time that the
// scheduler may keep the process waiting. The kernel may grant less.
const socketBuffer = 4 << 20

// listenShared opens an IPv4 UDP socket whose port other sockets of the
// process share; the kernel spreads datagrams over them by the hash of their
// addresses.
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
	if err := connection.SetReadBuffer(socketBuffer); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(connection.SetWriteBuffer(socketBuffer))
}
