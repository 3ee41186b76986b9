package agent

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const spliceBufferSize = 32 << 10

// halfCloser is a stream whose directions can be closed separately.
type halfCloser interface {
	io.ReadWriter
	CloseWrite() error
}

// spliceStreams copies data in both directions until both have ended. If either
// direction fails, it calls abort immediately and returns false. Aborting prevents
// the receiver from taking a truncated stream for a complete one.
func spliceStreams(caller, backend halfCloser, abort func()) bool {
	var once sync.Once
	failed := false
	fail := func() {
		once.Do(func() {
			failed = true
			abort()
		})
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		copyDirection(backend, caller, fail)
	}()
	go func() {
		defer directions.Done()
		copyDirection(caller, backend, fail)
	}()
	directions.Wait()
	return !failed
}

func copyDirection(destination, source halfCloser, fail func()) {
	buffer := make([]byte, spliceBufferSize)
	if _, err := io.CopyBuffer(onlyWriter{destination}, onlyReader{source}, buffer); err != nil {
		fail()
		return
	}
	if err := destination.CloseWrite(); err != nil {
		fail()
	}
}

// onlyWriter and onlyReader hide the methods ReadFrom and WriteTo. io.CopyBuffer
// would otherwise use them with larger buffers instead of the given one.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }

const datagramBufferSize = 9000

// spliceDatagrams copies datagrams in both directions until neither direction has
// had a datagram for the idle time.
func spliceDatagrams(caller, backend net.Conn, idle time.Duration) {
	var directions sync.WaitGroup
	timer := &idleTimer{connections: []net.Conn{caller, backend}, idle: idle}
	timer.extend()
	directions.Add(2)
	go func() {
		defer directions.Done()
		copyDatagrams(backend, caller, timer)
	}()
	go func() {
		defer directions.Done()
		copyDatagrams(caller, backend, timer)
	}()
	directions.Wait()
}

// idleTimer ends both connections of a flow by read deadlines when neither has had
// traffic for the idle time.
type idleTimer struct {
	connections []net.Conn
	idle        time.Duration
}

// extend restarts the idle time of both connections.
func (t *idleTimer) extend() {
	deadline := time.Now().Add(t.idle)
	for _, connection := range t.connections {
		// A closed connection needs no deadline.
		_ = connection.SetReadDeadline(deadline)
	}
}

// expire ends both connections immediately.
func (t *idleTimer) expire() {
	for _, connection := range t.connections {
		_ = connection.SetReadDeadline(time.Now())
	}
}

func copyDatagrams(destination, source net.Conn, timer *idleTimer) {
	defer timer.expire()
	buffer := make([]byte, datagramBufferSize)
	for {
		count, err := source.Read(buffer)
		if endsUDPFlow(err) {
			return
		}
		if err != nil {
			continue
		}
		timer.extend()
		if _, err := destination.Write(buffer[:count]); endsUDPFlow(err) {
			return
		}
	}
}

// endsUDPFlow reports whether an error ends a UDP flow. ECONNREFUSED does not: it
// means that no socket was listening for an earlier datagram, and the back end may
// be restarting.
func endsUDPFlow(err error) bool {
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}
