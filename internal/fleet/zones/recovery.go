package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

// recovery is what the controller knows of the recovery of a zone: of the directive of a revision, since it saw it.
type recovery struct {
	revision   uint64
	startedAt  fleet.Time
	evidenceAt fleet.Time // or, where a zone is evacuated, since evidence last said that it fails
	byNode     map[string]*nodeEvidence
	warming    bool
	answeredAt fleet.Time // first answers of this return, where warming
	lastTrial  []string   // nodes of the last trial, until it is over
	trials     int        // trials so far
}

// nodeEvidence is a node's evidence under one directive: of windows that began when it held it.
type nodeEvidence struct {
	zone     string
	lost     int
	answered int
	attempts int
	// servers that answered, and tried, added up over windows
	serversAnswered int
	serversTried    int
}

func (b *recovery) restart(now fleet.Time, e Entry) {
	b.revision = e.Revision
	b.startedAt = now
	b.evidenceAt = now
	b.byNode = nil
	if len(e.TrialNodes) > 0 {
		b.lastTrial = slices.Clone(e.TrialNodes)
		b.trials++
	}
	if e.Phase == fleet.Evacuated {
		b.warming = false
	}
}

func (b *recovery) add(n *nodeRun, c fleet.ZoneEvidence) {
	if c.Attempts == 0 {
		return
	}
	if b.byNode == nil {
		b.byNode = map[string]*nodeEvidence{}
	}
	t := b.byNode[n.Node]
	if t == nil {
		t = &nodeEvidence{zone: n.Zone}
		b.byNode[n.Node] = t
	}
	t.lost += c.Lost
	t.answered += c.Answered
	t.attempts += c.Attempts
	t.serversAnswered, t.serversTried = t.serversAnswered+c.Servers-c.LostServers, t.serversTried+c.Servers
	if c.Answered > 0 && !b.warming {
		b.warming, b.answeredAt = true, n.receivedAt
	}
}

// hasEnoughAnswers reports whether there are so many answers of counted nodes, of two of them at least where two may try, with
// less than MaxStepLoss lost and most attempts answered, from enough of the zone's servers.
func (b *recovery) hasEnoughAnswers(set *Settings, v fleetView, need, may, listed int) bool {
	var ok, lost, attempts []float64
	nodes, servers := 0, 0
	for _, s := range v.nodes {
		if t := b.byNode[s.Node]; t != nil && !s.faulty {
			ok = append(ok, float64(t.answered))
			lost = append(lost, float64(t.lost))
			attempts = append(attempts, float64(t.attempts))
			servers += t.serversAnswered
			if t.answered > 0 {
				nodes++
			}
		}
	}
	total, best := 0.0, 0.0
	for i, x := range clampToMedian(ok) {
		if ok[i] > 0 {
			lost[i], attempts[i] = lost[i]*x/ok[i], attempts[i]*x/ok[i]
		}
		total, best = total+x, math.Max(best, x)
	}
	if may > 1 && (nodes < 2 || total-best < float64(need)/4) {
		return false
	}
	l := sum(lost)
	return total >= float64(need) && l < set.MaxStepLoss*(total+l) && 2*total > sum(attempts) &&
		float64(servers) >= 0.6*float64(listed)
}

// recoveryCase is what the next change of one directive is decided from.
type recoveryCase struct {
	*recovery
	view          fleetView
	entry         Entry
	change        Change     // as far as it is the same for every step
	zone          string     // of the directive
	observer      string     // the zone that it is for; "": every node
	elapsed       fleet.Time // since the directive was first seen, or since evidence last said that the zone fails
	maxNodes      int        // that may send to the zone
	listedServers int        // servers of the zone
}

// nextRecoveryChange returns the next change of a zone that is evacuated or recovers, if it is time for one.
func (ctl *Controller) nextRecoveryChange(v fleetView, s *State, key string) (Change, bool) {
	r := ctl.newRecoveryCase(v, s, key)
	evidence, failing := ctl.evidence[key]
	switch r.entry.Phase {
	case fleet.Evacuated:
		return ctl.afterEvacuation(r, failing)
	case fleet.Probation:
		return ctl.afterProbation(r)
	case fleet.Recovering:
		established := failing && evidence.Event != Gray && evidence.isEstablished(v.now)
		return ctl.afterStep(r, established)
	}
	return r.change, false
}

func (ctl *Controller) newRecoveryCase(v fleetView, s *State, key string) recoveryCase {
	entry := s.Directives[key]
	zone, observer, _ := ParseKey(key)
	r := recoveryCase{
		recovery:      ctl.recoveries[key],
		view:          v,
		entry:         entry,
		change:        Change{Key: key, IfRevision: entry.Revision, Entry: entry},
		zone:          zone,
		observer:      observer,
		maxNodes:      v.presentCount,
		listedServers: 1,
	}
	r.elapsed = v.now - r.evidenceAt
	if observer != "" {
		r.maxNodes = v.presentByZone[observer]
	}
	if ctl.loads[zone] != nil {
		r.listedServers = v.medianListed(zone)
		if entry.ListedServers > 0 {
			r.listedServers = min(r.listedServers, entry.ListedServers)
		}
	}
	return r
}

// hasStepAnswers reports whether a step of the recovery has its answers.
func (r recoveryCase) hasStepAnswers(settings *Settings) bool {
	return r.hasEnoughAnswers(settings, r.view, settings.MinStepAnswers, r.maxNodes, r.listedServers)
}

// afterEvacuation begins a trial once the backoff is over, or a recovery where a part was served all along.
func (ctl *Controller) afterEvacuation(r recoveryCase, failing bool) (Change, bool) {
	switch {
	case failing:
		r.evidenceAt, r.byNode = r.view.now, nil
	case r.elapsed < r.entry.backoff():
	case r.entry.Share == 0 && !r.isSuperseded(&ctl.settings, r.view, nil):
	case r.entry.Share == 0:
		return ctl.trial(r.change, r.recovery, r.view, r.zone, r.observer)
	case r.hasStepAnswers(&ctl.settings):
		step := nextStep(ctl.settings.Steps, r.entry.Share)
		return ctl.recoveryStep(r.change, r.recovery, r.view, Answered, step), true
	}
	return r.change, false
}

// afterProbation follows a trial: its answers, its loss or its time; then the first step, or another trial.
func (ctl *Controller) afterProbation(r recoveryCase) (Change, bool) {
	trialNodes := len(r.entry.TrialNodes)
	if ctl.isTrialLost(r.recovery, r.view, r.entry) {
		return ctl.endRecovery(r.change), true
	}
	if trialNodes > 0 {
		return ctl.afterTrial(r, trialNodes)
	}
	switch {
	case !r.isSuperseded(&ctl.settings, r.view, r.lastTrial):
		return r.change, false
	case r.entry.TrialAnswered:
		return ctl.recoveryStep(r.change, r.recovery, r.view, TimeElapsed, 1), true
	}
	return ctl.trial(r.change, r.recovery, r.view, r.zone, r.observer)
}

// afterTrial ends a trial that has its answers, or whose time is over.
func (ctl *Controller) afterTrial(r recoveryCase, trialNodes int) (Change, bool) {
	change := r.change
	switch {
	case r.hasEnoughAnswers(&ctl.settings, r.view, ctl.settings.MinTrialAnswers, trialNodes, 0):
		change.Event = Answered
		change.Entry.TrialNodes = nil
		change.Entry.TrialAnswered = true
		return change, true
	case r.elapsed >= ctl.settings.TrialTimeout:
		change.Event = TimeElapsed
		change.Entry.TrialNodes = nil
		return change, true
	}
	return change, false
}

// afterStep follows a step of the recovery: back where the zone fails, on where the step has its answers. established:
// evidence that the zone fails has lasted long enough.
func (ctl *Controller) afterStep(r recoveryCase, established bool) (Change, bool) {
	e, settings := r.entry, &ctl.settings
	switch {
	case established && r.elapsed >= settings.EvidenceWindow:
		return ctl.endRecovery(r.change), true
	case r.elapsed >= settings.LostDelay && ctl.isStepLost(r.view, r.zone, r.observer, e.Revision):
		return ctl.afterLostStep(r), true
	case r.elapsed < settings.MinStepTime || !r.hasStepAnswers(settings):
		return r.change, false
	case e.Share >= settings.SlowStartMinCapacity && e.Budget > 0 && r.isWarming(settings, r.view.now):
		return r.change, false
	case e.Step == len(settings.Steps):
		change := r.change
		change.Event = Answered
		change.Removed = true
		change.Entry = Entry{}
		return change, true
	}
	return ctl.recoveryStep(r.change, r.recovery, r.view, Answered, e.Step+1), true
}

// afterLostStep ends the recovery where its first step is lost, and else goes one step back.
func (ctl *Controller) afterLostStep(r recoveryCase) Change {
	e, settings := r.entry, &ctl.settings
	if e.Step == 1 || settings.Steps[e.Step-2] <= e.BaseShare {
		return ctl.endRecovery(r.change)
	}
	change := r.change
	change.Entry.Relapses = min(e.Relapses+1, settings.maxRelapse())
	change.Entry.BackoffMS = max(e.BackoffMS, settings.backoff(change.Entry.Relapses).Milliseconds())
	return ctl.recoveryStep(change, r.recovery, r.view, Lost, e.Step-1)
}

// isWarming reports whether the zone's servers may still have to warm up.
func (b *recovery) isWarming(settings *Settings, now fleet.Time) bool {
	return !b.warming || now-b.answeredAt < settings.SlowStartWindow
}

// nextStep is the first step whose share is above share.
func nextStep(steps []float64, share float64) int {
	for i, x := range steps {
		if x > share {
			return i + 1
		}
	}
	return len(steps)
}

// endRecovery makes the change by which a recovery ends: the zone is evacuated anew, for longer.
func (ctl *Controller) endRecovery(c Change) Change {
	c.Event = Lost
	c.Entry.Relapses = min(c.Entry.Relapses+1, ctl.settings.maxRelapse())
	ctl.setEvacuated(&c.Entry, c.Entry.BaseShare, Lost)
	return c
}

// recoveryStep makes the change to a step of the recovery.
func (ctl *Controller) recoveryStep(c Change, b *recovery, v fleetView, event string, step int) Change {
	e := &c.Entry
	budgeted := e.Budget > 0
	share := ctl.settings.Steps[step-1]
	floor := ctl.settings.floor(e.BaseShare, step)
	if event == Lost {
		floor = e.BaseShare
	}
	e.TrialAnswered = false
	e.Directive = fleet.Directive{
		Phase:     fleet.Recovering,
		Share:     share,
		Floor:     math.Min(floor, share),
		Step:      step,
		ValidMS:   ctl.settings.DirectiveLifetime.Milliseconds(),
		Reason:    e.Reason,
		BackoffMS: e.BackoffMS,
		Relapses:  e.Relapses,
	}
	if budgeted {
		warming := b.isWarming(&ctl.settings, v.now)
		e.Budget, e.Slots = ctl.serverBudget(e.ProvedRate, share, warming), ctl.budgetSlots
	}
	c.Event = event
	return c
}

// trial makes the change to a trial by other nodes than the last: of different zones, ready, none of them with a
// directive of its own against the zone. There is none where no node can.
func (ctl *Controller) trial(c Change, b *recovery, v fleetView, y, x string) (Change, bool) {
	byZone := map[string][]string{}
	var zones []string
	for _, s := range v.nodes {
		if _, own := ctl.recoveries[Key(y, s.Zone)]; s.faulty || !s.ready || x != "" && s.Zone != x || x == "" && own {
			continue
		}
		if byZone[s.Zone] == nil {
			zones = append(zones, s.Zone)
		}
		byZone[s.Zone] = append(byZone[s.Zone], s.Node)
	}
	slices.Sort(zones)
	var line []string // one node of each zone, then the second of each
	for i := 0; len(line) < len(v.nodes); i++ {
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
	for i := range min(ctl.settings.TrialNodes, len(line)) {
		trial = append(trial, line[(b.trials*ctl.settings.TrialNodes+i)%len(line)])
	}
	e := &c.Entry
	c.Event = TimeElapsed
	e.Directive = fleet.Directive{
		Phase:      fleet.Probation,
		Budget:     ctl.serverBudget(e.ProvedRate, ctl.settings.Steps[0], true) / 2,
		Slots:      len(trial),
		TrialNodes: trial,
		ValidMS:    ctl.settings.DirectiveLifetime.Milliseconds(),
		Reason:     e.Reason,
		BackoffMS:  e.BackoffMS,
		Relapses:   e.Relapses,
	}
	return c, true
}

// isSuperseded reports whether what held before this directive holds nowhere any more: every one of the nodes (nil: every
// present one) reports that it holds this one, or it has been outlived, by clocks whose rates differ.
func (b *recovery) isSuperseded(set *Settings, v fleetView, nodes []string) bool {
	if v.now-b.startedAt >= set.DirectiveLifetime*21/20 {
		return true
	}
	heard := 0
	for _, s := range v.nodes {
		if s.revision >= b.revision && (nodes == nil || slices.Contains(nodes, s.Node)) {
			heard++
		}
	}
	if nodes == nil {
		return heard == v.presentCount
	}
	return heard == len(nodes)
}

// isTrialLost reports whether most of the trial's nodes that tried, two at least where two may, lost most of it.
func (ctl *Controller) isTrialLost(b *recovery, v fleetView, e Entry) bool {
	tried, lost := 0, 0
	for _, s := range v.nodes {
		if t := b.byNode[s.Node]; t != nil && !s.faulty && slices.Contains(e.TrialNodes, s.Node) && t.lost+t.answered > 0 {
			tried++
			if t.lost > t.answered {
				lost++
			}
		}
	}
	return 2*lost > tried && (lost >= 2 || len(e.TrialNodes) == 1 && lost == 1)
}

// isStepLost reports whether the attempts of this step are lost: RelapseLoss of the newest, by no one node's or zone's vote.
func (ctl *Controller) isStepLost(v fleetView, y, x string, rev uint64) bool {
	var all []nodeAttempts
	zones := 0
	for range v.presentByZone {
		zones++
	}
	if x != "" {
		zones = 1
	}
	for _, s := range v.nodes {
		if x != "" && s.Zone != x || s.faulty {
			continue
		}
		if c := ctl.settings.countWindows(v.now, ctl.nodes[s.Node], y, rev); c.lost+c.answered > 0 {
			all = append(all, nodeAttempts{zone: s.Zone, attempts: float64(c.lost + c.answered), lost: float64(c.lost)})
		}
	}
	p, attempts, nodes := robustLossPart(all, zones)
	return p >= ctl.settings.RelapseLoss && attempts >= 8 && nodes >= min(3, v.presentCount)
}
