package simulation

import (
	"encoding/json"
	"errors"
	"math/rand"
	"slices"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

var modelRates = []float64{5, 40, 100, 200}

// act does one thing at random to the fleet and lets some time go.
func (m *model) act() {
	name := modelNames[m.pick(len(modelNames))]
	var at uint64
	service := modelServices[m.pick(len(modelServices))]
	if e := m.state.Tenants[name]; e != nil {
		service = e.Service()
		if e.Committed != nil {
			at = e.Committed.Number
		}
	}
	r := m.runs[m.pick(len(m.runs))]
	switch m.pick(12) {
	case 0, 1, 2, 3:
		spec := fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: modelRates[m.pick(len(modelRates))]}}
		m.apply(tenants.Command{Operation: tenants.Put, Name: name, Generation: at, Spec: &spec})
	case 4:
		m.apply(tenants.Command{Operation: tenants.Delete, Name: name, Generation: at})
	case 5:
		r.load = float64(m.pick(150))
	case 6:
		r.disconnected = !r.disconnected
	case 7: // crash, and back from the disk
		if !r.ended && !r.outlived {
			r.ended = true
			m.start(r.name, r.disk)
		}
	case 8: // a successor next to a run that goes on, cut off or not
		if !r.ended && !r.outlived {
			r.outlived, r.disconnected = true, m.pick(2) == 0
			m.start(r.name, r.disk)
		}
	case 9:
		r.rejects = !r.rejects
	case 10: // another leader, from a snapshot
		raw, _ := json.Marshal(m.state)
		m.state = &tenants.State{}
		json.Unmarshal(raw, m.state)
		m.leaderSince = m.now
		m.controller.Lead(m.now)
	}
	for n := m.pick(25); n >= 0 && m.violation == ""; n-- {
		m.tick()
	}
}

// heal ends every fault; the fleet must come to rest with every tenant settled, applied and lent out.
func (m *model) heal() {
	for _, r := range m.runs {
		r.disconnected, r.rejects = false, false
	}
	for i := 0; i < 500 && m.violation == ""; i++ {
		m.tick()
	}
	for name, e := range m.state.Tenants {
		if p := m.state.Phase(name); p != tenants.PhaseSettled {
			m.fail("%s rests in %s", name, p)
			return
		}
		if pool, maximum := m.state.Leasable(name), maxLeased(m.state, name); maximum < 0.95*pool && m.anyone(e) || pool < 0.79*e.Committed.Spec.Quota.Rate {
			m.fail("%s rests with %g leased of %g, quota %g", name, maximum, pool, e.Committed.Spec.Quota.Rate)
		}
		for _, r := range m.runs {
			if t := r.applied.tenants[name]; !r.ended && fleet.Serves(r.services, e.Service()) && (t.UID != e.UID || t.Committed.Number != e.Committed.Number) {
				m.fail("%s rests at %s with another generation", name, r.name)
			}
		}
	}
	a, _ := json.Marshal(m.state)
	b, _ := json.Marshal(m.twin)
	if string(a) != string(b) {
		m.fail("replicas differ: %s, and %s", a, b)
	}
}

// anyone reports whether a node is present in the scope of a tenant: else its quota is leased to nobody.
func (m *model) anyone(e *tenants.Entry) bool {
	return slices.ContainsFunc(m.runs, func(r *run) bool { return m.counts(r, e.Tenant) })
}

func runModel(pick func(int) int, fault string, acts int) string {
	m := newModel(pick, fault)
	for i := 0; i < acts && m.violation == ""; i++ {
		m.act()
	}
	if m.violation == "" && fault == "" {
		m.heal()
	}
	return m.violation
}

// maxLeased is what the runs of a state may hold of a tenant, those that are removed counted in.
func maxLeased(s *tenants.State, name string) float64 {
	sum := 0.0
	for _, l := range s.Runs {
		sum += l.MaxRates[name]
	}
	for _, g := range s.OrphanedLeases {
		sum += g.MaxRates[name]
	}
	return sum
}

// Run does acts at random things to a fleet, all of the seed's choice, heals it, and lets it come to rest. The error names
// the first rule of T1, T2, T3, T5 and T6 that was broken.
func Run(seed int64, acts int) error {
	if b := runModel(rand.New(rand.NewSource(seed)).Intn, "", acts); b != "" {
		return errors.New(b)
	}
	return nil
}
