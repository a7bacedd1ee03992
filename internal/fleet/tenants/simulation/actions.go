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

// randomAction does one random action to the fleet and advances the time by some ticks.
func (m *model) randomAction() {
	name := modelNames[m.pick(len(modelNames))]
	var generation uint64
	service := modelServices[m.pick(len(modelServices))]
	if e := m.state.Tenants[name]; e != nil {
		service = e.Service()
		if e.Committed != nil {
			generation = e.Committed.Number
		}
	}
	r := m.runs[m.pick(len(m.runs))]
	switch m.pick(12) {
	case 0, 1, 2, 3:
		spec := fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: modelRates[m.pick(len(modelRates))]}}
		m.apply(tenants.Command{Operation: tenants.Put, Name: name, Generation: generation, Spec: &spec})
	case 4:
		m.apply(tenants.Command{Operation: tenants.Delete, Name: name, Generation: generation})
	case 5:
		r.load = float64(m.pick(150))
	case 6:
		r.disconnected = !r.disconnected
	case 7: // a crash, and a restart from the disk
		if !r.ended && !r.superseded {
			r.ended = true
			m.startRun(r.name, r.disk)
		}
	case 8: // a newer run starts while the old one goes on, disconnected or not
		if !r.ended && !r.superseded {
			r.superseded, r.disconnected = true, m.pick(2) == 0
			m.startRun(r.name, r.disk)
		}
	case 9:
		r.rejects = !r.rejects
	case 10: // another leader, which restores a snapshot
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

// heal ends every fault. The fleet must then reach a state in which every tenant is settled, applied on every node of its
// scope, and has nearly all of its quota leased.
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
		if pool, maximum := m.state.Leasable(name), maxLeased(m.state, name); maximum < 0.95*pool && m.hasPresentRun(e) || pool < 0.79*e.Committed.Spec.Quota.Rate {
			m.fail("%s rests with %g leased of %g, quota %g", name, maximum, pool, e.Committed.Spec.Quota.Rate)
		}
		for _, r := range m.runs {
			if t := r.applied.tenants[name]; !r.ended && fleet.Serves(r.services, e.Service()) && (t.UID != e.UID || t.Committed.Number != e.Committed.Number) {
				m.fail("%s rests at %s with another generation", name, r.name)
			}
		}
	}
	a, _ := json.Marshal(m.state)
	b, _ := json.Marshal(m.otherReplica)
	if string(a) != string(b) {
		m.fail("replicas differ: %s, and %s", a, b)
	}
}

// hasPresentRun reports whether a run is present in a tenant's scope. Otherwise no run leases the tenant's quota.
func (m *model) hasPresentRun(e *tenants.Entry) bool {
	return slices.ContainsFunc(m.runs, func(r *run) bool { return m.presentInScope(r, e.Tenant) })
}

func runModel(pick func(int) int, fault string, actions int) string {
	m := newModel(pick, fault)
	for i := 0; i < actions && m.violation == ""; i++ {
		m.randomAction()
	}
	if m.violation == "" && fault == "" {
		m.heal()
	}
	return m.violation
}

// maxLeased returns the sum of a tenant's leases that the runs of a state may hold, including runs that were replaced.
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

// Run does a number of random actions to a fleet, ends its faults, and checks that it settles. The seed determines all
// actions. The error names the first invariant of T1, T2, T3, T5 and T6 that was violated.
func Run(seed int64, actions int) error {
	if violation := runModel(rand.New(rand.NewSource(seed)).Intn, "", actions); violation != "" {
		return errors.New(violation)
	}
	return nil
}
