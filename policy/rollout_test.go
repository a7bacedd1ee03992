package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"
)

// A whole fleet of modules around warming servers: each server counts what all nodes send it while it warms up.

// rollout is the make of a fleet, and what happens to it while servers warm up.
type rollout struct {
	settings       Settings
	work           []time.Duration // mean work by class, on a core of speed 1
	mix            []float64       // part of the requests by class
	nodes          int
	servers        int
	cores          int
	speeds         []float64 // by kind: every second server is of the second
	newServerSpeed float64   // how much faster new servers are, once warm
	// part of what the warm servers can do; from 10 s before the slow-start window's end on
	load         float64
	laterLoad    float64
	replacedPart float64 // of the servers that are replaced, within spread
	spread       time.Duration
	restarts     float64       // part of the nodes that restart within the slow-start window
	lull         float64       // load in the first half of the slow-start window, if not 0
	early        bool          // the nodes restart as servers do, not later
	awayTime     time.Duration // for so long servers are away before they return warming under their ids; 0: others come
	errorPart    float64       // part of the answers of warming servers that are errors
	length       time.Duration // of the run from the release on; 0: until all are warm
	surge        time.Duration // from the release to the later load; 0: half of the slow-start window
}

// rolloutResult is what came of it.
type rolloutResult struct {
	maxExcessRoots float64 // most calls beyond the budget N, in roots of N
	maxExcess      float64 // most calls beyond N+2√N+2
	// warming servers that got more than N+2√N+2; all of them
	overBudget   int
	warming      int
	servedPart   float64 // of the requests' weight that was answered in time, from the release on
	usedCapacity float64 // part of the warming servers' capacity that was used
	maxRatio     float64 // most calls as a part of N
}

type warmingSend struct {
	at       Time
	notified bool
}

type warmingServer struct {
	started    Time // 0: long ago
	speed      float64
	free       []Time
	sends      []warmingSend
	notified   map[*Module]bool
	away       bool
	inFlight   int
	overBudget bool
	isWarming  bool
}

// capacityPart is the least part of its capacity that a started server has.
func (c *rollout) capacityPart(s *warmingServer, now Time) float64 {
	if s.started == 0 || now >= s.started+c.settings.SlowStartWindow {
		return 1
	}
	return c.settings.SlowStartMinCapacity + (1-c.settings.SlowStartMinCapacity)*(now-s.started).Seconds()/c.settings.SlowStartWindow.Seconds()
}

func (c *rollout) run(seed int64) (o rolloutResult) {
	o.maxExcessRoots, o.maxExcess = math.Inf(-1), math.Inf(-1)
	const warmUp = 12 * time.Second
	r := rand.New(rand.NewSource(seed))
	mean := 0.0
	for i, w := range c.work {
		mean += c.mix[i] * w.Seconds()
	}
	zones := []string{"a", "b", "c", "d"}
	servers, capacity := map[ServerID]*warmingServer{}, 0.0
	list := map[ServerID]Server{}
	add := func(id ServerID, zone string, started Time, like float64, kind string) {
		sv := &warmingServer{started: started, speed: like, notified: map[*Module]bool{}, free: make([]Time, c.cores)}
		for i := range sv.free {
			sv.free[i] = started
		}
		servers[id] = sv
		list[id] = Server{ID: id, Zone: zone, Kind: kind, StartedAt: started}
	}
	for i := range c.servers {
		speed := c.speeds[i%len(c.speeds)]
		add(ServerID(i+1), zones[i/2%4], 0, speed, fmt.Sprint("kind", i%len(c.speeds)))
		capacity += float64(c.cores) * speed / mean
	}
	var q eventQueue
	start := time.Hour
	at := func(t Time, node int, e Event) { heap.Push(&q, queuedEvent{t, node, e}) }
	nodes := make([]*Module, c.nodes)
	began := make([]int, c.nodes) // times the node started: timers and outcomes of an older process are dropped
	full := func() (l EndpointUpdate) {
		l.Kind = EndpointsComplete
		for id := ServerID(1); id <= ServerID(3*c.servers); id++ {
			if s, ok := list[id]; ok {
				l.Servers = append(l.Servers, s)
			}
		}
		return l
	}
	boot := func(self int, now Time) {
		s := c.settings
		s.Nodes = c.nodes
		s.NodeIndex = self
		s.Zones = zones
		s.Zone = zones[self%4]
		began[self]++
		nodes[self] = New(s, seed*100003+int64(self)*17+int64(began[self]))
		nodes[self].Handle(now, full())
		for _, s := range list {
			servers[s.ID].notified[nodes[self]] = true
		}
		at(now+time.Duration(r.Intn(25))*time.Millisecond, self, TimerFired{Token: int64(began[self])})
	}
	for self := range c.nodes {
		boot(self, start)
	}
	t0 := start + warmUp
	end := t0 + c.spread + c.settings.SlowStartWindow
	if c.length > 0 {
		end = t0 + c.length
	}
	// events of the world itself stand under node -2: a function is run
	var todo []func(now Time)
	plan := func(t Time, f func(now Time)) {
		todo = append(todo, f)
		at(t, -2, TimerFired{Token: int64(len(todo) - 1)})
	}
	replaced := int(c.replacedPart * float64(c.servers))
	for k, i := range r.Perm(c.servers)[:replaced] {
		old, id := ServerID(i+1), ServerID(c.servers+k+1)
		from := t0 + time.Duration(float64(c.spread)*float64(k)/float64(max(1, replaced)))
		if c.awayTime > 0 {
			id = old
			plan(from-c.awayTime, func(Time) { servers[old].away = true })
		}
		plan(from, func(now Time) {
			was := list[old]
			if c.awayTime == 0 {
				delete(list, old)
			}
			removed := was
			removed.State = Removed
			add(id, was.Zone, now, servers[old].speed*c.newServerSpeed, was.Kind)
			neu := list[id]
			if list[id] = was; c.awayTime == 0 {
				delete(list, id)
			}
			plan(now+time.Duration(300+r.Intn(700))*time.Millisecond, func(now Time) {
				list[id] = neu
				for self := range nodes {
					n, gen := self, began[self]
					plan(now+time.Duration(r.Intn(600))*time.Millisecond, func(now Time) {
						if began[n] == gen && nodes[n] != nil {
							servers[id].notified[nodes[n]] = true
							entries := []Server{removed, neu}
							if c.awayTime > 0 {
								entries = entries[1:]
							}
							nodes[n].Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: entries})
						}
					})
				}
			})
		})
	}
	for _, self := range r.Perm(c.nodes)[:int(c.restarts*float64(c.nodes))] {
		from := t0 + c.spread/2 + time.Duration(r.Float64()*0.5*float64(c.settings.SlowStartWindow))
		if c.early {
			from = t0 + c.spread/2 + time.Duration(r.Float64()*float64(time.Second))
		}
		plan(from, func(now Time) {
			nodes[self] = nil
			plan(now+time.Duration(500+r.Intn(500))*time.Millisecond, func(now Time) { boot(self, now) })
		})
	}
	type live struct {
		came     Time
		class    int
		legs     int
		over     bool
		attempts int
		gen      int
		node     int
		timed    []bool
	}
	reqs := map[RequestID]*live{}
	id := 0
	requested := 0.0
	inTime := 0.0
	done := 0.0
	could := 0.0
	at(start, -1, nil)
	weight := make([]float64, c.nodes)
	sum := 0.0
	for i := range weight {
		weight[i] = 0.5 + r.ExpFloat64()*0.5
		sum += weight[i]
	}
	carry := func(now Time, node int, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				at(now+a.After, node, TimerFired{Token: int64(began[node])})
			case Forward:
				q := reqs[a.ID]
				leg := q.legs
				q.legs++
				q.timed = append(q.timed, false)
				sv := servers[a.Server]
				part := c.capacityPart(sv, now)
				if part < 1 {
					sv.isWarming = true
					sv.sends = append(sv.sends, warmingSend{now, sv.notified[nodes[node]]})
					n, notified := 0, 0
					for k := len(sv.sends) - 1; k >= 0 && sv.sends[k].at > now-c.settings.OverloadDuration; k-- {
						if n++; sv.sends[k].notified {
							notified++
						}
					}
					if 3*notified <= 2*n {
						n = notified // no break of the rule
					}
					budget := c.settings.OverloadFactor * part * float64(c.cores) * sv.speed / mean * c.settings.OverloadDuration.Seconds()
					o.maxExcessRoots = math.Max(o.maxExcessRoots, (float64(n)-budget)/math.Sqrt(budget))
					o.maxRatio = math.Max(o.maxRatio, float64(n)/budget)
					over := float64(n) - budget - 2*math.Sqrt(budget) - 2
					o.maxExcess = math.Max(o.maxExcess, over)
					sv.overBudget = sv.overBudget || over > 0
				}
				first := 0
				for i := range sv.free {
					if sv.free[i] < sv.free[first] {
						first = i
					}
				}
				work := time.Duration(r.ExpFloat64() * float64(c.work[q.class]) / sv.speed / part)
				began := max(now, sv.free[first])
				took := a.Timeout
				code := TimedOut
				switch {
				case sv.away:
					took, code = 3*time.Millisecond, Reset
				case part < 1 && r.Float64() < c.errorPart:
					took, code = 5*time.Millisecond, ServerError
				case sv.inFlight >= 10*c.cores:
					took, code = 2*time.Millisecond, Rejected
				case began < now+a.Timeout:
					sv.free[first] = began + work
					if began+work < now+a.Timeout {
						took, code = began+work-now+time.Millisecond, OK
					}
				}
				if code != Rejected && code != Reset && code != ServerError {
					sv.inFlight++
				}
				at(now+took, node, AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Code: code, Elapsed: took})
			case Reject:
				q := reqs[a.ID]
				q.over = true
				if q.attempts < 2 && r.Float64() < 0.6 {
					q.attempts++
					old := *q
					plan(now+max(a.RetryAfter, 5*time.Millisecond), func(now Time) {
						id++
						rid := RequestID(fmt.Sprint(id))
						k := &live{came: old.came, class: old.class, attempts: old.attempts, node: r.Intn(c.nodes)}
						timeout := c.settings.Classes[old.class].Deadline - (now - old.came)
						if nodes[k.node] == nil || timeout <= 0 {
							return
						}
						reqs[rid], k.gen = k, began[k.node]
						at(now, k.node, RequestArrived{ID: rid, Class: c.settings.Classes[old.class].Name, Timeout: timeout})
					})
				}
			case CancelAttempt:
			case Fail:
				reqs[a.ID].over = true
			}
		}
	}
	for now := start; now < end; {
		d := heap.Pop(&q).(queuedEvent)
		now = d.at
		switch {
		case d.node == -2:
			todo[d.event.(TimerFired).Token](now)
			continue
		case d.node == -1:
			load, turn := c.load, t0+c.spread+c.settings.SlowStartWindow/2
			if c.surge > 0 {
				turn = t0 + c.surge
			}
			switch {
			case now > t0 && c.lull > 0 && now < turn:
				load = c.lull
			case now > turn && c.laterLoad > 0:
				load = c.laterLoad
			}
			at(now+time.Duration(r.ExpFloat64()/(load*capacity)*float64(time.Second)), -1, nil)
			id++
			class := 0
			for x := r.Float64(); class < len(c.mix)-1; class++ {
				if x -= c.mix[class]; x < 0 {
					break
				}
			}
			node := 0
			for x := r.Float64() * sum; node < c.nodes-1; node++ {
				if x -= weight[node]; x < 0 {
					break
				}
			}
			if now > t0 {
				requested += c.settings.Classes[class].PriorityWeight
			}
			if nodes[node] == nil {
				continue
			}
			rid := RequestID(fmt.Sprint(id))
			reqs[rid] = &live{came: now, class: class, node: node, gen: began[node]}
			d = queuedEvent{now, node, RequestArrived{ID: rid, Class: c.settings.Classes[class].Name, Timeout: c.settings.Classes[class].Deadline}}
		}
		m := nodes[d.node]
		switch e := d.event.(type) {
		case TimerFired:
			if e.Token != int64(began[d.node]) {
				continue
			}
		case AttemptEnded:
			q := reqs[e.ID]
			sv := servers[e.Server]
			if e.Code != Rejected && e.Code != Reset && e.Code != ServerError {
				sv.inFlight--
			}
			if q.gen != began[d.node] {
				continue
			}
			if e.Code == OK {
				if part := c.capacityPart(sv, now); part < 1 {
					done++
				}
				if class := c.settings.Classes[q.class]; !q.over && q.came > t0 && now-q.came <= class.LatencyObjective {
					inTime += class.PriorityWeight
				}
			}
			e.Answered = q.over || e.Code == OK
			q.over = e.Answered
			d.event = e
		}
		if m == nil {
			continue
		}
		carry(now, d.node, m.Handle(now, d.event))
	}
	for _, sv := range servers {
		if sv.started > 0 {
			o.warming++
			could += (1 + c.settings.SlowStartMinCapacity) / 2 * c.settings.SlowStartWindow.Seconds() * float64(c.cores) * sv.speed / mean
			if sv.overBudget {
				o.overBudget++
			}
		}
	}
	o.servedPart, o.usedCapacity = inTime/requested, done/math.Max(1, could)
	return o
}
