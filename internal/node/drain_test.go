package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// The node loses no request at SIGTERM: it answers the open requests, still serves those that come for a moment more, closes
// each connection with its answer, and then ends.
func TestDrain(t *testing.T) {
	t.Parallel()
	received, release := make(chan struct{}, 9), make(chan struct{})
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { received <- struct{}{}; <-release; return ok("x") }))
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	held := make(chan *http.Response) // the answer to a request that is open at the stop
	go func() { resp, _ := n.doRequest(t, requestText("order", "9.5", "b")); held <- resp }()
	<-received
	idle, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	n.stop()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if resp, _ := n.doRequest(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode == 503 {
			break
		} else if time.Now().After(end) {
			t.Fatal("the health check still reports the node as ready")
		}
	}
	late := make(chan *http.Response)
	go func() { resp, _ := n.doRequest(t, requestText("read", "9.5", "")); late <- resp }()
	<-received
	close(release)
	for _, c := range []chan *http.Response{held, late} {
		if resp := <-c; resp.StatusCode != 200 || !resp.Close {
			t.Errorf("status %d, closes: %v", resp.StatusCode, resp.Close)
		}
	}
	select {
	case err := <-n.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the node does not end")
	}
}

// A request that is still being read when the listener closes is rejected and not dropped, as it may be complete too late to
// be served.
func TestDrainRejectsRequestsBeingRead(t *testing.T) {
	t.Parallel()
	var complete atomic.Int64
	began := make(chan struct{})
	addr := startServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if req, err := http.ReadRequest(r); err == nil {
			close(began)
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				complete.Add(1)
			}
		}
	})
	n := start(t, &Config{Settings: settings(), Known: readyServers(addr)})
	n.waitReady(t, 200)
	text, long := requestText("order", "9.5", "body"), orderHead("Content-Length: 1000000")+strings.Repeat("b", 200000)
	var conns [2]net.Conn
	var readers [2]*bufio.Reader
	conns[1], readers[1] = n.dial(t)
	io.WriteString(conns[1], long)
	<-began
	n.stop()
	conns[0], readers[0] = n.dial(t) // the listener stays open for a while after the stop
	io.WriteString(conns[0], text[:20])
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		probe, err := net.Dial("tcp", n.addr)
		if err != nil { // the listener is closed
			break
		}
		probe.Close()
		if time.Now().After(end) {
			t.Fatal("the listener stays open")
		}
	}
	io.WriteString(conns[0], text[20:])
	for i, r := range readers {
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 503 || !resp.Close {
			t.Errorf("request %d: %+v, %v", i, resp, err)
		}
	}
	if err := <-n.ended; err != nil || complete.Load() > 0 {
		t.Errorf("ended with %v, %d bodies were relayed in full", err, complete.Load())
	}
}

// At its limits a node rejects requests at once, and each connection that it has accepted gets an answer.
func TestBounds(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { <-release; return ok("x") }))
	c := &Config{Settings: settings(), Known: readyServers(addr), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: minSockets}}
	c.Settings.MaxOpenRequests = 1
	n := start(t, c)
	statuses := make(chan int, 60)
	for range cap(statuses) {
		go func() {
			resp, _ := n.doRequest(t, requestText("read", "9.5", ""))
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			statuses <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range cap(statuses) - 1 {
		count[<-statuses]++
	}
	close(release)
	count[<-statuses]++
	if count[503] != cap(statuses)-1 || count[200] != 1 {
		t.Errorf("statuses %v", count)
	}
}

// Above the limit the connection that has been idle longest is closed, but none that has been idle for less than minIdleTime,
// on which its client may still count.
func TestOverLimitClosesLongestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &connections{limit: 2, idle: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
		var conns, peers [4]net.Conn
		closed := func(i int) bool {
			conns[i].SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := conns[i].Read(make([]byte, 1))
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		connect := func(i int) { conns[i], peers[i] = net.Pipe(); c.connAccepted() }
		for i := range 2 {
			connect(i)
			c.track(conns[i], http.StateIdle)
			time.Sleep(minIdleTime / 2)
		}
		c.track(conns[0], http.StateActive)
		c.track(conns[0], http.StateIdle) // now conns[0] has been idle for a shorter time than conns[1]
		connect(2)
		if closed(0) || closed(1) || !c.overLimit() {
			t.Error("a connection is closed that was idle for less than minIdleTime")
		}
		time.Sleep(minIdleTime/2 + 2*shedInterval) // now conns[1] has been idle for minIdleTime
		if closed(0) || !closed(1) || c.overLimit() {
			t.Error("want the connection closed that was idle longest, and no other")
		}
		connect(3)
		if closed(0) || !c.overLimit() {
			t.Error("a connection that was idle for less than minIdleTime is closed for the next one")
		}
		time.Sleep(minIdleTime)
		if !closed(0) || c.overLimit() {
			t.Error("want an idle connection closed for the last one too")
		}
		for _, conn := range conns {
			c.track(conn, http.StateClosed)
			c.connReleased(conn)
		}
		if c.count != 0 || len(c.ended) != 0 {
			t.Errorf("with all connections closed %d are counted, %d of them as ended", c.count, len(c.ended))
		}
	})
}

// A request that crosses the node's close of its connection is not served: the client sends it again, and it must not run twice.
func TestRequestThatCrossesTheClose(t *testing.T) {
	t.Parallel()
	c := &Config{Settings: settings()}
	f := newFrontend(newEventLoop(t.Context(), c, newUpstreams(c, 10, discardLog), nil, nil, discardLog), 10, discardLog)
	conn, _ := net.Pipe()
	f.connections.ended[conn] = true
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("order", "0.1", ""))))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if e := recover(); e != http.ErrAbortHandler || len(f.loop.events) != 0 {
			t.Errorf("ended with %v, %d events for the module", e, len(f.loop.events))
		}
	}()
	f.ServeHTTP(httptest.NewRecorder(), r.WithContext(f.server().ConnContext(t.Context(), conn)))
}
