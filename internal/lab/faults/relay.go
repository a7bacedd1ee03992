package faults

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay relays the TCP and UDP of many callers to one target, on one address, as gossip wants it: a member is known
// to all by one address. Each caller is identified by the IP address it calls from, and has a Link of its own.
type Relay struct {
	Addr   string
	links  map[string]*Link // by the caller's IP
	others *Link            // callers of no known address: no fault of theirs can be set
	ln     net.Listener
	pc     *net.UDPConn
	mu     sync.Mutex       // guards flows
	flows  map[string]*flow // by the caller's UDP address
}

// maxFlows bounds the UDP callers of a relay at one time; one more ends them all, and they start anew.
const maxFlows = 1024

// flow is one caller's datagrams, both ways.
type flow struct {
	out    *net.UDPConn
	freeAt [2]time.Time // when the capped link is free again, for each way
}

// OpenRelay listens on listen ("127.6.0.1:7946"; port 0 for any) for TCP and UDP of callers (IP to the name of its
// group) and relays them to target from the caller's own IP.
func OpenRelay(to, listen, target string, callers map[string]string, seed uint64) (*Relay, error) {
	r := &Relay{links: map[string]*Link{}, flows: map[string]*flow{}, others: newLink("", to, target, "", seed)}
	var err error
	for range 20 { // with port 0, the port TCP was given may be taken for UDP
		if r.ln, err = net.Listen("tcp", listen); err != nil {
			return nil, fmt.Errorf("relay to %s: %w", to, err)
		}
		r.Addr = r.ln.Addr().String()
		at, _ := net.ResolveUDPAddr("udp", r.Addr)
		if r.pc, err = net.ListenUDP("udp", at); err == nil {
			break
		}
		r.ln.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", to, err)
	}
	k := uint64(0)
	for ip, from := range callers {
		k++
		r.links[ip] = newLink(from, to, target, ip, seed+k)
	}
	go accept(r.ln, func(c net.Conn) *Link { return r.linkOf(c.RemoteAddr()) })
	go r.receive()
	return r, nil
}

// Links are the relay's links, one a caller.
func (r *Relay) Links() []*Link {
	var out []*Link
	for _, l := range r.links {
		out = append(out, l)
	}
	return out
}

// Close ends the relay, its links and flows.
func (r *Relay) Close() {
	r.ln.Close()
	r.pc.Close()
	r.others.Close()
	for _, l := range r.links {
		l.Close()
	}
	r.endFlows()
}

func (r *Relay) endFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.out.Close()
	}
	r.flows = map[string]*flow{}
}

func (r *Relay) linkOf(a net.Addr) *Link {
	host, _, _ := net.SplitHostPort(a.String())
	if l := r.links[host]; l != nil {
		return l
	}
	return r.others
}

func (r *Relay) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, caller, err := r.pc.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l := r.linkOf(caller)
		f, err := r.flowOf(l, caller)
		if err != nil {
			continue
		}
		r.pass(l, f, 0, append([]byte(nil), buf[:n]...), func(p []byte) { f.out.Write(p) })
	}
}

// flowOf gives the caller's flow, opening it with its way back.
func (r *Relay) flowOf(l *Link, caller *net.UDPAddr) (*flow, error) {
	key := caller.String()
	r.mu.Lock()
	f := r.flows[key]
	full := len(r.flows) >= maxFlows
	r.mu.Unlock()
	if f != nil {
		return f, nil
	}
	if full {
		r.endFlows()
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
	r.mu.Lock()
	r.flows[key] = f
	r.mu.Unlock()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := out.Read(buf)
			if ne, ok := err.(net.Error); err != nil && (!ok || !ne.Timeout()) {
				if r.remove(key, f) {
					return
				}
				time.Sleep(time.Millisecond) // refused by a target that is down: the flow stays
				continue
			}
			r.pass(l, f, 1, append([]byte(nil), buf[:n]...), func(p []byte) { r.pc.WriteToUDP(p, caller) })
		}
	}()
	return f, nil
}

func (r *Relay) remove(key string, f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows[key] != f
}

// pass sends one datagram on under the link's fault of the moment, at once or later.
func (r *Relay) pass(l *Link, w *flow, way int, p []byte, send func([]byte)) {
	f := l.Fault()
	if f.Blackhole || f.Reject || l.dice.hit(f.Loss) {
		return
	}
	l.Bytes.Add(int64(len(p)))
	if f.Truncate > 0 && len(p) > f.Truncate {
		p = p[:f.Truncate]
	}
	late := f.Delay + l.dice.upTo(f.Jitter)
	if l.dice.hit(f.Reorder) {
		late += reorderDelay
	}
	if f.BytesPerS > 0 {
		r.mu.Lock()
		now := time.Now()
		start := now
		if w.freeAt[way].After(now) {
			start = w.freeAt[way]
		}
		w.freeAt[way] = start.Add(time.Duration(len(p)) * time.Second / time.Duration(f.BytesPerS))
		late += w.freeAt[way].Sub(now)
		r.mu.Unlock()
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
