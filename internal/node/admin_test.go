package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// call sends text to the admin API and returns the answer.
func (n *testNode) call(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", n.admin)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.20q: %v", text, err)
	}
	return string(reply)
}

// awaitServed repeats a request until it is served. The module may reject requests on a busy machine, because of the time that
// earlier requests took.
func (n *testNode) awaitServed(t *testing.T) *http.Response {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, _ := n.doRequest(t, requestText("read", "9.5", ""))
		if resp.StatusCode == http.StatusOK {
			return resp
		}
		if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
}

func TestAdminAnswersALine(t *testing.T) {
	t.Parallel()
	n := start(t, &Config{Admin: anyPort, Settings: settings(), Known: readyServers("127.0.0.1:1")})
	n.waitReady(t, http.StatusOK)
	for call, want := range map[string]string{
		"readyz\n": "ACK\n", "readyz\r\n": "ACK\n", "activate\n": "ACK\n",
		"readyz now\n": "NAK", "restart\n": "NAK", "READYZ\n": "NAK", "\n": "NAK", "read\x00yz\n": "NAK", "caf\xe9\n": "NAK",
		strings.Repeat("x", 4*maxAdminLine) + "\n": "NAK", "readyz": "NAK",
	} {
		got := n.call(t, call)
		if !strings.HasPrefix(got, want) || strings.Count(got, "\n") != 1 || want == "NAK" && len(got) < 10 {
			t.Errorf("%.20q: %q, want %q", call, got, want)
		}
	}
}

// Callers that never finish their line and a busy event loop must not block the admin API. The node closes the connections of
// such callers in time.
func TestAdminIsNotBlocked(t *testing.T) {
	t.Parallel()
	c := &Config{Settings: settings(), Known: readyServers("127.0.0.1:1")}
	b := newUpstreams(c, 10, discardLog)
	f := newFrontend(newEventLoop(t.Context(), c, b, nil, nil, discardLog), 10, discardLog)
	f.loop.hasReadyServer.Store(true)
	f.listening.Store(true)
	for range cap(f.loop.events) { // fills the queue; no loop runs, so a call that waits for the loop would wait forever
		f.loop.post(func() {})
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server := &adminServer{frontend: f, ctx: t.Context(), log: discardLog}
	go server.run(l)
	n := &testNode{admin: l.Addr().String()}
	var callers []net.Conn
	for range 3 * maxAdminCallers {
		caller, err := net.Dial("tcp", n.admin)
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		io.WriteString(caller, "eva")
		callers = append(callers, caller)
	}
	for _, call := range []string{"readyz\n", "evacuate\n", "activate\n"} {
		if got := n.call(t, call); got != "ACK\n" {
			t.Errorf("%q after callers with unfinished lines: %q", call, got)
		}
	}
	for _, caller := range callers {
		caller.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, caller); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Error("the connection of a caller that does not finish its line stays open")
		}
	}
}

// A caller whose complete line has arrived, but is read only after the server has evicted the caller, still gets its answer.
// An evicted caller with half a line gets a NAK.
func TestAdminEvictionAnswersFinishedLine(t *testing.T) {
	t.Parallel()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &Config{Settings: settings()}
	f := newFrontend(newEventLoop(t.Context(), c, newUpstreams(c, 10, discardLog), nil, nil, discardLog), 10, discardLog)
	for line, want := range map[string]string{"evacuate\n": "ACK\n", "evac": "NAK the line is not finished\n"} {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		conn, err := l.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(caller, line)
		for end := time.Now().Add(testTimeout); hasNoUnreadData(conn); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the line does not arrive")
			}
		}
		server := &adminServer{frontend: f, ctx: t.Context(), log: discardLog, waiting: []*net.TCPConn{conn}}
		server.evictOldest()
		go server.serveConn(conn)
		caller.SetDeadline(time.Now().Add(testTimeout))
		if got, err := io.ReadAll(caller); string(got) != want || err != nil {
			t.Errorf("%q: %q, %v", line, got, err)
		}
	}
}

// An evacuated node is not ready, still serves requests, and closes each connection: after an answer, or once the connection
// has been idle for as long as its client may rely on it. The process and its listener stay, and activate ends the evacuation.
func TestEvacuateAndActivate(t *testing.T) {
	t.Parallel()
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	n := start(t, &Config{Admin: anyPort, Settings: settings(), Known: readyServers(addr)})
	idle, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	r := bufio.NewReader(idle)
	io.WriteString(idle, requestText("read", "9.5", ""))
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.Close {
		t.Fatalf("before: %+v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	evacuatedAt := time.Now()
	for range 2 { // repeating the call changes nothing
		if got := n.call(t, "evacuate\n"); got != "ACK\n" {
			t.Errorf("evacuate: %q", got)
		}
	}
	if resp, _ := n.doRequest(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("evacuated: /health/ready answers %d", resp.StatusCode)
	}
	if got := n.call(t, "readyz\n"); !strings.HasPrefix(got, "NAK evacuated") {
		t.Errorf("evacuated: readyz answers %q", got)
	}
	if resp := n.awaitServed(t); !resp.Close {
		t.Errorf("evacuated: status %d, closes: %v", resp.StatusCode, resp.Close)
	}
	idle.SetDeadline(time.Now().Add(testTimeout))
	if _, err := r.ReadByte(); err != io.EOF || time.Since(evacuatedAt) < minIdleTime/2 {
		t.Errorf("the idle connection ended with %v after %v", err, time.Since(evacuatedAt))
	}
	for range 2 {
		if got := n.call(t, "activate\n"); got != "ACK\n" {
			t.Errorf("activate: %q", got)
		}
	}
	n.waitReady(t, http.StatusOK)
	if resp := n.awaitServed(t); resp.Close {
		t.Errorf("activated: status %d, closes: %v", resp.StatusCode, resp.Close)
	}
	n.call(t, "evacuate\n")
	n.stop()
	if err := <-n.ended; err != nil {
		t.Errorf("SIGTERM while evacuated: %v", err)
	}
	if c, err := net.Dial("tcp", n.admin); err == nil {
		c.Close()
		t.Error("the admin API is open after the node has ended")
	}
}

// Calls to the admin API during a drain: the API is open until the end, an exclusion outlives the process, activate can't end
// the drain, and a caller with half a line does not delay it.
func TestAdminDuringDrain(t *testing.T) {
	t.Parallel()
	arrived, proceed := make(chan struct{}, 9), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { arrived <- struct{}{}; <-proceed; return ok("x") }))
	c := &Config{Name: "n", Admin: anyPort, Settings: settings(), Known: twoServers(addr, addr), TempDir: t.TempDir()}
	n := start(t, c)
	n.waitReady(t, http.StatusOK)
	answer := make(chan *http.Response, 1)
	go func() { resp, _ := n.doRequest(t, requestText("order", "9.5", "b")); answer <- resp }()
	<-arrived
	unfinished, err := net.Dial("tcp", n.admin)
	if err != nil {
		t.Fatal(err)
	}
	defer unfinished.Close()
	io.WriteString(unfinished, "activ")
	n.call(t, "evacuate\n")
	n.stop()
	for end := time.Now().Add(testTimeout); !strings.HasPrefix(n.call(t, "readyz\n"), "NAK the process ends"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the drain does not begin")
		}
	}
	for call, want := range map[string]string{"activate\n": "NAK the process ends\n", "evacuate\n": "ACK\n", "exclude s-00000001\n": "ACK\n"} {
		if got := n.call(t, call); got != want {
			t.Errorf("%q during the drain: %q", call, got)
		}
	}
	release()
	if resp := <-answer; resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("the request open at SIGTERM: status %d, closes: %v", resp.StatusCode, resp.Close)
	}
	if err := <-n.ended; err != nil {
		t.Error(err)
	}
	if excluded, _ := openExclusions(c, newUpstreams(c, 10, discardLog), discardLog).current(); !excluded["s-00000001"] {
		t.Errorf("excluded after the end: %v", excluded)
	}
}

// There is no admin API if neither the file nor the environment has an address for it.
func TestNoAdminWithoutAddress(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]netip.AddrPort{"": {}, "127.0.0.1:9": netip.MustParseAddrPort("127.0.0.1:9")} {
		c, err := loadText(t, goodConfig, map[string]string{"GW_ADMIN_ADDR": text})
		if err != nil || c.Admin != want {
			t.Errorf("GW_ADMIN_ADDR %q: %v, %v", text, c, err)
		}
	}
	if _, err := loadText(t, goodConfig, map[string]string{"GW_ADMIN_ADDR": "admin"}); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("a bad address: %v", err)
	}
}
