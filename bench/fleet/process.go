// This file implements one daemon as a child process of the bench.

package fleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Exit is how a process ended.
type Exit struct {
	// Code is the exit status, or -1 when a signal ended the process.
	Code int
	// Signal is the signal that ended the process, or zero.
	Signal syscall.Signal
}

// Process is one running or ended daemon. It is safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}

	mutex sync.Mutex
	exit  Exit
}

const logFileMode = 0o600

// Start runs the binary with a settings file and sends its output to a log
// file, which is continued. It fails if the log or the binary cannot be opened.
func Start(name, binary, settingsPath, logPath string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logFileMode)
	if err != nil {
		return nil, errors.Wrapf(err, "log of %s", name)
	}
	command := exec.Command(binary, "-settings", settingsPath)
	// A group of its own keeps an interrupt typed at the terminal from the
	// daemon, so that the bench can end it in order.
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

// wait records how the process ended. The error of Wait only repeats the
// status that ProcessState holds.
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit returns how the process ended. It is meaningful only after Done.
func (p *Process) Exit() Exit {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exit
}

// PID is the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Name is the name of the daemon.
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

// signal fails when the process has already ended.
func (p *Process) signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.name)
}

// Terminate asks for a planned stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Pause stops the process without its noticing.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Reload tells the process that its settings have changed.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }
