package drift

import (
	"encoding/json"
	"slices"
	"strconv"

	"meadowsill/internal/fleet"
)

// node is the detector's state of one node's process.
type node struct {
	fleet.Member
	firstSeenAt       fleet.Time // when the detector first saw the node's name
	hasReport         bool       // a report has arrived since the detector began to lead
	report            fleet.Report
	receivedAt        fleet.Time // when the last report arrived
	countedSince      fleet.Time // start of the node's bounds: its first report after a silence, of this incarnation, in this leadership
	previousRevision  uint64     // revision of the previous report; 0: there is none
	reportsSinceWrite uint64     // reports since the verdict was last written
	firstCounted      [2]uint64  // revision and list version of the first report since countedSince
	countedReports    int        // reports since countedSince

	lags         [2]intentLag // of the intent and of the list
	trees        [2]treeContent
	compareAgain bool // the report has to be compared again because the detector didn't know its revision yet
	aheadSince   fleet.Time
	expectedContent

	lastAnomalies  []Difference // inconsistent counts of the last report
	anomalies      []Difference // anomalies that both of the last two reports show
	admittedExcess map[string]float64

	settingsDigest   string // digest of the node's settings; "": not reported
	overrides        []Override
	settingsOverride Override // who changed the node's settings, and when

	lateSteps []Difference // rollout steps that the node has delayed past their bound

	absent      bool // the node has had no session since absentSince
	absentSince fleet.Time

	verdict          evaluation // the last evaluation with a state
	verdictSince     fleet.Time // when the verdict's state began
	verdictRevision  uint64     // revision of the intent at that time
	repair           repairState
	proposedAt       fleet.Time // when a change of the verdict was last proposed
	proposedRevision uint64     // revision of the verdict that the proposal was based on
	proposing        bool
	refreshedAt      fleet.Time
}

// expectedContent is what a node must have applied at a revision, according to one generation of the intent history.
type expectedContent struct {
	revision   uint64
	generation uint64
	items      []fleet.AppliedItem
	tree       *Tree
	complete   bool
}

// intentLag is the earliest outstanding revision, and when its bound began.
type intentLag struct {
	revision uint64
	since    fleet.Time
	keys     []string
}

// treeContent is the result of comparing one of a node's trees with the intent at the node's revision.
type treeContent struct {
	compared    bool // a comparison was possible
	same        bool
	since       fleet.Time // when the tree was first found to differ
	exchange    treeExchange
	wanted      []string
	complete    bool // the differences of all items are known
	differences []Difference
	omitted     int
	isAhead     bool
}

// longAgo is earlier than any other time.
const longAgo = fleet.Time(-1 << 62)

// maxDifferences is the maximum number of differences in a verdict.
const maxDifferences = 32

// Evidence of a verdict, in the terms of the state table in docs/drift.md.
const (
	evidenceSame          = "all as intended"
	evidenceExclusion     = "a ban"
	evidenceSettings      = "other settings than the fleet's"
	evidenceBehind        = "outstanding, inside the bound"
	evidenceLate          = "outstanding, past the bound"
	evidenceLateStep      = "holds up a rollout past its bound"
	evidenceNaming        = "other content, being named"
	evidenceNotComparable = "not comparable yet"
	evidenceOtherContent  = "other content, named"
	evidenceUnnamed       = "other content, not named within the bound"
	evidenceBehaviour     = "behaviour, two reports running"
	evidenceAboveLeader   = "revision above the leader's, past 1 s"
	evidenceItemAhead     = "item above the committed one"
	evidenceSilent        = "2 s without a report"
	evidenceNoReport      = "not heard yet by this leader"
)

// evaluation is the result of evaluating a node once.
type evaluation struct {
	state       string // "": the verdict stays as it was
	differences []Difference
	omitted     int
	overrides   []Override
	evidence    string
}

// compareContent compares the node's content with the intent at the node's own revision. If the intent of that revision
// is unknown, the previous result stays.
func (n *node) compareContent(now fleet.Time, history *intentHistory) {
	r := &n.report
	if n.compareAgain = !history.started || history.newerThanLeader(r) != ""; n.compareAgain {
		return
	}
	if e := &n.expectedContent; e.tree == nil || e.revision != r.Revision || e.generation != history.generation {
		*e = expectedContent{revision: r.Revision, generation: history.generation}
		e.items, e.complete = history.expect(r.Revision, n.Member, r.Services)
		e.tree = NewTree(e.items)
	}
	if e := &n.expectedContent; e.complete {
		n.trees[0].compare(now, r, r.AppliedRoot, fleetTree, e.tree, e.items, func(key string, applied json.RawMessage) bool {
			return isAheadOf(bodyOf(e.items, key), applied, r.Revision)
		})
	}
	if history.withoutList {
		n.trees[1] = treeContent{compared: true, same: true}
	} else if l := history.listAt(r.AppliedListVersion); l != nil && (r.AppliedListVersion > 0 || history.newestListRevision == 0) {
		n.trees[1].compare(now, r, r.ListRoot, listTree, l.tree, l.items, func(string, json.RawMessage) bool { return false })
	}
}

func (c *treeContent) compare(now fleet.Time, r *fleet.Report, root, prefix string, t *Tree, expected []fleet.AppliedItem, isItemAhead func(string, json.RawMessage) bool) {
	if root == t.Root() {
		*c = treeContent{compared: true, same: true}
		return
	}
	if !c.compared || c.same {
		*c = treeContent{compared: true, since: now}
	}
	c.exchange.addAnswers(root, prefix, r.Applied)
	keys, wanted := c.exchange.differingKeys(t, prefix)
	if c.wanted = wanted; len(wanted) > 0 || len(keys) == 0 {
		return // the previous differences stay until all new ones are known
	}
	c.differences = nil
	c.omitted = 0
	c.isAhead = false
	c.complete = true
	for i, k := range keys {
		if i >= maxBodies {
			c.omitted += len(keys) - i
			break
		}
		intended, applied := bodyOf(expected, k), c.exchange.answers[k].Body
		c.isAhead = c.isAhead || isItemAhead(k, applied)
		d := Differences(k, intended, applied)
		if len(d) == 0 {
			d = []Difference{{Key: k, Field: "digest", Intended: Digest(intended), Applied: c.exchange.answers[k].Digest}}
		}
		c.differences = append(c.differences, d...)
	}
	if over := len(c.differences) - maxDifferences; over > 0 {
		c.differences, c.omitted = c.differences[:maxDifferences], c.omitted+over
	}
}

// isAheadOf reports whether a node's body of an item has a revision, UID, generation or epoch above the committed one at
// the node's own revision, which means that it was never committed.
func isAheadOf(intended, applied json.RawMessage, at uint64) bool {
	type itemVersions struct {
		Rev       uint64
		UID       uint64
		Epoch     uint64
		Committed struct{ Generation uint64 }
	}
	var want, got itemVersions
	if json.Unmarshal(applied, &got) != nil {
		return false
	}
	if len(intended) > 0 && json.Unmarshal(intended, &want) != nil {
		return false
	}
	if len(intended) == 0 {
		return got.Rev > at || got.UID > at
	}
	return got.Rev > want.Rev || got.UID > want.UID || got.Epoch > want.Epoch || got.UID == want.UID && got.Committed.Generation > want.Committed.Generation
}

// updateLags updates since when the node has lagged behind the intent and the list.
func (n *node) updateLags(history *intentHistory) {
	for i, at := range []uint64{n.report.Revision, n.report.AppliedListVersion} {
		l := &n.lags[i]
		if i == 1 && history.withoutList {
			*l = intentLag{}
			continue
		}
		rev, seen, keys := history.outstanding(at, n.Member, n.report.Services, i == 1)
		switch {
		case rev == 0:
			*l = intentLag{}
		case l.revision == 0 || at >= l.revision:
			*l = intentLag{rev, seen, keys}
		default:
			l.keys = keys
		}
	}
}

// evaluate evaluates the node at now. If several states apply, the first one counts. An empty state means that there is
// no new result.
func (n *node) evaluate(now, leadSince fleet.Time, bounds *Bounds, history *intentHistory) evaluation {
	if silence := now - max(n.receivedAt, n.firstSeenAt, leadSince); silence >= bounds.ReportLifetime {
		return evaluation{state: Silent, differences: n.verdict.differences, omitted: n.verdict.omitted, overrides: n.verdict.overrides, evidence: evidenceSilent}
	}
	if !n.hasReport || n.receivedAt < leadSince {
		return evaluation{}
	}
	newer := history.newerThanLeader(&n.report)
	above := history.started && newer != ""
	if !above {
		n.aheadSince = longAgo
	} else if n.aheadSince == longAgo {
		n.aheadSince = now
	}
	if above && now-n.aheadSince >= bounds.MaxAheadTime {
		d := Difference{Key: "*", Field: newer, Intended: strconv.FormatUint(history.revision, 10), Applied: strconv.FormatUint(n.report.Revision, 10)}
		if newer == "list" {
			d.Intended, d.Applied = strconv.FormatUint(history.newestRevision, 10), strconv.FormatUint(n.report.AppliedListVersion, 10)
		}
		return evaluation{state: Ahead, overrides: slices.Clone(n.overrides), evidence: evidenceAboveLeader, differences: []Difference{d}}
	}
	e := evaluation{overrides: slices.Clone(n.overrides)}
	previousState := n.verdict.state
	naming := n.evaluateContent(bounds, &e)
	if len(n.anomalies) > 0 {
		e.differences = append(e.differences, n.anomalies...)
		e.raise(Diverged, evidenceBehaviour)
	}
	lagging := n.evaluateLags(bounds, &e)
	if len(n.lateSteps) > 0 {
		e.differences = append(e.differences, n.lateSteps...)
		e.raise(Stuck, evidenceLateStep)
	}
	if over := len(e.differences) - maxDifferences; over > 0 {
		e.differences, e.omitted = e.differences[:maxDifferences], e.omitted+over
	}
	switch {
	case e.state != "" || above:
	case previousState == Diverged && n.verdict.evidence == evidenceBehaviour && n.countedReports < 3:
	case previousState == Stuck && lagging && n.report.Revision <= n.firstCounted[0] && n.report.AppliedListVersion <= n.firstCounted[1]:
	case (previousState == Diverged || previousState == Ahead) && (naming || !n.isComparable()): // the verdict of an earlier leader stays
	case naming:
		e.state, e.evidence = CatchingUp, evidenceNaming
	case len(e.overrides) > 0:
		e.state, e.evidence = Overridden, evidenceExclusion
		if e.overrides[0].Key == fleet.KeySettings {
			e.evidence = evidenceSettings
		}
	case lagging:
		e.state, e.evidence = CatchingUp, evidenceBehind
	case !n.isComparable():
		e.state, e.evidence = CatchingUp, evidenceNotComparable
	default:
		e.state, e.evidence = InStep, evidenceSame
	}
	return e
}

func (n *node) isComparable() bool { return n.trees[0].compared && n.trees[1].compared }

// restartCounting measures the node's bounds from now.
func (n *node) restartCounting(now fleet.Time) {
	n.countedSince = now
	n.aheadSince = longAgo
	n.countedReports = 0
	n.firstCounted = [2]uint64{n.report.Revision, n.report.AppliedListVersion}
}

// raise sets the state if there is none yet, or if the new state is Ahead.
func (e *evaluation) raise(state, evidence string) {
	if e.state == "" || state == Ahead {
		e.state, e.evidence = state, evidence
	}
}

// evaluateContent adds the differences in content to the evaluation. It reports whether the detector is still
// identifying the items that differ.
func (n *node) evaluateContent(bounds *Bounds, e *evaluation) (naming bool) {
	for i := range n.trees {
		switch c := &n.trees[i]; {
		case !c.compared || c.same:
		case c.complete:
			e.differences, e.omitted = append(e.differences, c.differences...), e.omitted+c.omitted
			if c.isAhead {
				e.raise(Ahead, evidenceItemAhead)
			} else {
				e.raise(Diverged, evidenceOtherContent)
			}
		case n.receivedAt-max(c.since, n.countedSince) >= bounds.MaxLag:
			e.differences = append(e.differences, Difference{Key: "*", Field: [2]string{"root", "list_root"}[i], Intended: "another", Applied: [2]string{n.report.AppliedRoot, n.report.ListRoot}[i]})
			e.raise(Diverged, evidenceUnnamed)
		default:
			naming = true
		}
	}
	return naming
}

// evaluateLags adds the items that have been outstanding for too long to the evaluation. It reports whether any item is
// outstanding.
func (n *node) evaluateLags(bounds *Bounds, e *evaluation) (lagging bool) {
	for i, at := range []uint64{n.report.Revision, n.report.AppliedListVersion} {
		l := &n.lags[i]
		if l.revision == 0 {
			continue
		}
		lagging = true
		if n.receivedAt-max(l.since, n.countedSince) < bounds.MaxLag {
			continue // measured at the last report, because the node may have been stopped since
		}
		for _, k := range l.keys {
			e.differences = append(e.differences, Difference{Key: k, Field: "rev", Intended: "above " + strconv.FormatUint(at, 10), Applied: "older"})
		}
		e.raise(Stuck, evidenceLate)
	}
	return lagging
}
