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
	n        *node
	run      int
	m        *policy.Module
	open     map[policy.RequestID]int // attempts so far
	over     map[policy.RequestID]bool
	directed map[string]bool // zones that had a directive at the last update
	synced   bool
	requests int
}

const (
	answerTime = 20 * time.Millisecond
	patience   = 2 * time.Second
)

// decides starts a module for a node's run.
func (n *node) decides() {
	set := policy.Settings{
		Nodes:                n.s.plan.Nodes,
		NodeIndex:            n.i,
		Zone:                 n.s.zones[n.zone],
		Zones:                n.s.zones,
		MaxAttempts:          3,
		MayCancel:            true,
		MinTick:              time.Millisecond,
		MaxPollInterval:      time.Hour,
		ConnectTimeout:       lostTime,
		SlowStartMinCapacity: n.s.set.SlowStartMinCapacity,
		SlowStartWindow:      n.s.set.SlowStartWindow,
		OverloadFactor:       1,
		OverloadDuration:     warmingInterval,
		SendsRetryAfter:      true,
		MaxRetryAfter:        time.Second,
		Fleet:                true,
		Classes:              []policy.Class{{Name: "browse", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: patience, Idempotency: policy.Idempotent}},
	}
	d := &module{
		n:        n,
		run:      n.run,
		m:        policy.New(set, int64(n.s.plan.Seed)*1000+int64(n.i)),
		open:     map[policy.RequestID]int{},
		over:     map[policy.RequestID]bool{},
		directed: map[string]bool{},
	}
	n.module = d
	var list []policy.Server
	for z, y := range n.s.zones {
		for id := range n.s.plan.Servers {
			list = append(list, policy.Server{ID: policy.ServerID(1 + z*n.s.plan.Servers + id), Name: fmt.Sprintf("%s-%d", y, id), Zone: y})
		}
	}
	d.feed(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Version: 1, Servers: list})
	d.updateZones()
	d.arrivals()
}

// soon feeds an event after so long, by the node's clock, unless its process has been removed; one that stands still has it late.
func (d *module) soon(after time.Duration, do func()) {
	var then func()
	then = func() {
		switch wait := d.n.frozen - d.n.s.now; {
		case d.n.run != d.run || d.n.down:
		case wait > 0:
			d.n.s.after(wait, then)
		default:
			do()
		}
	}
	d.n.s.after(d.n.clock.lasts(after), then)
}

func (d *module) arrivals() {
	d.soon(time.Duration(d.n.s.rng.ExpFloat64()/demand*float64(time.Second)), func() {
		d.requests++
		id := policy.RequestID(fmt.Sprint(d.requests))
		d.feed(policy.RequestArrived{ID: id, Class: "browse", Timeout: patience})
		d.soon(patience, func() { delete(d.open, id); delete(d.over, id) })
		d.arrivals()
	})
}

func (d *module) feed(e policy.Event) {
	s := d.n.s
	for _, a := range d.m.Handle(d.n.clock.read(s.now), e) {
		switch a := a.(type) {
		case policy.Forward:
			leg := d.open[a.ID]
			d.open[a.ID]++
			if leg > 0 {
				s.res.Further++
			}
			at := int(a.Server) - 1
			ended := policy.AttemptEnded{ID: a.ID, Attempt: leg, Server: a.Server, Elapsed: answerTime, Code: policy.OK}
			if s.request(d.n, at/s.plan.Servers, at%s.plan.Servers) {
				s.res.Answered++
			} else {
				s.res.Lost++
				if ended.Code, ended.Elapsed = policy.TimedOut, lostTime; a.Timeout > 0 {
					ended.Elapsed = min(ended.Elapsed, a.Timeout)
				}
			}
			d.soon(ended.Elapsed, func() {
				d.over[a.ID] = d.over[a.ID] || ended.Code == policy.OK
				ended.Answered = d.over[a.ID]
				d.feed(ended)
			})
		case policy.CancelAttempt:
			d.soon(time.Millisecond, func() {
				d.feed(policy.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: policy.Cancelled, Answered: d.over[a.ID]})
			})
		case policy.Reject:
			s.res.Rejected++
			d.over[a.ID] = true
		case policy.Fail:
			s.res.Rejected++
			d.over[a.ID] = true
		case policy.SetTimer:
			d.soon(a.After, func() { d.feed(policy.TimerFired{Token: a.Token}) })
		}
	}
}

// updateZones returns the module what its node holds, with its age.
func (d *module) updateZones() {
	n := d.n
	age := n.clock.read(n.s.now) - n.confirmed
	for z, y := range n.s.zones {
		update := policy.ZoneDirective{Zone: y, Revision: n.intent.rev, IntentRevision: n.intent.rev, Serving: true, Share: 1, Floor: 1, Age: age}
		e, every := n.intent.directives[n.keys[z][0]]
		own, has := n.intent.directives[n.keys[z][1]]
		if has && (!every || fleet.IsNarrower(e.Directive, own.Directive)) {
			e = own
		}
		if every || has {
			h := fleet.AppliedZoneOf(e.Revision, e.Directive, n.name)
			update = policy.ZoneDirective{
				Zone:           y,
				Revision:       e.Revision,
				IntentRevision: n.intent.rev,
				Share:          h.Share,
				Floor:          h.Floor,
				Rate:           h.Rate,
				Trial:          h.Trial,
				Age:            age,
				ValidFor:       time.Duration(h.ValidMS) * time.Millisecond,
			}
		} else if !d.directed[y] {
			continue
		}
		d.directed[y] = every || has
		d.feed(update)
	}
	if !d.synced {
		d.synced = true
		d.feed(policy.FleetSynced{Revision: n.intent.rev})
	}
}

// window puts what the module saw into a report.
func (d *module) window(r *fleet.Report) {
	by := map[string]policy.ZoneWindow{}
	for _, z := range d.m.Window(d.n.clock.read(d.n.s.now)).Zones {
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
