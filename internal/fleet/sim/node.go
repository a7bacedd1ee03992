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
	ttl            = 6 * time.Second
	agentLeasePart = 0.96 // of ttl that the agent counts by its own clock
	nodeDemand     = 8.0  // requests/s of a node
	tickInterval   = 100 * time.Millisecond
	lossTimeout    = 200 * time.Millisecond // until an attempt without an answer has ended
	avoidTime      = time.Second            // a server that lost two attempts running
)

// node is a node and its agent: one process run after another on one machine.
type node struct {
	sim          *Sim
	index        int
	name         string
	zone         int
	clock        clock
	process      int // of the process; events of an older one are dropped
	down         bool
	incarnation  uint64
	keys         [][2]string   // by zone: of its directives for all and for the node's zone
	stalledUntil time.Duration // stands still until then

	intent      *intent
	confirmedAt time.Duration // by its clock: when its intent was last confirmed
	leasedUntil time.Duration // by its clock: its session is held until then
	sequence    uint64

	module      *module // nil: the node's own simple way of sending
	dueRequests float64
	counts      []fleet.ZoneEvidence
	touched     []map[int][2]int // by zone and server: attempts, lost
	windowStart time.Duration    // by its clock: the window's begin
	losing      []lostAttempt    // attempts that will turn out lost
	avoided     map[[2]int]avoidedServer
	paces       map[[2]int]pace
}

type lostAttempt struct {
	endsAt time.Duration
	zone   int
	id     int
}

type avoidedServer struct {
	failures int
	until    time.Duration
}

// pace is a server's budget at this node.
type pace struct {
	tokens    float64
	updatedAt float64
}

func (s *Sim) newNode(i int) *node {
	z := i % s.plan.Zones
	var keys [][2]string
	for _, y := range s.zones {
		keys = append(keys, [2]string{zones.Key(y, ""), zones.Key(y, s.zones[z])})
	}
	n := &node{sim: s, keys: keys, index: i, zone: z, name: fmt.Sprintf("%s%d", s.zones[z], i), clock: newClock(s.random), intent: &intent{}}
	s.nodes = append(s.nodes, n)
	return n
}

// start begins a new process run: it has what its agent's disk has, as old as can be.
func (n *node) start() {
	n.process++
	n.incarnation++
	n.down = false
	n.sequence = 0
	n.leasedUntil = 0
	now := n.clock.read(n.sim.now)
	n.confirmedAt, n.windowStart = now-time.Hour, now
	n.losing = nil
	n.avoided = map[[2]int]avoidedServer{}
	n.paces = map[[2]int]pace{}
	n.clear()
	if n.sim.plan.Module {
		n.decides()
	}
	n.every(tickInterval, n.traffic)
	n.every(250*time.Millisecond, n.report)
	n.every(time.Second, n.poll)
}

func (n *node) clear() {
	n.counts = make([]fleet.ZoneEvidence, n.sim.plan.Zones)
	n.touched = make([]map[int][2]int, n.sim.plan.Zones)
}

// every does something each d by the node's clock while this run lasts and is not frozen.
func (n *node) every(d time.Duration, do func()) {
	run := n.process
	var next func()
	next = func() {
		if n.process != run || n.down {
			return
		}
		if wait := n.stalledUntil - n.sim.now; wait > 0 {
			n.sim.after(wait, next)
			return
		}
		do()
		n.sim.after(n.clock.lasts(d), next)
	}
	n.sim.after(time.Duration(n.sim.random.Int64N(int64(d))), next)
}

// hear takes an answer of a replica: never an older one than it has.
func (n *node) hear(it *intent) {
	if n.down {
		return
	}
	if wait := n.stalledUntil - n.sim.now; wait > 0 {
		run := n.process
		n.sim.after(wait, func() {
			if n.process == run {
				n.hear(it)
			}
		})
		return
	}
	if it.revision < n.intent.revision && !n.sim.hooks.takeOld {
		return
	}
	if it.revision < n.intent.revision {
		n.sim.recordBreach("revision", "%s goes back from %d to %d", n.name, n.intent.revision, it.revision)
	}
	n.intent, n.confirmedAt = it.within(n.services()), n.clock.read(n.sim.now)
	if n.module != nil {
		n.module.updateZones()
	}
	n.sim.heard(n)
}

// poll asks a replica whether there is anything new.
func (n *node) poll() {
	n.sim.link(n.index, func() {
		it := n.sim.control.intent
		n.sim.link(n.index, func() { n.hear(it) })
	})
}

func (n *node) report() {
	now := n.clock.read(n.sim.now)
	r := fleet.Report{Member: n.member(), Services: n.services(), Revision: n.intent.revision, Ready: true, WindowMS: (now - n.windowStart).Milliseconds()}
	n.sequence++
	r.Sequence = n.sequence
	if n.module != nil {
		n.module.window(&r)
	}
	for z, c := range n.counts {
		if n.module != nil {
			break
		}
		c.Zone, c.Listed = n.sim.zones[z], n.sim.plan.Servers
		for _, t := range n.touched[z] {
			c.Servers++
			if t[0] == t[1] {
				c.LostServers++
			}
		}
		r.Zones = append(r.Zones, c)
	}
	n.windowStart = now
	n.clear()
	n.lie(&r)
	n.acknowledge(&r)
	run := n.process
	n.sim.link(n.index, func() {
		n.sim.control.report(n.index, r, func() {
			if n.process == run && !n.down && n.sim.now >= n.stalledUntil {
				n.leasedUntil = max(n.leasedUntil, now+time.Duration(n.sim.leasePart*float64(ttl)))
			}
		})
	})
}

// lying reports whether a node is a liar now.
func (s *Sim) lying(name string) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.name == name && slices.ContainsFunc(s.plan.Faults, func(f Fault) bool { return f.Kind == Liar && f.isActive(s.now) && f.hits(n.index) })
	})
}

// lie makes the report a liar's while its fault is on.
func (n *node) lie(r *fleet.Report) {
	for _, f := range n.sim.plan.Faults {
		if f.Kind == Liar && f.isActive(n.sim.now) && f.hits(n.index) {
			for z := range r.Zones {
				if c := &r.Zones[z]; z == f.Zone || f.Probability > 0.5 {
					*c = fleet.ZoneEvidence{Zone: c.Zone, Listed: c.Listed, Attempts: 1000, Lost: 1000, Servers: c.Listed, LostServers: c.Listed, Started: 1000}
				}
			}
		}
	}
}

func (n *node) member() fleet.Member {
	return fleet.Member{Node: n.name, Zone: n.sim.zones[n.zone], Incarnation: n.incarnation}
}

// portion is what the node may do at a zone, and whether by a directive.
func (n *node) portion(zone int) zones.NodeShare {
	if len(n.intent.directives) == 0 {
		return zones.NodeShare{Share: 1}
	}
	past := n.clock.read(n.sim.now)-n.confirmedAt > n.sim.settings.DirectiveLifetime && !n.sim.hooks.ageless
	p := zones.NodeShare{Share: 1}
	for _, key := range n.keys[zone] {
		if e, ok := n.intent.directives[key]; ok {
			p = zones.MergeShares(zones.NodeShareOf(e.Directive, n.name, past), p)
		}
	}
	p.Rate *= n.sim.hooks.greed
	return p
}

// traffic sends the requests of one tick.
func (n *node) traffic() {
	s, now := n.sim, n.clock.read(n.sim.now)
	n.losing = slices.DeleteFunc(n.losing, func(l lostAttempt) bool {
		if s.now < l.endsAt {
			return false
		}
		n.ended(l.zone, l.id, false)
		return true
	})
	portions := make([]zones.NodeShare, s.plan.Zones)
	for z := range portions {
		portions[z] = n.portion(z)
		s.stopped(n, z, portions[z].Share == 0)
	}
	if n.module != nil {
		s.node(n, now)
		return
	}
	for n.dueRequests += nodeDemand * tickInterval.Seconds(); n.dueRequests >= 1; n.dueRequests-- {
		for attempt := range 2 {
			zone, id, ok := n.choose(portions, now, attempt)
			if !ok {
				s.result.Rejected++
				break
			}
			if attempt > 0 {
				s.result.Retries++
			}
			n.counts[zone].Started++
			if s.request(n, zone, id) {
				s.result.Answered++
				n.ended(zone, id, true)
				break
			}
			n.losing = append(n.losing, lostAttempt{s.now + lossTimeout, zone, id})
			s.result.Lost++
		}
	}
	s.node(n, now)
}

// choose picks a server: of a zone on trial first, else by the zones' shares; none that lost two attempts running of
// late, none whose budget is spent.
func (n *node) choose(portions []zones.NodeShare, now time.Duration, attempt int) (zone, id int, ok bool) {
	s := n.sim
	total := 0.0
	for z, p := range portions {
		if p.Trial && attempt == 0 {
			if id := s.random.IntN(s.plan.Servers); n.spend(z, id, p.Rate, now) {
				return z, id, true
			}
		}
		total += p.Share
	}
	for range 4 {
		at := s.random.Float64() * total
		for z, p := range portions {
			if at -= p.Share; at >= 0 || p.Share == 0 {
				continue
			}
			id := s.random.IntN(s.plan.Servers)
			if now >= n.avoided[[2]int{z, id}].until && (p.Rate == 0 || n.spend(z, id, p.Rate, now)) {
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
		p = pace{n.sim.random.Float64(), at}
	}
	p = pace{math.Min(1, p.tokens+rate*(at-p.updatedAt)), at}
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
	b := n.avoided[key]
	if answered {
		c.Answered++
		delete(n.avoided, key)
	} else {
		c.Lost++
		t[1]++
		if b.failures++; b.failures >= 2 {
			b.until = n.clock.read(n.sim.now) + avoidTime
		}
		n.avoided[key] = b
	}
	n.touched[zone][id] = t
}
