package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// nodeProcess is the program running as a process, with the lines of its log.
type nodeProcess struct {
	*exec.Cmd
	lines  chan string
	config string
}

// startProcess starts the program. If config is empty, the configuration file is a named pipe, and the program waits until the test
// writes to it.
func startProcess(t *testing.T, config string, env ...string) *nodeProcess {
	t.Helper()
	cmd, _ := newCommand(t, config)
	p := &nodeProcess{Cmd: cmd, lines: make(chan string, 1000), config: configPath(cmd)}
	if config == "" {
		p.pipe(t)
	}
	cmd.Env = append(append(cmd.Env, "TMPDIR="+t.TempDir()), env...)
	cmd.Stderr = nil
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	guard := time.AfterFunc(3*testTimeout, func() { cmd.Process.Kill() })
	t.Cleanup(func() { guard.Stop(); cmd.Process.Kill(); cmd.Wait() })
	go func() {
		defer close(p.lines)
		for s := bufio.NewScanner(log); s.Scan(); {
			p.lines <- s.Text()
		}
	}()
	return p
}

// awaitLog reads the log up to a line that contains text, and returns the part of the line after text.
func (p *nodeProcess) awaitLog(t *testing.T, text string) string {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case line, ok := <-p.lines:
			if _, rest, found := strings.Cut(line, text); found {
				return rest
			}
			if !ok {
				t.Fatalf("the process ended without logging %q", text)
			}
		case <-timeout:
			t.Fatalf("no log line contains %q", text)
		}
	}
}

func (p *nodeProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// awaitExit waits until the process has ended, and fails the test unless the exit code is 0.
func (p *nodeProcess) awaitExit(t *testing.T) {
	t.Helper()
	guard := time.AfterFunc(testTimeout, func() { p.Process.Kill() })
	defer guard.Stop()
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// pipe replaces the configuration file by a named pipe.
func (p *nodeProcess) pipe(t *testing.T) {
	t.Helper()
	if err := syscall.Mkfifo(p.config+".pipe", 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.config+".pipe", p.config); err != nil {
		t.Fatal(err)
	}
}

// replaceConfig replaces the configuration file. A reader of the earlier file is not affected.
func (p *nodeProcess) replaceConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(p.config+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(p.config+".new", p.config); err != nil {
		t.Fatal(err)
	}
}

// awaitConfigRead waits until the program reads the pipe, and returns the pipe's writing end.
func (p *nodeProcess) awaitConfigRead(t *testing.T) *os.File {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		f, err := os.OpenFile(p.config, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			t.Cleanup(func() { f.Close() })
			return f
		}
		if time.Now().After(end) {
			t.Fatalf("the process does not read its configuration: %v", err)
		}
	}
}

// silentDiscovery returns the address of a discovery server that accepts connections but never answers.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func configText(t *testing.T, discovery string) string {
	t.Helper()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(string(text), discovery)
}

// TestTerminateDuringStart checks that a SIGTERM during the start ends the program with code 0: while it reads its configuration,
// without and with an admin API, and, with an admin API, before it has an endpoint list and listens for clients. Further SIGTERMs
// until its end change nothing.
func TestTerminateDuringStart(t *testing.T) {
	t.Parallel()
	config := configText(t, silentDiscovery(t))
	for _, admin := range []string{"", "127.0.0.1:0"} {
		t.Run("admin="+admin, func(t *testing.T) {
			t.Parallel()
			p := startProcess(t, "", "GW_ADMIN_ADDR="+admin)
			pipe := p.awaitConfigRead(t)
			p.signal(t, syscall.SIGTERM)
			io.WriteString(pipe, config)
			pipe.Close()
			p.awaitExit(t)
		})
	}
	t.Run("no list", func(t *testing.T) {
		t.Parallel()
		p := startProcess(t, config, "GW_ADMIN_ADDR=127.0.0.1:0")
		admin, _, _ := strings.Cut(p.awaitLog(t, "admin="), " ")
		held, err := net.Dial("tcp", admin) // an operator's unfinished line must not delay the exit
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
		io.WriteString(held, "evac")
		ended := make(chan struct{})
		defer close(ended)
		go func() { // repeated SIGTERMs until the process ends must not kill it
			for {
				select {
				case <-ended:
					return
				default:
					p.Process.Signal(syscall.SIGTERM)
				}
			}
		}()
		for line := range p.lines {
			if strings.Contains(line, "msg=serving") {
				t.Errorf("the node serves without an endpoint list: %s", line)
			}
		}
		p.awaitExit(t)
		if c, err := net.Dial("tcp", admin); err == nil {
			c.Close()
			t.Error("the admin API is still open after the process ended")
		}
	})
}

// TestReloadDuringConfigRead guards against a lost reload. A SIGHUP that arrives while the configuration is being read, at the start
// or because of an earlier SIGHUP, must cause another read, so that the later file is in force.
func TestReloadDuringConfigRead(t *testing.T) {
	t.Parallel()
	discovery := silentDiscovery(t)
	config := configText(t, discovery)
	second := strings.Replace(config, `"max_attempts":6`, `"max_attempts":5`, 1)
	third := strings.Replace(config, `"max_attempts":6`, `"max_attempts":4`, 1)
	p := startProcess(t, "")
	pipe := p.awaitConfigRead(t)
	p.replaceConfig(t, second)
	p.signal(t, syscall.SIGHUP)
	io.WriteString(pipe, config)
	pipe.Close()
	p.awaitLog(t, "msg=serving")
	p.awaitLog(t, `msg="configuration applied" classes=1 attempts=5`)
	p.pipe(t)
	p.signal(t, syscall.SIGHUP)
	pipe = p.awaitConfigRead(t)
	p.replaceConfig(t, third)
	p.signal(t, syscall.SIGHUP)
	p.signal(t, syscall.SIGHUP)
	io.WriteString(pipe, second[:len(second)/2]) // half a file is invalid
	pipe.Close()
	p.awaitLog(t, `msg="configuration rejected"`)
	p.awaitLog(t, `msg="configuration applied" classes=1 attempts=4`)
	p.signal(t, syscall.SIGTERM)
	p.awaitExit(t)
}

// holdingServer is an app server that holds its requests until released is closed.
type holdingServer struct {
	arrived  chan struct{}
	released chan struct{}
	config   string // configuration of a node that knows this server
}

func newHoldingServer(t *testing.T) *holdingServer {
	t.Helper()
	h := &holdingServer{arrived: make(chan struct{}), released: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		h.arrived <- struct{}{}
		select {
		case <-h.released:
		case <-req.Context().Done(): // the node has ended
		}
	}))
	t.Cleanup(server.Close)
	entry := fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":0,`+
		`"state":"ready","weight":1,"started_ms":0}]}`, server.Listener.Addr())
	h.config = strings.Replace(configText(t, silentDiscovery(t)), `"limits":{}`, `"limits":{},`+entry, 1)
	h.config = strings.Replace(h.config, `"give_up_ns":1200000000`, `"give_up_ns":20000000000`, 1)
	return h
}

// sendRequest sends a request and waits until the server holds it. The returned channel receives the outcome.
func (h *holdingServer) sendRequest(t *testing.T, listen string) <-chan error {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		answer := make(chan error, 1)
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/c", nil)
			req.Header.Set("X-Correlation-Id", rand.Text())
			req.Header.Set("X-Time-Left", "19")
			resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
			if err == nil && resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
			answer <- err
		}()
		select {
		case <-h.arrived:
			return answer
		case err := <-answer: // the node may reject requests because of its earlier observations
			if err == nil || err.Error() != "status 503" || time.Now().After(end) {
				t.Fatalf("the request was not held but answered: %v", err)
			}
		}
	}
}

// startWithHeldRequest starts the program and sends it a request that its app server holds.
func startWithHeldRequest(t *testing.T) (*nodeProcess, *holdingServer, <-chan error) {
	t.Helper()
	h := newHoldingServer(t)
	p := startProcess(t, h.config)
	listen, _, _ := strings.Cut(p.awaitLog(t, "listen="), " ")
	return p, h, h.sendRequest(t, listen)
}

// TestTerminateDuringReload checks a SIGTERM that arrives while a reload waits for its file. The drain must not wait for the reload:
// the held request is answered, further signals during the drain change nothing, and the program ends with code 0 while the reload
// still waits.
func TestTerminateDuringReload(t *testing.T) {
	t.Parallel()
	p, h, answer := startWithHeldRequest(t)
	p.pipe(t)
	p.signal(t, syscall.SIGHUP)
	p.awaitConfigRead(t) // the test writes nothing to the pipe
	p.signal(t, syscall.SIGTERM)
	p.awaitLog(t, "msg=draining")
	p.signal(t, syscall.SIGHUP)
	p.signal(t, syscall.SIGTERM)
	close(h.released)
	if err := <-answer; err != nil {
		t.Errorf("the held request failed: %v", err)
	}
	p.awaitExit(t)
}

// TestReloadDuringDrain checks that a reload during the drain is applied, that the held request is answered under the rules under
// which it arrived, and that the program then ends.
func TestReloadDuringDrain(t *testing.T) {
	t.Parallel()
	p, h, answer := startWithHeldRequest(t)
	p.signal(t, syscall.SIGTERM)
	p.awaitLog(t, "msg=draining")
	p.replaceConfig(t, strings.Replace(h.config, `"name":"c"`, `"name":"other"`, 1))
	p.signal(t, syscall.SIGHUP)
	p.awaitLog(t, `msg="configuration applied" classes=1`)
	close(h.released)
	if err := <-answer; err != nil {
		t.Errorf("the held request failed: %v", err)
	}
	p.awaitExit(t)
}

// TestHotRestartOrders checks the orders in which the processes of a hot restart can end. If the newer process is killed while it owns
// the listener, its own requests fail; the older process detects that, gets all new requests, and answers those that it holds. If
// both processes are terminated at once, each answers the requests that it has accepted.
func TestHotRestartOrders(t *testing.T) {
	t.Parallel()
	h, listen, dir := newHoldingServer(t), sharedPort(t), t.TempDir()
	run := func() *nodeProcess {
		t.Helper()
		p := startProcess(t, h.config, "GW_LISTEN="+listen, "GW_ADMIN_ADDR=127.0.0.1:0", "TMPDIR="+dir)
		p.awaitLog(t, "msg=serving")
		return p
	}
	older := run()
	first := h.sendRequest(t, listen)
	newer := run()
	lost := h.sendRequest(t, listen)
	older.awaitLog(t, "present=true")
	newer.Process.Kill()
	if err := <-lost; err == nil {
		t.Error("the request at the killed process was answered")
	}
	older.awaitLog(t, "present=false")
	second := h.sendRequest(t, listen)
	next := run()
	third := h.sendRequest(t, listen)
	older.signal(t, syscall.SIGTERM)
	next.signal(t, syscall.SIGTERM)
	older.awaitLog(t, "msg=draining")
	next.awaitLog(t, "msg=draining")
	close(h.released)
	for i, answer := range []<-chan error{first, second, third} {
		if err := <-answer; err != nil {
			t.Errorf("request %d failed: %v", i, err)
		}
	}
	older.awaitExit(t)
	next.awaitExit(t)
}

// TestAddressInUse checks that an address that another process uses ends the program with one line on stderr and exit code 1.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for variable, name := range map[string]string{"GW_LISTEN": "listen", "GW_ADMIN_ADDR": "admin_addr"} {
		cmd, log := newCommand(t, configText(t, silentDiscovery(t)))
		cmd.Env = append(cmd.Env, "TMPDIR="+filepath.Dir(configPath(cmd)), variable+"="+l.Addr().String())
		cmd.Run()
		if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 ||
			!strings.Contains(log.String(), name+": ") || !strings.Contains(log.String(), "in use") {
			t.Errorf("%s: exit code %d, log %q", variable, code, log)
		}
	}
}
