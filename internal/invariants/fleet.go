package invariants

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// IntentChange is one change of the control plane's intent (docs/fleet.md) as the lab saw it come out of discovery: a zone's directive,
// or a tenant. At is some ms after its commit.
type IntentChange struct {
	Key     string // "zone/Y", "zone/Y@X" or "tenant/NAME"
	Rev     uint64
	At      time.Duration
	Removed bool `json:"Gone"`
	// Of a zone:
	Phase  string
	Share  float64
	Budget float64 // requests/s that one of its servers may get from all nodes together; 0: no limit
	Trial  []int   // in probation: the nodes that may try it
	// Of a tenant:
	Committed bool // it has a committed generation
	Removing  bool
	Rate      float64 // of the committed generation, requests/s over all nodes
	Burst     float64
}

// Verdict is a change of the control plane's verdict on a node (docs/drift.md).
type Verdict struct {
	Node  int
	At    time.Duration
	State string
	What  string // its items, for people
}

// Planted is a drift that the lab caused on purpose at a node.
type Planted struct {
	Node int
	At   time.Duration
}

// UnreachableAttempt is a node's sending, or connecting, to a server that could not be reached then: a relay saw it, no server did.
type UnreachableAttempt struct {
	Node   int
	Server string
	At     time.Duration
}

// Fleet is what the checker reads of a run with a control plane. The tags keep the names that records.json has had.
type Fleet struct {
	IntentChanges       []IntentChange `json:"Told"` // in the order seen
	Verdicts            []Verdict
	Planted             []Planted
	UnreachableAttempts []UnreachableAttempt `json:"Tries"`
	NodeZone            []string
	ServerZone          map[string]string
	Faulted             map[string]time.Duration // by zone: when a fault first touched its servers, or ways to them
	Settings            map[string]bool          // tenants of the nodes' settings: served until intent names them
	Incarnations        int                      `json:"Lives"` // of nodes, for the tokens that each incarnation starts with
}

// Bounds of the pages: how long a node has to stop after a directive is sent, and drift to be found.
const (
	zoneBound  = time.Second
	driftBound = 8 * time.Second // silent after 2 s, asked and named for 3 s, and the reports' rhythm
)

// fleet gives every breach of the fleet's rules: zones (Z), tenants (T), drift (D).
func (r Run) fleet() []Breach {
	if r.Fleet == nil {
		return nil
	}
	f := r.Fleet
	byKey := map[string][]IntentChange{}
	for _, t := range f.IntentChanges {
		byKey[t.Key] = append(byKey[t.Key], t)
	}
	out := f.zonesWrong()
	out = append(out, r.zonesLeft(byKey)...)
	out = append(out, r.zoneBudgets(byKey)...)
	out = append(out, r.tenants(byKey)...)
	return append(out, r.drift()...)
}

// zonesWrong finds directives for zones that no fault had touched.
func (f *Fleet) zonesWrong() []Breach {
	var out []Breach
	for _, t := range f.IntentChanges {
		if key, ok := strings.CutPrefix(t.Key, "zone/"); ok && !t.Removed && t.Phase == "left" {
			zone, _, _ := strings.Cut(key, "@")
			if at, hit := f.Faulted[zone]; !hit || at > t.At {
				out = append(out, Breach{"Z-wrong", "", t.At, fmt.Sprintf("%s left (revision %d) though no fault had touched it", t.Key, t.Rev)})
			}
		}
	}
	return out
}

// bars says whether a directive keeps node from a zone: it was left, or is on trial by others.
func (t IntentChange) bars(node int) bool {
	return !t.Removed && t.Share == 0 && (t.Phase == "left" || t.Phase == "probation" && !slices.Contains(t.Trial, node))
}

// barred gives the directive of key that has kept node from its zone for the bound at the time at, with none about
// then (the nodes may hear a little before the lab) that does not.
func barred(changes []IntentChange, node int, at time.Duration) (IntentChange, bool) {
	var last IntentChange
	found := false
	for _, t := range changes {
		if t.At > at+zoneBound {
			break
		}
		if t.At > at-zoneBound {
			if !t.bars(node) {
				return IntentChange{}, false
			}
			continue
		}
		last, found = t, t.bars(node)
	}
	return last, found
}

// zonesLeft finds attempts, and tries that reached nobody, at a zone the node was to have left; and fragile requests
// among the trials of a zone in probation.
func (r Run) zonesLeft(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	f := r.Fleet
	look := func(id string, node int, server string, at time.Duration, fragile bool) {
		zone := f.ServerZone[server]
		if node < 0 || node >= len(f.NodeZone) || zone == "" {
			return
		}
		for _, key := range []string{"zone/" + zone, "zone/" + zone + "@" + f.NodeZone[node]} {
			if t, ok := barred(byKey[key], node, at); ok && !r.excused("after-grace", node, t.At, at) {
				out = append(out, Breach{"Z-left", id, at, fmt.Sprintf("node %d tried %s of %s, %s since %v (revision %d)", node, server,
					zone, t.Phase, t.At, t.Rev)})
				return
			}
			if t, ok := steady(byKey[key], at); ok && fragile && t.Phase == "probation" {
				out = append(out, Breach{"Z-trial", id, at, fmt.Sprintf("node %d tried %s with a fragile request in probation", node, server)})
				return
			}
		}
	}
	for _, a := range r.Attempts {
		look(a.ID, a.Node, a.Server, a.Start, r.Fragile[a.Class])
	}
	for _, t := range f.UnreachableAttempts {
		look("", t.Node, t.Server, t.At, false)
	}
	return out
}

// steady gives the change that has held for the bound about the time at; none where it changed.
func steady(changes []IntentChange, at time.Duration) (IntentChange, bool) {
	var last IntentChange
	found := false
	for _, t := range changes {
		if t.At > at+zoneBound {
			break
		}
		if t.At > at-zoneBound {
			return IntentChange{}, false
		}
		last, found = t, !t.Removed
	}
	return last, found
}

// zoneBudgets finds servers of a returning zone that got more from all nodes together than the directive's budget, in
// any second, with chance's part as the cold rule has it. What a node sends that was deaf before the zone was left, and still is, is not
// counted: it serves the zone as ever.
func (r Run) zoneBudgets(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	byServer := map[string][]Attempt{}
	for _, a := range r.Attempts {
		if !r.deafSince(leftAt(byKey["zone/"+r.Fleet.ServerZone[a.Server]], a.Start), a) {
			byServer[a.Server] = append(byServer[a.Server], a)
		}
	}
	for server, as := range byServer {
		changes := byKey["zone/"+r.Fleet.ServerZone[server]]
		if len(changes) == 0 {
			continue
		}
		sort.Slice(as, func(i, j int) bool { return as[i].Start < as[j].Start })
		first := 0
		for i, a := range as {
			for as[first].Start <= a.Start-time.Second {
				first++
			}
			budget, bound := budgetAbout(changes, a.Start-time.Second, a.Start)
			if n := i - first + 1; bound && float64(n) > budget+3*math.Sqrt(budget)+3 {
				out = append(out, Breach{"Z-budget", a.ID, a.Start, fmt.Sprintf("%s got %d requests in a second, its budget is %.1f", server, n, budget)})
				break // one for each server
			}
		}
	}
	return out
}

// leftAt is when the first directive of those that hold at at was seen; 0 where none holds.
func leftAt(changes []IntentChange, at time.Duration) time.Duration {
	since := time.Duration(0)
	for _, t := range changes {
		switch {
		case t.At > at:
			return since
		case t.Removed:
			since = 0
		case since == 0:
			since = t.At
		}
	}
	return since
}

// deafSince says whether a fault has kept the attempt's node itself from hearing from before left until the attempt.
func (r Run) deafSince(left time.Duration, a Attempt) bool {
	return left > 0 && slices.ContainsFunc(r.Exemptions, func(e Exemption) bool {
		return e.Node == a.Node && e.Rule == "after-grace" && e.From <= left && (e.To < 0 || a.Start <= e.To)
	})
}

// budgetAbout is the largest budget that held from a bound before from to a bound after to; false where at some time
// there was none.
func budgetAbout(changes []IntentChange, from, to time.Duration) (float64, bool) {
	budget, bound := 0.0, false
	for i, t := range changes {
		if t.At > to+zoneBound {
			break
		}
		if i+1 < len(changes) && changes[i+1].At <= from-zoneBound {
			continue // over by then
		}
		if i == 0 && t.At > from-zoneBound || t.Removed || t.Phase == "serving" || t.Budget <= 0 && t.Share > 0 {
			return 0, false
		}
		budget, bound = max(budget, t.Budget), true
	}
	return budget, bound && budget > 0
}
