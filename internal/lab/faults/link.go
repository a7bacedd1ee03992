package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link relays TCP from its own loopback address to a target (or, behind a Relay, both TCP and UDP of one caller).
// From and To name the groups at its ends.
type Link struct {
	From        string
	To          string
	Addr        string
	target      string
	source      net.IP // the address it dials from, so the far end can tell who calls; nil for any
	ln          net.Listener
	fault       atomic.Pointer[Fault]
	dice        *dice
	mu          sync.Mutex // guards conns and unreachable
	conns       map[net.Conn]bool
	unreachable map[string]bool // callers whose connection found nobody at the target
	closed      chan struct{}
	lost        atomic.Pointer[func()]
	Dials       atomic.Int64
	Bytes       atomic.Int64 // both ways
}

// maxUnreachable bounds the callers remembered as refused.
const maxUnreachable = 1 << 16

func newLink(from, to, target, source string, seed uint64) *Link {
	l := &Link{
		From:        from,
		To:          to,
		target:      target,
		conns:       map[net.Conn]bool{},
		unreachable: map[string]bool{},
		closed:      make(chan struct{}),
		dice:        newDice(seed),
		source:      net.ParseIP(source),
	}
	l.fault.Store(&Fault{})
	return l
}

// Open starts a link on listen ("127.0.0.1:0"), dialing target from source ("" for any).
func Open(from, to, listen, target, source string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := newLink(from, to, target, source, seed)
	l.ln, l.Addr = ln, ln.Addr().String()
	go accept(ln, func(net.Conn) *Link { return l })
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

// Refused says whether the connection from a caller's address ("127.0.0.1:4321") found nobody listening at the
// target: the relay had taken it by then, so the caller saw a reset where it would have been refused.
func (l *Link) Refused(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable[caller]
}

// OnLost has f called for each new connection that reaches nobody, by the fault or for want of a listener, and for each
// piece from the calling side that a blackhole swallows.
func (l *Link) OnLost(f func()) { l.lost.Store(&f) }

func (l *Link) tellLost() {
	if f := l.lost.Load(); f != nil {
		(*f)()
	}
}

// ResetAll breaks every connection on the link, as a process that dies.
func (l *Link) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// Close ends the link and its connections. It may be called twice.
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

// end tells c's other side that no more comes, and leaves the way back open.
func end(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
}

func (l *Link) keep(c net.Conn) bool {
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

func (l *Link) drop(c net.Conn) { l.mu.Lock(); delete(l.conns, c); l.mu.Unlock() }

// wait sleeps d, less where the link is closed; it says whether the link is still open.
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

func accept(ln net.Listener, of func(net.Conn) *Link) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors, say
			continue
		}
		go of(c).serve(c)
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

// comesUp holds a new connection as the fault has it, and says whether it is to go on.
func (l *Link) comesUp(in net.Conn) bool {
	f := l.Fault()
	if f.Reject || f.Blackhole {
		l.tellLost()
	}
	if f.Reject {
		return false
	}
	for f.Blackhole { // it never comes up: it hangs until the heal resets it
		if !l.wait(20 * time.Millisecond) {
			return false
		}
		if f = l.Fault(); !f.Blackhole {
			return false
		}
	}
	return l.wait(l.dice.repeats(f.Loss, repeatConnect))
}

func (l *Link) serve(in net.Conn) {
	if !l.keep(in) {
		in.Close()
		return
	}
	defer l.drop(in)
	if !l.comesUp(in) {
		reset(in)
		return
	}
	out, err := l.dial()
	if err != nil {
		l.tellLost()
		l.mu.Lock()
		if len(l.unreachable) < maxUnreachable {
			l.unreachable[in.RemoteAddr().String()] = true
		}
		l.mu.Unlock()
		reset(in)
		return
	}
	if !l.keep(out) {
		out.Close()
		in.Close()
		return
	}
	defer l.drop(out)
	dup := l.Fault().Duplicate
	done := make(chan struct{}, 2)
	go func() { l.pipe(out, in, dup, true); done <- struct{}{} }()
	go func() { l.pipe(in, out, false, false); done <- struct{}{} }()
	<-done
	<-done
	in.Close()
	out.Close()
}

// pipe copies src to dst under the link's fault of the moment. With dup, the first piece also goes to a second
// connection of its own, whose answer is thrown away. An end of src is handed on as one; a break resets both.
func (l *Link) pipe(dst, src net.Conn, dup, calling bool) {
	buf := make([]byte, 32<<10)
	passed := 0
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := l.Fault()
			if f.Blackhole && calling {
				l.tellLost()
			}
			for f.Blackhole {
				if !l.wait(20 * time.Millisecond) {
					return
				}
				f = l.Fault()
			}
			late := f.Delay + l.dice.upTo(f.Jitter) + l.dice.repeats(f.Loss, repeatPiece)
			if f.BytesPerS > 0 {
				late += time.Duration(n) * time.Second / time.Duration(f.BytesPerS)
			}
			if !l.wait(late) {
				return
			}
			cut := f.Truncate > 0 && passed+n >= f.Truncate
			if cut {
				n = max(f.Truncate-passed, 0)
			}
			passed += n
			l.Bytes.Add(int64(n))
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
			if cut {
				end(dst)
				return
			}
			if dup {
				dup = false
				l.duplicate(append([]byte(nil), buf[:n]...))
			}
		}
		if err == io.EOF {
			end(dst)
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

// Net is every link of a run, for faults by group.
type Net struct {
	mu     sync.Mutex
	links  []*Link
	relays []*Relay
}

// Add keeps a link.
func (n *Net) Add(l *Link) { n.mu.Lock(); n.links = append(n.links, l); n.mu.Unlock() }

// AddRelay keeps a relay and its links.
func (n *Net) AddRelay(r *Relay) {
	n.mu.Lock()
	n.relays = append(n.relays, r)
	for _, l := range r.links {
		n.links = append(n.links, l)
	}
	n.mu.Unlock()
}

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

// Heal takes every link's fault away, and says how many links there are.
func (n *Net) Heal() int { return n.Each(func(*Link) bool { return true }, Fault{}) }

// Close ends every link and relay.
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
