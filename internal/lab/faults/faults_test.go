package faults

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// startEchoServer starts an echo server for TCP and UDP on one port. It sends each accepted connection to conns.
func startEchoServer(t *testing.T) (addr string, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 64)
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		udpAddr, _ := net.ResolveUDPAddr("udp", ln.Addr().String())
		pc, err := net.ListenUDP("udp", udpAddr)
		if err != nil {
			ln.Close()
			continue
		}
		t.Cleanup(func() { ln.Close(); pc.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				conns <- c
				go func() { io.Copy(c, c); c.Close() }()
			}
		}()
		go func() {
			buf := make([]byte, 64<<10)
			for {
				n, from, err := pc.ReadFromUDP(buf)
				if err != nil {
					return
				}
				pc.WriteToUDP(buf[:n], from)
			}
		}()
		return ln.Addr().String(), conns
	}
	t.Fatal("no port is free for both TCP and UDP")
	return "", nil
}

// TestStreamFaults sends 1,000 bytes to an echo server through a link with each fault, and checks how many bytes come back, how the
// connection ends, and the delay of the first byte.
func TestStreamFaults(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789"), 100)
	for name, c := range map[string]struct {
		fault   Fault
		got     int           // bytes that come back; also the number wanted
		wantEnd string        // "open", "end" or "reset"
		atLeast time.Duration // least delay of the answer's first byte
		conns   int           // connections that the echo server accepts
	}{
		"none":      {got: 1000, wantEnd: "open", conns: 1},
		"delay":     {fault: Fault{Delay: 100 * time.Millisecond}, got: 1000, wantEnd: "open", atLeast: 200 * time.Millisecond, conns: 1},
		"cap":       {fault: Fault{BytesPerS: 10000}, got: 1000, wantEnd: "open", atLeast: 200 * time.Millisecond, conns: 1},
		"truncate":  {fault: Fault{Truncate: 300}, got: 300, wantEnd: "end", conns: 1},
		"refuse":    {fault: Fault{Reject: true}, wantEnd: "reset"},
		"blackhole": {fault: Fault{Blackhole: true}, wantEnd: "open"},
		"duplicate": {fault: Fault{Duplicate: true}, got: 1000, wantEnd: "open", conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, conns := startEchoServer(t)
			l, err := Open("a", "b", "127.0.0.1:0", target, "", 1)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			l.Set(c.fault)
			in, err := net.Dial("tcp", l.Addr)
			if err != nil && c.wantEnd == "reset" {
				return // the relay reset the connection before Dial returned
			}
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			start := time.Now()
			in.Write(sent)
			in.SetReadDeadline(start.Add(10 * time.Second))
			if c.wantEnd == "open" && c.got == 0 {
				in.SetReadDeadline(start.Add(400 * time.Millisecond))
			}
			buf, got, first, end := make([]byte, 4096), 0, time.Duration(0), "open"
			for got < c.got || c.wantEnd != "open" || c.got == 0 {
				n, err := in.Read(buf)
				if n > 0 && first == 0 {
					first = time.Since(start)
				}
				got += n
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					break
				} else if err == io.EOF {
					end = "end"
					break
				} else if err != nil {
					end = "reset"
					break
				}
			}
			if got != c.got || end != c.wantEnd || first < c.atLeast {
				t.Errorf("got %d bytes, %s, first after %v; want %d, %s, at least %v", got, end, first, c.got, c.wantEnd, c.atLeast)
			}
			for range c.conns {
				select {
				case <-conns:
				case <-time.After(10 * time.Second):
					t.Fatalf("the echo server accepted fewer than %d connections", c.conns)
				}
			}
			l.Set(Fault{})
			if c.fault.Blackhole {
				in.SetReadDeadline(time.Now().Add(10 * time.Second))
				if _, err := in.Read(buf); err == nil || err == io.EOF {
					t.Errorf("after the blackhole: %v, want a reset", err)
				}
			}
		})
	}
}

// Loss on a stream never drops data: it delays the data by TCP's retransmission timeouts. Only datagrams are dropped.
func TestStreamLossDelaysData(t *testing.T) {
	random := newRandomSource(3)
	if late := random.retransmitDelay(0, time.Second); late != 0 {
		t.Errorf("without loss: delay %v", late)
	}
	if late := random.retransmitDelay(1, 200*time.Millisecond); late != 6200*time.Millisecond { // 0.2 + 0.4 + 0.8 + 1.6 + 3.2
		t.Errorf("every segment lost: delay %v, want 6.2s", late)
	}
	late := 0
	for range 10000 {
		if random.retransmitDelay(0.05, time.Millisecond) > 0 {
			late++
		}
	}
	if late < 400 || late > 600 {
		t.Errorf("5%% loss: %d of 10000 delayed, want 400 to 600", late)
	}
}

// A connection that the target refuses is recorded under the caller's address and reported as lost.
func TestRecordsRefusedConnections(t *testing.T) {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	unusedAddr := ln.Addr().String()
	ln.Close()
	l, err := Open("a", "b", "127.0.0.1:0", unusedAddr, "", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lost := make(chan bool, 100)
	l.OnLost(func() { lost <- true })
	var c net.Conn
	for range 50 { // the relay may reset the connection before Dial returns
		if c, err = net.Dial("tcp", l.Addr); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(c)
	if !l.Refused(c.LocalAddr().String()) || l.Refused("127.0.0.1:1") {
		t.Error("the refused connection is not recorded, or another one is")
	}
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		t.Error("the lost connection is not reported")
	}
}

// TestDatagramFaults sends 400 datagrams of 20 bytes from one caller to an echo server through a relay with each fault, and checks
// the number, size and order of the datagrams that come back.
func TestDatagramFaults(t *testing.T) {
	const count = 400
	for name, c := range map[string]struct {
		fault     Fault
		least     int // limits on the number of datagrams that come back
		most      int
		size      int
		reordered bool
	}{
		"none":      {least: count, most: count, size: 20},
		"loss":      {fault: Fault{Loss: 0.2}, least: 200, most: 310, size: 20}, // lost in both directions: 0.64 come back
		"duplicate": {fault: Fault{Duplicate: true}, least: 4 * count, most: 4 * count, size: 20},
		"reorder":   {fault: Fault{Reorder: 0.2}, least: count, most: count, size: 20, reordered: true},
		"truncate":  {fault: Fault{Truncate: 7}, least: count, most: count, size: 7},
		"blackhole": {fault: Fault{Blackhole: true}, most: 0, size: 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, _ := startEchoServer(t)
			relay, err := OpenRelay("b", "127.0.0.1:0", target, map[string]string{"127.0.0.1": "a"}, 5)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			for _, l := range relay.Links() {
				if l.From != "a" || l.To != "b" {
					t.Errorf("link from %s to %s, want a to b", l.From, l.To)
				}
				l.Set(c.fault)
			}
			pc, err := net.Dial("udp", relay.Addr)
			if err != nil {
				t.Fatal(err)
			}
			defer pc.Close()
			go func() {
				for i := range count {
					pc.Write(append(bytes.Repeat([]byte{byte(i >> 8)}, 10), bytes.Repeat([]byte{byte(i)}, 10)...))
					time.Sleep(time.Millisecond)
				}
			}()
			var order []int
			buf := make([]byte, 100)
			pc.SetReadDeadline(time.Now().Add(2 * time.Second))
			for len(order) <= c.most {
				n, err := pc.Read(buf)
				if err != nil {
					break
				}
				if n != c.size {
					t.Fatalf("%d bytes, want %d", n, c.size)
				}
				order = append(order, int(buf[0])<<8|int(buf[n-1]))
			}
			if len(order) < c.least || len(order) > c.most {
				t.Errorf("%d datagrams came back, want %d to %d", len(order), c.least, c.most)
			}
			if slices.IsSorted(order) == c.reordered && c.fault.Truncate == 0 {
				t.Errorf("sorted %v, want %v", !c.reordered, !c.reordered)
			}
		})
	}
}

// A relay identifies two callers by their addresses: a fault on the link of one doesn't affect the other's TCP and UDP traffic.
func TestRelayIdentifiesCallers(t *testing.T) {
	target, _ := startEchoServer(t)
	relay, err := OpenRelay("c", "127.0.0.1:0", target, map[string]string{"127.0.0.2": "a", "127.0.0.3": "b"}, 5)
	if err != nil {
		t.Fatal(err)
	}
	var n Net
	n.AddRelay(relay)
	defer n.Close()
	if count := n.Each(func(l *Link) bool { return l.From == "a" }, Fault{Blackhole: true}); count != 1 {
		t.Fatalf("%d links have the fault, want 1", count)
	}
	answers := func(network, ip string) bool {
		var from net.Addr = &net.TCPAddr{IP: net.ParseIP(ip)}
		if network == "udp" {
			from = &net.UDPAddr{IP: net.ParseIP(ip)}
		}
		c, err := (&net.Dialer{LocalAddr: from, Timeout: 5 * time.Second}).Dial(network, relay.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte("hello"))
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		k, _ := c.Read(make([]byte, 10))
		return k == 5
	}
	for _, network := range []string{"tcp", "udp"} {
		if answers(network, "127.0.0.2") || !answers(network, "127.0.0.3") {
			t.Errorf("%s: the fault does not affect exactly one caller", network)
		}
	}
}
