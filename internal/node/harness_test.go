package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"meadowsill/policy"
)

// patient is how long a test waits for what must come, on a machine of any speed.
const patient = 20 * time.Second

var quiet = slog.New(slog.DiscardHandler)

func settings() policy.Settings {
	class := func(name string, e policy.Idempotency) policy.Class {
		return policy.Class{Name: name, PriorityWeight: 1, LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, Idempotency: e,
			KeyScope: policy.KeyScopeCell, DedupWindow: 8 * time.Second}
	}
	return policy.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayHedge: true, MayCancel: true,
		MayHealthCheck: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdleTimeout: time.Minute, MaxOpenRequests: 100, DrainGrace: 500 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartWindow: time.Second,
		OverloadFactor: 2.5, OverloadDuration: time.Second, LoadReportSource: policy.LoadReportsByHealthCheck, MinTick: 5 * time.Millisecond,
		MaxPollInterval: 10 * time.Second,
		Classes:         []policy.Class{class("read", policy.Idempotent), class("tag", policy.IdempotentByKey), class("order", policy.NonIdempotent)}}
}

// backend is a listener on a port that the kernel chose. Each connection is handed to serve.
func backend(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	over := false
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			if over { // it came as the test ended, and nobody else would close it
				c.Close()
			}
			mu.Unlock()
			open.Go(func() { defer c.Close(); serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		over = true
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return l.Addr().String()
}

// answering reads requests and writes what reply says, until it says nothing.
func answering(reply func(*http.Request, []byte) string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			text := reply(req, body)
			if text == "" {
				return
			}
			io.WriteString(c, text)
		}
	}
}

// refusing is an address at which connections are rejected to the test's end. It is bound, and nobody listens: a port that
// is freed may become another stub's.
func refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// wholeRequest reads a request with its body, which it drops. An error says that it has not come complete.
func wholeRequest(r *bufio.Reader) (req *http.Request, body int64, err error) {
	if req, err = http.ReadRequest(r); err == nil {
		body, err = io.Copy(io.Discard, req.Body)
	}
	return req, body, err
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func known(addrs ...string) endpointList {
	l := endpointList{version: 1, complete: true}
	for i, a := range addrs {
		l.entries = append(l.entries, endpoint{addr: a, Server: policy.Server{ID: policy.ServerID(i + 1), Zone: "z", State: policy.Ready, Weight: 1}})
	}
	return l
}

// testNode is a running node.
type testNode struct {
	reloads chan *Config
	addr    string
	admin   string
	disco   netip.AddrPort
	stop    context.CancelFunc
	ended   chan error
}

func start(t *testing.T, c *Config) *testNode {
	t.Helper()
	// The listener is handed over: a port that is chosen, freed and taken again may be another's in between.
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.Sockets == 0 {
		c.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 256}
	}
	if c.TempDir == "" {
		c.TempDir = t.TempDir()
	}
	if !c.Discovery.IsValid() {
		c.Discovery = netip.MustParseAddrPort(backend(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	}
	var admin *net.TCPListener
	adminAddr := ""
	if c.Admin.IsValid() {
		if admin, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(c.Admin)); err != nil {
			t.Fatal(err)
		}
		adminAddr = admin.Addr().String()
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{admin: adminAddr, disco: c.Discovery, addr: tcp.Addr().String(), stop: stop, ended: make(chan error, 1), reloads: make(chan *Config)}
	go func() {
		n.ended <- serve(ctx, c, func() (*net.TCPListener, error) { return tcp, nil }, admin, n.reloads, quiet)
		close(n.ended)
	}()
	t.Cleanup(func() { stop(); <-n.ended })
	return n // connections wait in the listener's queue until it serves
}

var ids atomic.Int64

func message(class, left, body string) string {
	method, key := "GET", ""
	if class != "read" {
		method = "POST"
	}
	if class == "tag" {
		key = "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /%s?obj=a%%2fb HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: id%d\r\n%sX-Time-Left: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, class, ids.Add(1), key, left, len(body), body)
}

// ask sends text on a connection of its own and reads one answer.
func (n *testNode) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patient))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the answer is cut short: %v", err)
	}
	return resp, string(body)
}
