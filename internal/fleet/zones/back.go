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
	zone                          string
	lost, answered                int
	attempts                      int
	serversAnswered, serversTried int // servers that answered, and tried, added up over windows
}

func (b *recovery) restart(now fleet.Time, e Entry) {
	b.revision, b.startedAt, b.evidenceAt, b.byNode = e.Revision, now, now, nil
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
	t.lost, t.answered, t.attempts = t.lost+c.Lost, t.answered+c.Answered, t.attempts+c.Attempts
	t.serversAnswered, t.serversTried = t.serversAnswered+c.Servers-c.LostServers, t.serversTried+c.Servers
	if c.Answered > 0 && !b.warming {
		b.warming, b.answeredAt = true, n.receivedAt
	}
}

// hasEnoughAnswers reports whether there are so many answers of counted nodes, of two of them at least where two may try, with
// less than StepLost lost and most attempts answered, from enough of the zone's servers.
func (b *recovery) hasEnoughAnswers(set *Settings, v fleetView, need, may, listed int) bool {
	var ok, lost, attempts []float64
	nodes, servers := 0, 0
	for _, s := range v.nodes {
		if t := b.byNode[s.Node]; t != nil && !s.faulty {
			ok, lost, attempts = append(ok, float64(t.answered)), append(lost, float64(t.lost)), append(attempts, float64(t.attempts))
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

// nextRecoveryChange returns the next change of a zone that is evacuated or returns, if it is time for one.
func (j *Controller) nextRecoveryChange(v fleetView, s *State, key string) (c Change, ok bool) {
	b, e := j.recoveries[key], s.Directives[key]
	y, x, _ := ParseKey(key)
	c = Change{Key: key, IfRevision: e.Revision, Entry: e}
	f, bad := j.evidence[key]
	after := v.now - b.evidenceAt
	may, listed := v.presentCount, 1
	if x != "" {
		may = v.presentByZone[x]
	}
	if z := j.loads[y]; z != nil {
		listed = v.medianListed(y)
		if e.ListedServers > 0 {
			listed = min(listed, e.ListedServers)
		}
	}
	switch e.Phase {
	case fleet.Evacuated:
		switch {
		case bad:
			b.evidenceAt, b.byNode = v.now, nil
		case after < e.backoff() || e.Share == 0 && !b.isSuperseded(&j.settings, v, nil):
		case e.Share > 0:
			if b.hasEnoughAnswers(&j.settings, v, j.settings.MinStepAnswers, may, listed) {
				return j.recoveryStep(c, b, v, Answered, nextStep(j.settings.Steps, e.Share)), true
			}
		default:
			return j.trial(c, b, v, y, x)
		}
	case fleet.Probation:
		switch {
		case j.isTrialLost(b, v, e):
			return j.endRecovery(c), true
		case len(e.TrialNodes) > 0 && b.hasEnoughAnswers(&j.settings, v, j.settings.MinTrialAnswers, len(e.TrialNodes), 0):
			c.Event, c.Entry.TrialNodes, c.Entry.TrialAnswered = Answered, nil, true
			return c, true
		case len(e.TrialNodes) > 0 && after >= j.settings.TrialTimeout:
			c.Event, c.Entry.TrialNodes = TimeElapsed, nil
			return c, true
		case len(e.TrialNodes) > 0 || !b.isSuperseded(&j.settings, v, b.lastTrial):
		case e.TrialAnswered:
			return j.recoveryStep(c, b, v, TimeElapsed, 1), true
		default:
			return j.trial(c, b, v, y, x)
		}
	case fleet.Recovering:
		last := e.Step == len(j.settings.Steps)
		switch {
		case bad && f.Event != Gray && f.isEstablished(v.now) && after >= j.settings.EvidenceWindow:
			return j.endRecovery(c), true
		case after >= j.settings.LostDelay && j.isStepLost(v, y, x, e.Revision):
			if e.Step == 1 || j.settings.Steps[e.Step-2] <= e.BaseShare {
				return j.endRecovery(c), true
			}
			c.Entry.Relapses = min(e.Relapses+1, j.settings.maxRelapse())
			c.Entry.BackoffMS = max(e.BackoffMS, j.settings.backoff(c.Entry.Relapses).Milliseconds())
			return j.recoveryStep(c, b, v, Lost, e.Step-1), true
		case after < j.settings.MinStepTime || !b.hasEnoughAnswers(&j.settings, v, j.settings.MinStepAnswers, may, listed):
		case e.Share >= j.settings.SlowStartMinCapacity && e.Budget > 0 && (!b.warming || v.now-b.answeredAt < j.settings.SlowStartWindow):
		case last:
			c.Event, c.Removed, c.Entry = Answered, true, Entry{}
			return c, true
		default:
			return j.recoveryStep(c, b, v, Answered, e.Step+1), true
		}
	}
	return c, false
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
func (j *Controller) endRecovery(c Change) Change {
	c.Event = Lost
	c.Entry.Relapses = min(c.Entry.Relapses+1, j.settings.maxRelapse())
	j.setEvacuated(&c.Entry, c.Entry.BaseShare, Lost)
	return c
}

// recoveryStep makes the change to a step of the recovery.
func (j *Controller) recoveryStep(c Change, b *recovery, v fleetView, event string, step int) Change {
	e := &c.Entry
	budgeted := e.Budget > 0
	share := j.settings.Steps[step-1]
	floor := j.settings.floor(e.BaseShare, step)
	if event == Lost {
		floor = e.BaseShare
	}
	e.TrialAnswered = false
	e.Directive = fleet.Directive{Phase: fleet.Recovering, Share: share, Floor: math.Min(floor, share), Step: step,
		ValidMS: j.settings.DirectiveLifetime.Milliseconds(), Reason: e.Reason, BackoffMS: e.BackoffMS, Relapses: e.Relapses}
	if budgeted {
		cold := !b.warming || v.now-b.answeredAt < j.settings.SlowStartWindow
		e.Budget, e.Slots = j.serverBudget(e.ProvedRate, share, cold), j.budgetSlots
	}
	c.Event = event
	return c
}

// trial makes the change to a trial by other nodes than the last: of different zones, ready, none of them with a
// directive of its own against the zone. There is none where no node can.
func (j *Controller) trial(c Change, b *recovery, v fleetView, y, x string) (Change, bool) {
	byZone := map[string][]string{}
	var zones []string
	for _, s := range v.nodes {
		if _, own := j.recoveries[Key(y, s.Zone)]; s.faulty || !s.ready || x != "" && s.Zone != x || x == "" && own {
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
	for i := range min(j.settings.TrialNodes, len(line)) {
		trial = append(trial, line[(b.trials*j.settings.TrialNodes+i)%len(line)])
	}
	e := &c.Entry
	c.Event = TimeElapsed
	e.Directive = fleet.Directive{Phase: fleet.Probation, Budget: j.serverBudget(e.ProvedRate, j.settings.Steps[0], true) / 2,
		Slots: len(trial), TrialNodes: trial, ValidMS: j.settings.DirectiveLifetime.Milliseconds(), Reason: e.Reason,
		BackoffMS: e.BackoffMS, Relapses: e.Relapses}
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
func (j *Controller) isTrialLost(b *recovery, v fleetView, e Entry) bool {
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
func (j *Controller) isStepLost(v fleetView, y, x string, rev uint64) bool {
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
		if c := j.settings.countWindows(v.now, j.nodes[s.Node], y, rev); c.lost+c.answered > 0 {
			all = append(all, nodeAttempts{zone: s.Zone, attempts: float64(c.lost + c.answered), lost: float64(c.lost)})
		}
	}
	p, attempts, nodes := robustLossPart(all, zones)
	return p >= j.settings.RelapseLoss && attempts >= 8 && nodes >= min(3, v.presentCount)
}
