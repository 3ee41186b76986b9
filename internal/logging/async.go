package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the maximum number of lines that wait to be written.
const queueCapacity = 1024

// AsyncWriter writes lines in the background and never blocks its callers. If the
// queue is full, it drops the line and counts it. It is safe for concurrent use.
type AsyncWriter struct {
	output    io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	closeOnce sync.Once
	closed    chan struct{}
	done      chan struct{}
}

// NewAsyncWriter returns a writer to output. The caller must close it.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	created := &AsyncWriter{
		output: output,
		lines:  make(chan []byte, queueCapacity),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go created.run()
	return created
}

// Write queues a line. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close stops the writer. It waits at most timeout for the queued lines to be
// written.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.closeOnce.Do(func() { close(a.closed) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		case <-a.closed:
			a.drain()
			return
		}
	}
}

// drain writes all queued lines.
func (a *AsyncWriter) drain() {
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes line. If lines were dropped since the last call, it also writes
// a warning with their number. It ignores errors: a failed log write must not stop
// the process.
func (a *AsyncWriter) writeLine(line []byte) {
	_, _ = a.output.Write(line)
	if dropped := a.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(a.output, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
}
