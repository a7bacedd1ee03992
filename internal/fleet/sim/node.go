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
	agentLeasePart = 0.96 // part of ttl for which the agent holds its session, by its own clock
	nodeDemand     = 8.0  // requests/s that arrive at a node
	tickInterval   = 100 * time.Millisecond
	lossTimeout    = 200 * time.Millisecond // after which an attempt without an answer ends
	avoidTime      = time.Second            // for which a node avoids a server after two consecutive lost attempts
)

// node is a node and its agent: a series of processes on one machine, of which one runs at a time.
type node struct {
	sim          *Sim
	index        int
	name         string
	zone         int
	clock        clock
	process      int // number of the current process; events of an earlier process are dropped
	down         bool
	incarnation  uint64
	keys         [][2]string   // by zone: the keys of its directives for all nodes and for the nodes of this node's zone
	stalledUntil time.Duration // real time at which the process's stall ends

	intent      *intent
	confirmedAt time.Duration // by the node's clock: when its intent was last confirmed
	leasedUntil time.Duration // by the node's clock: until when it holds its session
	sequence    uint64

	module        *module // nil: the node selects servers by choose instead
	dueRequests   float64
	counts        []fleet.ZoneEvidence
	byServer      []map[int][2]int // by zone and server: attempts and lost attempts in the window
	windowStart   time.Duration    // by the node's clock: start of the current window
	pendingLosses []lostAttempt    // lost attempts that have not ended yet
	avoided       map[[2]int]avoidedServer
	buckets       map[[2]int]tokenBucket
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

// tokenBucket is a token bucket for the budget that a server has at this node.
type tokenBucket struct {
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

// start begins a new process. Its intent is that of the agent's disk copy with an age of an hour, so that directives have expired.
func (n *node) start() {
	n.process++
	n.incarnation++
	n.down = false
	n.sequence = 0
	n.leasedUntil = 0
	now := n.clock.read(n.sim.now)
	n.confirmedAt, n.windowStart = now-time.Hour, now
	n.pendingLosses = nil
	n.avoided = map[[2]int]avoidedServer{}
	n.buckets = map[[2]int]tokenBucket{}
	n.clear()
	if n.sim.plan.Module {
		n.startModule()
	}
	n.every(tickInterval, n.sendRequests)
	n.every(250*time.Millisecond, n.report)
	n.every(time.Second, n.poll)
}

func (n *node) clear() {
	n.counts = make([]fleet.ZoneEvidence, n.sim.plan.Zones)
	n.byServer = make([]map[int][2]int, n.sim.plan.Zones)
}

// every calls do at intervals of d by the node's clock, until the process ends; while the process is stalled, the calls
// wait.
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
		n.sim.after(n.clock.realDuration(d), next)
	}
	n.sim.after(time.Duration(n.sim.random.Int64N(int64(d))), next)
}

// receive handles a replica's answer. The node ignores an intent that is older than its own.
func (n *node) receive(it *intent) {
	if n.down {
		return
	}
	if wait := n.stalledUntil - n.sim.now; wait > 0 {
		run := n.process
		n.sim.after(wait, func() {
			if n.process == run {
				n.receive(it)
			}
		})
		return
	}
	if it.revision < n.intent.revision && !n.sim.hooks.acceptOlder {
		return
	}
	if it.revision < n.intent.revision {
		n.sim.recordBreach("revision", "%s goes back from %d to %d", n.name, n.intent.revision, it.revision)
	}
	n.intent, n.confirmedAt = it.within(n.services()), n.clock.read(n.sim.now)
	if n.module != nil {
		n.module.updateZones()
	}
	n.sim.received(n)
}

// poll requests the newest intent from a replica.
func (n *node) poll() {
	n.sim.deliver(n.index, func() {
		it := n.sim.control.intent
		n.sim.deliver(n.index, func() { n.receive(it) })
	})
}

func (n *node) report() {
	now := n.clock.read(n.sim.now)
	r := fleet.Report{Member: n.member(), Services: n.services(), Revision: n.intent.revision, Ready: true, WindowMS: (now - n.windowStart).Milliseconds()}
	n.sequence++
	r.Sequence = n.sequence
	if n.module != nil {
		n.module.addEvidence(&r)
	}
	for z, c := range n.counts {
		if n.module != nil {
			break
		}
		c.Zone, c.Listed = n.sim.zones[z], n.sim.plan.Servers
		for _, t := range n.byServer[z] {
			c.Servers++
			if t[0] == t[1] {
				c.LostServers++
			}
		}
		r.Zones = append(r.Zones, c)
	}
	n.windowStart = now
	n.clear()
	n.falsify(&r)
	n.acknowledge(&r)
	run := n.process
	n.sim.deliver(n.index, func() {
		n.sim.control.report(n.index, r, func() {
			if n.process == run && !n.down && n.sim.now >= n.stalledUntil {
				n.leasedUntil = max(n.leasedUntil, now+time.Duration(n.sim.leasePart*float64(ttl)))
			}
		})
	})
}

// lying reports whether a Liar fault is active on the named node.
func (s *Sim) lying(name string) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.name == name && slices.ContainsFunc(s.plan.Faults, func(f Fault) bool { return f.Kind == Liar && f.isActive(s.now) && f.affects(n.index) })
	})
}

// falsify replaces evidence in the report by total loss while a Liar fault is active on the node.
func (n *node) falsify(r *fleet.Report) {
	for _, f := range n.sim.plan.Faults {
		if f.Kind == Liar && f.isActive(n.sim.now) && f.affects(n.index) {
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

// nodeShare returns the share and the rate that the node's directives grant it at a zone.
func (n *node) nodeShare(zone int) zones.NodeShare {
	if len(n.intent.directives) == 0 {
		return zones.NodeShare{Share: 1}
	}
	expired := n.clock.read(n.sim.now)-n.confirmedAt > n.sim.settings.DirectiveLifetime && !n.sim.hooks.neverExpire
	p := zones.NodeShare{Share: 1}
	for _, key := range n.keys[zone] {
		if e, ok := n.intent.directives[key]; ok {
			p = zones.MergeShares(zones.NodeShareOf(e.Directive, n.name, expired), p)
		}
	}
	p.Rate *= n.sim.hooks.rateFactor
	return p
}

// sendRequests ends the lost attempts that are due and sends the requests of one tick.
func (n *node) sendRequests() {
	s, now := n.sim, n.clock.read(n.sim.now)
	n.pendingLosses = slices.DeleteFunc(n.pendingLosses, func(l lostAttempt) bool {
		if s.now < l.endsAt {
			return false
		}
		n.recordAttempt(l.zone, l.id, false)
		return true
	})
	shares := make([]zones.NodeShare, s.plan.Zones)
	for z := range shares {
		shares[z] = n.nodeShare(z)
		s.recordStop(n, z, shares[z].Share == 0)
	}
	if n.module != nil {
		s.node(n, now)
		return
	}
	for n.dueRequests += nodeDemand * tickInterval.Seconds(); n.dueRequests >= 1; n.dueRequests-- {
		for attempt := range 2 {
			zone, id, ok := n.choose(shares, now, attempt)
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
				n.recordAttempt(zone, id, true)
				break
			}
			n.pendingLosses = append(n.pendingLosses, lostAttempt{s.now + lossTimeout, zone, id})
			s.result.Lost++
		}
	}
	s.node(n, now)
}

// choose selects a server for an attempt. A first attempt goes to a zone on trial if that zone has budget left; otherwise
// the zones' shares are the weights of a random choice, without servers that are avoided after two consecutive lost
// attempts and servers whose budget is used up.
func (n *node) choose(shares []zones.NodeShare, now time.Duration, attempt int) (zone, id int, ok bool) {
	s := n.sim
	total := 0.0
	for z, p := range shares {
		if p.Trial && attempt == 0 {
			if id := s.random.IntN(s.plan.Servers); n.takeToken(z, id, p.Rate, now) {
				return z, id, true
			}
		}
		total += p.Share
	}
	for range 4 {
		at := s.random.Float64() * total
		for z, p := range shares {
			if at -= p.Share; at >= 0 || p.Share == 0 {
				continue
			}
			id := s.random.IntN(s.plan.Servers)
			if now >= n.avoided[[2]int{z, id}].until && (p.Rate == 0 || n.takeToken(z, id, p.Rate, now)) {
				return z, id, true
			}
			break
		}
	}
	return 0, 0, false
}

// takeToken takes a token for one request from a server's bucket at this node and reports whether there was one.
func (n *node) takeToken(zone, id int, rate float64, now time.Duration) bool {
	key := [2]int{zone, id}
	p, ok := n.buckets[key]
	at := now.Seconds()
	if !ok {
		p = tokenBucket{n.sim.random.Float64(), at}
	}
	p = tokenBucket{math.Min(1, p.tokens+rate*(at-p.updatedAt)), at}
	taken := p.tokens >= 1
	if taken {
		p.tokens--
	}
	n.buckets[key] = p
	return taken
}

// recordAttempt records the outcome of an attempt in the window, and avoids a server after two consecutive lost attempts.
func (n *node) recordAttempt(zone, id int, answered bool) {
	c := &n.counts[zone]
	if n.byServer[zone] == nil {
		n.byServer[zone] = map[int][2]int{}
	}
	t := n.byServer[zone][id]
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
	n.byServer[zone][id] = t
}
