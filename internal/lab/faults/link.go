package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link relays TCP from its own loopback address to a target. A Link of a Relay carries the TCP and UDP traffic of one caller.
// From and To are the names of the groups at its ends.
type Link struct {
	From         string
	To           string
	Addr         string
	target       string
	source       net.IP // local address of its connections to the target, which identifies the caller there; nil for any
	ln           net.Listener
	fault        atomic.Pointer[Fault]
	randomSource *randomSource
	mu           sync.Mutex // guards conns and unreachable
	conns        map[net.Conn]bool
	unreachable  map[string]bool // addresses of callers whose connection could not be forwarded because the target refused it
	closed       chan struct{}
	lost         atomic.Pointer[func()]
	Dials        atomic.Int64
	Bytes        atomic.Int64 // forwarded in both directions
}

// maxUnreachable is the largest number of refused callers that a link remembers.
const maxUnreachable = 1 << 16

func newLink(from, to, target, source string, seed uint64) *Link {
	l := &Link{
		From:         from,
		To:           to,
		target:       target,
		conns:        map[net.Conn]bool{},
		unreachable:  map[string]bool{},
		closed:       make(chan struct{}),
		randomSource: newRandomSource(seed),
		source:       net.ParseIP(source),
	}
	l.fault.Store(&Fault{})
	return l
}

// Open starts a link that listens on listen ("127.0.0.1:0") and connects to target from the IP address source ("" for any).
func Open(from, to, listen, target, source string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := newLink(from, to, target, source, seed)
	l.ln, l.Addr = ln, ln.Addr().String()
	go acceptLoop(ln, func(net.Conn) *Link { return l })
	return l, nil
}

// Set sets the link's fault. The end of a blackhole resets the link's connections, as when a machine that was cut off is back.
func (l *Link) Set(f Fault) {
	old := l.fault.Swap(&f)
	if old.Blackhole && !f.Blackhole {
		l.ResetAll()
	}
}

// Fault returns the link's current fault.
func (l *Link) Fault() Fault { return *l.fault.Load() }

// Refused reports whether the connection from a caller's address ("127.0.0.1:4321") could not be forwarded because nothing
// listened at the target. The relay had accepted it by then, so the caller saw a reset instead of a refused connection.
func (l *Link) Refused(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable[caller]
}

// OnLost sets a function that is called for each new connection that does not reach the target, because of the fault or because
// nothing listens there, and for each chunk from the caller that a blackhole holds back.
func (l *Link) OnLost(f func()) { l.lost.Store(&f) }

func (l *Link) reportLost() {
	if f := l.lost.Load(); f != nil {
		(*f)()
	}
}

// ResetAll resets every connection on the link, as the death of a process does.
func (l *Link) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Close stops the link and resets its connections. It may be called more than once.
func (l *Link) Close() {
	l.mu.Lock()
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	l.mu.Unlock()
	if l.ln != nil {
		l.ln.Close()
	}
	l.ResetAll()
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

// closeWrite closes the sending direction of c and leaves the receiving direction open.
func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
}

func (l *Link) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	l.conns[c] = true
	return true
}

func (l *Link) removeConn(c net.Conn) { l.mu.Lock(); delete(l.conns, c); l.mu.Unlock() }

// wait sleeps for d, or until the link is closed, and reports whether the link is still open.
func (l *Link) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.closed:
		return false
	}
}

func acceptLoop(ln net.Listener, linkFor func(net.Conn) *Link) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // a temporary failure, for example no free descriptor
			continue
		}
		go linkFor(c).serve(c)
	}
}

func (l *Link) dial() (net.Conn, error) {
	l.Dials.Add(1)
	d := net.Dialer{Timeout: 5 * time.Second}
	if l.source != nil {
		d.LocalAddr = &net.TCPAddr{IP: l.source}
	}
	return d.Dial("tcp", l.target)
}

// applyConnectFault delays a new connection according to the link's fault, and reports whether the connection may proceed.
func (l *Link) applyConnectFault(in net.Conn) bool {
	f := l.Fault()
	if f.Reject || f.Blackhole {
		l.reportLost()
	}
	if f.Reject {
		return false
	}
	for f.Blackhole { // the connection hangs until the fault is removed, and is reset then
		if !l.wait(20 * time.Millisecond) {
			return false
		}
		if f = l.Fault(); !f.Blackhole {
			return false
		}
	}
	return l.wait(l.randomSource.retransmitDelay(f.Loss, synTimeout))
}

func (l *Link) serve(in net.Conn) {
	if !l.addConn(in) {
		in.Close()
		return
	}
	defer l.removeConn(in)
	if !l.applyConnectFault(in) {
		reset(in)
		return
	}
	out, err := l.dial()
	if err != nil {
		l.reportLost()
		l.mu.Lock()
		if len(l.unreachable) < maxUnreachable {
			l.unreachable[in.RemoteAddr().String()] = true
		}
		l.mu.Unlock()
		reset(in)
		return
	}
	if !l.addConn(out) {
		out.Close()
		in.Close()
		return
	}
	defer l.removeConn(out)
	duplicateFirst := l.Fault().Duplicate
	done := make(chan struct{}, 2)
	go func() { l.pipe(out, in, duplicateFirst, true); done <- struct{}{} }()
	go func() { l.pipe(in, out, false, false); done <- struct{}{} }()
	<-done
	<-done
	in.Close()
	out.Close()
}

// pipe copies src to dst and applies the link's current fault to each chunk. If duplicateFirst is set, the first chunk is also sent on
// a second connection, whose answer is discarded. The end of src closes the sending direction of dst; an error on either
// connection resets the other.
func (l *Link) pipe(dst, src net.Conn, duplicateFirst, fromCaller bool) {
	buf := make([]byte, 32<<10)
	passed := 0
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := l.Fault()
			if f.Blackhole && fromCaller {
				l.reportLost()
			}
			for f.Blackhole {
				if !l.wait(20 * time.Millisecond) {
					return
				}
				f = l.Fault()
			}
			delay := f.Delay + l.randomSource.durationBelow(f.Jitter) + l.randomSource.retransmitDelay(f.Loss, segmentTimeout)
			if f.BytesPerS > 0 {
				delay += time.Duration(n) * time.Second / time.Duration(f.BytesPerS)
			}
			if !l.wait(delay) {
				return
			}
			truncated := f.Truncate > 0 && passed+n >= f.Truncate
			if truncated {
				n = max(f.Truncate-passed, 0)
			}
			passed += n
			l.Bytes.Add(int64(n))
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
			if truncated {
				closeWrite(dst)
				return
			}
			if duplicateFirst {
				duplicateFirst = false
				l.sendDuplicate(append([]byte(nil), buf[:n]...))
			}
		}
		if err == io.EOF {
			closeWrite(dst)
			return
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				reset(dst)
			}
			return
		}
	}
}

func (l *Link) sendDuplicate(data []byte) {
	c, err := l.dial()
	if err != nil {
		return
	}
	go func() {
		defer c.Close()
		c.SetDeadline(time.Now().Add(30 * time.Second))
		c.Write(data)
		io.Copy(io.Discard, c)
	}()
}

// Net holds all links of a run, to set faults on groups of them.
type Net struct {
	mu     sync.Mutex
	links  []*Link
	relays []*Relay
}

// Add adds a link.
func (n *Net) Add(l *Link) { n.mu.Lock(); n.links = append(n.links, l); n.mu.Unlock() }

// AddRelay adds a relay and its links.
func (n *Net) AddRelay(r *Relay) {
	n.mu.Lock()
	n.relays = append(n.relays, r)
	for _, l := range r.links {
		n.links = append(n.links, l)
	}
	n.mu.Unlock()
}

// Each sets fault f on every link that match selects, and returns the number of these links.
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

// Heal removes the fault of every link, and returns the number of links.
func (n *Net) Heal() int { return n.Each(func(*Link) bool { return true }, Fault{}) }

// Close closes every link and relay.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.Close()
	}
	for _, l := range n.links {
		l.Close()
	}
}
