// Command review-2 plays the cases 6 to 10 of the review (review/REPORT-2.md). It starts the project's programs as processes on
// loopback addresses and plays their clients, app servers and registrants itself, as the pages describe these.
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	trouble bool
	dir     string // temporary folder
	bin     string // folder of the project's programs
	start   time.Time

	// Only the main goroutine uses these; see freeAddr.
	block    net.Listener
	nextPort int

	mu     sync.Mutex // guards the fields below
	record *os.File
	procs  []*process
	broken []string
}

// cannotRun is the panic value of fatalf.
type cannotRun struct{ text string }

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakf records that the rule was broken.
func (r *run) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// fatalf ends a case that can't run. It must be called on the main goroutine.
func (r *run) fatalf(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// process is a process of the project's.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once it has ended
}

// exec starts a program. It must be called on the main goroutine: the kernel ends the child with the thread that started it.
func (r *run) exec(name, program string, env []string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		r.fatalf("%v", err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(r.bin, program), args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fatalf("%s: %v", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(p.done) }()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.logf("start %s (pid %d)", name, cmd.Process.Pid)
	return p
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal, and waits for the end if it is SIGKILL.
func (r *run) signal(p *process, s syscall.Signal) {
	r.logf("signal %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.done
	}
}

// end ends all processes.
func (r *run) end() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		if !p.ended() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
		}
	}
	for _, p := range procs {
		<-p.done
	}
}

// Ports lie below those that the system gives to outgoing connections. A play has a block of them, whose first port it keeps open, so
// that plays side by side don't take each other's ports.
const (
	firstPort = 10000
	blockSize = 100
	blocks    = 220
)

// freeAddr returns a loopback address that is free now, in the block of this play.
func (r *run) freeAddr() string {
	for r.block == nil {
		r.nextPort = firstPort + blockSize*rand.IntN(blocks)
		r.block, _ = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", r.nextPort))
	}
	for range blockSize - 1 {
		r.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", r.nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	r.fatalf("no free port")
	return ""
}

// wait waits until ok returns true.
func (r *run) wait(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.fatalf("%s: not within %v", what, limit)
		}
	}
	r.logf("%s", what)
}

var cases = map[string]func(*run){}

func main() {
	runtime.LockOSThread()
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	bin, err := filepath.Abs("bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, bin: bin, start: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		r.logf("ended from outside, or out of time")
		r.end()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			r.logf("CAN'T RUN: %s", p.text)
			for _, p := range r.procs {
				if p.ended() {
					r.logf("%s has ended: %v", p.name, p.cmd.ProcessState)
				}
			}
			fmt.Println("can't run:", p.text)
			code = 2
		default:
			panic(p)
		}
		r.end()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
		r.logf("exit %d", code)
	}()
	r.logf("case %s, trouble %v", os.Args[1], r.trouble)
	cases[os.Args[1]](r)
	if len(r.broken) > 0 {
		fmt.Printf("broken, %d times; first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.logf("the rule held")
	fmt.Println("held")
	return 0
}
