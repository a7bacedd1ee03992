package sim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

const (
	ttl       = 6 * time.Second
	leasePart = 0.96 // of ttl that the agent counts by its own clock
	demand    = 8.0  // requests/s of a node
	tickTime  = 100 * time.Millisecond
	lostTime  = 200 * time.Millisecond // until an attempt without an answer has ended
	avoid     = time.Second            // a server that lost two attempts running
)

// node is a node and its agent: one process run after another on one machine.
type node struct {
	s      *Sim
	i      int
	name   string
	zone   int
	clock  clock
	run    int // of the process; events of an older one are dropped
	down   bool
	inc    uint64
	keys   [][2]string   // by zone: of its directives for all and for the node's zone
	frozen time.Duration // stands still until then

	intent    *intent
	confirmed time.Duration // by its clock: when its intent was last confirmed
	until     time.Duration // by its clock: its session is held until then
	seq       uint64

	module  *module // nil: the node's own simple way of sending
	owed    float64
	counts  []fleet.ZoneEvidence
	touched []map[int][2]int // by zone and server: attempts, lost
	since   time.Duration    // by its clock: the window's begin
	losing  []losing         // attempts that will turn out lost
	bad     map[[2]int]badness
	paces   map[[2]int]pace
}

type losing struct {
	end  time.Duration
	zone int
	id   int
}

type badness struct {
	n     int
	until time.Duration
}

// pace is a server's budget at this node.
type pace struct {
	tokens float64
	at     float64
}

func (s *Sim) newNode(i int) *node {
	z := i % s.plan.Zones
	var keys [][2]string
	for _, y := range s.zones {
		keys = append(keys, [2]string{zones.Key(y, ""), zones.Key(y, s.zones[z])})
	}
	n := &node{s: s, keys: keys, i: i, zone: z, name: fmt.Sprintf("%s%d", s.zones[z], i), clock: newClock(s.rng), intent: &intent{}}
	s.nodes = append(s.nodes, n)
	return n
}

// start begins a new process run: it has what its agent's disk has, as old as can be.
func (n *node) start() {
	n.run++
	n.inc++
	n.down = false
	n.seq = 0
	n.until = 0
	now := n.clock.read(n.s.now)
	n.confirmed, n.since = now-time.Hour, now
	n.losing = nil
	n.bad = map[[2]int]badness{}
	n.paces = map[[2]int]pace{}
	n.clear()
	if n.s.plan.Module {
		n.decides()
	}
	n.every(tickTime, n.traffic)
	n.every(250*time.Millisecond, n.report)
	n.every(time.Second, n.poll)
}

func (n *node) clear() {
	n.counts = make([]fleet.ZoneEvidence, n.s.plan.Zones)
	n.touched = make([]map[int][2]int, n.s.plan.Zones)
}

// every does something each d by the node's clock while this run lasts and is not frozen.
func (n *node) every(d time.Duration, do func()) {
	run := n.run
	var next func()
	next = func() {
		if n.run != run || n.down {
			return
		}
		if wait := n.frozen - n.s.now; wait > 0 {
			n.s.after(wait, next)
			return
		}
		do()
		n.s.after(n.clock.lasts(d), next)
	}
	n.s.after(time.Duration(n.s.rng.Int64N(int64(d))), next)
}

// hear takes an answer of a replica: never an older one than it has.
func (n *node) hear(it *intent) {
	if n.down {
		return
	}
	if wait := n.frozen - n.s.now; wait > 0 {
		run := n.run
		n.s.after(wait, func() {
			if n.run == run {
				n.hear(it)
			}
		})
		return
	}
	if it.rev < n.intent.rev && !n.s.hooks.takeOld {
		return
	}
	if it.rev < n.intent.rev {
		n.s.breach("revision", "%s goes back from %d to %d", n.name, n.intent.rev, it.rev)
	}
	n.intent, n.confirmed = it.within(n.services()), n.clock.read(n.s.now)
	if n.module != nil {
		n.module.updateZones()
	}
	n.s.heard(n)
}

// poll asks a replica whether there is anything new.
func (n *node) poll() {
	n.s.link(n.i, func() {
		it := n.s.control.intent
		n.s.link(n.i, func() { n.hear(it) })
	})
}

func (n *node) report() {
	now := n.clock.read(n.s.now)
	r := fleet.Report{Member: n.member(), Services: n.services(), Revision: n.intent.rev, Ready: true, WindowMS: (now - n.since).Milliseconds()}
	n.seq++
	r.Sequence = n.seq
	if n.module != nil {
		n.module.window(&r)
	}
	for z, c := range n.counts {
		if n.module != nil {
			break
		}
		c.Zone, c.Listed = n.s.zones[z], n.s.plan.Servers
		for _, t := range n.touched[z] {
			c.Servers++
			if t[0] == t[1] {
				c.LostServers++
			}
		}
		r.Zones = append(r.Zones, c)
	}
	n.since = now
	n.clear()
	n.lie(&r)
	n.acknowledge(&r)
	run := n.run
	n.s.link(n.i, func() {
		n.s.control.report(n.i, r, func() {
			if n.run == run && !n.down && n.s.now >= n.frozen {
				n.until = max(n.until, now+time.Duration(n.s.holdPart*float64(ttl)))
			}
		})
	})
}

// lying reports whether a node is a liar now.
func (s *Sim) lying(name string) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.name == name && slices.ContainsFunc(s.plan.Faults, func(f Fault) bool { return f.Kind == Liar && f.on(s.now) && f.node(n.i) })
	})
}

// lie makes the report a liar's while its fault is on.
func (n *node) lie(r *fleet.Report) {
	for _, f := range n.s.plan.Faults {
		if f.Kind == Liar && f.on(n.s.now) && f.node(n.i) {
			for z := range r.Zones {
				if c := &r.Zones[z]; z == f.Zone || f.P > 0.5 {
					*c = fleet.ZoneEvidence{Zone: c.Zone, Listed: c.Listed, Attempts: 1000, Lost: 1000, Servers: c.Listed, LostServers: c.Listed, Started: 1000}
				}
			}
		}
	}
}

func (n *node) member() fleet.Member {
	return fleet.Member{Node: n.name, Zone: n.s.zones[n.zone], Incarnation: n.inc}
}

// portion is what the node may do at a zone, and whether by a directive.
func (n *node) portion(zone int) zones.NodeShare {
	if len(n.intent.directives) == 0 {
		return zones.NodeShare{Share: 1}
	}
	past := n.clock.read(n.s.now)-n.confirmed > n.s.set.DirectiveLifetime && !n.s.hooks.ageless
	p := zones.NodeShare{Share: 1}
	for _, key := range n.keys[zone] {
		if e, ok := n.intent.directives[key]; ok {
			p = zones.MergeShares(zones.NodeShareOf(e.Directive, n.name, past), p)
		}
	}
	p.Rate *= n.s.hooks.greed
	return p
}

// traffic sends the requests of one tick.
func (n *node) traffic() {
	s, now := n.s, n.clock.read(n.s.now)
	n.losing = slices.DeleteFunc(n.losing, func(l losing) bool {
		if s.now < l.end {
			return false
		}
		n.ended(l.zone, l.id, false)
		return true
	})
	shares := make([]zones.NodeShare, s.plan.Zones)
	for z := range shares {
		shares[z] = n.portion(z)
		s.stopped(n, z, shares[z].Share == 0)
	}
	if n.module != nil {
		s.node(n, now)
		return
	}
	for n.owed += demand * tickTime.Seconds(); n.owed >= 1; n.owed-- {
		for attempt := range 2 {
			zone, id, ok := n.choose(shares, now, attempt)
			if !ok {
				s.res.Rejected++
				break
			}
			if attempt > 0 {
				s.res.Further++
			}
			n.counts[zone].Started++
			if s.request(n, zone, id) {
				s.res.Answered++
				n.ended(zone, id, true)
				break
			}
			n.losing = append(n.losing, losing{s.now + lostTime, zone, id})
			s.res.Lost++
		}
	}
	s.node(n, now)
}

// choose picks a server: of a zone on trial first, else by the zones' shares; none that lost two attempts running of
// late, none whose budget is spent.
func (n *node) choose(shares []zones.NodeShare, now time.Duration, attempt int) (zone, id int, ok bool) {
	s := n.s
	total := 0.0
	for z, p := range shares {
		if p.Trial && attempt == 0 {
			if id := s.rng.IntN(s.plan.Servers); n.spend(z, id, p.Rate, now) {
				return z, id, true
			}
		}
		total += p.Share
	}
	for range 4 {
		at := s.rng.Float64() * total
		for z, p := range shares {
			if at -= p.Share; at >= 0 || p.Share == 0 {
				continue
			}
			id := s.rng.IntN(s.plan.Servers)
			if now >= n.bad[[2]int{z, id}].until && (p.Rate == 0 || n.spend(z, id, p.Rate, now)) {
				return z, id, true
			}
			break
		}
	}
	return 0, 0, false
}

// spend takes one request from a server's budget at this node.
func (n *node) spend(zone, id int, rate float64, now time.Duration) bool {
	key := [2]int{zone, id}
	p, ok := n.paces[key]
	at := now.Seconds()
	if !ok {
		p = pace{n.s.rng.Float64(), at}
	}
	p = pace{math.Min(1, p.tokens+rate*(at-p.at)), at}
	took := p.tokens >= 1
	if took {
		p.tokens--
	}
	n.paces[key] = p
	return took
}

// ended counts an attempt that ended.
func (n *node) ended(zone, id int, answered bool) {
	c := &n.counts[zone]
	if n.touched[zone] == nil {
		n.touched[zone] = map[int][2]int{}
	}
	t := n.touched[zone][id]
	t[0]++
	c.Attempts++
	key := [2]int{zone, id}
	b := n.bad[key]
	if answered {
		c.Answered++
		delete(n.bad, key)
	} else {
		c.Lost++
		t[1]++
		if b.n++; b.n >= 2 {
			b.until = n.clock.read(n.s.now) + avoid
		}
		n.bad[key] = b
	}
	n.touched[zone][id] = t
}
