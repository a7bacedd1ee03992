package drift

import (
	"encoding/json"
	"slices"
	"strconv"

	"meadowsill/internal/fleet"
)

// node is what the judge knows of one node's process.
type node struct {
	fleet.Member
	born    fleet.Time // when the judge first met its name
	heard   bool       // a report has come since the judge began to lead
	report  fleet.Report
	at      fleet.Time // when the last report came
	back    fleet.Time // since when it is counted: its first report after silence, of this incarnation, in this leadership
	prevRev uint64     // revision of the report before; 0: there is none
	reports uint64     // since its verdict was last written
	start   [2]uint64  // revision and list version of the first report that is counted
	windows int        // reports since then

	behind  [2]lag // of intent, of the list
	trees   [2]content
	redo    bool // to be compared again: the report is of a revision that the judge had not seen
	aheadAt fleet.Time
	expected

	suspects  []Difference // behaviour that the last report showed
	behaviour []Difference // and the one before as well
	excess    map[string]float64

	settings string // digest of its settings; "" none reported
	local    []Override
	from     Override // of its settings: who and since when

	late []Difference // what it holds up past its bound

	absent bool // it has no session, since then:
	gone   fleet.Time

	shown      finding    // the last that said something
	shownAt    fleet.Time // since when in that state
	shownRev   uint64     // and at which revision of the intent
	repair     repairing
	proposed   fleet.Time // when a change of its verdict was last proposed
	proposedAt uint64     // and against which revision of it
	proposing  bool
	refreshed  fleet.Time
}

// expected is what a node is to hold at a revision, by the book of a generation.
type expected struct {
	rev, gen uint64
	held     []fleet.Held
	tree     *Tree
	whole    bool
}

// lag is the earliest outstanding revision, and since when it counts.
type lag struct {
	rev  uint64
	at   fleet.Time
	keys []string
}

// content is how one of a node's trees compares with what is intended at the node's revision.
type content struct {
	judged bool // it could be compared
	same   bool
	since  fleet.Time // when it was first other
	x      exchange
	ask    []string
	named  bool // items are all known
	items  []Difference
	more   int
	ahead  bool
}

// never is a time before all others.
const never = fleet.Time(-1 << 62)

// itemsMost is how many items a verdict lists.
const itemsMost = 32

// Evidence of a verdict, in the terms of the page's state table.
const (
	whySame     = "all as intended"
	whyBan      = "a ban"
	whySettings = "other settings than the fleet's"
	whyBehind   = "outstanding, inside the bound"
	whyLate     = "outstanding, past the bound"
	whyLateStep = "holds up a rollout past its bound"
	whyAsking   = "other content, being named"
	whyUnknown  = "not comparable yet"
	whyOther    = "other content, named"
	whyUnnamed  = "other content, not named within the bound"
	whyCounts   = "behaviour, two reports running"
	whyAbove    = "revision above the leader's, past 1 s"
	whyItem     = "item above the committed one"
	whyQuiet    = "2 s without a report"
	whyUnheard  = "not heard yet by this leader"
)

// finding is what is thought of a node at one look.
type finding struct {
	state     string // "" where it is as it was
	items     []Difference
	more      int
	overrides []Override
	evidence  string
}

// compare judges the node's content at its own revision. What can't be compared, as the intent of that revision is not
// known, stays as it was.
func (n *node) compare(now fleet.Time, b *book) {
	r := &n.report
	if n.redo = !b.known || b.above(r) != ""; n.redo {
		return
	}
	if e := &n.expected; e.tree == nil || e.rev != r.Revision || e.gen != b.gen {
		*e = expected{rev: r.Revision, gen: b.gen}
		e.held, e.whole = b.expect(r.Revision, n.Member, r.Services)
		e.tree = NewTree(e.held)
	}
	if e := &n.expected; e.whole {
		n.trees[0].compare(now, r, r.Root, inFleet, e.tree, e.held, func(key string, applied json.RawMessage) bool {
			return aheadOf(bodyOf(e.held, key), applied, r.Revision)
		})
	}
	if b.noList {
		n.trees[1] = content{judged: true, same: true}
	} else if l := b.listAt(r.List); l != nil && (r.List > 0 || b.listTop == 0) {
		n.trees[1].compare(now, r, r.ListRoot, inList, l.tree, l.held, func(string, json.RawMessage) bool { return false })
	}
}

func (c *content) compare(now fleet.Time, r *fleet.Report, root, letter string, t *Tree, held []fleet.Held, ahead func(string, json.RawMessage) bool) {
	if root == t.Root() {
		*c = content{judged: true, same: true}
		return
	}
	if !c.judged || c.same {
		*c = content{judged: true, since: now}
	}
	c.x.hear(root, letter, r.Held)
	keys, ask := c.x.name(t, letter)
	if c.ask = ask; len(ask) > 0 || len(keys) == 0 {
		return // what was named before stands until all is named again
	}
	c.items, c.more, c.ahead, c.named = nil, 0, false, true
	for i, k := range keys {
		if i >= bodiesAt {
			c.more += len(keys) - i
			break
		}
		intended, applied := bodyOf(held, k), c.x.got[k].Body
		c.ahead = c.ahead || ahead(k, applied)
		d := Differences(k, intended, applied)
		if len(d) == 0 {
			d = []Difference{{Key: k, Field: "digest", Intended: Digest(intended), Applied: c.x.got[k].Digest}}
		}
		c.items = append(c.items, d...)
	}
	if over := len(c.items) - itemsMost; over > 0 {
		c.items, c.more = c.items[:itemsMost], c.more+over
	}
}

// aheadOf says that a node's body of an item is of a revision, uid, generation or epoch above the committed one at
// the node's own revision: it was never committed.
func aheadOf(intended, applied json.RawMessage, at uint64) bool {
	type marks struct {
		Rev, UID, Epoch uint64
		Committed       struct{ Generation uint64 }
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

// follow keeps since when the node has been behind.
func (n *node) follow(b *book) {
	for i, at := range []uint64{n.report.Revision, n.report.List} {
		l := &n.behind[i]
		if i == 1 && b.noList {
			*l = lag{}
			continue
		}
		rev, seen, keys := b.outstanding(at, n.Member, n.report.Services, i == 1)
		switch {
		case rev == 0:
			*l = lag{}
		case l.rev == 0 || at >= l.rev:
			*l = lag{rev, seen, keys}
		default:
			l.keys = keys
		}
	}
}

// find judges the node at now. The first that holds counts. An empty state says nothing new.
func (n *node) find(now, leadSince fleet.Time, bd *Bounds, b *book) finding {
	if quiet := now - max(n.at, n.born, leadSince); quiet >= bd.Fresh {
		return finding{state: Silent, items: n.shown.items, more: n.shown.more, overrides: n.shown.overrides, evidence: whyQuiet}
	}
	if !n.heard || n.at < leadSince {
		return finding{}
	}
	newer := b.above(&n.report)
	above := b.known && newer != ""
	if !above {
		n.aheadAt = never
	} else if n.aheadAt == never {
		n.aheadAt = now
	}
	if above && now-n.aheadAt >= bd.Ahead {
		d := Difference{Key: "*", Field: newer, Intended: strconv.FormatUint(b.rev, 10), Applied: strconv.FormatUint(n.report.Revision, 10)}
		if newer == "list" {
			d.Intended, d.Applied = strconv.FormatUint(b.seen, 10), strconv.FormatUint(n.report.List, 10)
		}
		return finding{state: Ahead, overrides: slices.Clone(n.local), evidence: whyAbove, items: []Difference{d}}
	}
	f := finding{overrides: slices.Clone(n.local)}
	was := n.shown.state
	asking := n.findContent(bd, &f)
	if len(n.behaviour) > 0 {
		f.items = append(f.items, n.behaviour...)
		f.worse(Diverged, whyCounts)
	}
	lagging := n.findBehind(bd, &f)
	if len(n.late) > 0 {
		f.items = append(f.items, n.late...)
		f.worse(Stuck, whyLateStep)
	}
	if over := len(f.items) - itemsMost; over > 0 {
		f.items, f.more = f.items[:itemsMost], f.more+over
	}
	switch {
	case f.state != "" || above:
	case was == Diverged && n.shown.evidence == whyCounts && n.windows < 3:
	case was == Stuck && lagging && n.report.Revision <= n.start[0] && n.report.List <= n.start[1]:
	case (was == Diverged || was == Ahead) && (asking || !n.judged()): // what was found by an earlier leader stands
	case asking:
		f.state, f.evidence = CatchingUp, whyAsking
	case len(f.overrides) > 0:
		f.state, f.evidence = Overridden, whyBan
		if f.overrides[0].Key == fleet.KeySettings {
			f.evidence = whySettings
		}
	case lagging:
		f.state, f.evidence = CatchingUp, whyBehind
	case !n.judged():
		f.state, f.evidence = CatchingUp, whyUnknown
	default:
		f.state, f.evidence = InStep, whySame
	}
	return f
}

func (n *node) judged() bool { return n.trees[0].judged && n.trees[1].judged }

// counts starts the node's bounds anew.
func (n *node) counts(now fleet.Time) {
	n.back, n.aheadAt, n.windows = now, never, 0
	n.start = [2]uint64{n.report.Revision, n.report.List}
}

// worse puts a state where there is none yet, or ahead for diverged.
func (f *finding) worse(state, evidence string) {
	if f.state == "" || state == Ahead {
		f.state, f.evidence = state, evidence
	}
}

// findContent says whether content that is other is being named.
func (n *node) findContent(bd *Bounds, f *finding) (asking bool) {
	for i := range n.trees {
		switch c := &n.trees[i]; {
		case !c.judged || c.same:
		case c.named:
			f.items, f.more = append(f.items, c.items...), f.more+c.more
			if c.ahead {
				f.worse(Ahead, whyItem)
			} else {
				f.worse(Diverged, whyOther)
			}
		case n.at-max(c.since, n.back) >= bd.CatchUp:
			f.items = append(f.items, Difference{Key: "*", Field: [2]string{"root", "list_root"}[i], Intended: "another", Applied: [2]string{n.report.Root, n.report.ListRoot}[i]})
			f.worse(Diverged, whyUnnamed)
		default:
			asking = true
		}
	}
	return asking
}

// findBehind says whether an item is outstanding, and names those that have been for too long.
func (n *node) findBehind(bd *Bounds, f *finding) (lagging bool) {
	for i, at := range []uint64{n.report.Revision, n.report.List} {
		l := &n.behind[i]
		if l.rev == 0 {
			continue
		}
		lagging = true
		if n.at-max(l.at, n.back) < bd.CatchUp {
			continue // as far as its last report tells: it may have been stopped since
		}
		for _, k := range l.keys {
			f.items = append(f.items, Difference{Key: k, Field: "rev", Intended: "above " + strconv.FormatUint(at, 10), Applied: "older"})
		}
		f.worse(Stuck, whyLate)
	}
	return lagging
}
