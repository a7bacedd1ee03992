package play

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/fleet"
	. "starlingvalve/internal/fleet/drift"
	"starlingvalve/internal/fleet/page"
)

const driftPage = "../../../../docs/drift.md"

// starts bring the first node of a rig into a state, by what a node can do.
var starts = map[string]func(*rig){
	"none":     func(r *rig) { r.step() },
	InStep:     func(r *rig) {},
	CatchingUp: func(r *rig) { r.behind(); r.run(time.Second) },
	Stuck:      func(r *rig) { r.behind(); r.run(4 * time.Second) },
	Diverged:   func(r *rig) { r.nodes[0].Plant = Plant("zone/z2", nil); r.run(time.Second) },
	Ahead:      func(r *rig) { r.nodes[0].Plant = above; r.run(time.Second) },
	Overridden: func(r *rig) { r.ban(); r.run(time.Second) },
	Silent:     func(r *rig) { r.quiet = true; r.run(2500 * ms) },
}

var above = Plant("zone/z2", fleet.HeldZone{Rev: 1 << 40})

// behind has something new intended that the first node does not hear.
func (r *rig) behind() {
	r.nodes[0].deaf = true
	r.Put("zone/z3@z1", Left(0.1))
	r.hear()
}

func (r *rig) ban() {
	b := Fact("ban/s3", fleet.HeldBan{Out: true})
	b.By, b.SinceMS = "door", 99
	r.nodes[0].local = append(r.nodes[0].local, b)
}

// events are the rows' events and conditions, as what happens to a rig in some state. They give what is wrong.
var events = map[string]func(*rig) error{
	"report|all as intended": func(r *rig) error { return r.then(time.Second, func() {}) },
	"report|a ban":           func(r *rig) error { return r.then(time.Second, r.ban) },
	"report|other settings than the fleet's": func(r *rig) error {
		r.then(time.Second, func() { r.nodes[0].local = []fleet.Held{settings(77)} })
		if o := r.verdict(0).Overrides; len(o) != 1 || o[0].By != "SIGHUP" || o[0].SinceMS != 17 || !Has(o[0].Fields, "settings", "nodes") {
			return fmt.Errorf("overrides %+v", o)
		}
		return nil
	},
	"report|outstanding, inside the bound": func(r *rig) error { return r.then(2500*ms, r.behind) },
	"report|outstanding, past the bound": func(r *rig) error {
		r.then(3500*ms, r.behind)
		return r.names("zone/z3@z1", "rev")
	},
	"report|holds up a rollout past its bound": func(r *rig) error {
		r.then(time.Second, func() { r.late = map[string][]Difference{r.nodes[0].Node: {{Key: "tenant/t", Field: "applied"}}} })
		return r.names("tenant/t", "applied")
	},
	"report|other content, being named": func(r *rig) error {
		return r.then(2500*ms, func() { r.nodes[0].Plant, r.nodes[0].mute = Plant("zone/z2", nil), true })
	},
	"report|other content, named": func(r *rig) error {
		r.then(time.Second, func() {
			r.nodes[0].Plant = Plant("server/s3", fleet.HeldServer{Zone: "z9", Kind: "k", State: "ready", Size: 1})
		})
		return r.names("server/s3", "zone")
	},
	"report|other content, not named within the bound": func(r *rig) error {
		r.then(3900*ms, func() { r.nodes[0].Plant, r.nodes[0].mute = Plant("zone/z2", nil), true })
		return r.names("*", "root")
	},
	"report|behaviour, two reports running": func(r *rig) error {
		r.then(2100*ms, func() { r.nodes[0].counts = sent(1, 99) })
		return r.names("zone/z2", "sent")
	},
	"report|behaviour, one report": func(r *rig) error {
		return r.then(2600*ms, func() { r.nodes[0].counts = sent(3, 3) })
	},
	"report|revision above the leader's, inside 1 s": func(r *rig) error {
		r.quiet, r.nodes[0].rev = true, r.nodes[0].rev+10
		r.send(r.nodes[0])
		return r.pass(500 * ms)
	},
	"report|revision above the leader's, past 1 s": func(r *rig) error {
		r.quiet, r.nodes[0].rev = false, r.nodes[0].rev+10
		r.run(2100 * ms)
		return r.names("*", "revision")
	},
	"report|item above the committed one": func(r *rig) error {
		r.then(time.Second, func() { r.nodes[0].Plant = above })
		return r.names("zone/z2", "rev")
	},
	"report|not comparable yet": func(r *rig) error {
		r.nodes[0].rev = 1
		r.send(r.nodes[0])
		return r.pass(100 * ms)
	},
	"report|older incarnation": func(r *rig) error {
		old := *r.nodes[0]
		old.Incarnation--
		return r.refuses(&old)
	},
	"report|sequence seen before": func(r *rig) error {
		if r.verdict(0).State != "none" {
			old := *r.nodes[0]
			old.seq--
			return r.refuses(&old)
		}
		return nil
	},
	"quiet|2 s without a report": func(r *rig) error { r.quiet = true; return r.pass(2500 * ms) },
	"quiet|not heard yet by this leader": func(r *rig) error {
		r.j.Lead(r.now, r.st)
		return r.pass(0)
	},
	"quiet|the judge was away": func(r *rig) error {
		r.now += 30 * time.Second
		return r.pass(0)
	},
	"left|the node's last report said leaving": func(r *rig) error {
		r.nodes[0].leaving, r.quiet = true, true
		r.send(r.nodes[0])
		r.present = r.present[1:]
		return r.pass(300 * ms)
	},
	"quiet|no session for 10 min": func(r *rig) error {
		r.quiet, r.present = true, r.present[1:]
		return r.pass(601 * time.Second)
	},
}

// then mends the node, has something happen and lets its reports come.
func (r *rig) then(d time.Duration, what func()) error {
	r.mend()
	what()
	r.run(d)
	return nil
}

// pass lets time go by and looks once more.
func (r *rig) pass(d time.Duration) error {
	r.run(d)
	r.step()
	return nil
}

func (r *rig) names(key, field string) error {
	if v := r.verdict(0); !Has(v.Items, key, field) {
		return fmt.Errorf("%+v names no %s %s", v, key, field)
	}
	return nil
}

func (r *rig) refuses(m *Module) error {
	r.refused = nil
	r.send(m)
	r.step()
	if len(r.refused) != 1 || !errors.Is(r.refused[0], fleet.ErrFenced) {
		return fmt.Errorf("refused %v", r.refused)
	}
	return nil
}

// A node that reports but has no session, as its agent's copy is too old for one, is judged all the same; no repair is
// tried on it.
func TestWithoutSession(t *testing.T) {
	r := newRig(12)
	r.present = r.present[1:]
	starts[Stuck](r)
	r.run(700 * time.Second)
	must(t, r.verdict(0).State == Stuck && r.names("zone/z3@z1", "rev") == nil && len(r.j.Log(0)) == 0, "%+v", r.verdict(0))
}

// paged are the page's rows by next state and condition: what the judge may say, on which evidence.
var paged = sync.OnceValue(func() map[string]bool {
	rows, _ := page.Table(driftPage, "Verdicts")
	said := map[string]bool{}
	for _, row := range rows {
		said[row.Next+"|"+row.Condition] = true
	}
	return said
})

// Every row of the page is run against the judge, from every state that it names, on a fleet of twelve.
func TestVerdictTable(t *testing.T) {
	rows, err := page.Table(driftPage, "Verdicts")
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
			r := newRig(12)
			if r.quiet = state == "none"; r.quiet {
				r.present = r.present[1:]
			}
			r.run(5 * time.Second)
			r.quiet, r.present = false, []fleet.Member{}
			for _, m := range r.nodes {
				r.present = append(r.present, m.Member)
			}
			starts[state](r)
			must(t, r.verdict(0).State == state, "start %s: %+v", state, r.verdict(0))
			next := row.Next
			if next == "same" {
				next = state
			}
			if err := event(r); err != nil {
				t.Errorf("%v, from %s: %v", row, state, err)
			}
			if got := r.verdict(0); got.State != next {
				t.Errorf("%v, from %s: %s (%+v)", row, state, got.State, got)
			}
			for i := 1; i < len(r.nodes); i++ {
				must(t, r.verdict(i).State != Diverged && r.verdict(i).State != Stuck, "%v: %+v", row, r.verdict(i))
			}
		}
	}
}
