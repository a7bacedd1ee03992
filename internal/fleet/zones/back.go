package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

// comeback is what the judge knows of the return of a zone: of the directive of revision rev, since it saw it.
type comeback struct {
	rev      uint64
	begun    fleet.Time
	since    fleet.Time // or, where a zone is left, since evidence last said that it fails
	tally    map[string]*tally
	warming  bool
	answered fleet.Time // first answers of this return, where warming
	former   []string   // nodes of the last trial, until it is over
	turn     int        // trials so far
}

// tally is a node's evidence under one directive: of windows that began when it held it.
type tally struct {
	zone         string
	lost, ok     int
	attempts     int
	answered, at int // servers that answered, and tried, added up over windows
}

func (b *comeback) begin(now fleet.Time, e Entry) {
	b.rev, b.begun, b.since, b.tally = e.Rev, now, now, nil
	if len(e.Trial) > 0 {
		b.former = slices.Clone(e.Trial)
		b.turn++
	}
	if e.Phase == fleet.Left {
		b.warming = false
	}
}

func (b *comeback) add(n *seen, c fleet.ZoneCount) {
	if c.Attempts == 0 {
		return
	}
	if b.tally == nil {
		b.tally = map[string]*tally{}
	}
	t := b.tally[n.Node]
	if t == nil {
		t = &tally{zone: n.Zone}
		b.tally[n.Node] = t
	}
	t.lost, t.ok, t.attempts = t.lost+c.Lost, t.ok+c.OK, t.attempts+c.Attempts
	t.answered, t.at = t.answered+c.Servers-c.LostServers, t.at+c.Servers
	if c.OK > 0 && !b.warming {
		b.warming, b.answered = true, n.at
	}
}

// enough tells whether there are so many answers of counted nodes, of two of them at least where two may try, with
// less than StepLost lost and most attempts answered, from enough of the zone's servers.
func (b *comeback) enough(set *Settings, v view, need, may, listed int) bool {
	var ok, lost, attempts []float64
	nodes, servers := 0, 0
	for _, s := range v.sights {
		if t := b.tally[s.Node]; t != nil && !s.fault {
			ok, lost, attempts = append(ok, float64(t.ok)), append(lost, float64(t.lost)), append(attempts, float64(t.attempts))
			servers += t.answered
			if t.ok > 0 {
				nodes++
			}
		}
	}
	total, best := 0.0, 0.0
	for i, x := range clamp(ok) {
		if ok[i] > 0 {
			lost[i], attempts[i] = lost[i]*x/ok[i], attempts[i]*x/ok[i]
		}
		total, best = total+x, math.Max(best, x)
	}
	if may > 1 && (nodes < 2 || total-best < float64(need)/4) {
		return false
	}
	l := sum(lost)
	return total >= float64(need) && l < set.StepLost*(total+l) && 2*total > sum(attempts) &&
		float64(servers) >= 0.6*float64(listed)
}

// goOn gives the next change of a zone that is left or returns, if it is time for one.
func (j *Judge) goOn(v view, s *State, key string) (c Change, ok bool) {
	b, e := j.backs[key], s.Directives[key]
	y, x, _ := ParseKey(key)
	c = Change{Key: key, IfRev: e.Rev, Entry: e}
	f, bad := j.found[key]
	after := v.now - b.since
	may, listed := v.nodes, 1
	if x != "" {
		may = v.present[x]
	}
	if z := j.zones[y]; z != nil {
		listed = v.listed(y)
		if e.Listed > 0 {
			listed = min(listed, e.Listed)
		}
	}
	switch e.Phase {
	case fleet.Left:
		switch {
		case bad:
			b.since, b.tally = v.now, nil
		case after < e.hold() || e.Share == 0 && !b.over(&j.set, v, nil):
		case e.Share > 0:
			if b.enough(&j.set, v, j.set.StepNeed, may, listed) {
				return j.step(c, b, v, Answers, next(j.set.Steps, e.Share)), true
			}
		default:
			return j.try(c, b, v, y, x)
		}
	case fleet.Probation:
		switch {
		case j.trialLost(b, v, e):
			return j.back(c), true
		case len(e.Trial) > 0 && b.enough(&j.set, v, j.set.TrialNeed, len(e.Trial), 0):
			c.Event, c.Entry.Trial, c.Entry.Tried = Answers, nil, true
			return c, true
		case len(e.Trial) > 0 && after >= j.set.TrialTime:
			c.Event, c.Entry.Trial = Quiet, nil
			return c, true
		case len(e.Trial) > 0 || !b.over(&j.set, v, b.former):
		case e.Tried:
			return j.step(c, b, v, Quiet, 1), true
		default:
			return j.try(c, b, v, y, x)
		}
	case fleet.Returning:
		last := e.Step == len(j.set.Steps)
		switch {
		case bad && f.Event != Gray && f.holds(v.now) && after >= j.set.Look:
			return j.back(c), true
		case after >= j.set.Hold && j.stepLost(v, y, x, e.Rev):
			if e.Step == 1 || j.set.Steps[e.Step-2] <= e.Base {
				return j.back(c), true
			}
			c.Entry.Relapse = min(e.Relapse+1, j.set.maxRelapse())
			c.Entry.HoldMS = max(e.HoldMS, j.set.hold(c.Entry.Relapse).Milliseconds())
			return j.step(c, b, v, Lost, e.Step-1), true
		case after < j.set.StepTime || !b.enough(&j.set, v, j.set.StepNeed, may, listed):
		case e.Share >= j.set.ColdFrom && e.Budget > 0 && (!b.warming || v.now-b.answered < j.set.ColdTime):
		case last:
			c.Event, c.Gone, c.Entry = Answers, true, Entry{}
			return c, true
		default:
			return j.step(c, b, v, Answers, e.Step+1), true
		}
	}
	return c, false
}

// next is the first step whose share is above share.
func next(steps []float64, share float64) int {
	for i, x := range steps {
		if x > share {
			return i + 1
		}
	}
	return len(steps)
}

// back makes the change by which a return ends: the zone is left anew, for longer.
func (j *Judge) back(c Change) Change {
	c.Event = Lost
	c.Entry.Relapse = min(c.Entry.Relapse+1, j.set.maxRelapse())
	j.left(&c.Entry, c.Entry.Base, Lost)
	return c
}

// step makes the change to a step of the return.
func (j *Judge) step(c Change, b *comeback, v view, event string, step int) Change {
	e := &c.Entry
	budgeted := e.Budget > 0
	share := j.set.Steps[step-1]
	floor := j.set.floor(e.Base, step)
	if event == Lost {
		floor = e.Base
	}
	e.Tried = false
	e.Directive = fleet.Directive{Phase: fleet.Returning, Share: share, Floor: math.Min(floor, share), Step: step,
		ValidMS: j.set.Valid.Milliseconds(), Reason: e.Reason, HoldMS: e.HoldMS, Relapse: e.Relapse}
	if budgeted {
		cold := !b.warming || v.now-b.answered < j.set.ColdTime
		e.Budget, e.Slots = j.budget(e.Proved, share, cold), j.slots
	}
	c.Event = event
	return c
}

// try makes the change to a trial by other nodes than the last: of different zones, ready, none of them with a
// directive of its own against the zone. There is none where no node can.
func (j *Judge) try(c Change, b *comeback, v view, y, x string) (Change, bool) {
	byZone := map[string][]string{}
	var zones []string
	for _, s := range v.sights {
		if _, own := j.backs[Key(y, s.Zone)]; s.fault || !s.ready || x != "" && s.Zone != x || x == "" && own {
			continue
		}
		if byZone[s.Zone] == nil {
			zones = append(zones, s.Zone)
		}
		byZone[s.Zone] = append(byZone[s.Zone], s.Node)
	}
	slices.Sort(zones)
	var line []string // one node of each zone, then the second of each
	for i := 0; len(line) < len(v.sights); i++ {
		n := len(line)
		for _, z := range zones {
			if i < len(byZone[z]) {
				line = append(line, byZone[z][i])
			}
		}
		if n == len(line) {
			break
		}
	}
	if len(line) == 0 {
		return c, false
	}
	var trial []string
	for i := range min(j.set.Trials, len(line)) {
		trial = append(trial, line[(b.turn*j.set.Trials+i)%len(line)])
	}
	e := &c.Entry
	c.Event = Quiet
	e.Directive = fleet.Directive{Phase: fleet.Probation, Budget: j.budget(e.Proved, j.set.Steps[0], true) / 2,
		Slots: len(trial), Trial: trial, ValidMS: j.set.Valid.Milliseconds(), Reason: e.Reason,
		HoldMS: e.HoldMS, Relapse: e.Relapse}
	return c, true
}

// over tells whether what held before this directive holds nowhere any more: every one of the nodes (nil: every
// present one) reports that it holds this one, or it has been outlived, by clocks whose rates differ.
func (b *comeback) over(set *Settings, v view, nodes []string) bool {
	if v.now-b.begun >= set.Valid*21/20 {
		return true
	}
	heard := 0
	for _, s := range v.sights {
		if s.rev >= b.rev && (nodes == nil || slices.Contains(nodes, s.Node)) {
			heard++
		}
	}
	if nodes == nil {
		return heard == v.nodes
	}
	return heard == len(nodes)
}

// trialLost tells whether most of the trial's nodes that tried, two at least where two may, lost most of it.
func (j *Judge) trialLost(b *comeback, v view, e Entry) bool {
	tried, lost := 0, 0
	for _, s := range v.sights {
		if t := b.tally[s.Node]; t != nil && !s.fault && slices.Contains(e.Trial, s.Node) && t.lost+t.ok > 0 {
			tried++
			if t.lost > t.ok {
				lost++
			}
		}
	}
	return 2*lost > tried && (lost >= 2 || len(e.Trial) == 1 && lost == 1)
}

// stepLost tells whether the attempts of this step are lost: BackFrom of the newest, by no one node's or zone's vote.
func (j *Judge) stepLost(v view, y, x string, rev uint64) bool {
	var all []tries
	zones := 0
	for range v.present {
		zones++
	}
	if x != "" {
		zones = 1
	}
	for _, s := range v.sights {
		if x != "" && s.Zone != x || s.fault {
			continue
		}
		if c := j.set.count(v.now, j.nodes[s.Node], y, rev); c.lost+c.ok > 0 {
			all = append(all, tries{zone: s.Zone, attempts: float64(c.lost + c.ok), lost: float64(c.lost)})
		}
	}
	p, attempts, nodes := lossShare(all, zones)
	return p >= j.set.BackFrom && attempts >= 8 && nodes >= min(3, v.nodes)
}
