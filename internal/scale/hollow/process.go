package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// closeTimeout is how long a process may take to end by itself.
const closeTimeout = 20 * time.Second

// Process is a hollow process as its runner has it. Its calls are made one at a time; of several goroutines each waits its turn.
// A call fails once the process has ended.
type Process struct {
	command *exec.Cmd
	ended   chan struct{} // closed once the process is gone and waited for
	result  error         // of the wait

	mu      sync.Mutex
	input   io.WriteCloser
	replies *bufio.Reader
}

// Start runs the hollow subcommand of a fleetlab binary with a Config. The process ends with ctx, or by Close, or when the
// caller's process does. What it logs goes to log.
func Start(ctx context.Context, binary string, cfg Config, log *slog.Logger) (*Process, error) {
	command := exec.CommandContext(ctx, binary, "hollow")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.WaitDelay = time.Second
	command.Stderr = &logLines{log: log.With("hollow", fmt.Sprintf("%d nodes from %d on, %d servers from %d on", cfg.Nodes, cfg.FirstNode,
		cfg.Servers, cfg.FirstServer))}
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, replies := io.Pipe()
	command.Stdout = replies
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, ended: make(chan struct{}), input: input, replies: bufio.NewReader(output)}
	go func() {
		p.result = command.Wait()
		replies.CloseWithError(errors.New("the hollow process has ended"))
		close(p.ended)
	}()
	if _, err := p.exchange(cfg); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// PID is the process's id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Usage gives the counters since the process's start.
func (p *Process) Usage() (Usage, error) {
	reply, err := p.exchange(Request{Op: OpUsage})
	if err != nil {
		return Usage{}, err
	}
	if reply.Usage == nil {
		return Usage{}, errors.New("the hollow process answers without usage")
	}
	return *reply.Usage, nil
}

// InForce waits until a tenant of a service ("": none) is served by a generation, or a later one, on every node of its scope that
// is up; or, of generation 0, is gone there; or until wait is over.
func (p *Process) InForce(tenant, service string, generation uint64, wait time.Duration) (InForce, error) {
	reply, err := p.exchange(Request{Op: OpInForce, Tenant: tenant, Service: service, Generation: generation, Wait: wait})
	if err != nil {
		return InForce{}, err
	}
	if reply.InForce == nil {
		return InForce{}, errors.New("the hollow process answers without what is in force")
	}
	return *reply.InForce, nil
}

// Kill ends nodes at once.
func (p *Process) Kill(first, count int) error { return p.change(OpKill, first, count) }

// Leave has nodes end their sessions and then ends them.
func (p *Process) Leave(first, count int) error { return p.change(OpLeave, first, count) }

// Start starts nodes again, as new incarnations. Those that are up stay as they are.
func (p *Process) Start(first, count int) error { return p.change(OpStart, first, count) }

// Replace has servers deregister and come back under new addresses.
func (p *Process) Replace(first, count int) error { return p.change(OpReplace, first, count) }

func (p *Process) change(op Op, first, count int) error {
	_, err := p.exchange(Request{Op: op, First: first, Count: count})
	return err
}

// exchange writes one line and reads the reply to it.
func (p *Process) exchange(line any) (Reply, error) {
	raw, err := json.Marshal(line)
	if err != nil {
		return Reply{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.input.Write(append(raw, '\n')); err != nil {
		return Reply{}, fmt.Errorf("the hollow process takes no request: %w", err)
	}
	raw, err = p.replies.ReadBytes('\n')
	if err != nil {
		return Reply{}, fmt.Errorf("the hollow process gives no reply: %w", err)
	}
	var reply Reply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return Reply{}, fmt.Errorf("the hollow process's reply: %w", err)
	}
	if reply.Err != "" {
		return Reply{}, errors.New(reply.Err)
	}
	return reply, nil
}

// Close ends the process, by force where it takes too long, and gives how it ended.
func (p *Process) Close() error {
	p.input.Close()
	select {
	case <-p.ended:
	case <-time.After(closeTimeout):
		p.command.Process.Kill()
		<-p.ended
	}
	return p.result
}

// logLines logs what a process writes, line by line.
type logLines struct {
	log  *slog.Logger
	rest []byte
}

// Write takes the next bytes.
func (l *logLines) Write(b []byte) (int, error) {
	l.rest = append(l.rest, b...)
	for {
		advance, line, _ := bufio.ScanLines(l.rest, false)
		if advance == 0 {
			return len(b), nil
		}
		l.log.Warn("hollow process", "line", string(line))
		l.rest = l.rest[advance:]
	}
}
