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

// listenFullQueue returns a listener whose accept queue is full. The kernel drops further SYNs, so dials to it hang.
func listenFullQueue(t *testing.T) *net.TCPListener {
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

// A call that is canceled during its dial cancels the dial too. Otherwise http.Client would continue the dial and count it
// among the few connections of the address, and the first call after discovery's return would wait for a free connection.
func TestCanceledCallCancelsItsDial(t *testing.T) {
	t.Parallel()
	listener := listenFullQueue(t)
	d := newDiscoveryClient(&Config{Discovery: netip.MustParseAddrPort(listener.Addr().String())}, discardLog)
	var openDials atomic.Int64
	d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		openDials.Add(1)
		defer openDials.Add(-1)
		return (&net.Dialer{Timeout: 2 * testTimeout}).DialContext(ctx, network, addr)
	}
	for range 5 { // one more than MaxConnsPerHost
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := d.call(ctx, "", 2*testTimeout)
			ended <- err
		}()
		await(t, "a dial", func() bool { return openDials.Load() > 0 })
		cancel()
		if err := <-ended; err == nil {
			t.Fatal("a call to a server that accepts no connection is answered")
		}
		await(t, "the end of the canceled call's dial", func() bool { return openDials.Load() == 0 })
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				answerWith(func(*http.Request, []byte) string { return ok(`{"version":9,"full":true,"servers":[]}`) })(c)
			})
		}
	})
	if l, err := d.call(t.Context(), "", testTimeout); err != nil || l.version != 9 {
		t.Errorf("after discovery's return: version %d, %v", l.version, err)
	}
	d.client.CloseIdleConnections()
}

// startDiscoveryLoop starts an event loop with a module and a client of discovery at an address, without the other parts of a node.
func startDiscoveryLoop(t *testing.T, pushed bool, addr netip.AddrPort) *eventLoop {
	c := &Config{Settings: settings(), Discovery: addr, Known: endpointList{version: 1}}
	c.Settings.PollsEndpoints = !pushed
	ctx, stop := context.WithCancel(context.Background())
	l := newEventLoop(ctx, c, newUpstreams(c, 10, discardLog), newDiscoveryClient(c, discardLog), nil, discardLog)
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	t.Cleanup(func() { stop(); running.Wait(); l.discovery.client.CloseIdleConnections() })
	return l
}

// listedAddr returns the address that the node has for the server in jsonList.
func (l *eventLoop) listedAddr() string {
	l.upstreams.mu.Lock()
	defer l.upstreams.mu.Unlock()
	if h := l.upstreams.hosts[serverID("s-00000001")]; h != nil {
		return h.addr
	}
	return ""
}

// block blocks the loop at its next event until release is called, and then has the loop call the function then.
func (l *eventLoop) block(t *testing.T, then func()) (release func()) {
	blocked, unblock := make(chan struct{}), make(chan struct{})
	l.post(func() { close(blocked); <-unblock; then() })
	<-blocked
	release = sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release) // runs before the cleanup that waits for the loop
	return release
}

const addrA, addrB, addrC = "127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"

// The last answer of the old address is in the loop's queue when SIGHUP changes the address of discovery. The loop applies it
// before the answers of the new address, which is polled from that answer's version on, and never after them.
func TestOldAddressDoesNotOverrideNew(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		waiting, answer := make(chan struct{}, 9), make(chan struct{})
		old := stubDiscovery(t, func(_ int, q url.Values) string {
			switch q.Get("since") {
			case "1":
				return jsonList(2, true, "ready", addrA)
			case "2":
				waiting <- struct{}{}
				<-answer
				return jsonList(3, false, "ready", addrB)
			}
			<-t.Context().Done()
			return ""
		})
		since := make(chan string, 99)
		newAddr := stubDiscovery(t, func(_ int, q url.Values) string {
			if since <- q.Get("since"); q.Get("since") != "4" {
				return jsonList(4, false, "ready", addrC)
			}
			<-t.Context().Done()
			return ""
		})
		l := startDiscoveryLoop(t, pushed, old)
		await(t, "the list", func() bool { return l.listedAddr() == addrA })
		<-waiting
		release := l.block(t, func() {})
		close(answer)
		await(t, "the answer in the queue", func() bool { return len(l.events) > 0 })
		l.discovery.setAddress(newAddr)
		first := ""
		if pushed {
			first = <-since
		} else {
			await(t, "the watch's end in the queue", func() bool { return len(l.events) > 1 })
		}
		if l.listedAddr() != addrA {
			t.Error("the list was applied outside of the loop")
		}
		release()
		if !pushed {
			first = <-since
		}
		await(t, "the new address's list", func() bool { return l.listedAddr() == addrC })
		<-since // the second call is made after the first answer has been applied
		if first != "3" || l.listedAddr() != addrC {
			t.Errorf("pushed %v: the new address is polled from version %s, the server is at %s", pushed, first, l.listedAddr())
		}
	}
}

// A watch is replaced while an answer of the old watch is in the loop's queue. The loop drops that answer, and the new watch
// starts from the version that the node has.
func TestEndedWatchIsIgnored(t *testing.T) {
	t.Parallel()
	waiting := make(chan struct{}, 9)
	answer := make(chan struct{})
	restarted := make(chan string, 99)
	end := make(chan struct{})
	l := startDiscoveryLoop(t, false, stubDiscovery(t, func(_ int, q url.Values) string {
		switch since, begins := q.Get("since"), q.Get("timeout_ms") == "1"; {
		case since == "1":
			return jsonList(2, true, "ready", addrA)
		case begins: // the new watch
			restarted <- since
			<-end
			return jsonList(4, false, "ready", addrC)
		case since == "2":
			waiting <- struct{}{}
			<-answer
			return jsonList(3, false, "ready", addrB)
		}
		<-t.Context().Done()
		return ""
	}))
	await(t, "the list", func() bool { return l.listedAddr() == addrA })
	<-waiting
	release := l.block(t, func() { l.watchEndpoints(true) })
	close(answer)
	await(t, "the answer in the queue", func() bool { return len(l.events) > 0 })
	release()
	if since := <-restarted; since != "2" {
		t.Errorf("the new watch starts from version %s, want 2", since)
	}
	handled := make(chan struct{})
	l.post(func() { close(handled) })
	<-handled // the queued answer has been handled
	if l.listedAddr() != addrA {
		t.Errorf("the server is at %s: an answer of the ended watch was applied", l.listedAddr())
	}
	close(end)
	await(t, "the new watch's list", func() bool { return l.listedAddr() == addrC })
}

// A truncated answer changes nothing, and the next call polls from the same version. A change between the end of a call and
// the next call is in the answer to the next call, which polls from the same version too.
func TestTruncatedList(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		requested := make(chan string, 99)
		truncate := make(chan struct{})
		answerEmpty := make(chan struct{})
		var second atomic.Int64
		addr := startServer(t, func(c net.Conn) {
			answerWith(func(r *http.Request, _ []byte) string {
				since := r.FormValue("since")
				if requested <- since; since == "1" {
					return jsonList(2, true, "ready", addrA)
				}
				switch second.Add(1) {
				case 1:
					<-truncate
					text := jsonList(3, false, "draining", addrA)
					fmt.Fprint(c, text[:len(text)-1])
					c.(*net.TCPConn).SetLinger(0)
					return "" // closes the connection
				case 2:
					<-answerEmpty
					return ok(`{"version":2,"full":false,"servers":[]}`)
				case 3: // the list has changed since that answer
					return jsonList(4, false, "ready", addrC)
				}
				<-t.Context().Done()
				return ""
			})(c)
		})
		l := startDiscoveryLoop(t, pushed, netip.MustParseAddrPort(addr))
		if first, second := <-requested, <-requested; first != "1" || second != "2" {
			t.Errorf("polled from %s and %s, want 1 and 2", first, second)
		}
		close(truncate)
		if since := <-requested; since != "2" || l.listedAddr() != addrA {
			t.Errorf("after a truncated answer: polled from %s, the server is at %q", since, l.listedAddr())
		}
		close(answerEmpty)
		if since := <-requested; since != "2" {
			t.Errorf("after an empty answer: polled from %s, want 2", since)
		}
		await(t, "the change between two calls", func() bool { return l.listedAddr() == addrC })
	}
}

// After a restart of discovery its versions may be lower. The node applies a complete list even if its version is lower, and
// applies a list of changes as changes. The watch continues from the lower version, so that the node gets every later change.
func TestLowerVersionIsApplied(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{true, false} {
		for _, complete := range []bool{true, false} {
			requested := make(chan string, 99)
			l := startDiscoveryLoop(t, pushed, stubDiscovery(t, func(_ int, q url.Values) string {
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
					t.Errorf("pushed %v, complete %v: polled from %s, want %s", pushed, complete, since, want)
				}
			}
			await(t, "the change after the restart", func() bool { return l.listedAddr() == addrC })
		}
	}
}

// A server that one answer lists as removed and then as ready is a new process. The node closes the connections to the old
// process, and the module treats the server as warming up. The order in the answer counts: a server that is listed as ready
// and then as removed is removed.
func TestRemovedAndReadyInOneAnswer(t *testing.T) {
	t.Parallel()
	listAnswer := func(version int, states ...string) string {
		var s strings.Builder
		for i, state := range states {
			s.WriteString(fmt.Sprintf(`,{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
				addrA, state, 1000*version+i))
		}
		return ok(fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`, version, s.String()[1:]))
	}
	var version atomic.Int64
	states := map[int64][]string{2: {"ready"}, 3: {"gone", "ready"}, 4: {"ready", "gone"}}
	l := startDiscoveryLoop(t, true, stubDiscovery(t, func(_ int, q url.Values) string {
		since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
		for t.Context().Err() == nil {
			if v := version.Load(); v > since {
				return listAnswer(int(v), states[v]...)
			}
			time.Sleep(time.Millisecond)
		}
		return ""
	}))
	host := func() *upstreamHost {
		l.upstreams.mu.Lock()
		defer l.upstreams.mu.Unlock()
		return l.upstreams.hosts[serverID("s-00000001")]
	}
	version.Store(2)
	await(t, "the server", func() bool { return host() != nil })
	oldHost := host()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := dialTCP(t.Context(), net.Dialer{}, server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l.upstreams.mu.Lock()
	oldHost.idle = append(oldHost.idle, conn)
	l.upstreams.countConns(1)
	l.upstreams.mu.Unlock()
	version.Store(3)
	await(t, "the server's return", func() bool { h := host(); return h != nil && h != oldHost })
	peer.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := peer.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("a connection to the old process: %v", err)
	}
	newHost := host()
	l.upstreams.mu.Lock()
	if !oldHost.closed || l.upstreams.open != 0 || newHost.startedAt != 3001*time.Millisecond {
		t.Errorf("closed %v, %d connections, started at %v", oldHost.closed, l.upstreams.open, newHost.startedAt)
	}
	l.upstreams.mu.Unlock()
	version.Store(4)
	await(t, "the server's removal", func() bool { return host() == nil && !l.hasReadyServer.Load() })
}
