package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// module runs a policy.Module that decides the requests of one node's process.
type module struct {
	node          *node
	process       int
	policy        *policy.Module
	attempts      map[policy.RequestID]int // number of attempts started so far, by request
	finished      map[policy.RequestID]bool
	directedZones map[string]bool // zones that had a directive at the last update
	synced        bool
	requests      int
}

const (
	answerTime     = 20 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// startModule creates the policy module of the node's new process and starts its arrivals.
func (n *node) startModule() {
	set := policy.Settings{
		Nodes:                n.sim.plan.Nodes,
		NodeIndex:            n.index,
		Zone:                 n.sim.zones[n.zone],
		Zones:                n.sim.zones,
		MaxAttempts:          3,
		MayCancel:            true,
		MinTick:              time.Millisecond,
		MaxPollInterval:      time.Hour,
		ConnectTimeout:       lossTimeout,
		SlowStartMinCapacity: n.sim.settings.SlowStartMinCapacity,
		SlowStartWindow:      n.sim.settings.SlowStartWindow,
		OverloadFactor:       1,
		OverloadDuration:     warmingInterval,
		SendsRetryAfter:      true,
		MaxRetryAfter:        time.Second,
		Fleet:                true,
		Classes:              []policy.Class{{Name: "browse", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: requestTimeout, Idempotency: policy.Idempotent}},
	}
	m := &module{
		node:          n,
		process:       n.process,
		policy:        policy.New(set, int64(n.sim.plan.Seed)*1000+int64(n.index)),
		attempts:      map[policy.RequestID]int{},
		finished:      map[policy.RequestID]bool{},
		directedZones: map[string]bool{},
	}
	n.module = m
	var list []policy.Server
	for z, zoneName := range n.sim.zones {
		for id := range n.sim.plan.Servers {
			list = append(list, policy.Server{ID: policy.ServerID(1 + z*n.sim.plan.Servers + id), Name: fmt.Sprintf("%s-%d", zoneName, id), Zone: zoneName})
		}
	}
	m.feed(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Version: 1, Servers: list})
	m.updateZones()
	m.arrivals()
}

// schedule calls do after the given time by the node's clock. If the process has ended by then, do is not called; while the
// process is stalled, the call is delayed until the stall ends.
func (m *module) schedule(after time.Duration, do func()) {
	var then func()
	then = func() {
		switch wait := m.node.stalledUntil - m.node.sim.now; {
		case m.node.process != m.process || m.node.down:
		case wait > 0:
			m.node.sim.after(wait, then)
		default:
			do()
		}
	}
	m.node.sim.after(m.node.clock.realDuration(after), then)
}

func (m *module) arrivals() {
	m.schedule(time.Duration(m.node.sim.random.ExpFloat64()/nodeDemand*float64(time.Second)), func() {
		m.requests++
		id := policy.RequestID(fmt.Sprint(m.requests))
		m.feed(policy.RequestArrived{ID: id, Class: "browse", Timeout: requestTimeout})
		m.schedule(requestTimeout, func() { delete(m.attempts, id); delete(m.finished, id) })
		m.arrivals()
	})
}

func (m *module) feed(e policy.Event) {
	s := m.node.sim
	for _, a := range m.policy.Handle(m.node.clock.read(s.now), e) {
		switch a := a.(type) {
		case policy.Forward:
			attempt := m.attempts[a.ID]
			m.attempts[a.ID]++
			if attempt > 0 {
				s.result.Retries++
			}
			index := int(a.Server) - 1
			ended := policy.AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Elapsed: answerTime, Code: policy.OK}
			if s.request(m.node, index/s.plan.Servers, index%s.plan.Servers) {
				s.result.Answered++
			} else {
				s.result.Lost++
				if ended.Code, ended.Elapsed = policy.TimedOut, lossTimeout; a.Timeout > 0 {
					ended.Elapsed = min(ended.Elapsed, a.Timeout)
				}
			}
			m.schedule(ended.Elapsed, func() {
				m.finished[a.ID] = m.finished[a.ID] || ended.Code == policy.OK
				ended.Answered = m.finished[a.ID]
				m.feed(ended)
			})
		case policy.CancelAttempt:
			m.schedule(time.Millisecond, func() {
				m.feed(policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled, Answered: m.finished[a.ID]})
			})
		case policy.Reject:
			s.result.Rejected++
			m.finished[a.ID] = true
		case policy.Fail:
			s.result.Rejected++
			m.finished[a.ID] = true
		case policy.SetTimer:
			m.schedule(a.After, func() { m.feed(policy.TimerFired{Token: a.Token}) })
		}
	}
}

// updateZones feeds the module the zone directives that its node holds, with the age of the node's intent.
func (m *module) updateZones() {
	n := m.node
	age := n.clock.read(n.sim.now) - n.confirmedAt
	for z, zoneName := range n.sim.zones {
		update := policy.ZoneDirective{Zone: zoneName, Revision: n.intent.revision, IntentRevision: n.intent.revision,
			Serving: true, Share: 1, Floor: 1, Age: age}
		e, hasAll := n.intent.directives[n.keys[z][0]]
		own, hasOwn := n.intent.directives[n.keys[z][1]]
		if hasOwn && (!hasAll || fleet.OwnTakesPrecedence(e.Directive, own.Directive)) {
			e = own
		}
		if hasAll || hasOwn {
			applied := fleet.AppliedZoneOf(e.Revision, e.Directive, n.name)
			update = policy.ZoneDirective{
				Zone:           zoneName,
				Revision:       e.Revision,
				IntentRevision: n.intent.revision,
				Share:          applied.Share,
				Floor:          applied.Floor,
				Rate:           applied.Rate,
				Trial:          applied.Trial,
				Age:            age,
				ValidFor:       time.Duration(applied.ValidMS) * time.Millisecond,
			}
		} else if !m.directedZones[zoneName] {
			continue
		}
		m.directedZones[zoneName] = hasAll || hasOwn
		m.feed(update)
	}
	if !m.synced {
		m.synced = true
		m.feed(policy.FleetSynced{Revision: n.intent.revision})
	}
}

// addEvidence adds the module's evidence about each zone to a report.
func (m *module) addEvidence(r *fleet.Report) {
	windows := map[string]policy.ZoneWindow{}
	for _, z := range m.policy.Window(m.node.clock.read(m.node.sim.now)).Zones {
		windows[z.Zone] = z
	}
	for _, zoneName := range slices.Sorted(maps.Keys(windows)) {
		z := windows[zoneName]
		r.Zones = append(r.Zones, fleet.ZoneEvidence{
			Zone:        zoneName,
			Attempts:    z.Attempts,
			Lost:        z.Lost,
			Servers:     z.Servers,
			LostServers: z.LostServers,
			Answered:    z.Answered,
			Listed:      z.Listed,
			Started:     z.Started,
			Rate:        z.Rate,
		})
	}
}
