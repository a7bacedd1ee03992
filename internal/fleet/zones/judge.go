package zones

import (
	"maps"
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
)

const (
	maxGap  = 500 * time.Millisecond // between two steps; after a longer one findings must hold anew
	retryIn = 500 * time.Millisecond // a command that was not applied is given again
)

// Judge is the leader's soft knowledge: what nodes reported of late, findings that must hold, hold-offs that run. It is
// not safe for concurrent use. Times are the leader's monotonic clock.
type Judge struct {
	set       Settings
	leadSince fleet.Time
	stepped   fleet.Time
	nodes     map[string]*seen
	zones     map[string]*carried
	total     []sample // of all zones
	found     map[string]Finding
	backs     map[string]*comeback // by key: directives in force
	calm      map[string]since     // by key: zones served again
	given     map[string]giving    // by key: what a change was last given on
	slots     int                  // what budgets are divided by now
}

// since is a revision and when it was first seen.
type since struct {
	rev uint64
	at  fleet.Time
}

// giving is what a change was decided from, and when.
type giving struct {
	item, state uint64
	at          fleet.Time
}

// Finding is what a zone is judged by now, for operators.
type Finding struct {
	Key   string     `json:"key"`
	Event string     `json:"event"`
	Since fleet.Time `json:"since"`          // by the leader's clock
	Held  string     `json:"held,omitempty"` // why nothing is done about it: "hold", "panic", "room"
	Nodes int        `json:"nodes"`          // that see it so
	Votes int        `json:"words"`          // nodes that have a vote on the zone
	Lost  float64    `json:"lost"`           // share of the fleet's attempts lost
	hold  fleet.Time // how long it must hold
}

// NewJudge makes a judge whose leadership began at 0 and has seen nothing.
func NewJudge(set Settings) *Judge {
	j := &Judge{set: set}
	j.Lead(0)
	return j
}

// Lead forgets all: this process leads from now on, by evidence that comes from now on.
func (j *Judge) Lead(now fleet.Time) {
	*j = Judge{set: j.set, leadSince: now, stepped: now, nodes: map[string]*seen{}, zones: map[string]*carried{},
		found: map[string]Finding{}, backs: map[string]*comeback{}, calm: map[string]since{}, given: map[string]giving{}}
}

// Observe takes a present node's newest report. One that is not newer than the last of its incarnation, or of an older
// incarnation, changes nothing; a count that no honest node can have is dropped.
func (j *Judge) Observe(now fleet.Time, v fleet.NodeView) {
	n, newer := j.take(now, v)
	if !newer || len(n.windows) == 0 {
		return
	}
	w := n.windows[len(n.windows)-1]
	if w.at != n.at {
		return // the report had no counts
	}
	for key, b := range j.backs {
		if y, x, _ := ParseKey(key); w.from >= b.rev && (x == "" || x == n.Zone) {
			b.add(n, w.zones[y])
		}
	}
}

// Step judges, and gives the commands to apply in their order; call it each 100 ms. It changes nothing of s. A command
// that was not applied is given again.
func (j *Judge) Step(now fleet.Time, s *State, present []fleet.Member) []Command {
	v := j.look(now, present)
	j.slots = max(j.set.Slots, v.nodes)
	j.note(v)
	j.follow(now, s)
	j.found = j.find(v, s)
	j.stepped = now
	if !v.fit() || now-j.leadSince < j.set.Look {
		for key, f := range j.found {
			f.Held = "hold"
			j.found[key] = f
		}
		return nil
	}
	p := plan(maps.Clone(s.Directives))
	if p == nil {
		p = plan{}
	}
	var out []Command
	if leave := j.leave(v, s, p); len(leave) > 0 {
		out = append(out, Command{IfState: s.Rev, Items: leave})
	}
	for _, key := range slices.Sorted(maps.Keys(j.backs)) {
		if c, ok := j.goOn(v, s, key); ok && j.give(now, s, c) {
			out = append(out, Command{IfState: s.Rev, Items: []Change{c}})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(j.calm)) {
		c := Change{Key: key, IfRev: j.calm[key].rev, Event: Quiet, Gone: true}
		if now-j.calm[key].at >= j.set.Calm && j.give(now, s, c) {
			out = append(out, Command{IfState: s.Rev, Items: []Change{c}})
		}
	}
	return out
}

// Findings gives what the last Step found, by key.
func (j *Judge) Findings() []Finding {
	out := make([]Finding, 0, len(j.found))
	for _, key := range slices.Sorted(maps.Keys(j.found)) {
		out = append(out, j.found[key])
	}
	return out
}

// give tells whether a change is to be given now: not while the same was given a moment ago.
func (j *Judge) give(now fleet.Time, s *State, c Change) bool {
	if g, ok := j.given[c.Key]; ok && g.item == c.IfRev && g.state == s.Rev && now-g.at < retryIn {
		return false
	}
	j.given[c.Key] = giving{c.IfRev, s.Rev, now}
	return true
}

// follow notes which directives are in force, and since when this judge has seen them.
func (j *Judge) follow(now fleet.Time, s *State) {
	maps.DeleteFunc(j.backs, func(key string, _ *comeback) bool { _, ok := s.Directives[key]; return !ok })
	for key, e := range s.Directives {
		b := j.backs[key]
		if b == nil {
			b = &comeback{}
			j.backs[key] = b
		}
		if b.rev != e.Rev {
			b.begin(now, e)
		}
	}
	maps.DeleteFunc(j.calm, func(key string, c since) bool { p, ok := s.Past[key]; return !ok || p.Rev != c.rev })
	for key, p := range s.Past {
		if _, ok := j.calm[key]; !ok {
			j.calm[key] = since{p.Rev, now}
		}
	}
}

// leave gives the changes by which zones are left, or left further: all in one command, as the room for each depends
// on the others. What it decides goes into p.
func (j *Judge) leave(v view, s *State, p plan) (out []Change) {
	held := func(f Finding, why string) {
		f.Held = why
		j.found[f.Key] = f
	}
	lost := false
	for _, f := range j.Findings() {
		e, had := s.Directives[f.Key]
		if had && e.Phase != fleet.Left {
			continue
		}
		if !f.holds(v.now) {
			held(f, "hold")
			continue
		}
		c, why := j.change(v, s, p, f)
		if why != "" {
			held(f, why)
			continue
		}
		if j.give(v.now, s, c) {
			p[f.Key] = c.Entry
			out = append(out, c)
			lost = lost || f.Event == Lost && !had
		}
	}
	if lost {
		out = append(out, j.regions(v, s, p)...)
	}
	return out
}

// change gives what a finding that holds makes of its zone, or why nothing.
func (j *Judge) change(v view, s *State, p plan, f Finding) (c Change, why string) {
	y, x, _ := ParseKey(f.Key)
	e, had := s.Directives[f.Key]
	if !had && x != "" && p.share(y, "") == 0 {
		return c, "left"
	}
	if had && j.fresh(f.Key, v.now) {
		return c, "hold" // the load is still moving
	}
	part, demand := j.part(v, p, y, x)
	share := 1 - part
	if had {
		share = e.Share - part
	}
	share = math.Max(0, math.Ceil(10*share-1e-6)/10)
	if f.Event == Gray {
		share = math.Max(share, grayShare(f.Lost))
		if from := p.share(y, x); math.Abs(share-from) < j.set.GrayStep-1e-6 {
			return c, "share"
		}
	} else if had && e.Share-share < j.set.GrayStep-1e-6 && !(share == 0 && e.Share > 0) {
		return c, "room"
	}
	if share >= 1 {
		return c, "room"
	}
	if !j.stays(v, p, y, x, share) {
		return c, "panic"
	}
	c = Change{Key: f.Key, IfRev: e.Rev, Event: f.Event, Entry: e}
	if !had {
		c.Entry = Entry{Proved: j.proved(y, v.now), Listed: j.listed(p, y, v.now), Demand: demand}
		if past, ok := s.Past[f.Key]; ok {
			c.IfRev = past.Rev
			c.Entry.Relapse = past.Relapse
			if f.Event != Region {
				c.Entry.Relapse = min(past.Relapse+1, j.set.maxRelapse())
			}
		}
	}
	j.left(&c.Entry, share, f.Event)
	return c, ""
}

// left makes an entry one of a zone that is left, but for share.
func (j *Judge) left(e *Entry, share float64, reason string) {
	d := fleet.Directive{Phase: fleet.Left, Share: share, Floor: share, ValidMS: j.set.Valid.Milliseconds(), Reason: reason,
		HoldMS: max(e.HoldMS, j.set.hold(e.Relapse).Milliseconds()), Relapse: e.Relapse}
	if share > 0 && (reason == Lost || reason == Region) { // its servers may come back cold
		d.Budget, d.Slots = j.budget(e.Proved, j.set.ColdFrom, true), j.slots
	}
	e.Directive, e.Base, e.Tried = d, share, false
}

// regions gives the changes by which the rest of a region is left, most of whose zones are.
func (j *Judge) regions(v view, s *State, p plan) (out []Change) {
	zones := map[string][]string{}
	for y, r := range j.set.Region {
		zones[r] = append(zones[r], y)
	}
	for _, r := range slices.Sorted(maps.Keys(zones)) {
		gone := 0
		for _, y := range zones[r] {
			if e, ok := p[Key(y, "")]; ok && (e.Phase == fleet.Left || e.Phase == fleet.Probation) && (e.Reason == Lost || e.Reason == Region) {
				gone++
			}
		}
		slices.Sort(zones[r])
		for _, y := range zones[r] {
			key := Key(y, "")
			if _, had := p[key]; had || 2*gone <= len(zones[r]) {
				continue
			}
			c, why := j.change(v, s, p, Finding{Key: key, Event: Region})
			if why == "" && j.give(v.now, s, c) {
				p[key] = c.Entry
				out = append(out, c)
			}
		}
	}
	return out
}

// budget is what one server may get in a second from the whole fleet at a step of the return.
func (j *Judge) budget(proved, share float64, cold bool) float64 {
	if proved <= 0 {
		return j.set.MinBudget
	}
	b := math.Max(share*proved, math.Min(j.set.MinBudget, j.set.ColdFrom*proved))
	if cold {
		b = math.Min(b, j.set.ColdFrom*proved)
	}
	return b
}
