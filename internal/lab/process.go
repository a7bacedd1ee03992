package lab

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one program of the run: a node, a node's agent or a member. It may have several incarnations.
type process struct {
	name    string
	bin     string
	args    []string
	env     []string
	logFile *os.File
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	pids    []int
}

// openLog opens the log file, to which all incarnations of the process append.
func (p *process) openLog(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	fh, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	p.logFile = fh
	return err
}

// start starts an incarnation and appends its pid to the run's list of pids in dir. When the incarnation has ended, its CPU time
// in ns is added to cpu.
func (p *process) start(dir string, cpu *atomic.Int64, wg *sync.WaitGroup) error {
	if !p.wait(0) {
		return errors.New(p.name + " is still running")
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = p.env
	cmd.Stdout = p.logFile
	cmd.Stderr = p.logFile
	// The kernel kills the child when the lab ends, for whatever reason. Otherwise each child is ended by its own pid.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.pids = append(p.pids, cmd.Process.Pid)
	p.mu.Unlock()
	writePid(dir, cmd.Process.Pid)
	wg.Go(func() {
		cmd.Wait()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			cpu.Add(int64(cpuSeconds(*u) * 1e9))
		}
		close(exited)
	})
	return nil
}

func writePid(dir string, pid int) {
	fh, err := os.OpenFile(filepath.Join(dir, "pids"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err == nil {
		fmt.Fprintln(fh, pid)
		fh.Close()
	}
}

// signal sends sig to the running incarnation. It returns false if none is running.
func (p *process) signal(sig syscall.Signal) bool {
	if p.wait(0) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig) == nil
}

// ended returns a channel that is closed once the current incarnation has ended, or nil if there was none yet.
func (p *process) ended() chan struct{} { p.mu.Lock(); defer p.mu.Unlock(); return p.exited }

// wait waits up to d for the current incarnation to end, and reports whether none is running.
func (p *process) wait(d time.Duration) bool {
	exited := p.ended()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// stopAll sends every process SIGTERM, after SIGCONT in case it is stopped, and sends SIGKILL to those that have not ended within
// limit.
func stopAll(ps []*process, limit time.Duration) {
	for _, p := range ps {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	end := time.Now().Add(limit)
	for _, p := range ps {
		if !p.wait(max(time.Until(end), 0)) {
			p.signal(syscall.SIGKILL)
			p.wait(5 * time.Second)
		}
	}
}
