// Package fleet starts the processes of an experiment on loopback addresses:
// the platform simulator, the target simulators and the instances.
package fleet

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessError reports that a process could not be prepared or started, or that
// it failed. Name is the process, or the file or resource that it needs.
type ProcessError struct {
	Name  string
	Cause error
}

// Error names the process and the cause.
func (e *ProcessError) Error() string { return "process " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Cause }

// NotReadyError reports that a process ended, or that time ran out, before the
// process listened on its address.
type NotReadyError struct{ Address string }

// Error names the address.
func (e *NotReadyError) Error() string { return "nothing listens on " + e.Address }

// Process is one running process. Its output goes to a log file.
type Process struct {
	Name    string
	LogFile string

	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}

	mu sync.Mutex
	// err is the error of the ended process; nil if its exit code is 0.
	err error
}

// StartProcess starts the binary. Its output is appended to the file NAME.log in
// the directory. Errors: *ProcessError.
func StartProcess(name, directory, binary string, args ...string) (*Process, error) {
	logFile := filepath.Join(directory, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The process must not outlive the lab.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	p := &Process{Name: name, LogFile: logFile, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It has no effect on a process that has ended.
func (p *Process) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process until Resume.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Resume continues a process that Freeze has suspended.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits until the process has ended. When ctx ends first,
// it kills the process. Errors: *ProcessError when the process was killed or its
// exit code is not 0.
func (p *Process) Stop(ctx context.Context) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
		return errors.WithStack(&ProcessError{Name: p.Name, Cause: ctx.Err()})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return errors.WithStack(&ProcessError{Name: p.Name, Cause: p.err})
	}
	return nil
}

// waitListening waits until process p accepts connections on the address. It
// fails when ctx ends or the process has ended. Errors: *NotReadyError.
func waitListening(ctx context.Context, address string, p *Process) error {
	for ctx.Err() == nil && p.Running() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return errors.WithStack(conn.Close())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.WithStack(&NotReadyError{Address: address})
}
