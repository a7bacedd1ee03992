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

// closeTimeout is how long Close waits for a process to exit before it kills the process.
const closeTimeout = 20 * time.Second

// Process is the runner's handle on a hollow process. Several goroutines may use it: calls are made one at a time, the others wait.
// A call fails once the process has ended.
type Process struct {
	command *exec.Cmd
	ended   chan struct{} // closed after the process has exited and its exit status has been collected
	result  error         // error of command.Wait

	mu      sync.Mutex
	input   io.WriteCloser
	replies *bufio.Reader
}

// Start runs the hollow subcommand of a fleetlab binary with a Config. The process runs until ctx ends, Close is called or the
// calling process exits. Each line of its standard error goes to log.
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

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Usage returns the resource use and the counters of the process since it started.
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

// InForce waits until a tenant's generation, or a later one, is in force on every running node that has the tenant in its scope, or
// until wait is over. For generation 0 it waits until these nodes no longer have the tenant. service is the tenant's service, "" if
// it has none.
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

// Kill stops nodes at once.
func (p *Process) Kill(first, count int) error { return p.change(OpKill, first, count) }

// Leave has nodes send a last report that they are draining, and then stops them.
func (p *Process) Leave(first, count int) error { return p.change(OpLeave, first, count) }

// Start starts nodes again, as new incarnations. Nodes that are up keep running.
func (p *Process) Start(first, count int) error { return p.change(OpStart, first, count) }

// Replace deregisters servers and registers them again under new addresses.
func (p *Process) Replace(first, count int) error { return p.change(OpReplace, first, count) }

func (p *Process) change(op Op, first, count int) error {
	_, err := p.exchange(Request{Op: op, First: first, Count: count})
	return err
}

// exchange writes one line to the process and reads the reply. An error in the reply is returned as an error.
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

// Close ends the process by closing its input, kills it after closeTimeout, and returns the error of its exit.
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

// logLines is an io.Writer that logs the output of a process line by line.
type logLines struct {
	log  *slog.Logger
	rest []byte
}

// Write logs the lines that b completes and keeps an incomplete last line for the next call.
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
