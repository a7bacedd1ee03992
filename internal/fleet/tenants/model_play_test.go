package tenants

import (
	"encoding/json"
	"math/rand"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"starlingvalve/internal/fleet"
)

var modelRates = []float64{5, 40, 100, 200}

// act does one thing at random to the fleet and lets some time go.
func (m *model) act() {
	name := modelNames[m.pick(len(modelNames))]
	var at uint64
	if e := m.s.Tenants[name]; e != nil && e.Committed != nil {
		at = e.Committed.Number
	}
	r := m.runs[m.pick(len(m.runs))]
	switch m.pick(12) {
	case 0, 1, 2, 3:
		spec := fleet.Spec{Name: name, Quota: fleet.Quota{Rate: modelRates[m.pick(len(modelRates))]}}
		m.apply(Command{Op: Put, Name: name, Generation: at, Spec: &spec})
	case 4:
		m.apply(Command{Op: Delete, Name: name, Generation: at})
	case 5:
		r.load = float64(m.pick(150))
	case 6:
		r.cut = !r.cut
	case 7: // crash, and back from the disk
		if !r.dead && !r.zombie {
			r.dead = true
			m.start(r.name, r.disk)
		}
	case 8: // a successor beside a run that goes on, cut off or not
		if !r.dead && !r.zombie {
			r.zombie, r.cut = true, m.pick(2) == 0
			m.start(r.name, r.disk)
		}
	case 9:
		r.refuses = !r.refuses
	case 10: // another leader, from a snapshot
		raw, _ := json.Marshal(m.s)
		m.s = &State{}
		json.Unmarshal(raw, m.s)
		m.office = m.now
		m.j.Office(m.now)
	}
	for n := m.pick(25); n >= 0 && m.breach == ""; n-- {
		m.tick()
	}
}

// heal ends every fault; the fleet must come to rest with every tenant settled, applied and lent out.
func (m *model) heal() {
	for _, r := range m.runs {
		r.cut, r.refuses = false, false
	}
	for i := 0; i < 500 && m.breach == ""; i++ {
		m.tick()
	}
	for name, e := range m.s.Tenants {
		if p := m.s.Phase(name); p != PhaseSettled {
			m.fail("%s rests in %s", name, p)
			return
		}
		if pool, most := m.s.Pool(name), m.s.most(name); most < 0.95*pool || pool < 0.79*e.Committed.Spec.Quota.Rate {
			m.fail("%s rests with %g leased of %g, quota %g", name, most, pool, e.Committed.Spec.Quota.Rate)
		}
		for _, r := range m.runs {
			if t := r.held.tenants[name]; !r.dead && (t.UID != e.UID || t.Committed.Number != e.Committed.Number) {
				m.fail("%s rests at %s with another generation", name, r.name)
			}
		}
	}
	a, _ := json.Marshal(m.s)
	b, _ := json.Marshal(m.twin)
	if d := cmp.Diff(string(a), string(b)); d != "" {
		m.fail("replicas differ: %s", d)
	}
}

func play(pick func(int) int, fault string, acts int) string {
	m := newModel(pick, fault)
	for i := 0; i < acts && m.breach == ""; i++ {
		m.act()
	}
	if m.breach == "" && fault == "" {
		m.heal()
	}
	return m.breach
}

// TestRulesHoldOverRandomSchedules holds T1, T2, T3, T5 and T6 over whatever the fleet may do.
func TestRulesHoldOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.IntRange(1, 40).Draw(rt, "acts")
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "delays")))
		n := 0
		pick := func(k int) int {
			if n++; n <= 300 { // the first choices shrink; the rest come of the seed
				return rapid.IntRange(0, k-1).Draw(rt, "pick")
			}
			return rng.Intn(k)
		}
		if b := play(pick, "", acts); b != "" {
			rt.Fatal(b)
		}
	})
}

// TestPlantedFaultsAreFound plants one mistake at a time: each must be found within the seeds.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, f := range []struct{ fault, rule, what string }{
		{"staged", "T1", "a module serves by what is only staged"},
		{"uid", "T1", "a module carries a generation over to a new tenant of the name"},
		{"ready", "T2", "a run serves before it has caught up"},
		{"held", "T3", "a division takes what was sent for what is held"},
		{"over", "T3", "a run's lease is over as soon as it has a successor"},
		{"run", "T3", "a run takes its predecessor's lease for its own"},
		{"lease", "T3", "a run goes on with its lease past its end"},
		{"epoch", "T5", "a commit does not mind who joined since"},
		{"liar", "T5", "an agent acknowledges what its module refused"},
	} {
		t.Run(f.fault, func(t *testing.T) {
			for seed := int64(1); seed <= 400; seed++ {
				rng := rand.New(rand.NewSource(seed))
				if b := play(rng.Intn, f.fault, 40); strings.Contains(b, f.rule+":") {
					t.Logf("seed %d: %s", seed, b)
					return
				}
			}
			t.Errorf("not found: %s", f.what)
		})
	}
}
