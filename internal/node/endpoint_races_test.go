package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// full is a listener whose accept queue is full: further SYNs are dropped, and dials to it hang.
func full(t *testing.T) *net.TCPListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	for range 8 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return l.(*net.TCPListener)
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the accept queue does not fill")
	return nil
}

// A call that is given up while it is being dialled gives up the dial too: the client would let it go on and count it
// as one of the address's few connections, so that the call that finds discovery back waits for a place.
func TestGivenUpCallGivesUpItsDial(t *testing.T) {
	t.Parallel()
	silent := full(t)
	d := newDiscoveryClient(&Config{Discovery: netip.MustParseAddrPort(silent.Addr().String())}, quiet)
	var dialling atomic.Int64
	d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialling.Add(1)
		defer dialling.Add(-1)
		return (&net.Dialer{Timeout: 2 * patient}).DialContext(ctx, network, addr)
	}
	for range 5 { // one more than the places
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := d.call(ctx, "", 2*patient)
			ended <- err
		}()
		await(t, "a dial", func() bool { return dialling.Load() > 0 })
		cancel()
		if err := <-ended; err == nil {
			t.Fatal("a call to a machine that takes no connection has an answer")
		}
		await(t, "the end of the dial of a call that was given up", func() bool { return dialling.Load() == 0 })
	}
	var open sync.WaitGroup
	open.Go(func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer c.Close()
				answering(func(*http.Request, []byte) string { return ok(`{"version":9,"full":true,"servers":[]}`) })(c)
			})
		}
	})
	if l, err := d.call(t.Context(), "", patient); err != nil || l.version != 9 {
		t.Errorf("with discovery back: version %d, %v", l.version, err)
	}
	d.client.CloseIdleConnections()
}

// testLoop is a loop with the module, with discovery at an address and nothing else.
func testLoop(t *testing.T, pushed bool, at netip.AddrPort) *eventLoop {
	c := &Config{Settings: settings(), Discovery: at, Known: endpointList{version: 1}}
	c.Settings.PollsEndpoints = !pushed
	ctx, stop := context.WithCancel(context.Background())
	l := newEventLoop(ctx, c, newUpstreams(c, 10, quiet), newDiscoveryClient(c, quiet), nil, quiet)
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	t.Cleanup(func() { stop(); running.Wait(); l.discovery.client.CloseIdleConnections() })
	return l
}

// listed returns the address at which the node has the server that jsonList names.
func (l *eventLoop) listed() string {
	l.backends.mu.Lock()
	defer l.backends.mu.Unlock()
	if h := l.backends.hosts[serverID("s-00000001")]; h != nil {
		return h.addr
	}
	return ""
}

// halt stops the loop at its next event until it is let go.
func (l *eventLoop) halt(t *testing.T, then func()) (let func()) {
	halted, gate := make(chan struct{}), make(chan struct{})
	l.post(func() { close(halted); <-gate; then() })
	<-halted
	let = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(let) // before the loop is waited for
	return let
}

const addrA, addrB, addrC = "127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"

// The last answer of the old address stands in the loop's queue as SIGHUP moves discovery: it is followed before the
// new address's, which is polled from its version on, and never after it.
func TestOldAddressDoesNotOverruleTheNew(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		held, answer := make(chan struct{}, 9), make(chan struct{})
		old := registry(t, func(_ int, q url.Values) string {
			switch q.Get("since") {
			case "1":
				return jsonList(2, true, "ready", addrA)
			case "2":
				held <- struct{}{}
				<-answer
				return jsonList(3, false, "ready", addrB)
			}
			<-t.Context().Done()
			return ""
		})
		since := make(chan string, 99)
		moved := registry(t, func(_ int, q url.Values) string {
			if since <- q.Get("since"); q.Get("since") != "4" {
				return jsonList(4, false, "ready", addrC)
			}
			<-t.Context().Done()
			return ""
		})
		l := testLoop(t, pushed, old)
		await(t, "the list", func() bool { return l.listed() == addrA })
		<-held
		let := l.halt(t, func() {})
		close(answer)
		await(t, "the answer in the queue", func() bool { return len(l.events) > 0 })
		l.discovery.setAddress(moved)
		first := ""
		if pushed {
			first = <-since
		} else {
			await(t, "the watch's end in the queue", func() bool { return len(l.events) > 1 })
		}
		if l.listed() != addrA {
			t.Error("the list was followed outside of the loop")
		}
		let()
		if !pushed {
			first = <-since
		}
		await(t, "the new address's list", func() bool { return l.listed() == addrC })
		<-since // the second call: the first answer has been followed
		if first != "3" || l.listed() != addrC {
			t.Errorf("pushed %v: the new address is asked from version %s, the server is at %s", pushed, first, l.listed())
		}
	}
}

// A watch is begun anew while an answer of the one before stands in the loop's queue: that one's is dropped, and the new
// one is polled from the version that the node follows.
func TestEndedWatchTellsNothing(t *testing.T) {
	t.Parallel()
	held := make(chan struct{}, 9)
	answer := make(chan struct{})
	again := make(chan string, 99)
	end := make(chan struct{})
	l := testLoop(t, false, registry(t, func(_ int, q url.Values) string {
		switch since, begins := q.Get("since"), q.Get("timeout_ms") == "1"; {
		case since == "1":
			return jsonList(2, true, "ready", addrA)
		case begins: // the new watch
			again <- since
			<-end
			return jsonList(4, false, "ready", addrC)
		case since == "2":
			held <- struct{}{}
			<-answer
			return jsonList(3, false, "ready", addrB)
		}
		<-t.Context().Done()
		return ""
	}))
	await(t, "the list", func() bool { return l.listed() == addrA })
	<-held
	let := l.halt(t, func() { l.watchEndpoints(true) })
	close(answer)
	await(t, "the answer in the queue", func() bool { return len(l.events) > 0 })
	let()
	if since := <-again; since != "2" {
		t.Errorf("the new watch is asked from version %s, want 2", since)
	}
	passed := make(chan struct{})
	l.post(func() { close(passed) })
	<-passed // what stood in the queue has been dealt with
	if l.listed() != addrA {
		t.Errorf("the server is at %s: an ended watch was followed", l.listed())
	}
	close(end)
	await(t, "the new watch's list", func() bool { return l.listed() == addrC })
}

// An answer that breaks off changes nothing, and the next call asks from the same version on; what changed between the
// end of a call and the next one is answered by that, from the same version too.
func TestListBreaksOff(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		requested := make(chan string, 99)
		go1 := make(chan struct{})
		go2 := make(chan struct{})
		var second atomic.Int64
		addr := backend(t, func(c net.Conn) {
			answering(func(r *http.Request, _ []byte) string {
				since := r.FormValue("since")
				if requested <- since; since == "1" {
					return jsonList(2, true, "ready", addrA)
				}
				switch second.Add(1) {
				case 1:
					<-go1
					text := jsonList(3, false, "draining", addrA)
					fmt.Fprint(c, text[:len(text)-1])
					c.(*net.TCPConn).SetLinger(0)
					return "" // closes it
				case 2:
					<-go2
					return ok(`{"version":2,"full":false,"servers":[]}`)
				case 3: // it has changed since that answer
					return jsonList(4, false, "ready", addrC)
				}
				<-t.Context().Done()
				return ""
			})(c)
		})
		l := testLoop(t, pushed, netip.MustParseAddrPort(addr))
		if first, second := <-requested, <-requested; first != "1" || second != "2" {
			t.Errorf("asked from %s and %s, want 1 and 2", first, second)
		}
		close(go1)
		if since := <-requested; since != "2" || l.listed() != addrA {
			t.Errorf("after half an answer: asked from %s, the server at %q", since, l.listed())
		}
		close(go2)
		if since := <-requested; since != "2" {
			t.Errorf("after an empty answer: asked from %s, want 2", since)
		}
		await(t, "the change between two calls", func() bool { return l.listed() == addrC })
	}
}

// After a restart of discovery its versions may be lower. A complete list is the list then, also an older one; changes are
// taken as such. The watch continues from the lower version, so that whatever changes later than that arrives here.
func TestOlderVersionIsFollowed(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		for _, complete := range []bool{true, false} {
			requested := make(chan string, 99)
			l := testLoop(t, pushed, registry(t, func(_ int, q url.Values) string {
				requested <- q.Get("since")
				switch q.Get("since") {
				case "1":
					return jsonList(41, true, "ready", addrA)
				case "41":
					if complete {
						return jsonList(0, true, "ready", addrB)
					}
					return ok(`{"version":0,"full":false,"servers":[]}`)
				case "0":
					return jsonList(5, false, "ready", addrC)
				}
				<-t.Context().Done()
				return ""
			}))
			for _, want := range []string{"1", "41", "0", "5"} {
				if since := <-requested; since != want {
					t.Errorf("pushed %v, whole %v: asked from %s, want %s", pushed, complete, since, want)
				}
			}
			await(t, "the change after the restart", func() bool { return l.listed() == addrC })
		}
	}
}

// A server that is removed and back in one answer is another process: connections to the one before are closed, and it is
// warming up for the module. The order in the answer counts: one that is back and removed is removed.
func TestRemovedAndBackInOneAnswer(t *testing.T) {
	t.Parallel()
	text := func(version int, states ...string) string {
		var s strings.Builder
		for i, state := range states {
			s.WriteString(fmt.Sprintf(`,{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
				addrA, state, 1000*version+i))
		}
		return ok(fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, s.String()[1:]))
	}
	var version atomic.Int64
	states := map[int64][]string{2: {"ready"}, 3: {"gone", "ready"}, 4: {"ready", "gone"}}
	l := testLoop(t, true, registry(t, func(_ int, q url.Values) string {
		since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
		for t.Context().Err() == nil {
			if v := version.Load(); v > since {
				return text(int(v), states[v]...)
			}
			time.Sleep(time.Millisecond)
		}
		return ""
	}))
	host := func() *upstreamHost {
		l.backends.mu.Lock()
		defer l.backends.mu.Unlock()
		return l.backends.hosts[serverID("s-00000001")]
	}
	version.Store(2)
	await(t, "the server", func() bool { return host() != nil })
	before := host()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	kept, err := dialTCP(t.Context(), net.Dialer{}, server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l.backends.mu.Lock()
	before.idle = append(before.idle, kept)
	l.backends.countConns(1)
	l.backends.mu.Unlock()
	version.Store(3)
	await(t, "the server's return", func() bool { h := host(); return h != nil && h != before })
	peer.SetReadDeadline(time.Now().Add(patient))
	if _, err := peer.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("a connection to the process that is gone: %v", err)
	}
	after := host()
	l.backends.mu.Lock()
	if !before.closed || l.backends.open != 0 || after.startedAt != 3001*time.Millisecond {
		t.Errorf("closed %v, %d connections, started at %v", before.closed, l.backends.open, after.startedAt)
	}
	l.backends.mu.Unlock()
	version.Store(4)
	await(t, "its end", func() bool { return host() == nil && !l.hasReadyServer.Load() })
}
