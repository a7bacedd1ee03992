package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"meadowsill/policy"
)

// stalling dials a backend with so little buffer on the way that a body of maxBufferedBody does not fit into it, and reports when
// there is none left.
func stalling(full chan struct{}) func(context.Context, net.Dialer, string) (*upstreamConn, error) {
	return func(ctx context.Context, d net.Dialer, addr string) (*upstreamConn, error) {
		c, err := dialTCP(ctx, d, addr)
		if err == nil {
			err = c.SetWriteBuffer(4 << 10)
			c.raw = toldRaw{c.raw, sync.OnceFunc(func() { close(full) })}
		}
		return c, err
	}
}

type toldRaw struct {
	syscall.RawConn
	full func()
}

func (r toldRaw) Write(f func(uintptr) bool) error {
	return r.RawConn.Write(func(fd uintptr) bool {
		done := f(fd)
		if !done {
			r.full()
		}
		return done
	})
}

// narrow is a backend with little buffer. It reads once it may, and reports how many requests came complete.
func narrow(t *testing.T, may <-chan struct{}) (addr string, complete *atomic.Int64, end func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { // before the connections, which take their windows from it
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
	})
	if err != nil {
		t.Fatal(err)
	}
	complete = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-may
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // the kernels take long to pass on what they hold
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				complete.Add(1)
			}
		}
	}()
	end = func() { l.Close(); <-done }
	return l.Addr().String(), complete, end
}

// What ends a write that stalls: it is not gone on with, and what was begun never ran.
func TestStalledWriteIsLetGo(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*exchange)
		end    func(incarnation, ctx context.CancelFunc)
		want   policy.OutcomeCode
	}{
		"the client goes": {nil, func(incarnation, _ context.CancelFunc) { incarnation() }, policy.NotSent},
		"called off":      {nil, func(_, ctx context.CancelFunc) { ctx() }, policy.Cancelled},
		"the window ends": {func(x *exchange) { x.writeBy = time.Now().Add(100 * time.Millisecond) }, nil, policy.NotSent},
		"the time is up":  {func(x *exchange) { x.deadline = time.Now().Add(100 * time.Millisecond) }, nil, policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			may := make(chan struct{})
			addr, complete, end := narrow(t, may)
			b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
			full := make(chan struct{})
			b.dial = stalling(full)
			b.update(known(addr))
			incarnation, removed := context.WithCancel(t.Context())
			ctx, off := context.WithCancel(t.Context())
			x := &exchange{request: incarnation, writeLock: new(sync.Mutex), method: "POST", url: &url.URL{Path: "/order", Host: "h"},
				body: make([]byte, maxBufferedBody), deadline: time.Now().Add(patient)}
			if c.change != nil {
				c.change(x)
			}
			got := make(chan result, 1)
			go func() { got <- b.roundTrip(ctx, b.host(1), x) }()
			if c.end != nil {
				<-full
				c.end(removed, off)
			}
			r := <-got
			if c.want != policy.ConnectFailed && time.Now().After(x.deadline) {
				t.Error("it waited until its time was up")
			}
			close(may)
			end()
			if r.code != c.want || complete.Load() > 0 {
				t.Errorf("outcome %v (%v), want %v; %d came whole", r.code, r.err, c.want, complete.Load())
			}
			removed()
			off()
		})
	}
}

// held is a backend behind dials that wait until the test lets them on, whatever happens to their request meanwhile.
type held struct {
	addr   string
	dialed chan struct{} // one for each dial
	on     chan struct{}
	bytes  atomic.Int64 // that came
	ended  chan struct{}
}

func hold(t *testing.T) *held {
	h := &held{dialed: make(chan struct{}, 9), on: make(chan struct{}), ended: make(chan struct{}, 9)}
	h.addr = backend(t, func(c net.Conn) {
		n, _ := io.Copy(io.Discard, c)
		h.bytes.Add(n)
		h.ended <- struct{}{}
	})
	return h
}

func (h *held) dial(ctx context.Context, d net.Dialer, addr string) (*upstreamConn, error) {
	h.dialed <- struct{}{}
	<-h.on
	return dialTCP(context.WithoutCancel(ctx), d, addr)
}

// looped is a loop with a backend, whose settings give no leave to cancel.
func looped(t *testing.T, h *held, addrs ...string) (*eventLoop, *upstreams) {
	set := settings()
	set.MayCancel = false
	c := &Config{Settings: set, Known: known(addrs...)}
	ctx, stop := context.WithCancel(context.Background())
	b := newUpstreams(c, 10, quiet)
	b.dial = h.dial
	l := newEventLoop(ctx, c, b, newDiscoveryClient(c, quiet), nil, quiet)
	l.rules.Load().PollsEndpoints = true
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
	return l, b
}

func asked(l *eventLoop, class string) (r *request, removed context.CancelFunc) {
	rules := l.rules.Load()
	r = &request{arrived: policy.RequestArrived{ID: "q", Class: class}, deadline: time.Now().Add(patient / 2), method: "POST",
		class: rules.classes[class], rules: rules, url: &url.URL{Path: "/" + class, Host: "h"}, answer: make(chan answer, 1)}
	client, removed := context.WithCancel(context.Background())
	r.context, r.cancel = context.WithCancel(client)
	return r, removed
}

// in runs f in the loop.
func in(l *eventLoop, f func()) {
	done := make(chan struct{})
	l.post(func() { f(); close(done) })
	<-done
}

// settled waits until the loop has forgotten all requests.
func settled(t *testing.T, l *eventLoop) {
	t.Helper()
	for end := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		open := 0
		in(l, func() { open = len(l.requests) })
		if open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("an attempt does not end")
		}
	}
}

// A request ends while its attempt connects: nothing is written any more and no other attempt is made, though there is
// no leave to cancel. The event for a client that went may still be on its way to the loop.
func TestNothingIsBegunAfterTheEnd(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(l *eventLoop, r *request, removed context.CancelFunc){
		"the client goes": func(_ *eventLoop, _ *request, removed context.CancelFunc) { removed() },
		"the loop hears it": func(l *eventLoop, r *request, removed context.CancelFunc) {
			removed()
			in(l, func() { l.abandonRequest(r) })
		},
		"refused": func(l *eventLoop, r *request, _ context.CancelFunc) {
			in(l, func() { l.perform(policy.Reject{ID: "q"}) })
			<-r.answer
		},
		"failed": func(l *eventLoop, r *request, _ context.CancelFunc) {
			in(l, func() { l.perform(policy.Fail{ID: "q"}) })
			<-r.answer
		},
		"given up on":           func(l *eventLoop, r *request, _ context.CancelFunc) { in(l, func() { l.abandonRequest(r) }) },
		"the front end answers": func(_ *eventLoop, r *request, _ context.CancelFunc) { r.cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := hold(t)
			l, b := looped(t, h, h.addr, h.addr)
			r, removed := asked(l, "read")
			in(l, func() { l.startRequest(r) })
			<-h.dialed
			end(l, r, removed)
			close(h.on)
			settled(t, l)
			b.update(endpointList{complete: true}) // closes what is idle
			<-h.ended
			if n := h.bytes.Load(); n > 0 || len(h.dialed) > 0 {
				t.Errorf("%d bytes were written after the end; %d more attempts", n, len(h.dialed))
			}
		})
	}
}

// A dial is let go as its request ends: it does not hold a descriptor until the server answers.
func TestDialIsLetGo(t *testing.T) {
	t.Parallel()
	b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
	b.update(known("127.0.0.1:1"))
	dialed := make(chan struct{})
	b.dial = func(ctx context.Context, _ net.Dialer, _ string) (*upstreamConn, error) {
		close(dialed)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	x := get(patient)
	incarnation, removed := context.WithCancel(t.Context())
	x.request = incarnation
	got := make(chan result, 1)
	go func() { got <- b.roundTrip(t.Context(), b.host(1), x) }()
	<-dialed
	removed()
	if r := <-got; r.code != policy.NotSent || b.open != 0 {
		t.Errorf("outcome %v (%v), %d connections", r.code, r.err, b.open)
	}
}

// A client that went while its request waited for the loop: it is not taken up.
func TestLeftBeforeTheLoop(t *testing.T) {
	t.Parallel()
	h := hold(t)
	close(h.on)
	l, _ := looped(t, h, h.addr)
	r, removed := asked(l, "order")
	removed()
	in(l, func() { l.startRequest(r) })
	settled(t, l)
	if len(h.dialed) > 0 {
		t.Error("an attempt was made")
	}
}

// The end of a request waits for a piece that is being written: none is written after its answer.
func TestEndWaitsForThePiece(t *testing.T) {
	t.Parallel()
	got := make(chan struct{}, 1)
	addr := backend(t, answering(func(*http.Request, []byte) string { got <- struct{}{}; return ok("x") }))
	b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
	b.update(known(addr))
	h := b.host(1)
	c, err := b.connect(t.Context(), h, time.Now().Add(patient))
	if err != nil {
		t.Fatal(err)
	}
	r := &request{}
	r.context, r.cancel = context.WithCancel(t.Context())
	x := get(patient)
	x.request, x.writeLock = r.context, &r.writeLock
	b.mu.Lock() // the writer stops within the piece, where it looks at its host
	res := make(chan result, 1)
	go func() { res <- b.exchangeOn(t.Context(), h, c, x) }()
	for r.writeLock.TryLock() {
		r.writeLock.Unlock()
		time.Sleep(time.Millisecond)
	}
	over := make(chan struct{})
	go func() { r.markAnswered(); close(over) }()
	select {
	case <-over:
		t.Error("the request ended within the piece")
	case <-time.After(20 * time.Millisecond): // how long the wrong order has to show; the right one never shows it
	}
	b.mu.Unlock()
	<-over
	<-got // it was written before
	if r := <-res; r.code != policy.OK {
		t.Errorf("outcome %v (%v)", r.code, r.err)
	}
}

// The margin of a window leaves some of it, however short it is, and none of what comes after.
func TestWriteBy(t *testing.T) {
	sent := time.Now()
	for window, want := range map[time.Duration]time.Duration{8 * time.Second: 7900 * time.Millisecond, 200 * time.Millisecond: 100 * time.Millisecond,
		150 * time.Millisecond: 75 * time.Millisecond, 40 * time.Millisecond: 20 * time.Millisecond, 0: 0} {
		if got := idempotencyDeadline(sent, window).Sub(sent); got != want {
			t.Errorf("a window of %v: written until %v, want %v", window, got, want)
		}
	}
}

// An upload's last byte is not written once its window is over or its request has ended.
func TestUploadEndsWithItsRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		end  func(x *exchange, removed context.CancelFunc)
		want policy.OutcomeCode
	}{
		"the client goes":  {func(_ *exchange, removed context.CancelFunc) { removed() }, policy.NotSent},
		"the window ends":  {func(x *exchange, _ context.CancelFunc) { x.writeBy = time.Now() }, policy.NotSent},
		"its time is over": {func(x *exchange, _ context.CancelFunc) { x.upload.clientTimeout = 0 }, policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var complete atomic.Int64
			seen := make(chan error, 1)
			addr := backend(t, func(conn net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					if _, err = io.Copy(io.Discard, req.Body); err == nil {
						complete.Add(1)
					}
				}
				seen <- err
			})
			b := newUpstreams(&Config{Settings: settings()}, 10, quiet)
			b.update(known(addr))
			incarnation, removed := context.WithCancel(t.Context())
			defer removed()
			reached := make(chan struct{})
			x := &exchange{request: incarnation, writeLock: new(sync.Mutex), method: "POST", url: &url.URL{Path: "/order", Host: "h"},
				body: make([]byte, maxBufferedBody), deadline: time.Now().Add(patient)}
			x.onBodySent = func() { close(reached); c.end(x, removed) } // just before the rest is read
			u := &upload{length: maxBufferedBody + 1, clientTimeout: patient, complete: make(chan struct{}),
				body: &pacedBody{Reader: lastByte{}, deadline: time.Now(), deadlineSet: time.Now()}}
			x.upload = u
			r := b.roundTrip(t.Context(), b.host(1), x)
			<-reached
			if <-seen; r.code != c.want || complete.Load() > 0 {
				t.Errorf("outcome %v (%v), want %v; %d came whole", r.code, r.err, c.want, complete.Load())
			}
		})
	}
}

// lastByte gives one byte with the end.
type lastByte struct{}

func (lastByte) Read(p []byte) (int, error) { p[0] = 'x'; return 1, io.EOF }
