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

// halfCloser is a stream whose two directions end separately.
type halfCloser interface {
	io.ReadWriter
	CloseWrite() error
}

// spliceStreams copies both directions until both have ended. It returns false
// if either ended with an error; abort is then called at once, so that the
// other side does not take a cut stream for a whole one.
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

// onlyWriter and onlyReader hide ReadFrom and WriteTo, which would replace the
// given buffer by larger ones.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }

const datagramBufferSize = 9000

// spliceDatagrams copies both directions until no datagram has come for the
// idle time.
func spliceDatagrams(caller, backend net.Conn, idle time.Duration) {
	var directions sync.WaitGroup
	activity := &idleTimer{connections: []net.Conn{caller, backend}, idle: idle}
	activity.touch()
	directions.Add(2)
	go func() {
		defer directions.Done()
		copyDatagrams(backend, caller, activity)
	}()
	go func() {
		defer directions.Done()
		copyDatagrams(caller, backend, activity)
	}()
	directions.Wait()
}

// idleTimer ends both connections of a flow when neither had traffic.
type idleTimer struct {
	connections []net.Conn
	idle        time.Duration
}

func (t *idleTimer) touch() {
	deadline := time.Now().Add(t.idle)
	for _, connection := range t.connections {
		// A closed connection needs no deadline.
		_ = connection.SetReadDeadline(deadline)
	}
}

// stop ends both connections at once.
func (t *idleTimer) stop() {
	for _, connection := range t.connections {
		_ = connection.SetReadDeadline(time.Now())
	}
}

func copyDatagrams(destination, source net.Conn, activity *idleTimer) {
	defer activity.stop()
	buffer := make([]byte, datagramBufferSize)
	for {
		count, err := source.Read(buffer)
		if endsDatagrams(err) {
			return
		}
		if err != nil {
			continue
		}
		activity.touch()
		if _, err := destination.Write(buffer[:count]); endsDatagrams(err) {
			return
		}
	}
}

// endsDatagrams reports whether an error ends a UDP flow. That nobody listened
// for an earlier datagram does not: the back end may be restarting.
func endsDatagrams(err error) bool {
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}
