package simulation

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/statetable"
)

const driftPage = "../../../../docs/drift.md"

// starts bring the first node of a harness into a state through the node's own behaviour.
var starts = map[string]func(*harness){
	"none":     func(h *harness) { h.step() },
	InStep:     func(h *harness) {},
	CatchingUp: func(h *harness) { h.fallBehind(); h.run(time.Second) },
	Stuck:      func(h *harness) { h.fallBehind(); h.run(4 * time.Second) },
	Diverged:   func(h *harness) { h.nodes[0].AlterApplied = ReplaceItem("zone/z2", nil); h.run(time.Second) },
	Ahead:      func(h *harness) { h.nodes[0].AlterApplied = neverCommitted; h.run(time.Second) },
	Overridden: func(h *harness) { h.excludeServer(); h.run(time.Second) },
	Silent:     func(h *harness) { h.firstNodeMuted = true; h.run(2500 * ms) },
}

var neverCommitted = ReplaceItem("zone/z2", fleet.AppliedZone{Revision: 1 << 40})

// fallBehind changes the intent without the first node's knowledge.
func (h *harness) fallBehind() {
	h.nodes[0].ignoresIntent = true
	h.Put("zone/z3@z1", EvacuationDirective(0.1))
	h.deliverIntent()
}

func (h *harness) excludeServer() {
	b := AppliedItem("ban/s3", fleet.AppliedExclusion{Excluded: true})
	b.ChangedBy, b.SinceMS = "operator", 99
	h.nodes[0].local = append(h.nodes[0].local, b)
}

// events trigger the event and condition of a table row in a harness. They return an error if the result is wrong.
var events = map[string]func(*harness) error{
	"report|all as intended": func(h *harness) error { return h.thenRun(time.Second, func() {}) },
	"report|a ban":           func(h *harness) error { return h.thenRun(time.Second, h.excludeServer) },
	"report|other settings than the fleet's": func(h *harness) error {
		h.thenRun(time.Second, func() { h.nodes[0].local = []fleet.AppliedItem{settings(77)} })
		if o := h.verdict(0).Overrides; len(o) != 1 || o[0].ChangedBy != "SIGHUP" || o[0].SinceMS != 17 || !HasDifference(o[0].Fields, "settings", "nodes") {
			return fmt.Errorf("overrides %+v", o)
		}
		return nil
	},
	"report|outstanding, inside the bound": func(h *harness) error { return h.thenRun(2500*ms, h.fallBehind) },
	"report|outstanding, past the bound": func(h *harness) error {
		h.thenRun(3500*ms, h.fallBehind)
		return h.checkListed("zone/z3@z1", "rev")
	},
	"report|holds up a rollout past its bound": func(h *harness) error {
		h.thenRun(time.Second, func() { h.lateSteps = map[string][]Difference{h.nodes[0].Node: {{Key: "tenant/t", Field: "applied"}}} })
		return h.checkListed("tenant/t", "applied")
	},
	"report|other content, being named": func(h *harness) error {
		return h.thenRun(2500*ms, func() { h.nodes[0].AlterApplied, h.nodes[0].ignoresWants = ReplaceItem("zone/z2", nil), true })
	},
	"report|other content, named": func(h *harness) error {
		h.thenRun(time.Second, func() {
			h.nodes[0].AlterApplied = ReplaceItem("server/s3", fleet.AppliedServer{Zone: "z9", Kind: "k", State: "ready", Weight: 1})
		})
		return h.checkListed("server/s3", "zone")
	},
	"report|other content, not named within the bound": func(h *harness) error {
		h.thenRun(3900*ms, func() { h.nodes[0].AlterApplied, h.nodes[0].ignoresWants = ReplaceItem("zone/z2", nil), true })
		return h.checkListed("*", "root")
	},
	"report|behaviour, two reports running": func(h *harness) error {
		h.thenRun(2100*ms, func() { h.nodes[0].falsifyCounts = countAttempts(1, 99) })
		return h.checkListed("zone/z2", "sent")
	},
	"report|behaviour, one report": func(h *harness) error {
		return h.thenRun(2600*ms, func() { h.nodes[0].falsifyCounts = countAttempts(3, 3) })
	},
	"report|revision above the leader's, inside 1 s": func(h *harness) error {
		h.firstNodeMuted, h.nodes[0].revision = true, h.nodes[0].revision+10
		h.sendReport(h.nodes[0])
		return h.runAndStep(500 * ms)
	},
	"report|revision above the leader's, past 1 s": func(h *harness) error {
		h.firstNodeMuted, h.nodes[0].revision = false, h.nodes[0].revision+10
		h.run(2100 * ms)
		return h.checkListed("*", "revision")
	},
	"report|item above the committed one": func(h *harness) error {
		h.thenRun(time.Second, func() { h.nodes[0].AlterApplied = neverCommitted })
		return h.checkListed("zone/z2", "rev")
	},
	"report|not comparable yet": func(h *harness) error {
		h.nodes[0].revision = 1
		h.sendReport(h.nodes[0])
		return h.runAndStep(100 * ms)
	},
	"report|older incarnation": func(h *harness) error {
		old := *h.nodes[0]
		old.Incarnation--
		return h.checkRejected(&old)
	},
	"report|sequence seen before": func(h *harness) error {
		if h.verdict(0).State != "none" {
			old := *h.nodes[0]
			old.sequence--
			return h.checkRejected(&old)
		}
		return nil
	},
	"quiet|2 s without a report": func(h *harness) error { h.firstNodeMuted = true; return h.runAndStep(2500 * ms) },
	"quiet|not heard yet by this leader": func(h *harness) error {
		h.detector.Lead(h.now, h.replicatedState)
		return h.runAndStep(0)
	},
	"quiet|the judge was away": func(h *harness) error {
		h.now += 30 * time.Second
		return h.runAndStep(0)
	},
	"left|the node's last report said leaving": func(h *harness) error {
		h.nodes[0].draining, h.firstNodeMuted = true, true
		h.sendReport(h.nodes[0])
		h.present = h.present[1:]
		return h.runAndStep(300 * ms)
	},
	"quiet|no session for 10 min": func(h *harness) error {
		h.firstNodeMuted, h.present = true, h.present[1:]
		return h.runAndStep(601 * time.Second)
	},
}

// thenRun resets the first node, triggers an event and runs the harness for d.
func (h *harness) thenRun(d time.Duration, event func()) error {
	h.resetFirstNode()
	event()
	h.run(d)
	return nil
}

// runAndStep runs the harness for d and then steps the detector once more.
func (h *harness) runAndStep(d time.Duration) error {
	h.run(d)
	h.step()
	return nil
}

func (h *harness) checkListed(key, field string) error {
	if v := h.verdict(0); !HasDifference(v.Differences, key, field) {
		return fmt.Errorf("%+v doesn't list %s %s", v, key, field)
	}
	return nil
}

func (h *harness) checkRejected(m *SimulatedModule) error {
	h.rejected = nil
	h.sendReport(m)
	h.step()
	if len(h.rejected) != 1 || !errors.Is(h.rejected[0], fleet.ErrFenced) {
		return fmt.Errorf("rejected reports: %v", h.rejected)
	}
	return nil
}

// A node that reports but has no session, because its agent's copy is too old, must still be evaluated. The detector
// must not try to repair it.
func TestWithoutSession(t *testing.T) {
	h := newHarness(12)
	h.present = h.present[1:]
	starts[Stuck](h)
	h.run(700 * time.Second)
	must(t, h.verdict(0).State == Stuck && h.checkListed("zone/z3@z1", "rev") == nil && len(h.detector.Log(0)) == 0, "%+v", h.verdict(0))
}

// pageRows returns the rows of the table in docs/drift.md by next state and condition: the verdicts that are allowed,
// with their evidence.
var pageRows = sync.OnceValue(func() map[string]bool {
	rows, _ := statetable.Table(driftPage, "Verdicts")
	allowed := map[string]bool{}
	for _, row := range rows {
		allowed[row.Next+"|"+row.Condition] = true
	}
	return allowed
})

// The test runs every row of the table in docs/drift.md on a fleet of twelve nodes, from every state that the row names.
func TestVerdictTable(t *testing.T) {
	rows, err := statetable.Table(driftPage, "Verdicts")
	must(t, err == nil, "%v", err)
	for _, row := range rows {
		event := events[row.Event+"|"+row.Condition]
		must(t, event != nil, "%v: no test triggers this event", row)
		from := []string{row.State}
		if but, any := strings.CutPrefix(row.State, "any"); any {
			from = []string{"none", InStep, CatchingUp, Stuck, Diverged, Ahead, Overridden, Silent}
			from = slices.DeleteFunc(from, func(s string) bool { return strings.Contains(but, s) })
		}
		for _, state := range from {
			h := newHarness(12)
			if h.firstNodeMuted = state == "none"; h.firstNodeMuted {
				h.present = h.present[1:]
			}
			h.run(5 * time.Second)
			h.firstNodeMuted, h.present = false, []fleet.Member{}
			for _, m := range h.nodes {
				h.present = append(h.present, m.Member)
			}
			starts[state](h)
			must(t, h.verdict(0).State == state, "start %s: %+v", state, h.verdict(0))
			next := row.Next
			if next == "same" {
				next = state
			}
			if err := event(h); err != nil {
				t.Errorf("%v, from %s: %v", row, state, err)
			}
			if got := h.verdict(0); got.State != next {
				t.Errorf("%v, from %s: %s (%+v)", row, state, got.State, got)
			}
			for i := 1; i < len(h.nodes); i++ {
				must(t, h.verdict(i).State != Diverged && h.verdict(i).State != Stuck, "%v: %+v", row, h.verdict(i))
			}
		}
	}
}
