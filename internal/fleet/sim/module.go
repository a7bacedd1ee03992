package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// module is a node whose requests are decided by the module itself.
type module struct {
	node          *node
	process       int
	policy        *policy.Module
	open          map[policy.RequestID]int // attempts so far
	finished      map[policy.RequestID]bool
	directedZones map[string]bool // zones that had a directive at the last update
	synced        bool
	requests      int
}

const (
	answerTime = 20 * time.Millisecond
	patience   = 2 * time.Second
)

// decides starts a module for a node's run.
func (n *node) decides() {
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
		Classes:              []policy.Class{{Name: "browse", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: patience, Idempotency: policy.Idempotent}},
	}
	d := &module{
		node:          n,
		process:       n.process,
		policy:        policy.New(set, int64(n.sim.plan.Seed)*1000+int64(n.index)),
		open:          map[policy.RequestID]int{},
		finished:      map[policy.RequestID]bool{},
		directedZones: map[string]bool{},
	}
	n.module = d
	var list []policy.Server
	for z, y := range n.sim.zones {
		for id := range n.sim.plan.Servers {
			list = append(list, policy.Server{ID: policy.ServerID(1 + z*n.sim.plan.Servers + id), Name: fmt.Sprintf("%s-%d", y, id), Zone: y})
		}
	}
	d.feed(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Version: 1, Servers: list})
	d.updateZones()
	d.arrivals()
}

// soon feeds an event after so long, by the node's clock, unless its process has ended; one that stands still has it late.
func (d *module) soon(after time.Duration, do func()) {
	var then func()
	then = func() {
		switch wait := d.node.stalledUntil - d.node.sim.now; {
		case d.node.process != d.process || d.node.down:
		case wait > 0:
			d.node.sim.after(wait, then)
		default:
			do()
		}
	}
	d.node.sim.after(d.node.clock.lasts(after), then)
}

func (d *module) arrivals() {
	d.soon(time.Duration(d.node.sim.random.ExpFloat64()/nodeDemand*float64(time.Second)), func() {
		d.requests++
		id := policy.RequestID(fmt.Sprint(d.requests))
		d.feed(policy.RequestArrived{ID: id, Class: "browse", Timeout: patience})
		d.soon(patience, func() { delete(d.open, id); delete(d.finished, id) })
		d.arrivals()
	})
}

func (d *module) feed(e policy.Event) {
	s := d.node.sim
	for _, a := range d.policy.Handle(d.node.clock.read(s.now), e) {
		switch a := a.(type) {
		case policy.Forward:
			leg := d.open[a.ID]
			d.open[a.ID]++
			if leg > 0 {
				s.result.Retries++
			}
			at := int(a.Server) - 1
			ended := policy.AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Elapsed: answerTime, Code: policy.OK}
			if s.request(d.node, at/s.plan.Servers, at%s.plan.Servers) {
				s.result.Answered++
			} else {
				s.result.Lost++
				if ended.Code, ended.Elapsed = policy.TimedOut, lossTimeout; a.Timeout > 0 {
					ended.Elapsed = min(ended.Elapsed, a.Timeout)
				}
			}
			d.soon(ended.Elapsed, func() {
				d.finished[a.ID] = d.finished[a.ID] || ended.Code == policy.OK
				ended.Answered = d.finished[a.ID]
				d.feed(ended)
			})
		case policy.CancelAttempt:
			d.soon(time.Millisecond, func() {
				d.feed(policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled, Answered: d.finished[a.ID]})
			})
		case policy.Reject:
			s.result.Rejected++
			d.finished[a.ID] = true
		case policy.Fail:
			s.result.Rejected++
			d.finished[a.ID] = true
		case policy.SetTimer:
			d.soon(a.After, func() { d.feed(policy.TimerFired{Token: a.Token}) })
		}
	}
}

// updateZones returns the module what its node holds, with its age.
func (d *module) updateZones() {
	n := d.node
	age := n.clock.read(n.sim.now) - n.confirmedAt
	for z, y := range n.sim.zones {
		update := policy.ZoneDirective{Zone: y, Revision: n.intent.revision, IntentRevision: n.intent.revision, Serving: true, Share: 1, Floor: 1, Age: age}
		e, every := n.intent.directives[n.keys[z][0]]
		own, has := n.intent.directives[n.keys[z][1]]
		if has && (!every || fleet.OwnTakesPrecedence(e.Directive, own.Directive)) {
			e = own
		}
		if every || has {
			h := fleet.AppliedZoneOf(e.Revision, e.Directive, n.name)
			update = policy.ZoneDirective{
				Zone:           y,
				Revision:       e.Revision,
				IntentRevision: n.intent.revision,
				Share:          h.Share,
				Floor:          h.Floor,
				Rate:           h.Rate,
				Trial:          h.Trial,
				Age:            age,
				ValidFor:       time.Duration(h.ValidMS) * time.Millisecond,
			}
		} else if !d.directedZones[y] {
			continue
		}
		d.directedZones[y] = every || has
		d.feed(update)
	}
	if !d.synced {
		d.synced = true
		d.feed(policy.FleetSynced{Revision: n.intent.revision})
	}
}

// window puts what the module saw into a report.
func (d *module) window(r *fleet.Report) {
	by := map[string]policy.ZoneWindow{}
	for _, z := range d.policy.Window(d.node.clock.read(d.node.sim.now)).Zones {
		by[z.Zone] = z
	}
	for _, y := range slices.Sorted(maps.Keys(by)) {
		z := by[y]
		r.Zones = append(r.Zones, fleet.ZoneEvidence{
			Zone:        y,
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
