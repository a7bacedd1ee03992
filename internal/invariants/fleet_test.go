package invariants

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// cleanFleet returns a run without a breach. It has three nodes in zones a, b and c. Zone b is left at 10 s, is in probation with node 0
// from 14 s, returns with a budget from 17 s, and is served normally from 20 s. Tenant "new" is committed at 5 s and removed at 25 s;
// tenant "old" is in the settings. Node 2 is stopped from 30 s to 45 s, and node 1 is made to drift at 30 s.
func cleanFleet() Run {
	f := &Fleet{NodeZone: []string{"a", "b", "c"}, ServerZone: map[string]string{"sa": "a", "sb": "b", "sc": "c"},
		Faulted: map[string]time.Duration{"b": 9 * sec}, Settings: map[string]bool{"old": true}, Incarnations: 3,
		IntentChanges: []IntentChange{{Key: "tenant/new", Rev: 1, At: 4 * sec},
			{Key: "tenant/new", Rev: 2, At: 5 * sec, Committed: true, Rate: 20, Burst: 4},
			{Key: "zone/b", Rev: 3, At: 10 * sec, Phase: "left"},
			{Key: "zone/b", Rev: 4, At: 14 * sec, Phase: "probation", Trial: []int{0}, Budget: 4},
			{Key: "zone/b", Rev: 5, At: 17 * sec, Phase: "returning", Share: 0.1, Budget: 9},
			{Key: "zone/b", Rev: 6, At: 20 * sec, Removed: true},
			{Key: "tenant/new", Rev: 7, At: 25 * sec, Committed: true, Removing: true}},
		Verdicts: []Verdict{{Node: 0, At: sec, State: "in-step"}, {Node: 1, At: sec, State: "in-step"}, {Node: 2, At: sec, State: "in-step"},
			{Node: 1, At: 32 * sec, State: "overridden", What: "settings"}, {Node: 2, At: 33 * sec, State: "silent"}},
		Planted: []Planted{{Node: 1, At: 30 * sec}}}
	r := Run{Fleet: f, End: 60 * sec, Slack: sec, Fragile: map[string]bool{"place-order": true},
		Exemptions: []Exemption{{Node: 2, From: 30 * sec, To: 50 * sec, Back: 45 * sec, Why: "stopped n2"}}}
	add := func(at time.Duration, node int, server, account, class string) {
		r.addRequest(at, node, server, account, class)
	}
	for i := range 40 { // one request of "old" per second, in turn at zones a and c
		add(time.Duration(i)*sec, i%2*2, []string{"sa", "sc"}[i%2], "old", "schedule-view")
	}
	add(9*sec, 1, "sb", "old", "place-order")
	add(10*sec+500*ms, 1, "sb", "old", "schedule-view") // within zoneBound of the directive
	add(15*sec+500*ms, 0, "sb", "old", "schedule-view") // the trial request
	for i := range 8 {
		add(18*sec+500*ms+time.Duration(i)*10*ms, i%3, "sb", "old", "schedule-view") // within the budget
	}
	for i := range 30 {
		add(22*sec+time.Duration(i)*50*ms, i%3, "sb", "new", "schedule-view") // at the rate of its quota
	}
	add(25*sec+500*ms, 1, "sb", "new", "schedule-view")
	return r
}

// addRequest adds one request that is answered at its first attempt.
func (r *Run) addRequest(at time.Duration, node int, server, account, class string) {
	id := fmt.Sprint("r", len(r.Sent))
	r.Sent = append(r.Sent, Sent{ID: id, Class: class, Account: account, Node: node, At: at, Done: at + 30*ms, Status: 200, Taken: true})
	r.Attempts = append(r.Attempts, Attempt{ID: id, Class: class, Server: server, Node: node, Start: at + ms, End: at + 20*ms, Ran: true})
}

func TestCleanFleetHasNoBreach(t *testing.T) {
	if b := Check(cleanFleet()); len(b) != 0 {
		t.Fatal(b)
	}
}

// A run that breaks one rule has breaches of that rule only.
func TestDetectsEachFleetRuleBreach(t *testing.T) {
	for name, c := range map[string]struct {
		rule   string
		n      int
		change func(*Run)
	}{
		"attempt at a left zone":           {"Z-left", 1, func(r *Run) { r.addRequest(12*sec, 2, "sb", "old", "schedule-view") }},
		"unreachable server of left zone":  {"Z-left", 1, func(r *Run) { r.Fleet.UnreachableAttempts = []UnreachableAttempt{{2, "sb", 12 * sec}} }},
		"other node during probation":      {"Z-left", 1, func(r *Run) { r.addRequest(15*sec+500*ms, 2, "sb", "old", "schedule-view") }},
		"fragile request during probation": {"Z-trial", 1, func(r *Run) { r.addRequest(15*sec+500*ms, 0, "sb", "old", "place-order") }},
		"zone left by one zone's nodes":    {"Z-left", 1, func(r *Run) { r.leaveZoneForOneObserver(); r.addRequest(52*sec, 0, "sc", "old", "schedule-view") }},
		"zone left without a fault":        {"Z-wrong", 1, func(r *Run) { r.Fleet.Faulted = nil }},
		"zone left before the fault":       {"Z-wrong", 1, func(r *Run) { r.Fleet.Faulted["b"] = 11 * sec }},
		"over the budget of a returning zone": {"Z-budget", 1, func(r *Run) {
			for i := range 20 { // 28 where 9 + 3*sqrt(9) + 3 are allowed
				r.addRequest(18*sec+520*ms+time.Duration(i)*10*ms, i%3, "sb", "old", "schedule-view")
			}
		}},
		"over the budget by a node uninformed since the zone was left": {"Z-budget", 1, func(r *Run) { r.burstFromUninformedNode(12 * sec) }},
		"tenant without an intent":                                     {"T-uncommitted", 1, func(r *Run) { r.addRequest(3*sec, 0, "sa", "x", "schedule-view") }},
		"tenant without a committed generation":                        {"T-uncommitted", 1, func(r *Run) { r.addRequest(2*sec, 0, "sa", "new", "schedule-view") }},
		"removed tenant":                                               {"T-removed", 1, func(r *Run) { r.addRequest(28*sec, 0, "sa", "new", "schedule-view") }},
		"over the quota": {"T-quota", 1, func(r *Run) {
			for i := range 30 {
				r.addRequest(23*sec+time.Duration(i)*30*ms, 0, "sa", "new", "schedule-view")
			}
		}},
		"ahead":                   {"D-ahead", 1, func(r *Run) { r.Fleet.Verdicts = append(r.Fleet.Verdicts, Verdict{0, 40 * sec, "ahead", ""}) }},
		"verdict without a drift": {"D-false", 1, func(r *Run) { r.Fleet.Verdicts = append(r.Fleet.Verdicts, Verdict{0, 40 * sec, "diverged", ""}) }},
		"drift not found":         {"D-missed", 1, func(r *Run) { r.Fleet.Verdicts = append(r.Fleet.Verdicts[:3], r.Fleet.Verdicts[4:]...) }},
		"false death": {"M-dead", 1, func(r *Run) {
			r.Sightings = []Sighting{{0, 1, "suspect", 40 * sec}, {0, 1, "dead", 41 * sec}, {0, 2, "dead", 41 * sec}}
		}},
		"silent node not shown": {"D-silent", 1, func(r *Run) { r.Fleet.Verdicts = r.Fleet.Verdicts[:4] }},
	} {
		r := cleanFleet()
		c.change(&r)
		b := Check(r)
		if len(b) != c.n || b[0].Rule != c.rule {
			t.Errorf("%s: %v, want %d of %s", name, b, c.n, c.rule)
		}
	}
}

// leaveZoneForOneObserver adds a fault between zones a and c, for which only the nodes of zone a leave zone c.
func (r *Run) leaveZoneForOneObserver() {
	r.Fleet.Faulted["c"] = 50 * sec
	r.Fleet.IntentChanges = append(r.Fleet.IntentChanges, IntentChange{Key: "zone/c@a", Rev: 8, At: 50*sec + 500*ms, Phase: "left"})
	r.addRequest(52*sec, 1, "sc", "old", "schedule-view") // node 1 is in zone b and still uses zone c
}

// burstFromUninformedNode makes node 1, which receives no directives from the given time on, send more requests to the returning zone b
// than its budget allows.
func (r *Run) burstFromUninformedNode(from time.Duration) {
	r.Exemptions = append(r.Exemptions, Exemption{Node: 1, Rule: "after-grace", From: from, To: 24 * sec, Back: 19 * sec, Why: "deaf agent:n1"})
	for i := range 20 {
		r.addRequest(18*sec+520*ms+time.Duration(i)*10*ms, 1, "sb", "old", "schedule-view")
	}
}

// The rules exempt a node that can't receive directives, a verdict on a node under a fault, and a tenant of the settings at its first
// rollout.
func TestFleetRuleExemptions(t *testing.T) {
	for name, change := range map[string]func(*Run){
		"uninformed node at a left zone": func(r *Run) {
			r.addRequest(12*sec, 2, "sb", "old", "schedule-view")
			r.Exemptions = append(r.Exemptions, Exemption{Node: 2, Rule: "after-grace", From: 9 * sec, To: 13 * sec, Back: 11 * sec, Why: "deaf n2"})
		},
		"uninformed since before the zone was left": func(r *Run) { r.burstFromUninformedNode(9 * sec) },
		"verdict on a node that is down": func(r *Run) {
			r.Fleet.Verdicts = append(r.Fleet.Verdicts, Verdict{2, 36 * sec, "stuck", ""})
		},
		"tenant of the settings at its first rollout": func(r *Run) {
			r.Fleet.IntentChanges = append(r.Fleet.IntentChanges, IntentChange{Key: "tenant/old", Rev: 9, At: 20 * sec})
		},
	} {
		r := cleanFleet()
		change(&r)
		if b := Check(r); len(b) != 0 {
			t.Errorf("%s: %v", name, b)
		}
	}
}
