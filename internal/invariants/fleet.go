package invariants

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// IntentChange is one change of the control plane's intent (docs/fleet.md), to a zone's directive or to a tenant, as the lab received it
// from discovery. At is some ms after the commit of the change.
type IntentChange struct {
	Key     string // "zone/Y", "zone/Y@X" or "tenant/NAME"
	Rev     uint64
	At      time.Duration
	Removed bool `json:"Gone"`
	// Phase, Share, Budget and Trial are those of a zone's directive.
	Phase  string
	Share  float64
	Budget float64 // requests/s that one server of the zone may receive from all nodes together; 0: no limit
	Trial  []int   // nodes that may send trial requests to a zone in probation
	// Committed, Removing, Rate and Burst are those of a tenant.
	Committed bool // the tenant has a committed generation
	Removing  bool
	Rate      float64 // quota of the committed generation in requests/s over all nodes
	Burst     float64
}

// Verdict is a change of the control plane's verdict on a node (docs/drift.md).
type Verdict struct {
	Node  int
	At    time.Duration
	State string
	What  string // the items that differ, in readable form
}

// Planted is a drift that the lab caused on purpose at a node.
type Planted struct {
	Node int
	At   time.Duration
}

// UnreachableAttempt is a node's attempt to connect or send to a server that was unreachable then. A relay recorded it; no server received it.
type UnreachableAttempt struct {
	Node   int
	Server string
	At     time.Duration
}

// Fleet is the part of the checker's input that only a run with a control plane has. The tags keep the names in records.json compatible.
type Fleet struct {
	IntentChanges       []IntentChange `json:"Told"` // in the order in which the lab received them
	Verdicts            []Verdict
	Planted             []Planted
	UnreachableAttempts []UnreachableAttempt `json:"Tries"`
	NodeZone            []string
	ServerZone          map[string]string
	Faulted             map[string]time.Duration // time of the first fault on a zone's servers or the links to them, by zone
	Settings            map[string]bool          // tenants in the nodes' settings, which nodes serve until the intent names them
	Incarnations        int                      `json:"Lives"` // number of incarnations of all nodes, each of which starts with a token of every quota
}

// The documented time limits: for a node to stop sending to a zone after a directive is sent, and for the detection of a drift.
const (
	zoneBound  = time.Second
	driftBound = 8 * time.Second // 2 s until a node counts as silent, 3 s to request and name the items, and the reports' interval
)

// fleet returns every breach of the fleet's rules on zones (Z), tenants (T) and drift (D).
func (r Run) fleet() []Breach {
	if r.Fleet == nil {
		return nil
	}
	f := r.Fleet
	byKey := map[string][]IntentChange{}
	for _, t := range f.IntentChanges {
		byKey[t.Key] = append(byKey[t.Key], t)
	}
	out := f.zonesLeftWithoutFault()
	out = append(out, r.attemptsAtLeftZones(byKey)...)
	out = append(out, r.zoneBudgets(byKey)...)
	out = append(out, r.tenants(byKey)...)
	return append(out, r.drift()...)
}

// zonesLeftWithoutFault finds directives to leave a zone that no fault had affected.
func (f *Fleet) zonesLeftWithoutFault() []Breach {
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

// forbids reports whether the directive forbids node to send to its zone: the zone was left, or is in probation with other trial nodes.
func (t IntentChange) forbids(node int) bool {
	return !t.Removed && t.Share == 0 && (t.Phase == "left" || t.Phase == "probation" && !slices.Contains(t.Trial, node))
}

// forbiddingDirective returns the directive that at time at has forbidden node to send to the zone for at least zoneBound. It finds none
// if a directive within zoneBound of at allows node to send, because nodes may receive a directive a little before the lab does.
func forbiddingDirective(changes []IntentChange, node int, at time.Duration) (IntentChange, bool) {
	var last IntentChange
	found := false
	for _, t := range changes {
		if t.At > at+zoneBound {
			break
		}
		if t.At > at-zoneBound {
			if !t.forbids(node) {
				return IntentChange{}, false
			}
			continue
		}
		last, found = t, t.forbids(node)
	}
	return last, found
}

// attemptsAtLeftZones finds attempts at a zone that the node must have left, including those that reached no server, and fragile
// requests among the trial requests to a zone in probation.
func (r Run) attemptsAtLeftZones(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	f := r.Fleet
	checkAttempt := func(id string, node int, server string, at time.Duration, fragile bool) {
		zone := f.ServerZone[server]
		if node < 0 || node >= len(f.NodeZone) || zone == "" {
			return
		}
		for _, key := range []string{"zone/" + zone, "zone/" + zone + "@" + f.NodeZone[node]} {
			if t, ok := forbiddingDirective(byKey[key], node, at); ok && !r.exempt("after-grace", node, t.At, at) {
				out = append(out, Breach{"Z-left", id, at, fmt.Sprintf("node %d tried %s of %s, %s since %v (revision %d)", node, server,
					zone, t.Phase, t.At, t.Rev)})
				return
			}
			if t, ok := unchangedAround(byKey[key], at); ok && fragile && t.Phase == "probation" {
				out = append(out, Breach{"Z-trial", id, at, fmt.Sprintf("node %d tried %s with a fragile request in probation", node, server)})
				return
			}
		}
	}
	for _, a := range r.Attempts {
		checkAttempt(a.ID, a.Node, a.Server, a.Start, r.Fragile[a.Class])
	}
	for _, t := range f.UnreachableAttempts {
		checkAttempt("", t.Node, t.Server, t.At, false)
	}
	return out
}

// unchangedAround returns the change that is in force from zoneBound before to zoneBound after time at, or none if another one came in between.
func unchangedAround(changes []IntentChange, at time.Duration) (IntentChange, bool) {
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

// zoneBudgets finds servers of a returning zone that received more requests from all nodes together within a second than the directive's
// budget allows. As in the cold rule, random variation is allowed for: a budget of N permits N + 3*sqrt(N) + 3. Requests of a node that a
// fault has kept from receiving directives since before the zone was left are not counted: that node still serves the zone normally.
func (r Run) zoneBudgets(byKey map[string][]IntentChange) []Breach {
	var out []Breach
	byServer := map[string][]Attempt{}
	for _, a := range r.Attempts {
		if !r.uninformedSince(directiveSince(byKey["zone/"+r.Fleet.ServerZone[a.Server]], a.Start), a) {
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
			budget, bound := largestBudget(changes, a.Start-time.Second, a.Start)
			if n := i - first + 1; bound && float64(n) > budget+3*math.Sqrt(budget)+3 {
				out = append(out, Breach{"Z-budget", a.ID, a.Start, fmt.Sprintf("%s got %d requests in a second, its budget is %.1f", server, n, budget)})
				break // report one breach per server
			}
		}
	}
	return out
}

// directiveSince returns the time of the first directive since the zone last had none, as of time at. It returns 0 if no directive is in
// force then.
func directiveSince(changes []IntentChange, at time.Duration) time.Duration {
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

// uninformedSince reports whether a fault on the attempt's own node has kept it from receiving directives from before the time since until
// the attempt.
func (r Run) uninformedSince(since time.Duration, a Attempt) bool {
	return since > 0 && slices.ContainsFunc(r.Exemptions, func(e Exemption) bool {
		return e.Node == a.Node && e.Rule == "after-grace" && e.From <= since && (e.To < 0 || a.Start <= e.To)
	})
}

// largestBudget returns the largest budget in force from zoneBound before from to zoneBound after to, or false if there was no budget for
// a part of this time.
func largestBudget(changes []IntentChange, from, to time.Duration) (float64, bool) {
	budget, bound := 0.0, false
	for i, t := range changes {
		if t.At > to+zoneBound {
			break
		}
		if i+1 < len(changes) && changes[i+1].At <= from-zoneBound {
			continue // no longer in force
		}
		if i == 0 && t.At > from-zoneBound || t.Removed || t.Phase == "serving" || t.Budget <= 0 && t.Share > 0 {
			return 0, false
		}
		budget, bound = max(budget, t.Budget), true
	}
	return budget, bound && budget > 0
}
