// Package faults is the lab's network between processes: a loopback TCP relay for every link that carries
// traffic (client to node, node to app server, node to discovery), each with a fault that the scenario sets.
// PROTOCOL, "The network", says what the faults stand for: a dead process resets and refuses; a machine cut off
// says nothing, its connections stay open and silent, and they are reset when it is back.
package faults

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a link does to its traffic. The zero Fault passes everything at once.
type Fault struct {
	Delay, Jitter time.Duration // added before each piece is passed on, one way
	BytesPerS     int           // a cap on each direction of each connection; 0 for none
	Refuse        bool          // new connections are reset at once
	Blackhole     bool          // nothing passes either way; new connections hang; all are reset at the heal
	Duplicate     bool          // the first request on each new connection is sent a second time on a connection of its own
}

// Link relays from its own loopback address to a target. From and To name the groups at its ends.
type Link struct {
	From, To string
	Addr     string
	target   string
	source   *net.TCPAddr // the address it dials from, so the far end can tell who calls
	ln       net.Listener
	fault    atomic.Pointer[Fault]
	mu       sync.Mutex
	conns    map[net.Conn]bool
	rnd      *rand.Rand
	Dials    atomic.Int64
}

// Open starts a link on listen ("127.0.0.1:0"), dialing target from source ("" for any).
func Open(from, to, listen, target, source string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{From: from, To: to, Addr: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{},
		rnd: rand.New(rand.NewPCG(seed, 0xfa17))}
	if source != "" {
		l.source = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	l.fault.Store(&Fault{})
	go l.accept()
	return l, nil
}

// Set gives the link a fault from now on. Leaving a blackhole resets what it held, as a machine that is back.
func (l *Link) Set(f Fault) {
	old := l.fault.Swap(&f)
	if old.Blackhole && !f.Blackhole {
		l.ResetAll()
	}
}

// Fault is the link's present fault.
func (l *Link) Fault() Fault { return *l.fault.Load() }

// ResetAll breaks every connection on the link, as a process that dies.
func (l *Link) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Close ends the link and its connections.
func (l *Link) Close() { l.ln.Close(); l.ResetAll() }

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) drop(c net.Conn) { l.mu.Lock(); delete(l.conns, c); l.mu.Unlock() }

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) dial() (net.Conn, error) {
	l.Dials.Add(1)
	d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: l.source}
	return d.Dial("tcp", l.target)
}

func (l *Link) serve(in net.Conn) {
	if !l.keep(in) {
		in.Close()
		return
	}
	defer l.drop(in)
	f := l.Fault()
	if f.Refuse {
		reset(in)
		return
	}
	for f.Blackhole { // a connection that never comes up: it hangs until the heal resets it
		time.Sleep(20 * time.Millisecond)
		if _, err := in.Read(make([]byte, 0)); err != nil {
			in.Close()
			return
		}
		f = l.Fault()
		if !f.Blackhole {
			reset(in)
			return
		}
	}
	out, err := l.dial()
	if err != nil {
		reset(in)
		return
	}
	if !l.keep(out) {
		out.Close()
		in.Close()
		return
	}
	defer l.drop(out)
	done := make(chan struct{}, 2)
	go func() { l.pipe(out, in, f.Duplicate); done <- struct{}{} }()
	go func() { l.pipe(in, out, false); done <- struct{}{} }()
	<-done
	reset(in)
	reset(out)
	<-done
}

// pipe copies src to dst under the link's fault of the moment. With dup, the first piece also goes to a second
// connection of its own, whose answer is thrown away.
func (l *Link) pipe(dst, src net.Conn, dup bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := l.Fault()
			for f.Blackhole {
				time.Sleep(20 * time.Millisecond)
				f = l.Fault()
			}
			if d := f.Delay + l.jitter(f.Jitter); d > 0 {
				time.Sleep(d)
			}
			if f.BytesPerS > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(f.BytesPerS))
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
			if dup {
				dup = false
				l.duplicate(append([]byte(nil), buf[:n]...))
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) duplicate(piece []byte) {
	c, err := l.dial()
	if err != nil {
		return
	}
	go func() {
		defer c.Close()
		c.SetDeadline(time.Now().Add(30 * time.Second))
		c.Write(piece)
		io.Copy(io.Discard, c)
	}()
}

func (l *Link) jitter(j time.Duration) time.Duration {
	if j <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rnd.Int64N(int64(j)))
}

// Net is every link of a run, for faults by group.
type Net struct {
	mu    sync.Mutex
	links []*Link
}

// Add keeps a link.
func (n *Net) Add(l *Link) { n.mu.Lock(); n.links = append(n.links, l); n.mu.Unlock() }

// Each sets f on every link that match selects, and says how many.
func (n *Net) Each(match func(*Link) bool, f Fault) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, l := range n.links {
		if match(l) {
			l.Set(f)
			count++
		}
	}
	return count
}

// Close ends every link.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
}
