//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case. Times count from its creation.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}
