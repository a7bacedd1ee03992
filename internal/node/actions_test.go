package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	"meadowsill/policy"
)

// The event loop performs every action, including those that the module does not use today.
func TestActions(t *testing.T) {
	t.Parallel()
	seen := make(chan string, 100)
	stopped := make(chan struct{})
	addr := startServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				seen <- "closed"
				return
			}
			seen <- req.URL.Path
			if req.URL.Path == "/order" {
				r.ReadByte() // until the attempt is cancelled
				close(stopped)
				return
			}
			io.WriteString(c, ok("inflight=7,queue=2"))
		}
	})
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c := &Config{Settings: settings(), Known: readyServers(addr), PeerListen: netip.MustParseAddrPort("127.0.0.1:0"),
		Peers: []netip.AddrPort{{}, other.LocalAddr().(*net.UDPAddr).AddrPort()}}
	c.Settings.MayMessagePeers = true
	c.Discovery = stubDiscovery(t, func(_ int, q url.Values) string {
		seen <- "list since " + q.Get("since")
		if q.Get("timeout_ms") != "1" {
			time.Sleep(50 * time.Millisecond)
		}
		return jsonList(1, !q.Has("since"), "ready", addr)
	})
	ctx, cancel := context.WithCancel(t.Context())
	b := newUpstreams(c, 10, discardLog)
	p, err := listenPeerMessages(c, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ownAddr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	l := newEventLoop(ctx, c, b, newDiscoveryClient(c, discardLog), p, discardLog)
	l.rules.Load().PollsEndpoints = true // so that the loop follows the list only at the Subscribe action
	var running sync.WaitGroup
	running.Go(func() { l.run(c.Known) })
	running.Go(func() { b.run(ctx) })
	running.Go(func() { p.write(ctx) })
	received := make(chan string, 9)
	running.Go(func() { p.read(func(from int, data []byte) { received <- fmt.Sprint(from, string(data)) }) })
	defer running.Wait()
	defer cancel()

	performAction := func(a policy.Action) { l.post(func() { l.perform(a) }) }
	expect := func(want string) {
		t.Helper()
		end := time.After(testTimeout)
		for {
			select {
			case s := <-seen:
				if s == want {
					return
				}
			case <-end:
				t.Fatalf("timed out waiting for %q", want)
			}
		}
	}
	performAction(policy.HealthCheck{Server: 1})
	expect("/stats")
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		idle = len(b.hosts[1].idle) > 0
		b.mu.Unlock()
	}
	performAction(policy.CloseIdleConnections{Server: 1})
	expect("closed")
	performAction(policy.FetchEndpoints{})
	expect("list since ")
	performAction(policy.Subscribe{On: true})
	expect("list since 1")
	expect("list since 1")
	performAction(policy.Subscribe{On: false})
	performAction(policy.SendMessage{To: 1, Data: []byte("one")})
	performAction(policy.SendMessage{ToAll: true, Data: []byte("all")})
	performAction(policy.SendMessage{To: 1, Data: make([]byte, maxDatagramBytes+1)})
	performAction(policy.SendMessage{To: 9})
	performAction(policy.Log{Line: "line"})
	buf := make([]byte, 999)
	other.SetReadDeadline(time.Now().Add(testTimeout))
	for _, want := range []string{"one", "all"} {
		if n, _, err := other.ReadFromUDP(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("datagram %q, %v; want %q", buf[:n], err, want)
		}
	}
	other.WriteToUDPAddrPort(make([]byte, maxDatagramBytes+1), ownAddr)
	other.WriteToUDPAddrPort([]byte("hi"), ownAddr)
	if got := <-received; got != "1hi" {
		t.Errorf("heard %q", got)
	}
	r := &request{arrived: policy.RequestArrived{ID: "q", Class: "order"}, deadline: time.Now().Add(testTimeout), method: "POST",
		class: policy.Class{Name: "order"}, rules: l.rules.Load(), url: &url.URL{Path: "/order", Host: "h"}, answer: make(chan answer, 1)}
	r.context, r.cancel = context.WithCancel(t.Context())
	l.post(func() { l.startRequest(r) })
	expect("/order")
	performAction(policy.CancelAttempt{ID: "q", Attempt: 0})
	performAction(policy.CancelAttempt{ID: "q", Attempt: 7})
	<-stopped
	if a := <-r.answer; a.status != http.StatusBadGateway {
		t.Errorf("status %d: a cancelled attempt may have run", a.status)
	}
	performAction(policy.Forward{ID: "q", Server: 1}) // the request is over: the attempt ends with NotSent, and nothing is sent
	performAction(policy.Reject{ID: "q"})
	performAction(policy.Fail{ID: "nobody"})
	fired := make(chan struct{})
	l.post(func() { l.perform(policy.SetTimer{After: time.Millisecond, Token: 9}); close(fired) })
	<-fired
	for empty := false; !empty; time.Sleep(time.Millisecond) {
		done := make(chan bool)
		l.post(func() {
			left := false
			for _, timer := range l.timers {
				left = left || timer.token == 9
			}
			done <- !left
		})
		empty = <-done
	}
}
