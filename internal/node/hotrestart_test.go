package node

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"
)

// The newer of two listeners on one address gets all new connections, so that none waits at the older listener when that closes.
// After one of them has closed, the other one gets all connections.
func TestNewerListenerGetsAllConnections(t *testing.T) {
	t.Parallel()
	listen := func(addr string) *net.TCPListener {
		l, err := listenClients(netip.MustParseAddrPort(addr), true, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	expectConns := func(l *net.TCPListener, count int) {
		t.Helper()
		for range count {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			l.SetDeadline(time.Now().Add(testTimeout))
			if _, err := l.Accept(); err != nil {
				t.Fatalf("a new connection did not reach the expected listener: %v", err)
			}
		}
	}
	first := listen("127.0.0.1:0")
	expectConns(first, 20)
	second := listen(first.Addr().String())
	expectConns(second, 40)
	first.Close()
	expectConns(second, 20)
	third := listen(second.Addr().String())
	expectConns(third, 40)
	third.Close() // as if the new process failed
	expectConns(second, 20)
	if l, err := listenClients(netip.MustParseAddrPort(second.Addr().String()), false, discardLog); err == nil {
		l.Close()
		t.Error("a second process without an admin API can listen too")
	}
}

// If nodes exchange messages, the newer process of an upgrade starts while the older one runs, and gets the messages. If the
// newer process ends, the older one gets them again. Without an admin API the address is not shared.
func TestNewerProcessGetsPeerMessages(t *testing.T) {
	t.Parallel()
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	c := &Config{Settings: settings(), Admin: anyPort, PeerListen: anyPort}
	c.Settings.MayMessagePeers = true
	listen := func() *peerMessenger {
		t.Helper()
		p, err := listenPeerMessages(c, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { p.conn.Close() })
		c.PeerListen = p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
		return p
	}
	expectMessages := func(p *peerMessenger, who string) {
		t.Helper()
		for range 20 {
			if _, err := sender.WriteToUDPAddrPort([]byte("x"), c.PeerListen); err != nil {
				t.Fatal(err)
			}
			p.conn.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := p.conn.Read(make([]byte, 1)); err != nil {
				t.Fatalf("%s: %v", who, err)
			}
		}
	}
	older := listen()
	expectMessages(older, "alone")
	newer := listen()
	expectMessages(newer, "the newer")
	newer.conn.Close()
	expectMessages(older, "the older, after the newer has ended")
	c.Admin = netip.AddrPort{}
	if p, err := listenPeerMessages(c, discardLog); err == nil {
		p.conn.Close()
		t.Error("a second process without an admin API can listen too")
	}
}

// Each process of an upgrade counts the other's connections toward its limits as long as the other process lives.
func TestLimitsAreShared(t *testing.T) {
	c := &Config{Name: "n", Settings: settings(), TempDir: t.TempDir(), Limits: Limits{MemoryMB: 1 << 14}}
	open := func() *hotRestart {
		b, err := openHotRestart(c, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	end := func(b *hotRestart) { syscall.Flock(int(b.slot.Fd()), syscall.LOCK_UN) } // as the kernel does when a process ends
	older := open()
	if older.refresh(); older.hasOther.Load() {
		t.Error("a single process sees another process")
	}
	newer := open()
	older.refresh()
	newer.count(2, 3)
	conns := &connections{limit: 3, restart: older, idle: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
	if conns.count = 1; conns.overLimit() {
		t.Error("over the limit with 1 client here and 2 at the other process, of 3")
	}
	if conns.count = 2; !conns.overLimit() {
		t.Error("not over the limit with 2 clients here and 2 at the other process, of 3")
	}
	b := newUpstreams(c, reservedSockets+4, discardLog)
	b.restart = older
	addr := startServer(t, func(net.Conn) {})
	b.update(readyServers(addr))
	for i, want := range []error{nil, errTooManyConns} {
		if _, err := b.connect(t.Context(), b.host(1), time.Now().Add(testTimeout)); err != want {
			t.Errorf("connection %d, with 3 of the other process, of 4: %v", i, err)
		}
	}
	if got := newer.serverConns(); got != reservedSockets+1 {
		t.Errorf("the newer process sees %d connections to servers", got)
	}
	end(older)
	newer.refresh()
	if newer.hasOther.Load() || newer.serverConns() != 0 {
		t.Error("the older process has ended and is still counted")
	}
	next := open()
	if got := next.serverConns(); got != reservedSockets+3 {
		t.Errorf("the next process sees %d connections to servers", got)
	}
	end(newer)
	end(next)
	// openHotRestart returns an error if it can't open the slots' files. The node then runs without sharing its limits.
	if err := os.RemoveAll(c.TempDir); err != nil {
		t.Fatal(err)
	}
	if _, err := openHotRestart(c, discardLog); err == nil {
		t.Error("no error without a directory")
	}
	var none *hotRestart
	if none.count(1, 1); none.clientConns()+none.serverConns() != 0 {
		t.Error("a nil hotRestart counts connections of another process")
	}
}

// A connection with a request that is not read yet, or not read completely, is not closed as idle.
func TestWaitingRequestKeepsItsConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := &connections{idle: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
	var conns [3]net.Conn
	for i := range conns {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if conns[i], err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		if i == 2 { // all bytes that have arrived are read, but are not a complete request
			conns[i] = &clientConn{TCPConn: conns[i].(*net.TCPConn), releaseSlot: func() {}}
			client.Write([]byte("G"))
			c.track(conns[i], http.StateIdle)
			conns[i].Read(make([]byte, 1))
		}
		if i == 0 {
			client.Write([]byte("G"))
			for end := time.Now().Add(testTimeout); hasNoUnreadData(conns[0]); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the byte does not arrive")
				}
			}
		}
		c.idle[conns[i]] = time.Now()
	}
	c.closeIdle(0)
	if c.ended[conns[0]] || !c.ended[conns[1]] || c.ended[conns[2]] {
		t.Errorf("closed: %v with an unread request, %v without a request, %v with a request being read",
			c.ended[conns[0]], c.ended[conns[1]], c.ended[conns[2]])
	}
}

// At SIGTERM idle connections are closed to make room for the newer process's clients, even before they reach minIdleTime.
func TestIdleConnectionsMakeRoomForNewerProcess(t *testing.T) {
	c := &Config{Name: "n", TempDir: t.TempDir(), Limits: Limits{MemoryMB: 1 << 14}}
	older, err := openHotRestart(c, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	newer, err := openHotRestart(c, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	older.refresh()
	conns := &connections{limit: 3, restart: older, idle: map[net.Conn]time.Time{}, ended: map[net.Conn]bool{}}
	conn, _ := net.Pipe()
	conns.connAccepted()
	conns.track(conn, http.StateIdle)
	for _, clients := range []int{2, 1} {
		if conns.ended[conn] {
			t.Error("closed although the limit is not exceeded")
		}
		newer.count(clients, 0)
		conns.closeIdleInDrain()
	}
	if !conns.ended[conn] {
		t.Error("with 3 clients at the newer process and 1 here, of 3, the idle connection is not closed")
	}
}

// A process that finds both slots locked, one of them only by the other process's check in refresh, claims a slot later, with
// the counts that it has by then. A third process does the same after the first has ended.
func TestSlotClaimedLater(t *testing.T) {
	c := &Config{Name: "n", TempDir: t.TempDir(), Limits: Limits{MemoryMB: 1 << 14}}
	open := func() *hotRestart {
		t.Helper()
		h, err := openHotRestart(c, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	lock := func(f *os.File, how int) {
		t.Helper()
		if err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB); err != nil {
			t.Fatal(err)
		}
	}
	older := open()
	older.count(5, 6)
	lock(older.otherSlot, syscall.LOCK_SH) // as if it were stopped during its check
	newer := open()
	newer.count(2, 3)
	if clientConns, serverConns := newer.clientConns(), newer.serverConns(); clientConns != 5 || serverConns != reservedSockets+6 {
		t.Errorf("without a slot it sees %d clients and %d connections to servers", clientConns, serverConns)
	}
	lock(older.otherSlot, syscall.LOCK_UN)
	newer.refresh()
	older.refresh()
	if clientConns, serverConns := older.clientConns(), older.serverConns(); clientConns != 2 || serverConns != reservedSockets+3 {
		t.Errorf("with a slot it is seen with %d clients and %d connections to servers", clientConns, serverConns)
	}
	third := open()
	third.count(1, 1)
	if clientConns := third.clientConns(); clientConns != 7 {
		t.Errorf("the third process sees %d clients", clientConns)
	}
	lock(older.slot, syscall.LOCK_UN) // as after a SIGKILL: the counts stay in the file
	third.refresh()
	newer.refresh()
	if seen, sees := newer.clientConns(), third.clientConns(); seen != 1 || sees != 2 {
		t.Errorf("in the slot of the first, the third process is seen with %d clients and sees %d", seen, sees)
	}
}
