package faults

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Door relays the TCP and UDP of many callers to one target, on one address, as gossip wants it: a member is known
// to all by one address. Each caller is told by the IP address it calls from, and has a Link of its own.
type Door struct {
	Addr   string
	links  map[string]*Link // by the caller's IP
	others *Link            // callers of no known address: no fault of theirs can be set
	ln     net.Listener
	pc     *net.UDPConn
	mu     sync.Mutex
	flows  map[string]*flow // by the caller's UDP address
}

// mostFlows bounds the UDP callers of a door at one time; one more ends them all, and they start anew.
const mostFlows = 1024

// flow is one caller's datagrams, both ways.
type flow struct {
	out    *net.UDPConn
	freeAt [2]time.Time // when the capped link is free again, for each way
}

// OpenDoor listens on listen ("127.6.0.1:7946"; port 0 for any) for TCP and UDP of callers (IP to the name of its
// group) and relays them to target from the caller's own IP.
func OpenDoor(to, listen, target string, callers map[string]string, seed uint64) (*Door, error) {
	d := &Door{links: map[string]*Link{}, flows: map[string]*flow{}, others: newLink("", to, target, "", seed)}
	var err error
	for range 20 { // with port 0, the port TCP was given may be taken for UDP
		if d.ln, err = net.Listen("tcp", listen); err != nil {
			return nil, fmt.Errorf("door to %s: %w", to, err)
		}
		d.Addr = d.ln.Addr().String()
		at, _ := net.ResolveUDPAddr("udp", d.Addr)
		if d.pc, err = net.ListenUDP("udp", at); err == nil {
			break
		}
		d.ln.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("door to %s: %w", to, err)
	}
	k := uint64(0)
	for ip, from := range callers {
		k++
		d.links[ip] = newLink(from, to, target, ip, seed+k)
	}
	go accept(d.ln, func(c net.Conn) *Link { return d.linkOf(c.RemoteAddr()) })
	go d.receive()
	return d, nil
}

// Links are the door's links, one a caller.
func (d *Door) Links() []*Link {
	var out []*Link
	for _, l := range d.links {
		out = append(out, l)
	}
	return out
}

// Close ends the door, its links and flows.
func (d *Door) Close() {
	d.ln.Close()
	d.pc.Close()
	d.others.Close()
	for _, l := range d.links {
		l.Close()
	}
	d.endFlows()
}

func (d *Door) endFlows() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.flows {
		f.out.Close()
	}
	d.flows = map[string]*flow{}
}

func (d *Door) linkOf(a net.Addr) *Link {
	host, _, _ := net.SplitHostPort(a.String())
	if l := d.links[host]; l != nil {
		return l
	}
	return d.others
}

func (d *Door) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, caller, err := d.pc.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l := d.linkOf(caller)
		f, err := d.flowOf(l, caller)
		if err != nil {
			continue
		}
		d.pass(l, f, 0, append([]byte(nil), buf[:n]...), func(p []byte) { f.out.Write(p) })
	}
}

// flowOf gives the caller's flow, opening it with its way back.
func (d *Door) flowOf(l *Link, caller *net.UDPAddr) (*flow, error) {
	key := caller.String()
	d.mu.Lock()
	f := d.flows[key]
	full := len(d.flows) >= mostFlows
	d.mu.Unlock()
	if f != nil {
		return f, nil
	}
	if full {
		d.endFlows()
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil, err
	}
	var from *net.UDPAddr
	if l.source != nil {
		from = &net.UDPAddr{IP: l.source}
	}
	out, err := net.DialUDP("udp", from, target)
	if err != nil {
		return nil, err
	}
	f = &flow{out: out}
	d.mu.Lock()
	d.flows[key] = f
	d.mu.Unlock()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := out.Read(buf)
			if ne, ok := err.(net.Error); err != nil && (!ok || !ne.Timeout()) {
				if d.gone(key, f) {
					return
				}
				time.Sleep(time.Millisecond) // refused by a target that is down: the flow stays
				continue
			}
			d.pass(l, f, 1, append([]byte(nil), buf[:n]...), func(p []byte) { d.pc.WriteToUDP(p, caller) })
		}
	}()
	return f, nil
}

func (d *Door) gone(key string, f *flow) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flows[key] != f
}

// pass sends one datagram on under the link's fault of the moment, at once or later.
func (d *Door) pass(l *Link, w *flow, way int, p []byte, send func([]byte)) {
	f := l.Fault()
	if f.Blackhole || f.Refuse || l.dice.hit(f.Loss) {
		return
	}
	l.Bytes.Add(int64(len(p)))
	if f.Truncate > 0 && len(p) > f.Truncate {
		p = p[:f.Truncate]
	}
	late := f.Delay + l.dice.upTo(f.Jitter)
	if l.dice.hit(f.Reorder) {
		late += heldBack
	}
	if f.BytesPerS > 0 {
		d.mu.Lock()
		now := time.Now()
		start := now
		if w.freeAt[way].After(now) {
			start = w.freeAt[way]
		}
		w.freeAt[way] = start.Add(time.Duration(len(p)) * time.Second / time.Duration(f.BytesPerS))
		late += w.freeAt[way].Sub(now)
		d.mu.Unlock()
	}
	times := 1
	if f.Duplicate {
		times = 2
	}
	for range times {
		if late <= 0 {
			send(p)
			continue
		}
		time.AfterFunc(late, func() { send(p) })
	}
}
