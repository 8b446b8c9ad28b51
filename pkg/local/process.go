// Package local runs a whole deployment as separate processes on loopback, for
// the demonstration, the end-to-end tests and the load tool. It is not used in
// production.
package local

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Process is a child process whose output goes to a log file.
type Process struct {
	Name    string
	LogPath string
	bin     string
	args    []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NewProcess returns a process that Start runs.
func NewProcess(name, dir, bin string, args ...string) *Process {
	return &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), bin: bin, args: args}
}

// Start starts the process. It may be called again after the process has ended.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "open log of %s", p.Name)
	}
	defer log.Close()
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fault.Wrap(err, fault.Internal, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.err = cmd, done, nil
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// PID returns the process id of the last start, or 0 if there was none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return fault.New(fault.Internal, "%s has not been started", p.Name)
	}
	if err := cmd.Process.Signal(sig); err != nil {
		return fault.Wrap(err, fault.Internal, "signal %s", p.Name)
	}
	return nil
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.Done()
	}
}

// Done returns a channel that is closed when the process has ended. It is nil
// before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Stop sends SIGTERM and returns the exit error of the process. It kills the
// process and returns an error if it does not end within timeout. It returns nil if
// the process had already ended.
func (p *Process) Stop(timeout time.Duration) error {
	select {
	case <-p.Done():
		return nil
	default:
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.err != nil {
			return fault.Wrap(p.err, fault.Internal, "%s ended with an error, see %s", p.Name, p.LogPath)
		}
		return nil
	case <-t.C:
		p.Kill()
		return fault.New(fault.Deadline, "%s did not stop within %s, see %s", p.Name, timeout, p.LogPath)
	}
}

// FreeAddresses returns n free addresses on a random loopback IP address.
// Connections between processes have the source address 127.0.0.1, so their
// ephemeral ports cannot occupy one of these addresses before it is used.
func FreeAddresses(n int) ([]string, error) {
	ip := net.IPv4(127, randomOctet(), randomOctet(), randomOctet()).String()
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, ln := range listeners {
			_ = ln.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "find a free port")
		}
		listeners = append(listeners, ln)
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// randomOctet returns a number from 1 to 254. Addresses made of such numbers
// differ from 127.0.0.1.
func randomOctet() byte { return byte(1 + rand.IntN(254)) }

// WaitUntil polls condition until it returns nil. If ctx ends first, it returns the
// last error of condition. The parameter what is the name of the condition in
// that error.
func WaitUntil(ctx context.Context, what string, condition func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(err, fault.Deadline, "wait for %s", what)
		case <-ticker.C:
		}
	}
}

const pollInterval = 50 * time.Millisecond
