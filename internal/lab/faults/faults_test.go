package faults

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// echo answers each TCP connection with what it gets, counting connections, and each datagram with itself.
func echo(t *testing.T) (addr string, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 64)
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at, _ := net.ResolveUDPAddr("udp", ln.Addr().String())
		pc, err := net.ListenUDP("udp", at)
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
	t.Fatal("no port for both")
	return "", nil
}

// What a fault does to one exchange of 1,000 bytes over a stream: what comes back, how it ends, and how late.
func TestStreamFaults(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789"), 100)
	for name, c := range map[string]struct {
		fault   Fault
		got     int           // bytes that come back
		ends    string        // "open", "end" or "reset"
		atLeast time.Duration // before the first byte of the answer
		conns   int           // at the far end
	}{
		"none":      {got: 1000, ends: "open", conns: 1},
		"delay":     {fault: Fault{Delay: 100 * time.Millisecond}, got: 1000, ends: "open", atLeast: 200 * time.Millisecond, conns: 1},
		"cap":       {fault: Fault{BytesPerS: 10000}, got: 1000, ends: "open", atLeast: 200 * time.Millisecond, conns: 1},
		"truncate":  {fault: Fault{Truncate: 300}, got: 300, ends: "end", conns: 1},
		"refuse":    {fault: Fault{Reject: true}, ends: "reset"},
		"blackhole": {fault: Fault{Blackhole: true}, ends: "open"},
		"duplicate": {fault: Fault{Duplicate: true}, got: 1000, ends: "open", conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, conns := echo(t)
			l, err := Open("a", "b", "127.0.0.1:0", target, "", 1)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			l.Set(c.fault)
			in, err := net.Dial("tcp", l.Addr)
			if err != nil && c.ends == "reset" {
				return // the reset came before Dial had returned
			}
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			start := time.Now()
			in.Write(sent)
			in.SetReadDeadline(start.Add(10 * time.Second))
			if c.ends == "open" && c.got == 0 {
				in.SetReadDeadline(start.Add(400 * time.Millisecond))
			}
			buf, got, first, end := make([]byte, 4096), 0, time.Duration(0), "open"
			for got < c.got || c.ends != "open" || c.got == 0 {
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
			if got != c.got || end != c.ends || first < c.atLeast {
				t.Errorf("got %d bytes, %s, first after %v; want %d, %s, at least %v", got, end, first, c.got, c.ends, c.atLeast)
			}
			for range c.conns {
				select {
				case <-conns:
				case <-time.After(10 * time.Second):
					t.Fatalf("fewer than %d connections at the far end", c.conns)
				}
			}
			l.Set(Fault{})
			if c.fault.Blackhole {
				in.SetReadDeadline(time.Now().Add(10 * time.Second))
				if _, err := in.Read(buf); err == nil || err == io.EOF {
					t.Errorf("at the heal: %v, want a reset", err)
				}
			}
		})
	}
}

// Loss on a stream is lateness, never a gap, by the rounds of TCP's repeats; of datagrams it is a gap.
func TestLossOfPiecesIsLateness(t *testing.T) {
	d := newDice(3)
	if late := d.repeats(0, time.Second); late != 0 {
		t.Errorf("no loss: %v late", late)
	}
	if late := d.repeats(1, 200*time.Millisecond); late != 6200*time.Millisecond { // 0.2 + 0.4 + 0.8 + 1.6 + 3.2
		t.Errorf("all lost: %v", late)
	}
	late := 0
	for range 10000 {
		if d.repeats(0.05, time.Millisecond) > 0 {
			late++
		}
	}
	if late < 400 || late > 600 {
		t.Errorf("5%% loss: %d of 10000 late", late)
	}
}

// A target nobody listens at is known at the caller's side by its address.
func TestRefusedAtTheTargetIsKnown(t *testing.T) {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	dead := ln.Addr().String()
	ln.Close()
	l, err := Open("a", "b", "127.0.0.1:0", dead, "", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lost := make(chan bool, 100)
	l.OnLost(func() { lost <- true })
	var c net.Conn
	for range 50 { // the reset may come before Dial has returned
		if c, err = net.Dial("tcp", l.Addr); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	io.ReadAll(c)
	if !l.Refused(c.LocalAddr().String()) || l.Refused("127.0.0.1:1") {
		t.Error("the refused connection is not recognised")
	}
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		t.Error("the lost connection is not reported")
	}
}

// What a fault does to 400 datagrams of 20 bytes from one caller through a relay, echoed back.
func TestDatagramFaults(t *testing.T) {
	const count = 400
	for name, c := range map[string]struct {
		fault     Fault
		least     int // datagrams back
		most      int
		size      int
		reordered bool
	}{
		"none":      {least: count, most: count, size: 20},
		"loss":      {fault: Fault{Loss: 0.2}, least: 200, most: 310, size: 20}, // both ways: 0.64
		"duplicate": {fault: Fault{Duplicate: true}, least: 4 * count, most: 4 * count, size: 20},
		"reorder":   {fault: Fault{Reorder: 0.2}, least: count, most: count, size: 20, reordered: true},
		"truncate":  {fault: Fault{Truncate: 7}, least: count, most: count, size: 7},
		"blackhole": {fault: Fault{Blackhole: true}, most: 0, size: 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, _ := echo(t)
			relay, err := OpenRelay("b", "127.0.0.1:0", target, map[string]string{"127.0.0.1": "a"}, 5)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			for _, l := range relay.Links() {
				if l.From != "a" || l.To != "b" {
					t.Errorf("link %s to %s", l.From, l.To)
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
				t.Errorf("%d datagrams back, want %d to %d", len(order), c.least, c.most)
			}
			if slices.IsSorted(order) == c.reordered && c.fault.Truncate == 0 {
				t.Errorf("sorted %v, want %v", !c.reordered, !c.reordered)
			}
		})
	}
}

// Two callers of one relay, identified by address: a fault on one's link leaves the other's TCP and UDP alone.
func TestRelayIdentifiesCallers(t *testing.T) {
	target, _ := echo(t)
	relay, err := OpenRelay("c", "127.0.0.1:0", target, map[string]string{"127.0.0.2": "a", "127.0.0.3": "b"}, 5)
	if err != nil {
		t.Fatal(err)
	}
	var n Net
	n.AddRelay(relay)
	defer n.Close()
	if hit := n.Each(func(l *Link) bool { return l.From == "a" }, Fault{Blackhole: true}); hit != 1 {
		t.Fatalf("%d links", hit)
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
			t.Errorf("%s: the fault is not on one caller alone", network)
		}
	}
}
