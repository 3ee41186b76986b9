// Package fleet builds the daemon once and runs one process of it for each
// balancer and each agent of an experiment.
package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fleet is the processes of one experiment. It is safe for concurrent use.
type Fleet struct {
	directory string
	binary    string

	mutex     sync.Mutex
	processes []*Process
}

const (
	programsPath      = "github.com/vanetiller/vanetiller/cmd/"
	daemonName        = "vanetillerd"
	directoryMode     = 0o700
	settingsExtension = ".toml"
	logExtension      = ".log"
)

// New builds the daemon into a directory, which also takes settings and logs.
// It fails when the build does; the error holds the compiler's output.
func New(ctx context.Context, directory string) (*Fleet, error) {
	binary, err := Build(ctx, directory, daemonName)
	if err != nil {
		return nil, err
	}
	return &Fleet{directory: directory, binary: binary}, nil
}

// Build builds a program of this repository into a directory, which is made if it
// does not exist, and returns its path. The error holds the compiler's output.
func Build(ctx context.Context, directory, program string) (string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return "", errors.Wrap(err, "fleet directory")
	}
	binary := filepath.Join(directory, program)
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, programsPath+program)
	output, err := build.CombinedOutput()
	return binary, errors.Wrapf(err, "build %s: %s", program, output)
}

// Directory holds the binary, settings and logs.
func (f *Fleet) Directory() string { return f.directory }

// Start writes a settings file and starts a daemon with it. A name can be
// started again after its process has ended; the log file is continued.
func (f *Fleet) Start(settings Settings) (*Process, error) {
	base := filepath.Join(f.directory, settings.Name)
	if err := settings.write(base + settingsExtension); err != nil {
		return nil, err
	}
	process, err := Start(settings.Name, f.binary, base+settingsExtension, base+logExtension)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.processes = append(f.processes, process)
	return process, nil
}

// Stop resumes and terminates every process and kills those that have not
// ended after the grace period. It returns the processes that had to be killed.
func (f *Fleet) Stop(grace time.Duration) []*Process {
	running := f.Running()
	for _, process := range running {
		// A process that ends in between needs no signal.
		_ = process.Resume()
		_ = process.Terminate()
	}
	deadline := time.NewTimer(grace)
	defer deadline.Stop()
	var killed []*Process
	for _, process := range running {
		select {
		case <-process.Done():
			continue
		case <-deadline.C:
			deadline.Reset(0)
		}
		if process.Running() {
			_ = process.Kill()
			killed = append(killed, process)
			<-process.Done()
		}
	}
	return killed
}

// Running returns the processes that have not ended.
func (f *Fleet) Running() []*Process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var running []*Process
	for _, process := range f.processes {
		if process.Running() {
			running = append(running, process)
		}
	}
	return running
}
