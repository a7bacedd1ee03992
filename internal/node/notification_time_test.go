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

// outage is a stub of discovery that uses in-process connections and the fake clock of synctest. During an outage it fails in the
// given failure mode. The outage ends just after the last call that is to fail has begun, and the list changes then. A call that
// began before the end of the outage still fails.
type outage struct {
	failureMode string
	changes     chan struct{} // closed and replaced when an outage begins

	mu           sync.Mutex
	down         bool
	failuresLeft int // failures until the outage ends
	version      int
	ready        bool      // the state of its only server: ready or draining
	restoredAt   time.Time // when the last outage ended, with a change
	onRestore    func()
}

// takeDown begins an outage that the given number of calls fail in. An open watch fails too, even if the number is 0.
func (o *outage) takeDown(failures int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down, o.failuresLeft = true, failures+1
	o.countFailure()
	close(o.changes)
	o.changes = make(chan struct{})
}

// countFailure counts a failed call, and ends the outage after the last one. The caller holds mu.
func (o *outage) countFailure() {
	if o.failuresLeft--; o.failuresLeft == 0 {
		o.down = false
		o.ready = !o.ready
		o.restoredAt = time.Now()
		o.version++
		if o.onRestore != nil {
			go o.onRestore()
		}
	}
}

// callFails reports whether a call that begins now fails, and counts it if so.
func (o *outage) callFails() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.down
	if was {
		o.countFailure()
	}
	return was
}

func (o *outage) dial(ctx context.Context) (net.Conn, error) {
	if o.failureMode == "refused" && o.callFails() {
		return nil, syscall.ECONNREFUSED
	}
	if o.failureMode == "lost" && o.callFails() {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout) // the timeout of the replaced dialer
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

// answer reports whether it has answered completely. A truncated answer is half a list.
func (o *outage) answer(c net.Conn, req *http.Request) bool {
	state := map[bool]string{true: "ready", false: "draining"}
	failing := o.callFails()
	since, _ := strconv.Atoi(req.FormValue("since"))
	wait, _ := strconv.Atoi(req.FormValue("timeout_ms"))
	o.mu.Lock()
	changes, known := o.changes, o.version > since
	o.mu.Unlock()
	if !known && !failing {
		select {
		case <-changes:
			failing = true // the call fails, so that the change is not in its answer
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
	case !failing:
		_, err := io.WriteString(c, text)
		return err == nil
	case o.failureMode == "silent":
		io.Copy(io.Discard, c)
	case o.failureMode == "queue": // discovery rejects the call after it has been queued for 2 s
		time.Sleep(2 * time.Second)
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case o.failureMode == "broken":
		io.WriteString(c, text[:len(text)/2])
	}
	return false
}

// The node applies discovery's list within 6 s after discovery is reachable, and within 4 s after SIGHUP, however calls failed
// before and however many did. The test checks this at a start without a list, which determines how long a restarted node takes
// to be ready, and with an open watch. Discovery returns, with a change, just after a call has begun to fail: the worst moment.
func TestListIsAppliedInTime(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		for _, nodes := range []int{4, 300} {
			for _, failureMode := range []string{"refused", "lost", "silent", "queue", "broken"} {
				for _, moves := range []bool{false, true} {
					t.Run(fmt.Sprintf("pushed %v, %d nodes, %s, moves %v", pushed, nodes, failureMode, moves), func(t *testing.T) {
						for _, calls := range []int{0, 1, 2, 3, 6} {
							synctest.Test(t, func(t *testing.T) { checkUpdateTime(t, pushed, nodes, failureMode, moves, calls) })
						}
					})
				}
			}
		}
	}
}

func checkUpdateTime(t *testing.T, pushed bool, nodes int, failureMode string, moves bool, calls int) {
	c := &Config{Settings: settings(), Discovery: netip.MustParseAddrPort("127.0.0.1:1")}
	c.Settings.Nodes = nodes
	c.Settings.NodeIndex = nodes - 1
	c.Settings.PollsEndpoints = !pushed
	c.Settings.MinTick = 100 * time.Millisecond // of the module's clock; a finer one makes the test slower
	d := newDiscoveryClient(c, discardLog)
	var mu sync.Mutex
	byAddr := map[string]*outage{}
	discoveryAt := func(addr string) *outage {
		mu.Lock()
		defer mu.Unlock()
		if byAddr[addr] == nil {
			byAddr[addr] = &outage{failureMode: failureMode, changes: make(chan struct{}), version: 1, ready: true, restoredAt: time.Now()}
		}
		return byAddr[addr]
	}
	d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		return discoveryAt(addr).dial(ctx)
	}
	ctx, stop := context.WithCancel(t.Context())
	l := newEventLoop(ctx, c, newUpstreams(c, 10, discardLog), d, nil, discardLog)
	var running sync.WaitGroup
	defer func() {
		stop()
		running.Wait()
		d.client.CloseIdleConnections()
		time.Sleep(2 * watchTimeout) // for the goroutines of the discovery client to end
	}()
	limit, current := maxNotificationTime, discoveryAt("127.0.0.1:1")
	awaitList := func(what string, o *outage, limit time.Duration) {
		t.Helper()
		for {
			o.mu.Lock()
			restoredAt := o.restoredAt
			ready := o.ready
			down := o.down
			o.mu.Unlock()
			switch took := time.Since(restoredAt); {
			case !down && l.hasReadyServer.Load() == ready:
				return
			case !down && took > limit, took > time.Hour:
				t.Fatalf("%s: change not applied %v after discovery's return, after %d failed calls", what, took, calls)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if calls > 0 {
		current.ready = false // becomes true when the outage ends
		current.takeDown(calls)
	}
	running.Go(func() { l.run(c.Known) })
	awaitList("start", current, limit)
	time.Sleep(2*watchTimeout + time.Duration(calls)*170*time.Millisecond)
	if moves {
		// The new address has the state that the old one has at the signal, at a newer version.
		moved := make(chan struct{})
		current.onRestore = func() {
			next := discoveryAt("127.0.0.1:2")
			current.mu.Lock()
			next.version = current.version + 1
			next.ready = current.ready
			next.restoredAt = time.Now()
			current.down, current.failuresLeft = true, 1<<30 // it fails all further calls
			current.mu.Unlock()
			d.setAddress(netip.MustParseAddrPort("127.0.0.1:2"))
			close(moved)
		}
		current.takeDown(calls)
		<-moved
		current, limit = discoveryAt("127.0.0.1:2"), 4*time.Second
	} else {
		current.takeDown(calls)
	}
	awaitList("watch", current, limit)
}
