// This file runs a daemon as a child process of the bench.

package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Exit describes how a process ended.
type Exit struct {
	// Code is the exit status, or -1 if a signal ended the process.
	Code int
	// Signal is the signal that ended the process, or zero.
	Signal syscall.Signal
}

// Process is a running or ended daemon. It is safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}

	mutex sync.Mutex
	exit  Exit
}

const logFileMode = 0o600

// Start runs the binary with a settings file and appends its output to a log file. It fails if the
// log cannot be opened or the binary cannot be started.
func Start(name, binary, settingsPath, logPath string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logFileMode)
	if err != nil {
		return nil, errors.Wrapf(err, "open the log of %s", name)
	}
	command := exec.Command(binary, "-settings", settingsPath)
	// The daemon runs in a process group of its own. An interrupt from the terminal does not
	// reach it, so that the bench can stop it in an orderly way.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{name: name, command: command, log: log, done: make(chan struct{})}
	go process.wait()
	return process, nil
}

// wait records how the process ended. It ignores the error of Wait, which only repeats the status
// in ProcessState.
func (p *Process) wait() {
	_ = p.command.Wait()
	p.log.Close()
	p.mutex.Lock()
	p.exit = Exit{Code: p.command.ProcessState.ExitCode()}
	status, known := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if known && status.Signaled() {
		p.exit.Signal = status.Signal()
	}
	p.mutex.Unlock()
	close(p.done)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit returns how the process ended. The result is valid only after Done is closed.
func (p *Process) Exit() Exit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exit
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Name returns the name of the daemon.
func (p *Process) Name() string { return p.name }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. It fails if the process has already ended.
func (p *Process) signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.name)
}

// Terminate asks the process to shut down with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process with SIGKILL.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Pause pauses the process with SIGSTOP, which the process cannot detect.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Reload asks the process to reload its settings with SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Resume resumes a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }
