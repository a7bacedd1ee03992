package zones

import (
	"maps"
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
)

const (
	maxStepGap         = 500 * time.Millisecond // between two steps; after a longer one findings must hold anew
	proposalRetryDelay = 500 * time.Millisecond // a command that was not applied is given again
)

// Controller is the leader's soft knowledge: what nodes reported of late, evidence that must last, backoffs that run. It is
// not safe for concurrent use. Times are the leader's monotonic clock.
type Controller struct {
	settings    Settings
	leaderSince fleet.Time
	steppedAt   fleet.Time
	nodes       map[string]*nodeRun
	loads       map[string]*zoneLoad
	totalRates  []rateSample // of all zones
	evidence    map[string]Evidence
	recoveries  map[string]*recovery    // by key: directives in force
	recovered   map[string]seenRevision // by key: zones served again
	proposed    map[string]proposal     // by key: what a change was last given on
	budgetSlots int                     // what budgets are divided by now
}

// seenRevision is a revision and when it was first seen.
type seenRevision struct {
	revision uint64
	seenAt   fleet.Time
}

// proposal is what a change was decided from, and when.
type proposal struct {
	itemRevision  uint64
	stateRevision uint64
	proposedAt    fleet.Time
}

// Evidence is what a zone is evaluated by now, for operators.
type Evidence struct {
	Key          string     `json:"key"`
	Event        string     `json:"event"`
	Since        fleet.Time `json:"since"`          // by the leader's clock
	Blocked      string     `json:"held,omitempty"` // why nothing is done about it: "hold", "panic", "room"
	Nodes        int        `json:"nodes"`          // that see it so
	Votes        int        `json:"words"`          // nodes that have a vote on the zone
	Lost         float64    `json:"lost"`           // share of the fleet's attempts lost
	requiredTime fleet.Time // how long it must hold
}

// NewController makes a controller whose leadership began at 0 and has seen nothing.
func NewController(set Settings) *Controller {
	j := &Controller{settings: set}
	j.Lead(0)
	return j
}

// Lead forgets all: this process leads from now on, by evidence that comes from now on.
func (ctl *Controller) Lead(now fleet.Time) {
	*ctl = Controller{
		settings:    ctl.settings,
		leaderSince: now,
		steppedAt:   now,
		nodes:       map[string]*nodeRun{},
		loads:       map[string]*zoneLoad{},
		evidence:    map[string]Evidence{},
		recoveries:  map[string]*recovery{},
		recovered:   map[string]seenRevision{},
		proposed:    map[string]proposal{},
	}
}

// Observe takes a present node's newest report. One that is not newer than the last of its incarnation, or of an older
// incarnation, changes nothing; a count that no honest node can have is dropped.
func (ctl *Controller) Observe(now fleet.Time, v fleet.NodeView) {
	n, newer := ctl.recordReport(now, v)
	if !newer || len(n.windows) == 0 {
		return
	}
	w := n.windows[len(n.windows)-1]
	if w.receivedAt != n.receivedAt {
		return // the report had no counts
	}
	for key, b := range ctl.recoveries {
		if y, x, _ := ParseKey(key); w.revision >= b.revision && (x == "" || x == n.Zone) {
			b.add(n, w.zones[y])
		}
	}
}

// Step evaluates, and gives the commands to apply in their order; call it each 100 ms. It changes nothing of s. A command
// that was not applied is given again.
func (ctl *Controller) Step(now fleet.Time, s *State, present []fleet.Member) []Command {
	v := ctl.currentView(now, present)
	ctl.budgetSlots = max(ctl.settings.Slots, v.presentCount)
	ctl.recordLoads(v)
	ctl.followDirectives(now, s)
	ctl.evidence = ctl.findEvidence(v, s)
	ctl.steppedAt = now
	if !v.hasQuorum() || now-ctl.leaderSince < ctl.settings.EvidenceWindow {
		for key, f := range ctl.evidence {
			f.Blocked = "hold"
			ctl.evidence[key] = f
		}
		return nil
	}
	p := plannedDirectives(maps.Clone(s.Directives))
	if p == nil {
		p = plannedDirectives{}
	}
	var out []Command
	if leave := ctl.evacuations(v, s, p); len(leave) > 0 {
		out = append(out, Command{IfStateRevision: s.Revision, Items: leave})
	}
	for _, key := range slices.Sorted(maps.Keys(ctl.recoveries)) {
		if c, ok := ctl.nextRecoveryChange(v, s, key); ok && ctl.mayPropose(now, s, c) {
			out = append(out, Command{IfStateRevision: s.Revision, Items: []Change{c}})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(ctl.recovered)) {
		c := Change{Key: key, IfRevision: ctl.recovered[key].revision, Event: TimeElapsed, Removed: true}
		if now-ctl.recovered[key].seenAt >= ctl.settings.RelapseMemory && ctl.mayPropose(now, s, c) {
			out = append(out, Command{IfStateRevision: s.Revision, Items: []Change{c}})
		}
	}
	return out
}

// Evidence returns what the last Step found, by key.
func (ctl *Controller) Evidence() []Evidence {
	out := make([]Evidence, 0, len(ctl.evidence))
	for _, key := range slices.Sorted(maps.Keys(ctl.evidence)) {
		out = append(out, ctl.evidence[key])
	}
	return out
}

// mayPropose reports whether a change is to be given now: not while the same was given a moment ago.
func (ctl *Controller) mayPropose(now fleet.Time, s *State, c Change) bool {
	if g, ok := ctl.proposed[c.Key]; ok && g.itemRevision == c.IfRevision && g.stateRevision == s.Revision && now-g.proposedAt < proposalRetryDelay {
		return false
	}
	ctl.proposed[c.Key] = proposal{c.IfRevision, s.Revision, now}
	return true
}

// followDirectives notes which directives are in force, and since when this controller has seen them.
func (ctl *Controller) followDirectives(now fleet.Time, s *State) {
	maps.DeleteFunc(ctl.recoveries, func(key string, _ *recovery) bool { _, ok := s.Directives[key]; return !ok })
	for key, e := range s.Directives {
		b := ctl.recoveries[key]
		if b == nil {
			b = &recovery{}
			ctl.recoveries[key] = b
		}
		if b.revision != e.Revision {
			b.restart(now, e)
		}
	}
	maps.DeleteFunc(ctl.recovered, func(key string, c seenRevision) bool {
		p, ok := s.PastRelapses[key]
		return !ok || p.Revision != c.revision
	})
	for key, p := range s.PastRelapses {
		if _, ok := ctl.recovered[key]; !ok {
			ctl.recovered[key] = seenRevision{p.Revision, now}
		}
	}
}

// evacuations returns the changes by which zones are evacuated, or left further: all in one command, as the capacity for each depends
// on the others. What it decides goes into p.
func (ctl *Controller) evacuations(v fleetView, s *State, p plannedDirectives) (out []Change) {
	block := func(f Evidence, why string) {
		f.Blocked = why
		ctl.evidence[f.Key] = f
	}
	lost := false
	for _, f := range ctl.Evidence() {
		e, had := s.Directives[f.Key]
		if had && e.Phase != fleet.Evacuated {
			continue
		}
		if !f.isEstablished(v.now) {
			block(f, "hold")
			continue
		}
		c, why := ctl.evacuation(v, s, p, f)
		if why != "" {
			block(f, why)
			continue
		}
		if ctl.mayPropose(v.now, s, c) {
			p[f.Key] = c.Entry
			out = append(out, c)
			lost = lost || f.Event == Lost && !had
		}
	}
	if lost {
		out = append(out, ctl.regionEvacuations(v, s, p)...)
	}
	return out
}

// evacuation returns what a finding that holds makes of its zone, or why nothing.
func (ctl *Controller) evacuation(v fleetView, s *State, p plannedDirectives, f Evidence) (c Change, why string) {
	y, x, _ := ParseKey(f.Key)
	e, had := s.Directives[f.Key]
	if !had && x != "" && p.servedShare(y, "") == 0 {
		return c, "left"
	}
	if had && ctl.isLoadMoving(f.Key, v.now) {
		return c, "hold" // the load is still moving
	}
	part, demand := ctl.evacuablePart(v, p, y, x)
	share := 1 - part
	if had {
		share = e.Share - part
	}
	share = math.Max(0, math.Ceil(10*share-1e-6)/10)
	if f.Event == Gray {
		share = math.Max(share, grayTrafficShare(f.Lost))
		if from := p.servedShare(y, x); math.Abs(share-from) < ctl.settings.MinShareChange-1e-6 {
			return c, "share"
		}
	} else if had && e.Share-share < ctl.settings.MinShareChange-1e-6 && !(share == 0 && e.Share > 0) {
		return c, "room"
	}
	if share >= 1 {
		return c, "room"
	}
	if !ctl.keepsEnoughServers(v, p, y, x, share) {
		return c, "panic"
	}
	c = Change{Key: f.Key, IfRevision: e.Revision, Event: f.Event, Entry: e}
	if !had {
		c.Entry = Entry{ProvedRate: ctl.provedRate(y, v.now), ListedServers: ctl.listedServers(p, y, v.now), Demand: demand}
		if past, ok := s.PastRelapses[f.Key]; ok {
			c.IfRevision = past.Revision
			c.Entry.Relapses = past.Relapses
			if f.Event != Region {
				c.Entry.Relapses = min(past.Relapses+1, ctl.settings.maxRelapse())
			}
		}
	}
	ctl.setEvacuated(&c.Entry, share, f.Event)
	return c, ""
}

// setEvacuated makes an entry one of a zone that is evacuated, but for share.
func (ctl *Controller) setEvacuated(e *Entry, share float64, reason string) {
	d := fleet.Directive{
		Phase:     fleet.Evacuated,
		Share:     share,
		Floor:     share,
		ValidMS:   ctl.settings.DirectiveLifetime.Milliseconds(),
		Reason:    reason,
		BackoffMS: max(e.BackoffMS, ctl.settings.backoff(e.Relapses).Milliseconds()),
		Relapses:  e.Relapses,
	}
	if share > 0 && (reason == Lost || reason == Region) { // its servers may come back as new processes
		d.Budget, d.Slots = ctl.serverBudget(e.ProvedRate, ctl.settings.SlowStartMinCapacity, true), ctl.budgetSlots
	}
	e.Directive = d
	e.BaseShare = share
	e.TrialAnswered = false
}

// regionEvacuations returns the changes by which the rest of a region is evacuated, most of whose zones are.
func (ctl *Controller) regionEvacuations(v fleetView, s *State, p plannedDirectives) (out []Change) {
	zones := map[string][]string{}
	for y, r := range ctl.settings.Region {
		zones[r] = append(zones[r], y)
	}
	for _, r := range slices.Sorted(maps.Keys(zones)) {
		lost := 0
		for _, y := range zones[r] {
			if e, ok := p[Key(y, "")]; ok && (e.Phase == fleet.Evacuated || e.Phase == fleet.Probation) && (e.Reason == Lost || e.Reason == Region) {
				lost++
			}
		}
		slices.Sort(zones[r])
		for _, y := range zones[r] {
			key := Key(y, "")
			if _, had := p[key]; had || 2*lost <= len(zones[r]) {
				continue
			}
			c, why := ctl.evacuation(v, s, p, Evidence{Key: key, Event: Region})
			if why == "" && ctl.mayPropose(v.now, s, c) {
				p[key] = c.Entry
				out = append(out, c)
			}
		}
	}
	return out
}

// serverBudget is what one server may get in a second from the whole fleet at a step of the recovery.
func (ctl *Controller) serverBudget(proved, share float64, warming bool) float64 {
	if proved <= 0 {
		return ctl.settings.MinServerBudget
	}
	b := math.Max(share*proved, math.Min(ctl.settings.MinServerBudget, ctl.settings.SlowStartMinCapacity*proved))
	if warming {
		b = math.Min(b, ctl.settings.SlowStartMinCapacity*proved)
	}
	return b
}
