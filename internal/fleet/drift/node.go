package drift

import (
	"encoding/json"
	"slices"
	"strconv"

	"meadowsill/internal/fleet"
)

// node is what the detector knows of one node's process.
type node struct {
	fleet.Member
	metAt            fleet.Time // when the detector first met its name
	heard            bool       // a report has come since the detector began to lead
	report           fleet.Report
	receivedAt       fleet.Time // when the last report came
	countedSince     fleet.Time // since when it is counted: its first report after silence, of this incarnation, in this leadership
	previousRevision uint64     // revision of the report before; 0: there is none
	reports          uint64     // since its verdict was last written
	firstCounted     [2]uint64  // revision and list version of the first report that is counted
	windows          int        // reports since then

	lags         [2]intentLag // of intent, of the list
	trees        [2]treeContent
	compareAgain bool // to be compared again: the report is of a revision that the detector had not seen
	aheadSince   fleet.Time
	expectedContent

	lastAnomalies  []Difference // behaviour that the last report showed
	anomalies      []Difference // and the one before as well
	admittedExcess map[string]float64

	settingsDigest   string // digest of its settings; "" none reported
	overrides        []Override
	settingsOverride Override // of its settings: who and since when

	lateSteps []Difference // what it holds up past its bound

	absent      bool // it has no session, since then:
	absentSince fleet.Time

	verdict          evaluation // the last that said something
	verdictSince     fleet.Time // since when in that state
	verdictRevision  uint64     // and at which revision of the intent
	repair           repairState
	proposedAt       fleet.Time // when a change of its verdict was last proposed
	proposedRevision uint64     // and against which revision of it
	proposing        bool
	refreshedAt      fleet.Time
}

// expectedContent is what a node is to hold at a revision, by the book of a generation.
type expectedContent struct {
	revision   uint64
	generation uint64
	items      []fleet.AppliedItem
	tree       *Tree
	complete   bool
}

// intentLag is the earliest outstanding revision, and since when it counts.
type intentLag struct {
	revision uint64
	since    fleet.Time
	keys     []string
}

// treeContent is how one of a node's trees compares with what is intended at the node's revision.
type treeContent struct {
	compared    bool // it could be compared
	same        bool
	since       fleet.Time // when it was first other
	exchange    treeExchange
	wanted      []string
	complete    bool // items are all known
	differences []Difference
	omitted     int
	isAhead     bool
}

// longAgo is a time before all others.
const longAgo = fleet.Time(-1 << 62)

// maxDifferences is how many items a verdict lists.
const maxDifferences = 32

// Evidence of a verdict, in the terms of the page's state table.
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

// evaluation is what is thought of a node at one look.
type evaluation struct {
	state       string // "" where it is as it was
	differences []Difference
	omitted     int
	overrides   []Override
	evidence    string
}

// compareContent evaluates the node's content at its own revision. What can't be compared, as the intent of that revision is not
// known, stays as it was.
func (n *node) compareContent(now fleet.Time, b *intentHistory) {
	r := &n.report
	if n.compareAgain = !b.started || b.newerThanLeader(r) != ""; n.compareAgain {
		return
	}
	if e := &n.expectedContent; e.tree == nil || e.revision != r.Revision || e.generation != b.generation {
		*e = expectedContent{revision: r.Revision, generation: b.generation}
		e.items, e.complete = b.expect(r.Revision, n.Member, r.Services)
		e.tree = NewTree(e.items)
	}
	if e := &n.expectedContent; e.complete {
		n.trees[0].compare(now, r, r.AppliedRoot, fleetTree, e.tree, e.items, func(key string, applied json.RawMessage) bool {
			return isAheadOf(bodyOf(e.items, key), applied, r.Revision)
		})
	}
	if b.withoutList {
		n.trees[1] = treeContent{compared: true, same: true}
	} else if l := b.listAt(r.List); l != nil && (r.List > 0 || b.newestListRevision == 0) {
		n.trees[1].compare(now, r, r.ListRoot, listTree, l.tree, l.items, func(string, json.RawMessage) bool { return false })
	}
}

func (c *treeContent) compare(now fleet.Time, r *fleet.Report, root, letter string, t *Tree, held []fleet.AppliedItem, ahead func(string, json.RawMessage) bool) {
	if root == t.Root() {
		*c = treeContent{compared: true, same: true}
		return
	}
	if !c.compared || c.same {
		*c = treeContent{compared: true, since: now}
	}
	c.exchange.takeAnswers(root, letter, r.Applied)
	keys, wanted := c.exchange.differingKeys(t, letter)
	if c.wanted = wanted; len(wanted) > 0 || len(keys) == 0 {
		return // what was named before stands until all is named again
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
		intended, applied := bodyOf(held, k), c.exchange.answers[k].Body
		c.isAhead = c.isAhead || ahead(k, applied)
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

// isAheadOf reports that a node's body of an item is of a revision, uid, generation or epoch above the committed one at
// the node's own revision: it was never committed.
func isAheadOf(intended, applied json.RawMessage, at uint64) bool {
	type marks struct {
		Rev       uint64
		UID       uint64
		Epoch     uint64
		Committed struct{ Generation uint64 }
	}
	var want, has marks
	if json.Unmarshal(applied, &has) != nil {
		return false
	}
	if len(intended) > 0 && json.Unmarshal(intended, &want) != nil {
		return false
	}
	if len(intended) == 0 {
		return has.Rev > at || has.UID > at
	}
	return has.Rev > want.Rev || has.UID > want.UID || has.Epoch > want.Epoch || has.UID == want.UID && has.Committed.Generation > want.Committed.Generation
}

// updateLags keeps since when the node has been behind.
func (n *node) updateLags(b *intentHistory) {
	for i, at := range []uint64{n.report.Revision, n.report.List} {
		l := &n.lags[i]
		if i == 1 && b.withoutList {
			*l = intentLag{}
			continue
		}
		rev, seen, keys := b.outstanding(at, n.Member, n.report.Services, i == 1)
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

// evaluate evaluates the node at now. The first that holds counts. An empty state says nothing new.
func (n *node) evaluate(now, leadSince fleet.Time, bd *Bounds, b *intentHistory) evaluation {
	if silence := now - max(n.receivedAt, n.metAt, leadSince); silence >= bd.ReportLifetime {
		return evaluation{state: Silent, differences: n.verdict.differences, omitted: n.verdict.omitted, overrides: n.verdict.overrides, evidence: evidenceSilent}
	}
	if !n.heard || n.receivedAt < leadSince {
		return evaluation{}
	}
	newer := b.newerThanLeader(&n.report)
	above := b.started && newer != ""
	if !above {
		n.aheadSince = longAgo
	} else if n.aheadSince == longAgo {
		n.aheadSince = now
	}
	if above && now-n.aheadSince >= bd.MaxAheadTime {
		d := Difference{Key: "*", Field: newer, Intended: strconv.FormatUint(b.revision, 10), Applied: strconv.FormatUint(n.report.Revision, 10)}
		if newer == "list" {
			d.Intended, d.Applied = strconv.FormatUint(b.newestRevision, 10), strconv.FormatUint(n.report.List, 10)
		}
		return evaluation{state: Ahead, overrides: slices.Clone(n.overrides), evidence: evidenceAboveLeader, differences: []Difference{d}}
	}
	f := evaluation{overrides: slices.Clone(n.overrides)}
	was := n.verdict.state
	naming := n.evaluateContent(bd, &f)
	if len(n.anomalies) > 0 {
		f.differences = append(f.differences, n.anomalies...)
		f.raise(Diverged, evidenceBehaviour)
	}
	lagging := n.evaluateLags(bd, &f)
	if len(n.lateSteps) > 0 {
		f.differences = append(f.differences, n.lateSteps...)
		f.raise(Stuck, evidenceLateStep)
	}
	if over := len(f.differences) - maxDifferences; over > 0 {
		f.differences, f.omitted = f.differences[:maxDifferences], f.omitted+over
	}
	switch {
	case f.state != "" || above:
	case was == Diverged && n.verdict.evidence == evidenceBehaviour && n.windows < 3:
	case was == Stuck && lagging && n.report.Revision <= n.firstCounted[0] && n.report.List <= n.firstCounted[1]:
	case (was == Diverged || was == Ahead) && (naming || !n.isComparable()): // what was found by an earlier leader stands
	case naming:
		f.state, f.evidence = CatchingUp, evidenceNaming
	case len(f.overrides) > 0:
		f.state, f.evidence = Overridden, evidenceExclusion
		if f.overrides[0].Key == fleet.KeySettings {
			f.evidence = evidenceSettings
		}
	case lagging:
		f.state, f.evidence = CatchingUp, evidenceBehind
	case !n.isComparable():
		f.state, f.evidence = CatchingUp, evidenceNotComparable
	default:
		f.state, f.evidence = InStep, evidenceSame
	}
	return f
}

func (n *node) isComparable() bool { return n.trees[0].compared && n.trees[1].compared }

// restartCounting starts the node's bounds anew.
func (n *node) restartCounting(now fleet.Time) {
	n.countedSince = now
	n.aheadSince = longAgo
	n.windows = 0
	n.firstCounted = [2]uint64{n.report.Revision, n.report.List}
}

// raise puts a state where there is none yet, or ahead for diverged.
func (f *evaluation) raise(state, evidence string) {
	if f.state == "" || state == Ahead {
		f.state, f.evidence = state, evidence
	}
}

// evaluateContent reports whether content that is other is being named.
func (n *node) evaluateContent(bd *Bounds, f *evaluation) (naming bool) {
	for i := range n.trees {
		switch c := &n.trees[i]; {
		case !c.compared || c.same:
		case c.complete:
			f.differences, f.omitted = append(f.differences, c.differences...), f.omitted+c.omitted
			if c.isAhead {
				f.raise(Ahead, evidenceItemAhead)
			} else {
				f.raise(Diverged, evidenceOtherContent)
			}
		case n.receivedAt-max(c.since, n.countedSince) >= bd.MaxLag:
			f.differences = append(f.differences, Difference{Key: "*", Field: [2]string{"root", "list_root"}[i], Intended: "another", Applied: [2]string{n.report.AppliedRoot, n.report.ListRoot}[i]})
			f.raise(Diverged, evidenceUnnamed)
		default:
			naming = true
		}
	}
	return naming
}

// evaluateLags reports whether an item is outstanding, and names those that have been for too long.
func (n *node) evaluateLags(bd *Bounds, f *evaluation) (lagging bool) {
	for i, at := range []uint64{n.report.Revision, n.report.List} {
		l := &n.lags[i]
		if l.revision == 0 {
			continue
		}
		lagging = true
		if n.receivedAt-max(l.since, n.countedSince) < bd.MaxLag {
			continue // as far as its last report tells: it may have been stopped since
		}
		for _, k := range l.keys {
			f.differences = append(f.differences, Difference{Key: k, Field: "rev", Intended: "above " + strconv.FormatUint(at, 10), Applied: "older"})
		}
		f.raise(Stuck, evidenceLate)
	}
	return lagging
}
