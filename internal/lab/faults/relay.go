package faults

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay relays the TCP and UDP traffic of many callers to one target, on a single address, because all members of a gossip
// cluster know a member by the same address. The caller's source IP address identifies it, and each caller has its own Link.
type Relay struct {
	Addr           string
	links          map[string]*Link // by the caller's IP address
	unknownCallers *Link            // carries the traffic of callers with an unknown address; no fault can be set on it
	ln             net.Listener
	pc             *net.UDPConn
	mu             sync.Mutex       // guards flows
	flows          map[string]*flow // by the caller's UDP address
}

// maxFlows is the largest number of UDP flows that a relay has at one time. A further caller makes the relay close all flows;
// each caller's next datagram opens a new one.
const maxFlows = 1024

// flow carries the datagrams of one caller in both directions.
type flow struct {
	out    *net.UDPConn
	freeAt [2]time.Time // when the rate-limited link can take the next datagram: to the target, to the caller
}

// OpenRelay listens on listen ("127.6.0.1:7946"; port 0 for any) for TCP and UDP, and relays the traffic of each caller to target
// from the caller's own IP address. callers maps IP addresses to the names of their groups.
func OpenRelay(to, listen, target string, callers map[string]string, seed uint64) (*Relay, error) {
	r := &Relay{links: map[string]*Link{}, flows: map[string]*flow{}, unknownCallers: newLink("", to, target, "", seed)}
	var err error
	for range 20 { // with port 0, the port that was assigned for TCP may be in use for UDP
		if r.ln, err = net.Listen("tcp", listen); err != nil {
			return nil, fmt.Errorf("relay to %s: %w", to, err)
		}
		r.Addr = r.ln.Addr().String()
		udpAddr, _ := net.ResolveUDPAddr("udp", r.Addr)
		if r.pc, err = net.ListenUDP("udp", udpAddr); err == nil {
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
	go acceptLoop(r.ln, func(c net.Conn) *Link { return r.linkForCaller(c.RemoteAddr()) })
	go r.receive()
	return r, nil
}

// Links returns the relay's links, one for each known caller.
func (r *Relay) Links() []*Link {
	var out []*Link
	for _, l := range r.links {
		out = append(out, l)
	}
	return out
}

// Close closes the relay, its links and its flows.
func (r *Relay) Close() {
	r.ln.Close()
	r.pc.Close()
	r.unknownCallers.Close()
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

func (r *Relay) linkForCaller(caller net.Addr) *Link {
	host, _, _ := net.SplitHostPort(caller.String())
	if l := r.links[host]; l != nil {
		return l
	}
	return r.unknownCallers
}

func (r *Relay) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, caller, err := r.pc.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l := r.linkForCaller(caller)
		f, err := r.flowForCaller(l, caller)
		if err != nil {
			continue
		}
		r.forwardDatagram(l, f, 0, append([]byte(nil), buf[:n]...), func(p []byte) { f.out.Write(p) })
	}
}

// flowForCaller returns the caller's flow. It opens a missing flow and starts a goroutine that relays the answers to the caller.
func (r *Relay) flowForCaller(l *Link, caller *net.UDPAddr) (*flow, error) {
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
				if r.flowEnded(key, f) {
					return
				}
				time.Sleep(time.Millisecond) // the target is down and refused a datagram; the flow stays open
				continue
			}
			r.forwardDatagram(l, f, 1, append([]byte(nil), buf[:n]...), func(p []byte) { r.pc.WriteToUDP(p, caller) })
		}
	}()
	return f, nil
}

func (r *Relay) flowEnded(key string, f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows[key] != f
}

// forwardDatagram applies the link's current fault to a datagram and sends it immediately, sends it after a delay, or drops it.
func (r *Relay) forwardDatagram(l *Link, fl *flow, direction int, datagram []byte, send func([]byte)) {
	f := l.Fault()
	if f.Blackhole || f.Reject || l.randomSource.happens(f.Loss) {
		return
	}
	l.Bytes.Add(int64(len(datagram)))
	if f.Truncate > 0 && len(datagram) > f.Truncate {
		datagram = datagram[:f.Truncate]
	}
	delay := f.Delay + l.randomSource.durationBelow(f.Jitter)
	if l.randomSource.happens(f.Reorder) {
		delay += reorderDelay
	}
	if f.BytesPerS > 0 {
		r.mu.Lock()
		now := time.Now()
		start := now
		if fl.freeAt[direction].After(now) {
			start = fl.freeAt[direction]
		}
		fl.freeAt[direction] = start.Add(time.Duration(len(datagram)) * time.Second / time.Duration(f.BytesPerS))
		delay += fl.freeAt[direction].Sub(now)
		r.mu.Unlock()
	}
	copies := 1
	if f.Duplicate {
		copies = 2
	}
	for range copies {
		if delay <= 0 {
			send(datagram)
			continue
		}
		time.AfterFunc(delay, func() { send(datagram) })
	}
}
