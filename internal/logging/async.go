package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait to be written.
const queueLines = 1024

// AsyncWriter writes lines without ever blocking its callers: a line that finds the
// queue full is dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing sync.Once
	closed  chan struct{}
	ended   chan struct{}
}

// NewAsyncWriter returns a writer to output, which Close must end.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	created := &AsyncWriter{
		output: output,
		lines:  make(chan []byte, queueLines),
		closed: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go created.run()
	return created
}

// Write queues a line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued, for as long as given at most.
func (a *AsyncWriter) Close(patience time.Duration) {
	a.closing.Do(func() { close(a.closed) })
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-timer.C:
	}
}

func (a *AsyncWriter) run() {
	defer close(a.ended)
	for {
		select {
		case line := <-a.lines:
			a.put(line)
		case <-a.closed:
			a.drain()
			return
		}
	}
}

// drain writes what is still queued.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.put(line)
		default:
			return
		}
	}
}

// put writes a line. A log that cannot be written must not stop the process.
func (a *AsyncWriter) put(line []byte) {
	_, _ = a.output.Write(line)
	if dropped := a.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(a.output, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}
