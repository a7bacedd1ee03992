// Command reviewtools plays the cases of the review: it starts the project's own programs, plays clients, app servers, discovery
// and the platform on loopback addresses, and judges one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// bench is what every case has: its record, its temporary folder and the processes that it started.
type bench struct {
	root    string // the project's root
	dir     string // temporary folder
	trouble bool   // the disruption is on
	start   time.Time

	mu        sync.Mutex
	record    io.WriteCloser
	processes []*exec.Cmd
}

// cases are the plays by their names. The first three are the cases of the review; the report names the others.
var cases = map[string]func(*bench) (broken bool, err error){
	"second-answer": secondAnswer,
	"hung-server":   hungServer,
	"crowd":         crowd,
	"agent-restart": agentRestart,
	"tenant-delete": tenantDelete,
	"stale-replica": staleReplica,
}

// errNotRun marks a case that could not run.
var errNotRun = errors.New("the case could not run")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: reviewtools CASE RECORD")
		os.Exit(notRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case within its time and ends every process that it started.
func run(play func(*bench) (broken bool, err error), record string) int {
	root, err := os.Getwd()
	if err != nil {
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun
	}
	defer os.RemoveAll(dir)
	f, err := os.Create(record)
	if err != nil {
		return notRun
	}
	b := &bench{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: f}
	defer f.Close()
	defer b.endAll()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(b)
		done <- outcome{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	var o outcome
	select {
	case <-stopped:
		o.err = fmt.Errorf("%w: it was stopped", errNotRun)
	case o = <-done:
	case <-time.After(110 * time.Second):
		o.err = fmt.Errorf("%w: it took over 110 s", errNotRun)
	}
	switch {
	case o.err != nil:
		b.log("result: not run: %v", o.err)
		return notRun
	case o.broken:
		b.log("result: the rule was broken")
		return ruleBroken
	}
	b.log("result: the rule held")
	return ruleHeld
}

// log writes a line to the record, with the seconds since the start.
func (b *bench) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// process starts a command of the project in its root. The command's output goes to a file in the temporary folder.
func (b *bench) process(name, command string, env ...string) (*exec.Cmd, error) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = b.root
	cmd.Env = append(os.Environ(), env...)
	out, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", errNotRun, name, err)
	}
	b.log("run: %s: %s (process %d)", name, command, cmd.Process.Pid)
	b.mu.Lock()
	b.processes = append(b.processes, cmd)
	b.mu.Unlock()
	return cmd, nil
}

// kill ends a process at once and waits for its end.
func (b *bench) kill(name string, cmd *exec.Cmd) {
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Kill()
	cmd.Wait()
	b.log("run: %s killed (process %d)", name, cmd.Process.Pid)
}

func (b *bench) endAll() {
	b.mu.Lock()
	all := b.processes
	b.mu.Unlock()
	for _, cmd := range all {
		if cmd.ProcessState == nil {
			cmd.Process.Signal(syscall.SIGCONT)
			cmd.Process.Kill()
			cmd.Wait()
		}
	}
}

// copyLog copies the last lines of a process's log to the record.
func (b *bench) copyLog(name string, lines int) {
	text, err := os.ReadFile(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range all[max(0, len(all)-lines):] {
		b.log("log of %s: %s", name, line)
	}
}

// freeAddr returns a loopback address with a port that nobody uses now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freeAddrs returns n different free addresses.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// until waits for a condition, for at most the given time, and reports whether it came.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// nodeConfig is what differs between the configurations of the cases.
type nodeConfig struct {
	listen, discovery string
	sockets, memoryMB int
	servers           []listedServer // the list that the node last held
}

// settings are those of the sample on the simulator's page, for one node.
const settings = `{"accounts": [{"fraction": 0.6, "name": "sahil-pets", "quota_per_s": 200.0}, {"fraction": 0.4, "name": "qatt-care", "quota_per_s": 200.0}],
"balancers": 1,
"caps": {"cancel": true, "conn_idle_ns": 15000000000, "connect_timeout_ns": 200000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 8000, "max_attempts": 6, "max_retry_after_ns": 750000000, "may_duplicate": false, "most_held": 20000, "multiplex": 1, "peers": false, "probes": false, "retry_after": true},
"charges": {"connection": 0.0, "cross_zone": 0.043, "handshake": 0.0, "late_fail": 0.053, "membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.036},
"classes": [{"aim_ns": 400000000, "dedup_window_ns": 5000000000, "effect": "retryable", "give_up_ns": 1200000000, "importance": 1.0, "key_scope": "all", "late_worth": 0.25, "name": "schedule-view", "streamed": false}, {"aim_ns": 750000000, "dedup_window_ns": 5000000000, "effect": "fragile", "give_up_ns": 1500000000, "importance": 8.0, "key_scope": "all", "late_worth": 0.2, "name": "place-order", "streamed": false}],
"client_habits": {"marks_retry": true},
"failure_domains": ["ghala", "rusayl"],
"family": "proxy",
"goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
"invariants": {"answer_slack_ns": 20000000, "ask_within_ns": 10000000000, "cold_from": 0.39, "cold_ns": 8700000000, "drain_grace_ns": 1000000000, "overload_factor": 4.0, "tip_after_ns": 1500000000},
"kinds": ["std-2c", "old-2c"],
"membership_mode": "pushed",
"over_share_worth": 0.05,
"report": {"fields": [], "how": "none"},
"slot_no": 0,
"specifics": {"warm_keys": false},
"tick_ns": 5000000,
"tier": 0,
"tiers": ["subs-web"],
"weight_kind": "none",
"worth_by": "work",
"zone": "rusayl"}`

// startNode writes a node's configuration and starts the node by the command of the deploy file.
func (b *bench) startNode(c nodeConfig) (*exec.Cmd, error) {
	list, err := json.Marshal(answerOf(1, true, c.servers))
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, c.listen, c.discovery, c.memoryMB, c.sockets, list, settings)
	path := filepath.Join(b.dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return b.process("balancer", "exec bin/balancer", "GW_CONFIG="+path, "GW_NAME=n0", "GW_LISTEN="+c.listen, "GW_DISCOVERY="+c.discovery, "TMPDIR="+b.dir)
}
