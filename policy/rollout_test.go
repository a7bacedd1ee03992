package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"
)

// This file simulates a whole fleet of modules while servers are replaced: each warming server counts the attempts that it gets
// from all nodes.

// rollout configures a simulated fleet, and the events while its servers warm up.
type rollout struct {
	settings       Settings
	work           []time.Duration // mean work by class, on a core of speed 1
	mix            []float64       // fraction of the requests by class
	nodes          int
	servers        int
	cores          int
	speeds         []float64 // by kind of server; the kinds alternate
	newServerSpeed float64   // speed of new servers, once warm, as a multiple of the old ones'
	// load as a fraction of the warm servers' capacity; laterLoad applies from the time that surge gives, if it is not 0: by
	// default 10 s before the end of a slow-start window of 20 s
	load         float64
	laterLoad    float64
	replacedPart float64 // fraction of the servers that are replaced, over the time spread
	spread       time.Duration
	restarts     float64       // fraction of the nodes that restart within the slow-start window
	lull         float64       // load between the rollout's start and the later load; 0: load
	early        bool          // the nodes restart within 1 s from the middle of spread
	awayTime     time.Duration // how long servers are away before they return under their ids; 0: new ids replace them
	errorPart    float64       // fraction of the answers of warming servers that are errors
	length       time.Duration // duration of the run from the rollout's start; 0: until all servers are warm
	surge        time.Duration // from the rollout's start to the later load; 0: spread and half of the slow-start window
}

// rolloutResult holds the results of a simulated rollout. N is a warming server's budget of attempts in OverloadDuration.
type rolloutResult struct {
	maxExcessRoots float64 // most attempts beyond the budget N, in units of √N
	maxExcess      float64 // most attempts beyond N+2√N+2
	// warming counts the servers that warmed up, overBudget those of them that got more than N+2√N+2 attempts
	overBudget   int
	warming      int
	servedPart   float64 // fraction of the requests' weight that was answered in time, from the rollout's start on
	usedCapacity float64 // fraction of the warming servers' capacity that was used
	maxRatio     float64 // most attempts as a multiple of N
}

type warmingSend struct {
	at       Time
	notified bool
}

type warmingServer struct {
	started     Time // 0: long ago
	speed       float64
	coresFreeAt []Time
	sends       []warmingSend
	notified    map[*Module]bool
	away        bool
	inFlight    int
	overBudget  bool
	isWarming   bool
}

// capacityPart returns the least fraction of its capacity that a server has while it warms up, and 1 after that.
func (r *rollout) capacityPart(s *warmingServer, now Time) float64 {
	if s.started == 0 || now >= s.started+r.settings.SlowStartWindow {
		return 1
	}
	return r.settings.SlowStartMinCapacity + (1-r.settings.SlowStartMinCapacity)*(now-s.started).Seconds()/r.settings.SlowStartWindow.Seconds()
}

func (r *rollout) run(seed int64) (result rolloutResult) {
	result.maxExcessRoots, result.maxExcess = math.Inf(-1), math.Inf(-1)
	const warmUp = 12 * time.Second
	rng := rand.New(rand.NewSource(seed))
	mean := 0.0
	for i, w := range r.work {
		mean += r.mix[i] * w.Seconds()
	}
	zones := []string{"a", "b", "c", "d"}
	servers, capacity := map[ServerID]*warmingServer{}, 0.0
	list := map[ServerID]Server{}
	add := func(id ServerID, zone string, started Time, coreSpeed float64, kind string) {
		target := &warmingServer{started: started, speed: coreSpeed, notified: map[*Module]bool{}, coresFreeAt: make([]Time, r.cores)}
		for i := range target.coresFreeAt {
			target.coresFreeAt[i] = started
		}
		servers[id] = target
		list[id] = Server{ID: id, Zone: zone, Kind: kind, StartedAt: started}
	}
	for i := range r.servers {
		speed := r.speeds[i%len(r.speeds)]
		add(ServerID(i+1), zones[i/2%4], 0, speed, fmt.Sprint("kind", i%len(r.speeds)))
		capacity += float64(r.cores) * speed / mean
	}
	var q eventQueue
	start := time.Hour
	at := func(t Time, node int, e Event) { heap.Push(&q, queuedEvent{t, node, e}) }
	nodes := make([]*Module, r.nodes)
	starts := make([]int, r.nodes) // how often each node has started: timers and outcomes of an earlier process are dropped
	completeList := func() (l EndpointUpdate) {
		l.Kind = EndpointsComplete
		for id := ServerID(1); id <= ServerID(3*r.servers); id++ {
			if s, ok := list[id]; ok {
				l.Servers = append(l.Servers, s)
			}
		}
		return l
	}
	startNode := func(self int, now Time) {
		s := r.settings
		s.Nodes = r.nodes
		s.NodeIndex = self
		s.Zones = zones
		s.Zone = zones[self%4]
		starts[self]++
		nodes[self] = New(s, seed*100003+int64(self)*17+int64(starts[self]))
		nodes[self].Handle(now, completeList())
		for _, s := range list {
			servers[s.ID].notified[nodes[self]] = true
		}
		at(now+time.Duration(rng.Intn(25))*time.Millisecond, self, TimerFired{Token: int64(starts[self])})
	}
	for self := range r.nodes {
		startNode(self, start)
	}
	rolloutStart := start + warmUp
	end := rolloutStart + r.spread + r.settings.SlowStartWindow
	if r.length > 0 {
		end = rolloutStart + r.length
	}
	// Node -2 stands for events of the simulation itself, which run a function.
	var functions []func(now Time)
	schedule := func(t Time, f func(now Time)) {
		functions = append(functions, f)
		at(t, -2, TimerFired{Token: int64(len(functions) - 1)})
	}
	replaced := int(r.replacedPart * float64(r.servers))
	for k, i := range rng.Perm(r.servers)[:replaced] {
		old, id := ServerID(i+1), ServerID(r.servers+k+1)
		from := rolloutStart + time.Duration(float64(r.spread)*float64(k)/float64(max(1, replaced)))
		if r.awayTime > 0 {
			id = old
			schedule(from-r.awayTime, func(Time) { servers[old].away = true })
		}
		schedule(from, func(now Time) {
			oldEntry := list[old]
			if r.awayTime == 0 {
				delete(list, old)
			}
			removed := oldEntry
			removed.State = Removed
			add(id, oldEntry.Zone, now, servers[old].speed*r.newServerSpeed, oldEntry.Kind)
			newEntry := list[id]
			if list[id] = oldEntry; r.awayTime == 0 {
				delete(list, id)
			}
			schedule(now+time.Duration(300+rng.Intn(700))*time.Millisecond, func(now Time) {
				list[id] = newEntry
				for self := range nodes {
					n, startCount := self, starts[self]
					schedule(now+time.Duration(rng.Intn(600))*time.Millisecond, func(now Time) {
						if starts[n] == startCount && nodes[n] != nil {
							servers[id].notified[nodes[n]] = true
							entries := []Server{removed, newEntry}
							if r.awayTime > 0 {
								entries = entries[1:]
							}
							nodes[n].Handle(now, EndpointUpdate{Kind: EndpointsChanged, Servers: entries})
						}
					})
				}
			})
		})
	}
	for _, self := range rng.Perm(r.nodes)[:int(r.restarts*float64(r.nodes))] {
		from := rolloutStart + r.spread/2 + time.Duration(rng.Float64()*0.5*float64(r.settings.SlowStartWindow))
		if r.early {
			from = rolloutStart + r.spread/2 + time.Duration(rng.Float64()*float64(time.Second))
		}
		schedule(from, func(now Time) {
			nodes[self] = nil
			schedule(now+time.Duration(500+rng.Intn(500))*time.Millisecond, func(now Time) { startNode(self, now) })
		})
	}
	type liveRequest struct {
		arrivedAt  Time
		class      int
		attempts   int
		over       bool
		retries    int
		startCount int
		node       int
	}
	requests := map[RequestID]*liveRequest{}
	id := 0
	offeredWeight := 0.0
	inTimeWeight := 0.0
	warmingAnswers := 0.0
	capacityAnswers := 0.0
	at(start, -1, nil)
	weight := make([]float64, r.nodes)
	sum := 0.0
	for i := range weight {
		weight[i] = 0.5 + rng.ExpFloat64()*0.5
		sum += weight[i]
	}
	carryOut := func(now Time, node int, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				at(now+a.After, node, TimerFired{Token: int64(starts[node])})
			case Forward:
				q := requests[a.ID]
				attempt := q.attempts
				q.attempts++
				target := servers[a.Server]
				part := r.capacityPart(target, now)
				if part < 1 {
					target.isWarming = true
					target.sends = append(target.sends, warmingSend{now, target.notified[nodes[node]]})
					n, notified := 0, 0
					for k := len(target.sends) - 1; k >= 0 && target.sends[k].at > now-r.settings.OverloadDuration; k-- {
						if n++; target.sends[k].notified {
							notified++
						}
					}
					if 3*notified <= 2*n {
						n = notified // a third or more come from nodes that have no notice of the start: not a violation
					}
					budget := r.settings.OverloadFactor * part * float64(r.cores) * target.speed / mean * r.settings.OverloadDuration.Seconds()
					result.maxExcessRoots = math.Max(result.maxExcessRoots, (float64(n)-budget)/math.Sqrt(budget))
					result.maxRatio = math.Max(result.maxRatio, float64(n)/budget)
					over := float64(n) - budget - 2*math.Sqrt(budget) - 2
					result.maxExcess = math.Max(result.maxExcess, over)
					target.overBudget = target.overBudget || over > 0
				}
				first := 0
				for i := range target.coresFreeAt {
					if target.coresFreeAt[i] < target.coresFreeAt[first] {
						first = i
					}
				}
				work := time.Duration(rng.ExpFloat64() * float64(r.work[q.class]) / target.speed / part)
				starts := max(now, target.coresFreeAt[first])
				elapsed := a.Timeout
				code := TimedOut
				switch {
				case target.away:
					elapsed, code = 3*time.Millisecond, Reset
				case part < 1 && rng.Float64() < r.errorPart:
					elapsed, code = 5*time.Millisecond, ServerError
				case target.inFlight >= 10*r.cores:
					elapsed, code = 2*time.Millisecond, Rejected
				case starts < now+a.Timeout:
					target.coresFreeAt[first] = starts + work
					if starts+work < now+a.Timeout {
						elapsed, code = starts+work-now+time.Millisecond, OK
					}
				}
				if code != Rejected && code != Reset && code != ServerError {
					target.inFlight++
				}
				at(now+elapsed, node, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Code: code, Elapsed: elapsed})
			case Reject:
				q := requests[a.ID]
				q.over = true
				if q.retries < 2 && rng.Float64() < 0.6 {
					q.retries++
					old := *q
					schedule(now+max(a.RetryAfter, 5*time.Millisecond), func(now Time) {
						id++
						rid := RequestID(fmt.Sprint(id))
						k := &liveRequest{arrivedAt: old.arrivedAt, class: old.class, retries: old.retries, node: rng.Intn(r.nodes)}
						timeout := r.settings.Classes[old.class].Deadline - (now - old.arrivedAt)
						if nodes[k.node] == nil || timeout <= 0 {
							return
						}
						requests[rid], k.startCount = k, starts[k.node]
						at(now, k.node, RequestArrived{ID: rid, Class: r.settings.Classes[old.class].Name, Timeout: timeout})
					})
				}
			case CancelAttempt:
			case Fail:
				requests[a.ID].over = true
			}
		}
	}
	for now := start; now < end; {
		d := heap.Pop(&q).(queuedEvent)
		now = d.at
		switch {
		case d.node == -2:
			functions[d.event.(TimerFired).Token](now)
			continue
		case d.node == -1:
			load, laterLoadAt := r.load, rolloutStart+r.spread+r.settings.SlowStartWindow/2
			if r.surge > 0 {
				laterLoadAt = rolloutStart + r.surge
			}
			switch {
			case now > rolloutStart && r.lull > 0 && now < laterLoadAt:
				load = r.lull
			case now > laterLoadAt && r.laterLoad > 0:
				load = r.laterLoad
			}
			at(now+time.Duration(rng.ExpFloat64()/(load*capacity)*float64(time.Second)), -1, nil)
			id++
			class := 0
			for x := rng.Float64(); class < len(r.mix)-1; class++ {
				if x -= r.mix[class]; x < 0 {
					break
				}
			}
			node := 0
			for x := rng.Float64() * sum; node < r.nodes-1; node++ {
				if x -= weight[node]; x < 0 {
					break
				}
			}
			if now > rolloutStart {
				offeredWeight += r.settings.Classes[class].PriorityWeight
			}
			if nodes[node] == nil {
				continue
			}
			rid := RequestID(fmt.Sprint(id))
			requests[rid] = &liveRequest{arrivedAt: now, class: class, node: node, startCount: starts[node]}
			d = queuedEvent{now, node, RequestArrived{ID: rid, Class: r.settings.Classes[class].Name, Timeout: r.settings.Classes[class].Deadline}}
		}
		m := nodes[d.node]
		switch e := d.event.(type) {
		case TimerFired:
			if e.Token != int64(starts[d.node]) {
				continue
			}
		case AttemptEnded:
			q := requests[e.ID]
			target := servers[e.Server]
			if e.Code != Rejected && e.Code != Reset && e.Code != ServerError {
				target.inFlight--
			}
			if q.startCount != starts[d.node] {
				continue
			}
			if e.Code == OK {
				if part := r.capacityPart(target, now); part < 1 {
					warmingAnswers++
				}
				if class := r.settings.Classes[q.class]; !q.over && q.arrivedAt > rolloutStart && now-q.arrivedAt <= class.LatencyObjective {
					inTimeWeight += class.PriorityWeight
				}
			}
			e.Answered = q.over || e.Code == OK
			q.over = e.Answered
			d.event = e
		}
		if m == nil {
			continue
		}
		carryOut(now, d.node, m.Handle(now, d.event))
	}
	for _, target := range servers {
		if target.started > 0 {
			result.warming++
			capacityAnswers += (1 + r.settings.SlowStartMinCapacity) / 2 * r.settings.SlowStartWindow.Seconds() * float64(r.cores) * target.speed / mean
			if target.overBudget {
				result.overBudget++
			}
		}
	}
	result.servedPart, result.usedCapacity = inTimeWeight/offeredWeight, warmingAnswers/math.Max(1, capacityAnswers)
	return result
}
