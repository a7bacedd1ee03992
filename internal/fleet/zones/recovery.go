package zones

import (
	"math"
	"slices"

	"meadowsill/internal/fleet"
)

// recovery is what the controller knows of the recovery of a zone under its present directive, since it first saw that directive.
type recovery struct {
	revision    uint64
	startedAt   fleet.Time
	evidenceAt  fleet.Time // when the directive was first seen or, for an evacuated zone, when evidence last said that the zone fails
	byNode      map[string]*nodeEvidence
	hasAnswered bool
	answeredAt  fleet.Time // time of the first answers of this recovery; valid if hasAnswered
	lastTrial   []string   // nodes of the last trial; the next change waits until the trial is over on all of them
	trials      int        // trials so far
}

// nodeEvidence sums up a node's evidence under one directive, over windows that began when the node held that directive.
type nodeEvidence struct {
	zone     string
	lost     int
	answered int
	attempts int
	// servers that answered and servers that were tried, summed over the windows
	serversAnswered int
	serversTried    int
}

func (r *recovery) restart(now fleet.Time, e Entry) {
	r.revision = e.Revision
	r.startedAt = now
	r.evidenceAt = now
	r.byNode = nil
	if len(e.TrialNodes) > 0 {
		r.lastTrial = slices.Clone(e.TrialNodes)
		r.trials++
	}
	if e.Phase == fleet.Evacuated {
		r.hasAnswered = false
	}
}

func (r *recovery) add(n *nodeReports, c fleet.ZoneEvidence) {
	if c.Attempts == 0 {
		return
	}
	if r.byNode == nil {
		r.byNode = map[string]*nodeEvidence{}
	}
	evidence := r.byNode[n.Node]
	if evidence == nil {
		evidence = &nodeEvidence{zone: n.Zone}
		r.byNode[n.Node] = evidence
	}
	evidence.lost += c.Lost
	evidence.answered += c.Answered
	evidence.attempts += c.Attempts
	evidence.serversAnswered, evidence.serversTried = evidence.serversAnswered+c.Servers-c.LostServers, evidence.serversTried+c.Servers
	if c.Answered > 0 && !r.hasAnswered {
		r.hasAnswered, r.answeredAt = true, n.receivedAt
	}
}

// hasEnoughAnswers reports whether nodes that are not faulty have at least minAnswers answers, with less than MaxStepLoss lost,
// most attempts answered, and answers from enough of the zone's servers. Where more than one node may send, the answers must
// come from two nodes or more, and a quarter of minAnswers from others than the node with the most.
func (r *recovery) hasEnoughAnswers(settings *Settings, v fleetView, minAnswers, maxNodes, listed int) bool {
	var answers, lost, attempts []float64
	nodes, servers := 0, 0
	for _, node := range v.nodes {
		if evidence := r.byNode[node.Node]; evidence != nil && !node.faulty {
			answers = append(answers, float64(evidence.answered))
			lost = append(lost, float64(evidence.lost))
			attempts = append(attempts, float64(evidence.attempts))
			servers += evidence.serversAnswered
			if evidence.answered > 0 {
				nodes++
			}
		}
	}
	total, largest := 0.0, 0.0
	for i, clamped := range clampToMedian(answers) {
		if answers[i] > 0 {
			lost[i], attempts[i] = lost[i]*clamped/answers[i], attempts[i]*clamped/answers[i]
		}
		total, largest = total+clamped, math.Max(largest, clamped)
	}
	if maxNodes > 1 && (nodes < 2 || total-largest < float64(minAnswers)/4) {
		return false
	}
	totalLost := sum(lost)
	return total >= float64(minAnswers) && totalLost < settings.MaxStepLoss*(total+totalLost) && 2*total > sum(attempts) &&
		float64(servers) >= 0.6*float64(listed)
}

// recoveryCase holds what the next change of one directive is decided from.
type recoveryCase struct {
	*recovery
	view          fleetView
	entry         Entry
	change        Change     // the part of the next change that is the same for every step
	zone          string     // zone that the directive is on
	observer      string     // zone whose nodes the directive is for; "": every node
	elapsed       fleet.Time // since the directive was first seen or, for an evacuated zone, since evidence last said that the zone fails
	maxNodes      int        // nodes that may send to the zone
	listedServers int        // servers of the zone
}

// nextRecoveryChange returns the next change of a zone that is evacuated, in probation or recovering, if one is due.
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

// hasStepAnswers reports whether the present step of the recovery has enough answers.
func (r recoveryCase) hasStepAnswers(settings *Settings) bool {
	return r.hasEnoughAnswers(settings, r.view, settings.MinStepAnswers, r.maxNodes, r.listedServers)
}

// afterEvacuation starts a trial once the backoff is over, or the recovery where a part of the zone was served all along.
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

// afterProbation ends a trial by its answers, its loss or its timeout, and then starts the first step or another trial.
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

// afterTrial returns the change that ends a trial which has enough answers or whose time is over.
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

// afterStep returns the change that follows a step of the recovery: back where the zone fails, forward where the step has
// enough answers. established says that evidence of the zone's failure has lasted long enough to act on it.
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

// afterLostStep goes one step back. It ends the recovery where there is no earlier step that serves more than the base share.
func (ctl *Controller) afterLostStep(r recoveryCase) Change {
	e, settings := r.entry, &ctl.settings
	if e.Step == 1 || settings.Steps[e.Step-2] <= e.BaseShare {
		return ctl.endRecovery(r.change)
	}
	change := r.change
	change.Entry.Relapses = min(e.Relapses+1, settings.maxRelapses())
	change.Entry.BackoffMS = max(e.BackoffMS, settings.backoff(change.Entry.Relapses).Milliseconds())
	return ctl.recoveryStep(change, r.recovery, r.view, Lost, e.Step-1)
}

// isWarming reports whether servers of the zone may still be warming up.
func (r *recovery) isWarming(settings *Settings, now fleet.Time) bool {
	return !r.hasAnswered || now-r.answeredAt < settings.SlowStartWindow
}

// nextStep returns the first step, counted from 1, whose share is above the given share.
func nextStep(steps []float64, share float64) int {
	for i, x := range steps {
		if x > share {
			return i + 1
		}
	}
	return len(steps)
}

// endRecovery returns the change that ends a recovery: the zone is evacuated again, with one more relapse and a longer backoff.
func (ctl *Controller) endRecovery(c Change) Change {
	c.Event = Lost
	c.Entry.Relapses = min(c.Entry.Relapses+1, ctl.settings.maxRelapses())
	ctl.setEvacuated(&c.Entry, c.Entry.BaseShare, Lost)
	return c
}

// recoveryStep returns the change to a step of the recovery.
func (ctl *Controller) recoveryStep(c Change, r *recovery, v fleetView, event string, step int) Change {
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
		warming := r.isWarming(&ctl.settings, v.now)
		e.Budget, e.Slots = ctl.serverBudget(e.ProvedRate, share, warming), ctl.budgetSlots
	}
	c.Event = event
	return c
}

// trial returns the change that starts a trial by other nodes than those of the last trial. The nodes are ready and spread over
// zones; nodes whose own zone has a directive on the target take no part in a trial for all nodes. trial returns false where
// no node can take part.
func (ctl *Controller) trial(c Change, r *recovery, v fleetView, target, observer string) (Change, bool) {
	byZone := map[string][]string{}
	var zones []string
	for _, node := range v.nodes {
		if _, hasOwn := ctl.recoveries[Key(target, node.Zone)]; node.faulty || !node.ready ||
			observer != "" && node.Zone != observer || observer == "" && hasOwn {
			continue
		}
		if byZone[node.Zone] == nil {
			zones = append(zones, node.Zone)
		}
		byZone[node.Zone] = append(byZone[node.Zone], node.Node)
	}
	slices.Sort(zones)
	var candidates []string // the first node of each zone, then the second of each, so that a trial spans zones
	for i := 0; len(candidates) < len(v.nodes); i++ {
		n := len(candidates)
		for _, z := range zones {
			if i < len(byZone[z]) {
				candidates = append(candidates, byZone[z][i])
			}
		}
		if n == len(candidates) {
			break
		}
	}
	if len(candidates) == 0 {
		return c, false
	}
	var trial []string
	for i := range min(ctl.settings.TrialNodes, len(candidates)) {
		trial = append(trial, candidates[(r.trials*ctl.settings.TrialNodes+i)%len(candidates)])
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

// isSuperseded reports whether no node applies the directive before this one any more: each of the given nodes (nil: every
// present one) reports that it holds this directive, or the former one has expired, with a margin for clocks whose rates differ.
func (r *recovery) isSuperseded(settings *Settings, v fleetView, nodes []string) bool {
	if v.now-r.startedAt >= settings.DirectiveLifetime*21/20 {
		return true
	}
	confirmed := 0
	for _, node := range v.nodes {
		if node.revision >= r.revision && (nodes == nil || slices.Contains(nodes, node.Node)) {
			confirmed++
		}
	}
	if nodes == nil {
		return confirmed == v.presentCount
	}
	return confirmed == len(nodes)
}

// isTrialLost reports whether most of the trial's nodes with attempts lost most of them: at least two nodes, or its only node.
func (ctl *Controller) isTrialLost(r *recovery, v fleetView, e Entry) bool {
	tried, lost := 0, 0
	for _, node := range v.nodes {
		if ev := r.byNode[node.Node]; ev != nil && !node.faulty && slices.Contains(e.TrialNodes, node.Node) && ev.lost+ev.answered > 0 {
			tried++
			if ev.lost > ev.answered {
				lost++
			}
		}
	}
	return 2*lost > tried && (lost >= 2 || len(e.TrialNodes) == 1 && lost == 1)
}

// isStepLost reports whether RelapseLoss of the step's newest attempts is lost, even without any one node or any one zone.
func (ctl *Controller) isStepLost(v fleetView, target, observer string, minRevision uint64) bool {
	var perNode []nodeAttempts
	observerZones := 0
	for range v.presentByZone {
		observerZones++
	}
	if observer != "" {
		observerZones = 1
	}
	for _, node := range v.nodes {
		if observer != "" && node.Zone != observer || node.faulty {
			continue
		}
		if c := ctl.settings.countWindows(v.now, ctl.nodes[node.Node], target, minRevision); c.lost+c.answered > 0 {
			perNode = append(perNode, nodeAttempts{zone: node.Zone, attempts: float64(c.lost + c.answered), lost: float64(c.lost)})
		}
	}
	p, attempts, nodes := robustLossPart(perNode, observerZones)
	return p >= ctl.settings.RelapseLoss && attempts >= 8 && nodes >= min(3, v.presentCount)
}
