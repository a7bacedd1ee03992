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

// starts bring the first node of a harness into a state, by what a node can do.
var starts = map[string]func(*harness){
	"none":     func(h *harness) { h.step() },
	InStep:     func(h *harness) {},
	CatchingUp: func(h *harness) { h.behind(); h.run(time.Second) },
	Stuck:      func(h *harness) { h.behind(); h.run(4 * time.Second) },
	Diverged:   func(h *harness) { h.nodes[0].Plant = PlantItem("zone/z2", nil); h.run(time.Second) },
	Ahead:      func(h *harness) { h.nodes[0].Plant = above; h.run(time.Second) },
	Overridden: func(h *harness) { h.ban(); h.run(time.Second) },
	Silent:     func(h *harness) { h.quiet = true; h.run(2500 * ms) },
}

var above = PlantItem("zone/z2", fleet.AppliedZone{Revision: 1 << 40})

// behind has something new intended that the first node does not hear.
func (h *harness) behind() {
	h.nodes[0].ignoresIntent = true
	h.Put("zone/z3@z1", EvacuationDirective(0.1))
	h.hear()
}

func (h *harness) ban() {
	b := AppliedItem("ban/s3", fleet.AppliedExclusion{Excluded: true})
	b.ChangedBy, b.SinceMS = "operator", 99
	h.nodes[0].local = append(h.nodes[0].local, b)
}

// events are the rows' events and conditions, as what happens to a harness in some state. They give what is wrong.
var events = map[string]func(*harness) error{
	"report|all as intended": func(h *harness) error { return h.then(time.Second, func() {}) },
	"report|a ban":           func(h *harness) error { return h.then(time.Second, h.ban) },
	"report|other settings than the fleet's": func(h *harness) error {
		h.then(time.Second, func() { h.nodes[0].local = []fleet.AppliedItem{settings(77)} })
		if o := h.verdict(0).Overrides; len(o) != 1 || o[0].ChangedBy != "SIGHUP" || o[0].SinceMS != 17 || !HasDifference(o[0].Fields, "settings", "nodes") {
			return fmt.Errorf("overrides %+v", o)
		}
		return nil
	},
	"report|outstanding, inside the bound": func(h *harness) error { return h.then(2500*ms, h.behind) },
	"report|outstanding, past the bound": func(h *harness) error {
		h.then(3500*ms, h.behind)
		return h.names("zone/z3@z1", "rev")
	},
	"report|holds up a rollout past its bound": func(h *harness) error {
		h.then(time.Second, func() { h.late = map[string][]Difference{h.nodes[0].Node: {{Key: "tenant/t", Field: "applied"}}} })
		return h.names("tenant/t", "applied")
	},
	"report|other content, being named": func(h *harness) error {
		return h.then(2500*ms, func() { h.nodes[0].Plant, h.nodes[0].ignoresWants = PlantItem("zone/z2", nil), true })
	},
	"report|other content, named": func(h *harness) error {
		h.then(time.Second, func() {
			h.nodes[0].Plant = PlantItem("server/s3", fleet.AppliedServer{Zone: "z9", Kind: "k", State: "ready", Weight: 1})
		})
		return h.names("server/s3", "zone")
	},
	"report|other content, not named within the bound": func(h *harness) error {
		h.then(3900*ms, func() { h.nodes[0].Plant, h.nodes[0].ignoresWants = PlantItem("zone/z2", nil), true })
		return h.names("*", "root")
	},
	"report|behaviour, two reports running": func(h *harness) error {
		h.then(2100*ms, func() { h.nodes[0].falsifyCounts = sent(1, 99) })
		return h.names("zone/z2", "sent")
	},
	"report|behaviour, one report": func(h *harness) error {
		return h.then(2600*ms, func() { h.nodes[0].falsifyCounts = sent(3, 3) })
	},
	"report|revision above the leader's, inside 1 s": func(h *harness) error {
		h.quiet, h.nodes[0].revision = true, h.nodes[0].revision+10
		h.send(h.nodes[0])
		return h.pass(500 * ms)
	},
	"report|revision above the leader's, past 1 s": func(h *harness) error {
		h.quiet, h.nodes[0].revision = false, h.nodes[0].revision+10
		h.run(2100 * ms)
		return h.names("*", "revision")
	},
	"report|item above the committed one": func(h *harness) error {
		h.then(time.Second, func() { h.nodes[0].Plant = above })
		return h.names("zone/z2", "rev")
	},
	"report|not comparable yet": func(h *harness) error {
		h.nodes[0].revision = 1
		h.send(h.nodes[0])
		return h.pass(100 * ms)
	},
	"report|older incarnation": func(h *harness) error {
		old := *h.nodes[0]
		old.Incarnation--
		return h.refuses(&old)
	},
	"report|sequence seen before": func(h *harness) error {
		if h.verdict(0).State != "none" {
			old := *h.nodes[0]
			old.sequence--
			return h.refuses(&old)
		}
		return nil
	},
	"quiet|2 s without a report": func(h *harness) error { h.quiet = true; return h.pass(2500 * ms) },
	"quiet|not heard yet by this leader": func(h *harness) error {
		h.j.Lead(h.now, h.st)
		return h.pass(0)
	},
	"quiet|the judge was away": func(h *harness) error {
		h.now += 30 * time.Second
		return h.pass(0)
	},
	"left|the node's last report said leaving": func(h *harness) error {
		h.nodes[0].draining, h.quiet = true, true
		h.send(h.nodes[0])
		h.present = h.present[1:]
		return h.pass(300 * ms)
	},
	"quiet|no session for 10 min": func(h *harness) error {
		h.quiet, h.present = true, h.present[1:]
		return h.pass(601 * time.Second)
	},
}

// then mends the node, has something happen and lets its reports come.
func (h *harness) then(d time.Duration, what func()) error {
	h.mend()
	what()
	h.run(d)
	return nil
}

// pass lets time go by and looks once more.
func (h *harness) pass(d time.Duration) error {
	h.run(d)
	h.step()
	return nil
}

func (h *harness) names(key, field string) error {
	if v := h.verdict(0); !HasDifference(v.Differences, key, field) {
		return fmt.Errorf("%+v names no %s %s", v, key, field)
	}
	return nil
}

func (h *harness) refuses(m *Module) error {
	h.refused = nil
	h.send(m)
	h.step()
	if len(h.refused) != 1 || !errors.Is(h.refused[0], fleet.ErrFenced) {
		return fmt.Errorf("refused %v", h.refused)
	}
	return nil
}

// A node that reports but has no session, as its agent's copy is too old for one, is evaluated all the same; no repair is
// tried on it.
func TestWithoutSession(t *testing.T) {
	h := newHarness(12)
	h.present = h.present[1:]
	starts[Stuck](h)
	h.run(700 * time.Second)
	must(t, h.verdict(0).State == Stuck && h.names("zone/z3@z1", "rev") == nil && len(h.j.Log(0)) == 0, "%+v", h.verdict(0))
}

// paged are the page's rows by next state and condition: what the controller may say, on which evidence.
var paged = sync.OnceValue(func() map[string]bool {
	rows, _ := statetable.Table(driftPage, "Verdicts")
	said := map[string]bool{}
	for _, row := range rows {
		said[row.Next+"|"+row.Condition] = true
	}
	return said
})

// Every row of the page is run against the controller, from every state that it names, on a fleet of twelve.
func TestVerdictTable(t *testing.T) {
	rows, err := statetable.Table(driftPage, "Verdicts")
	must(t, err == nil, "%v", err)
	for _, row := range rows {
		event := events[row.Event+"|"+row.Condition]
		must(t, event != nil, "%v: no test makes this happen", row)
		from := []string{row.State}
		if but, any := strings.CutPrefix(row.State, "any"); any {
			from = []string{"none", InStep, CatchingUp, Stuck, Diverged, Ahead, Overridden, Silent}
			from = slices.DeleteFunc(from, func(s string) bool { return strings.Contains(but, s) })
		}
		for _, state := range from {
			h := newHarness(12)
			if h.quiet = state == "none"; h.quiet {
				h.present = h.present[1:]
			}
			h.run(5 * time.Second)
			h.quiet, h.present = false, []fleet.Member{}
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
