package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// outage is discovery on the test's clock, with connections that are pipes. It fails in its way, comes back just as the
// last call that is to fail has begun, and has another list then. A call that began before that stays as it is.
type outage struct {
	way     string
	changes chan struct{} // closed at each change, or when it goes down

	mu      sync.Mutex
	down    bool
	left    int // calls that are still to fail
	version int
	ready   bool      // what it lists its one server as
	back    time.Time // when it was back with the last change
	onBack  func()
}

// fall takes discovery down for so many further calls. A watch that is open is broken, even if that is none.
func (o *outage) fall(calls int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down, o.left = true, calls+1
	o.failed()
	close(o.changes)
	o.changes = make(chan struct{})
}

// failed counts a call that fails, with the lock held.
func (o *outage) failed() {
	if o.left--; o.left == 0 {
		o.down = false
		o.ready = !o.ready
		o.back = time.Now()
		o.version++
		if o.onBack != nil {
			go o.onBack()
		}
	}
}

// fails reports whether a call that begins now is to fail, and counts it.
func (o *outage) fails() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.down
	if was {
		o.failed()
	}
	return was
}

func (o *outage) dial(ctx context.Context) (net.Conn, error) {
	if o.way == "refused" && o.fails() {
		return nil, syscall.ECONNREFUSED
	}
	if o.way == "lost" && o.fails() {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout) // as the dialer has it
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go o.serve(server)
	return client, nil
}

func (o *outage) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil || !o.answer(c, req) {
			return
		}
	}
}

// answer is true if it has answered. An answer that breaks off is half a list.
func (o *outage) answer(c net.Conn, req *http.Request) bool {
	state := map[bool]string{true: "ready", false: "draining"}
	broken := o.fails()
	since, _ := strconv.Atoi(req.FormValue("since"))
	wait, _ := strconv.Atoi(req.FormValue("timeout_ms"))
	o.mu.Lock()
	changes, known := o.changes, o.version > since
	o.mu.Unlock()
	if !known && !broken {
		select {
		case <-changes:
			broken = true // what the outage brings is not answered here
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	o.mu.Lock()
	text := jsonList(o.version, since == 0, state[o.ready], "127.0.0.1:9")
	if o.version <= since {
		text = ok(fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, since))
	}
	o.mu.Unlock()
	switch {
	case !broken:
		_, err := io.WriteString(c, text)
		return err == nil
	case o.way == "silent":
		io.Copy(io.Discard, c)
	case o.way == "queue": // its turn has not come when discovery gives it up
		time.Sleep(2 * time.Second)
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case o.way == "broken":
		io.WriteString(c, text[:len(text)/2])
	}
	return false
}

// What discovery has is followed 6 s after it can be reached, and 4 s after SIGHUP, however and however often calls
// failed before: at a start without a list, which is how long a restarted node takes to be ready, and with a watch that
// was open. Discovery comes back just after a call has begun to fail, which is the worst moment, and has its change then.
func TestListIsKnownInTime(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		for _, nodes := range []int{4, 300} {
			for _, way := range []string{"refused", "lost", "silent", "queue", "broken"} {
				for _, moves := range []bool{false, true} {
					t.Run(fmt.Sprintf("pushed %v, %d nodes, %s, moves %v", pushed, nodes, way, moves), func(t *testing.T) {
						for _, calls := range []int{0, 1, 2, 3, 6} {
							synctest.Test(t, func(t *testing.T) { knownInTime(t, pushed, nodes, way, moves, calls) })
						}
					})
				}
			}
		}
	}
}

func knownInTime(t *testing.T, pushed bool, nodes int, way string, moves bool, calls int) {
	c := &Config{Settings: settings(), Discovery: netip.MustParseAddrPort("127.0.0.1:1")}
	c.Settings.Nodes = nodes
	c.Settings.NodeIndex = nodes - 1
	c.Settings.PollsEndpoints = !pushed
	c.Settings.MinTick = 100 * time.Millisecond // the module's clock; finer costs the test time
	d := newDiscoveryClient(c, quiet)
	var mu sync.Mutex
	at := map[string]*outage{}
	place := func(addr string) *outage {
		mu.Lock()
		defer mu.Unlock()
		if at[addr] == nil {
			at[addr] = &outage{way: way, changes: make(chan struct{}), version: 1, ready: true, back: time.Now()}
		}
		return at[addr]
	}
	d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return place(addr).dial(ctx)
	}
	ctx, stop := context.WithCancel(t.Context())
	l := newEventLoop(ctx, c, newUpstreams(c, 10, quiet), d, nil, quiet)
	var running sync.WaitGroup
	defer func() {
		stop()
		running.Wait()
		d.client.CloseIdleConnections()
		time.Sleep(2 * watchTimeout) // discovery's own goroutines end
	}()
	limit, old := notifiedWithin, place("127.0.0.1:1")
	awaitList := func(what string, o *outage, limit time.Duration) {
		t.Helper()
		for {
			o.mu.Lock()
			back := o.back
			ready := o.ready
			down := o.down
			o.mu.Unlock()
			switch took := time.Since(back); {
			case !down && l.hasReadyServer.Load() == ready:
				return
			case !down && took > limit, took > time.Hour:
				t.Fatalf("%s: not known %v after discovery's return from %d failed calls", what, took, calls)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if calls > 0 {
		old.ready = false // and is ready at the return
		old.fall(calls)
	}
	running.Go(func() { l.run(c.Known) })
	awaitList("start", old, limit)
	time.Sleep(2*watchTimeout + time.Duration(calls)*170*time.Millisecond)
	if moves {
		// The new address has what the old one has at the signal, and a change more.
		moved := make(chan struct{})
		old.onBack = func() {
			next := place("127.0.0.1:2")
			old.mu.Lock()
			next.version = old.version + 1
			next.ready = old.ready
			next.back = time.Now()
			old.down, old.left = true, 1<<30 // it takes nothing any more
			old.mu.Unlock()
			d.setAddress(netip.MustParseAddrPort("127.0.0.1:2"))
			close(moved)
		}
		old.fall(calls)
		<-moved
		old, limit = place("127.0.0.1:2"), 4*time.Second
	} else {
		old.fall(calls)
	}
	awaitList("watch", old, limit)
}
