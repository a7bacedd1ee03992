package node

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// testFront is the clients' side of a node, with its loop, as a test can reach into it.
type testFront struct {
	*frontend
	slots chan struct{}
	addr  string
	conns chan *clientConn // as they are accepted
}

// noting is a listener that reports what it accepts.
type noting struct {
	*clientListener
	conns chan *clientConn
}

func (l noting) Accept() (net.Conn, error) {
	c, err := l.clientListener.Accept()
	if err == nil {
		l.conns <- c.(*clientConn)
	}
	return c, err
}

func startFront(t *testing.T, c *Config) *testFront {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	c.Discovery = netip.MustParseAddrPort(backend(t, func(net.Conn) {}))
	ctx, stop := context.WithCancel(context.Background())
	b := newUpstreams(c, 100, quiet)
	l := newEventLoop(ctx, c, b, newDiscoveryClient(c, quiet), nil, quiet)
	f := &testFront{frontend: newFrontend(l, 100, quiet), addr: tcp.Addr().String(), conns: make(chan *clientConn, 100)}
	taken := newClientListener(tcp, 100, nil, f.frontend.connections)
	f.slots = taken.slots
	srv := f.server()
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(ctx) })
	running.Go(func() { srv.Serve(noting{taken, f.conns}) })
	t.Cleanup(func() {
		stop()
		srv.Close()
		running.Wait()
	})
	return f
}

// dial opens a client's connection, and gives the node's side of it too.
func (f *testFront) dial(t *testing.T) (*net.TCPConn, *bufio.Reader, *clientConn) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patient))
	return c.(*net.TCPConn), bufio.NewReader(c), <-f.conns
}

// awaitEmpty waits until no client's connection is kept. One slot is held by the Accept that waits for the next.
func (f *testFront) awaitEmpty(t *testing.T) {
	t.Helper()
	await(t, "the connections are let go", func() bool { return f.frontend.connections.open() == 0 && len(f.slots) == 1 })
}

// hold stops the loop until what it returns is called.
func (f *testFront) hold() (let func()) {
	held, on := make(chan struct{}), make(chan struct{})
	f.loop.post(func() { close(held); <-on })
	<-held
	return sync.OnceFunc(func() { close(on) })
}

// await waits for a condition.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(patient); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// leave ends a client's connection, by a reset or a close.
func leave(c *net.TCPConn, reset bool) {
	if reset {
		c.SetLinger(0)
	}
	c.Close()
}
