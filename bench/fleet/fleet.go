// Package fleet runs the daemons of an experiment as child processes. It builds the daemon once,
// writes a settings file for each balancer and agent, and starts, signals and stops their
// processes. It also waits for their health checks and saves their metrics.
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

// Fleet holds the processes of one experiment. It is safe for concurrent use.
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

// New builds the daemon into a directory, which also receives settings and logs. It fails if the
// build fails. The error contains the output of the compiler.
func New(ctx context.Context, directory string) (*Fleet, error) {
	binary, err := Build(ctx, directory, daemonName)
	if err != nil {
		return nil, err
	}
	return &Fleet{directory: directory, binary: binary}, nil
}

// Build builds a program of this repository into a directory and returns the path of the binary. It
// creates the directory if necessary. The error contains the output of the compiler.
func Build(ctx context.Context, directory, program string) (string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return "", errors.Wrap(err, "create the directory of the fleet")
	}
	binary := filepath.Join(directory, program)
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, programsPath+program)
	output, err := build.CombinedOutput()
	return binary, errors.Wrapf(err, "build %s: %s", program, output)
}

// Directory returns the path of the directory with the binary, settings and logs.
func (f *Fleet) Directory() string { return f.directory }

// Start writes a settings file and starts a daemon with it. The name may be reused after its process
// has ended. The new process then appends to the same log file.
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

// Stop resumes and terminates all processes and kills those that have not ended after the grace
// period. It returns the killed processes.
func (f *Fleet) Stop(grace time.Duration) []*Process {
	running := f.Running()
	for _, process := range running {
		// The signals fail if the process ends meanwhile, which does no harm.
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
