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

const patient = 20 * time.Second

// running is the program as a process, its log by lines.
type running struct {
	*exec.Cmd
	lines  chan string
	config string
}

// begin starts the program. A configuration of "" is a pipe, on which it waits until the test writes.
func begin(t *testing.T, config string, env ...string) *running {
	t.Helper()
	cmd, _ := program(t, config)
	r := &running{Cmd: cmd, lines: make(chan string, 1000), config: configOf(cmd)}
	if config == "" {
		r.pipe(t)
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
	guard := time.AfterFunc(3*patient, func() { cmd.Process.Kill() })
	t.Cleanup(func() { guard.Stop(); cmd.Process.Kill(); cmd.Wait() })
	go func() {
		defer close(r.lines)
		for s := bufio.NewScanner(log); s.Scan(); {
			r.lines <- s.Text()
		}
	}()
	return r
}

// await reads the log up to a line that has text. It gives what comes after it.
func (r *running) await(t *testing.T, text string) string {
	t.Helper()
	for late := time.After(patient); ; {
		select {
		case line, ok := <-r.lines:
			if _, rest, found := strings.Cut(line, text); found {
				return rest
			}
			if !ok {
				t.Fatalf("it ended without %q", text)
			}
		case <-late:
			t.Fatalf("no %q", text)
		}
	}
}

func (r *running) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := r.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// ends waits for its end with code 0.
func (r *running) ends(t *testing.T) {
	t.Helper()
	guard := time.AfterFunc(patient, func() { r.Process.Kill() })
	defer guard.Stop()
	for range r.lines {
	}
	if err := r.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// pipe lays a pipe where the configuration is.
func (r *running) pipe(t *testing.T) {
	t.Helper()
	if err := syscall.Mkfifo(r.config+".pipe", 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(r.config+".pipe", r.config); err != nil {
		t.Fatal(err)
	}
}

// put lays another file where the configuration is, whatever is being read there.
func (r *running) put(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(r.config+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(r.config+".new", r.config); err != nil {
		t.Fatal(err)
	}
}

// reading waits until the program reads the pipe.
func (r *running) reading(t *testing.T) *os.File {
	t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		f, err := os.OpenFile(r.config, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			t.Cleanup(func() { f.Close() })
			return f
		}
		if time.Now().After(end) {
			t.Fatalf("it does not read: %v", err)
		}
	}
}

// silentDiscovery takes calls and answers none.
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

// SIGTERM at the start ends the program with code 0: as it reads its configuration, without an admin API and with one; and
// with one, before it has a list and listens for clients. Further SIGTERMs, up to its end, change nothing.
func TestTerminateAtTheStart(t *testing.T) {
	t.Parallel()
	config := configText(t, silentDiscovery(t))
	for _, admin := range []string{"", "127.0.0.1:0"} {
		t.Run("admin="+admin, func(t *testing.T) {
			t.Parallel()
			r := begin(t, "", "GW_ADMIN_ADDR="+admin)
			pipe := r.reading(t)
			r.signal(t, syscall.SIGTERM)
			io.WriteString(pipe, config)
			pipe.Close()
			r.ends(t)
		})
	}
	t.Run("no list", func(t *testing.T) {
		t.Parallel()
		r := begin(t, config, "GW_ADMIN_ADDR=127.0.0.1:0")
		admin, _, _ := strings.Cut(r.await(t, "admin="), " ")
		held, err := net.Dial("tcp", admin) // an operator that finishes no line holds up no end
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
		io.WriteString(held, "evac")
		ended := make(chan struct{})
		defer close(ended)
		go func() { // SIGTERM again and again, up to the process's end: it is killed by none
			for {
				select {
				case <-ended:
					return
				default:
					r.Process.Signal(syscall.SIGTERM)
				}
			}
		}()
		for line := range r.lines {
			if strings.Contains(line, "msg=serving") {
				t.Errorf("it serves: %s", line)
			}
		}
		r.ends(t)
		if c, err := net.Dial("tcp", admin); err == nil {
			c.Close()
			t.Error("the admin API is open after the end")
		}
	})
}

// A SIGHUP that comes as the configuration is read, at the start or by an earlier one, has it read once more: the later
// file holds.
func TestReloadDuringARead(t *testing.T) {
	t.Parallel()
	discovery := silentDiscovery(t)
	config := configText(t, discovery)
	second := strings.Replace(config, `"max_attempts":6`, `"max_attempts":5`, 1)
	third := strings.Replace(config, `"max_attempts":6`, `"max_attempts":4`, 1)
	r := begin(t, "")
	pipe := r.reading(t)
	r.put(t, second)
	r.signal(t, syscall.SIGHUP)
	io.WriteString(pipe, config)
	pipe.Close()
	r.await(t, "msg=serving")
	r.await(t, `msg="configuration applied" classes=1 attempts=5`)
	r.pipe(t)
	r.signal(t, syscall.SIGHUP)
	pipe = r.reading(t)
	r.put(t, third)
	r.signal(t, syscall.SIGHUP)
	r.signal(t, syscall.SIGHUP)
	io.WriteString(pipe, second[:len(second)/2]) // half a file is none
	pipe.Close()
	r.await(t, `msg="configuration rejected"`)
	r.await(t, `msg="configuration applied" classes=1 attempts=4`)
	r.signal(t, syscall.SIGTERM)
	r.ends(t)
}

// holder is an app server that holds its requests until let is closed.
type holder struct {
	came   chan struct{}
	let    chan struct{}
	config string // of a node that knows it
}

func newHolder(t *testing.T) *holder {
	t.Helper()
	h := &holder{came: make(chan struct{}), let: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		h.came <- struct{}{}
		select {
		case <-h.let:
		case <-req.Context().Done(): // the program has ended
		}
	}))
	t.Cleanup(server.Close)
	entry := fmt.Sprintf(`"known":{"version":1,"full":true,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":0,`+
		`"state":"ready","weight":1,"started_ms":0}]}`, server.Listener.Addr())
	h.config = strings.Replace(configText(t, silentDiscovery(t)), `"limits":{}`, `"limits":{},`+entry, 1)
	h.config = strings.Replace(h.config, `"give_up_ns":1200000000`, `"give_up_ns":20000000000`, 1)
	return h
}

// ask sends a request and waits until it is held. What comes of it is sent.
func (h *holder) ask(t *testing.T, listen string) <-chan error {
	t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(10 * time.Millisecond) {
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
		case <-h.came:
			return answer
		case err := <-answer: // the node may reject by what it has seen so far
			if err == nil || err.Error() != "status 503" || time.Now().After(end) {
				t.Fatalf("answered at once: %v", err)
			}
		}
	}
}

// held is the program with a request that is held.
func held(t *testing.T) (*running, *holder, <-chan error) {
	t.Helper()
	h := newHolder(t)
	r := begin(t, h.config)
	listen, _, _ := strings.Cut(r.await(t, "listen="), " ")
	return r, h, h.ask(t, listen)
}

// SIGTERM as a reload waits for its file: the drain does not wait for it. What is held is answered, further signals in
// the drain harm nothing, and the program ends with code 0 with the reload still waiting.
func TestTerminateDuringAReload(t *testing.T) {
	t.Parallel()
	r, h, answer := held(t)
	r.pipe(t)
	r.signal(t, syscall.SIGHUP)
	r.reading(t) // and nothing is written
	r.signal(t, syscall.SIGTERM)
	r.await(t, "msg=draining")
	r.signal(t, syscall.SIGHUP)
	r.signal(t, syscall.SIGTERM)
	close(h.let)
	if err := <-answer; err != nil {
		t.Errorf("the request that was held: %v", err)
	}
	r.ends(t)
}

// A reload in the drain is taken, what is applied is answered under the rules it came under, and the program ends.
func TestReloadInTheDrain(t *testing.T) {
	t.Parallel()
	r, h, answer := held(t)
	r.signal(t, syscall.SIGTERM)
	r.await(t, "msg=draining")
	r.put(t, strings.Replace(h.config, `"name":"c"`, `"name":"other"`, 1))
	r.signal(t, syscall.SIGHUP)
	r.await(t, `msg="configuration applied" classes=1`)
	close(h.let)
	if err := <-answer; err != nil {
		t.Errorf("the request that was held: %v", err)
	}
	r.ends(t)
}

// The orders of a hand-over. A newer process that is killed as it has the listener takes its own requests with it: the
// older one sees it gone and gets all that is new, and what it held is answered. With both ended at once, each answers
// what it took.
func TestHandOverOrders(t *testing.T) {
	t.Parallel()
	h, listen, dir := newHolder(t), sharedPort(t), t.TempDir()
	run := func() *running {
		t.Helper()
		r := begin(t, h.config, "GW_LISTEN="+listen, "GW_ADMIN_ADDR=127.0.0.1:0", "TMPDIR="+dir)
		r.await(t, "msg=serving")
		return r
	}
	older := run()
	first := h.ask(t, listen)
	newer := run()
	lost := h.ask(t, listen)
	older.await(t, "present=true")
	newer.Process.Kill()
	if err := <-lost; err == nil {
		t.Error("the killed process has answered")
	}
	older.await(t, "present=false")
	second := h.ask(t, listen)
	next := run()
	third := h.ask(t, listen)
	older.signal(t, syscall.SIGTERM)
	next.signal(t, syscall.SIGTERM)
	older.await(t, "msg=draining")
	next.await(t, "msg=draining")
	close(h.let)
	for i, answer := range []<-chan error{first, second, third} {
		if err := <-answer; err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
	older.ends(t)
	next.ends(t)
}

// An address that another has ends the program with one plain line, and code 1.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for variable, name := range map[string]string{"GW_LISTEN": "listen", "GW_ADMIN_ADDR": "admin_addr"} {
		cmd, log := program(t, configText(t, silentDiscovery(t)))
		cmd.Env = append(cmd.Env, "TMPDIR="+filepath.Dir(configOf(cmd)), variable+"="+l.Addr().String())
		cmd.Run()
		if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 ||
			!strings.Contains(log.String(), name+": ") || !strings.Contains(log.String(), "in use") {
			t.Errorf("%s: code %d, log %q", variable, code, log)
		}
	}
}
