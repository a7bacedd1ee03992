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

// process is one program of the run, which may have several incarnations: a node, or a node's agent.
type process struct {
	name   string
	bin    string
	args   []string
	env    []string
	log    *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	pids   []int
}

// openLog gives the process a log that all its lives append to.
func (p *process) openLog(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	fh, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	p.log = fh
	return err
}

// begin starts an incarnation; its CPU is added to cpu once it has ended. dir holds the run's list of pids.
func (p *process) begin(dir string, cpu *atomic.Int64, wg *sync.WaitGroup) error {
	if !p.wait(0) {
		return errors.New(p.name + " is still running")
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = p.env
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	// Children die with the lab, however it ends; each is ended by its own pid otherwise.
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

// signal sends sig to the present life; false where none is running.
func (p *process) signal(sig syscall.Signal) bool {
	if p.wait(0) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig) == nil
}

// ended is closed once the present life is over; nil where there was none.
func (p *process) ended() chan struct{} { p.mu.Lock(); defer p.mu.Unlock(); return p.exited }

// wait waits up to d for the present life to end, and says whether none is running.
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

// stopAll terms every process (one stopped is continued first) and kills what has not ended in limit.
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
