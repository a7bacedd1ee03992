package zones

import (
	"maps"
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
)

const (
	maxStepGap         = 500 * time.Millisecond // between two calls of Step; after a longer gap evidence must last anew
	proposalRetryDelay = 500 * time.Millisecond // a command that was not applied is returned again after this
)

// Controller is the leader's knowledge that is not replicated: recent reports of nodes, evidence that must last before it is
// acted on, and running backoffs. It is not safe for concurrent use. Times are of the leader's monotonic clock.
type Controller struct {
	settings    Settings
	leaderSince fleet.Time
	steppedAt   fleet.Time
	nodes       map[string]*nodeReports
	loads       map[string]*zoneLoad
	totalRates  []rateSample // of all zones together
	evidence    map[string]Evidence
	recoveries  map[string]*recovery    // by key: recoveries under the directives in force
	recovered   map[string]seenRevision // by key: zones that are served again, until their relapses are forgotten
	proposed    map[string]proposal     // by key: what the last proposed change was decided from
	budgetSlots int                     // what budgets are divided by now
}

// seenRevision is a revision and the time when it was first seen.
type seenRevision struct {
	revision uint64
	seenAt   fleet.Time
}

// proposal records from which revisions a change was decided, and when.
type proposal struct {
	itemRevision  uint64
	stateRevision uint64
	proposedAt    fleet.Time
}

// Evidence is the present evidence that a zone fails, as operators see it.
type Evidence struct {
	Key          string     `json:"key"`
	Event        string     `json:"event"`
	Since        fleet.Time `json:"since"`          // by the leader's clock
	Blocked      string     `json:"held,omitempty"` // why the evidence is not acted on: "hold", "left", "panic", "room", "share"
	Nodes        int        `json:"nodes"`          // nodes that the evidence comes from
	Votes        int        `json:"words"`          // nodes that have a vote on the zone
	Lost         float64    `json:"lost"`           // part of the fleet's attempts lost
	requiredTime fleet.Time // how long the evidence must last
}

// NewController returns a controller that has seen nothing and whose leadership began at time 0.
func NewController(set Settings) *Controller {
	ctl := &Controller{settings: set}
	ctl.Lead(0)
	return ctl
}

// Lead discards all knowledge: this process leads from now on and decides by evidence that arrives from now on.
func (ctl *Controller) Lead(now fleet.Time) {
	*ctl = Controller{
		settings:    ctl.settings,
		leaderSince: now,
		steppedAt:   now,
		nodes:       map[string]*nodeReports{},
		loads:       map[string]*zoneLoad{},
		evidence:    map[string]Evidence{},
		recoveries:  map[string]*recovery{},
		recovered:   map[string]seenRevision{},
		proposed:    map[string]proposal{},
	}
}

// Observe records a present node's newest report. A report of an older incarnation, or one that is not newer than the last of
// its incarnation, changes nothing. A count that no correct node can have is dropped.
func (ctl *Controller) Observe(now fleet.Time, v fleet.NodeView) {
	n, newer := ctl.recordReport(now, v)
	if !newer || len(n.windows) == 0 {
		return
	}
	w := n.windows[len(n.windows)-1]
	if w.receivedAt != n.receivedAt {
		return // this report had no counts
	}
	for key, r := range ctl.recoveries {
		if zone, observer, _ := ParseKey(key); w.revision >= r.revision && (observer == "" || observer == n.Zone) {
			r.add(n, w.zones[zone])
		}
	}
}

// Step evaluates the zones and returns the commands to apply, in order. The caller runs it every 100 ms. Step does not change s.
// If a command is not applied, a later call returns it again.
func (ctl *Controller) Step(now fleet.Time, s *State, present []fleet.Member) []Command {
	v := ctl.currentView(now, present)
	ctl.budgetSlots = max(ctl.settings.Slots, v.presentCount)
	ctl.recordLoads(v)
	ctl.followDirectives(now, s)
	ctl.evidence = ctl.findEvidence(v, s)
	ctl.steppedAt = now
	if !v.hasQuorum() || now-ctl.leaderSince < ctl.settings.EvidenceWindow {
		for key, ev := range ctl.evidence {
			ev.Blocked = "hold"
			ctl.evidence[key] = ev
		}
		return nil
	}
	planned := plannedDirectives(maps.Clone(s.Directives))
	if planned == nil {
		planned = plannedDirectives{}
	}
	var out []Command
	if changes := ctl.evacuations(v, s, planned); len(changes) > 0 {
		out = append(out, Command{IfStateRevision: s.Revision, Items: changes})
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

// Evidence returns the evidence that the last Step found, sorted by key.
func (ctl *Controller) Evidence() []Evidence {
	out := make([]Evidence, 0, len(ctl.evidence))
	for _, key := range slices.Sorted(maps.Keys(ctl.evidence)) {
		out = append(out, ctl.evidence[key])
	}
	return out
}

// mayPropose reports whether to propose a change now, and records it if so. A change that was proposed from the same revisions
// less than proposalRetryDelay ago is not proposed again.
func (ctl *Controller) mayPropose(now fleet.Time, s *State, c Change) bool {
	if last, ok := ctl.proposed[c.Key]; ok && last.itemRevision == c.IfRevision && last.stateRevision == s.Revision &&
		now-last.proposedAt < proposalRetryDelay {
		return false
	}
	ctl.proposed[c.Key] = proposal{c.IfRevision, s.Revision, now}
	return true
}

// followDirectives records which directives are in force and which zones are served again, and when this controller first saw
// each of them.
func (ctl *Controller) followDirectives(now fleet.Time, s *State) {
	maps.DeleteFunc(ctl.recoveries, func(key string, _ *recovery) bool { _, ok := s.Directives[key]; return !ok })
	for key, e := range s.Directives {
		r := ctl.recoveries[key]
		if r == nil {
			r = &recovery{}
			ctl.recoveries[key] = r
		}
		if r.revision != e.Revision {
			r.restart(now, e)
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

// evacuations returns the changes that evacuate zones, or a further part of evacuated zones. They belong in one command, as the
// capacity for each depends on the others. evacuations adds its decisions to planned.
func (ctl *Controller) evacuations(v fleetView, s *State, planned plannedDirectives) (out []Change) {
	block := func(ev Evidence, blocked string) {
		ev.Blocked = blocked
		ctl.evidence[ev.Key] = ev
	}
	lost := false
	for _, ev := range ctl.Evidence() {
		e, had := s.Directives[ev.Key]
		if had && e.Phase != fleet.Evacuated {
			continue
		}
		if !ev.isEstablished(v.now) {
			block(ev, "hold")
			continue
		}
		c, blocked := ctl.evacuation(v, s, planned, ev)
		if blocked != "" {
			block(ev, blocked)
			continue
		}
		if ctl.mayPropose(v.now, s, c) {
			planned[ev.Key] = c.Entry
			out = append(out, c)
			lost = lost || ev.Event == Lost && !had
		}
	}
	if lost {
		out = append(out, ctl.regionEvacuations(v, s, planned)...)
	}
	return out
}

// evacuation returns the change that established evidence leads to for its zone, or why there is none.
func (ctl *Controller) evacuation(v fleetView, s *State, planned plannedDirectives, ev Evidence) (c Change, blocked string) {
	zone, observer, _ := ParseKey(ev.Key)
	e, had := s.Directives[ev.Key]
	if !had && observer != "" && planned.servedShare(zone, "") == 0 {
		return c, "left"
	}
	if had && ctl.isLoadMoving(ev.Key, v.now) {
		return c, "hold" // the load is still moving
	}
	part, demand := ctl.evacuablePart(v, planned, zone, observer)
	share := 1 - part
	if had {
		share = e.Share - part
	}
	share = math.Max(0, math.Ceil(10*share-1e-6)/10)
	if ev.Event == Gray {
		share = math.Max(share, grayTrafficShare(ev.Lost))
		if current := planned.servedShare(zone, observer); math.Abs(share-current) < ctl.settings.MinShareChange-1e-6 {
			return c, "share"
		}
	} else if had && e.Share-share < ctl.settings.MinShareChange-1e-6 && !(share == 0 && e.Share > 0) {
		return c, "room"
	}
	if share >= 1 {
		return c, "room"
	}
	if !ctl.keepsEnoughServers(v, planned, zone, observer, share) {
		return c, "panic"
	}
	c = Change{Key: ev.Key, IfRevision: e.Revision, Event: ev.Event, Entry: e}
	if !had {
		c.Entry = Entry{ProvedRate: ctl.provedRate(zone, v.now), ListedServers: ctl.listedServers(planned, zone, v.now), Demand: demand}
		if past, ok := s.PastRelapses[ev.Key]; ok {
			c.IfRevision = past.Revision
			c.Entry.Relapses = past.Relapses
			if ev.Event != Region {
				c.Entry.Relapses = min(past.Relapses+1, ctl.settings.maxRelapses())
			}
		}
	}
	ctl.setEvacuated(&c.Entry, share, ev.Event)
	return c, ""
}

// setEvacuated turns e into the entry of an evacuated zone of which only share is still served.
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
	if share > 0 && (reason == Lost || reason == Region) { // its servers may come back as new processes, which need slow start
		d.Budget, d.Slots = ctl.serverBudget(e.ProvedRate, ctl.settings.SlowStartMinCapacity, true), ctl.budgetSlots
	}
	e.Directive = d
	e.BaseShare = share
	e.TrialAnswered = false
}

// regionEvacuations returns the changes that evacuate the rest of each region of which most zones are lost.
func (ctl *Controller) regionEvacuations(v fleetView, s *State, planned plannedDirectives) (out []Change) {
	zones := map[string][]string{}
	for zone, region := range ctl.settings.Region {
		zones[region] = append(zones[region], zone)
	}
	for _, region := range slices.Sorted(maps.Keys(zones)) {
		lost := 0
		for _, zone := range zones[region] {
			if e, ok := planned[Key(zone, "")]; ok && (e.Phase == fleet.Evacuated || e.Phase == fleet.Probation) &&
				(e.Reason == Lost || e.Reason == Region) {
				lost++
			}
		}
		slices.Sort(zones[region])
		for _, zone := range zones[region] {
			key := Key(zone, "")
			if _, had := planned[key]; had || 2*lost <= len(zones[region]) {
				continue
			}
			c, blocked := ctl.evacuation(v, s, planned, Evidence{Key: key, Event: Region})
			if blocked == "" && ctl.mayPropose(v.now, s, c) {
				planned[key] = c.Entry
				out = append(out, c)
			}
		}
	}
	return out
}

// serverBudget returns the requests/s that the whole fleet may send to one server at a step of the recovery.
func (ctl *Controller) serverBudget(provedRate, share float64, warming bool) float64 {
	if provedRate <= 0 {
		return ctl.settings.MinServerBudget
	}
	budget := math.Max(share*provedRate, math.Min(ctl.settings.MinServerBudget, ctl.settings.SlowStartMinCapacity*provedRate))
	if warming {
		budget = math.Min(budget, ctl.settings.SlowStartMinCapacity*provedRate)
	}
	return budget
}
