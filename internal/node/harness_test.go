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

// testTimeout is how long a test waits for something that has to happen, even on a slow machine.
const testTimeout = 20 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

func settings() policy.Settings {
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{Name: name, PriorityWeight: 1, LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, Idempotency: idempotency,
			KeyScope: policy.KeyScopeCell, DedupWindow: 8 * time.Second}
	}
	return policy.Settings{Nodes: 1, Zone: "z", Zones: []string{"z"}, MaxAttempts: 4, MayHedge: true, MayCancel: true,
		MayHealthCheck: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 2 * time.Second,
		ConnIdleTimeout: time.Minute, MaxOpenRequests: 100, DrainGrace: 500 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartWindow: time.Second,
		OverloadFactor: 2.5, OverloadDuration: time.Second, LoadReportSource: policy.LoadReportsByHealthCheck, MinTick: 5 * time.Millisecond,
		MaxPollInterval: 10 * time.Second,
		Classes:         []policy.Class{class("read", policy.Idempotent), class("tag", policy.IdempotentByKey), class("order", policy.NonIdempotent)}}
}

// startServer starts a server on a port that the kernel chooses, and returns its address. It passes each connection to serve.
func startServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	ending := false
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			if ending { // accepted while the test ends, so that the cleanup does not close it
				c.Close()
			}
			mu.Unlock()
			open.Go(func() { defer c.Close(); serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		ending = true
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return l.Addr().String()
}

// answerWith returns a handler that reads requests and writes the answers that reply returns. An empty answer ends the
// connection.
func answerWith(reply func(*http.Request, []byte) string) func(net.Conn) {
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

// refusingAddr returns an address that refuses connections until the test ends. Its port is bound without a listener, since
// the kernel may give a released port to another stub.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*syscall.SockaddrInet4).Port)
}

// readCompleteRequest reads a request, and discards its body. It returns an error if the request does not arrive completely.
func readCompleteRequest(r *bufio.Reader) (req *http.Request, body int64, err error) {
	if req, err = http.ReadRequest(r); err == nil {
		body, err = io.Copy(io.Discard, req.Body)
	}
	return req, body, err
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func readyServers(addrs ...string) endpointList {
	l := endpointList{version: 1, complete: true}
	for i, a := range addrs {
		l.entries = append(l.entries, endpoint{addr: a, Server: policy.Server{ID: policy.ServerID(i + 1), Zone: "z", State: policy.Ready, Weight: 1}})
	}
	return l
}

// testNode is a running node.
type testNode struct {
	reloads   chan *Config
	addr      string
	admin     string
	discovery netip.AddrPort
	stop      context.CancelFunc
	ended     chan error
}

func start(t *testing.T, c *Config) *testNode {
	t.Helper()
	// The node gets a listener that is already open: between choosing a port and listening, another process might take the port.
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
		c.Discovery = netip.MustParseAddrPort(startServer(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
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
	n := &testNode{admin: adminAddr, discovery: c.Discovery, addr: tcp.Addr().String(), stop: stop, ended: make(chan error, 1), reloads: make(chan *Config)}
	go func() {
		n.ended <- serve(ctx, c, func() (*net.TCPListener, error) { return tcp, nil }, admin, n.reloads, discardLog)
		close(n.ended)
	}()
	t.Cleanup(func() { stop(); <-n.ended })
	return n // connections wait in the listener's queue until the node serves
}

var ids atomic.Int64

func requestText(class, left, body string) string {
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

// doRequest sends text on a new connection and reads one answer.
func (n *testNode) doRequest(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
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
