package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/tenants"
)

// A node that reports and never follows a commit, as it is deaf or as it goes on by the old generation, is named after 10 s, sent what it lacks
// again, taken out of the load balancer and then not renewed: the rollout goes on without it, it is not back before it has followed, and
// nothing else happens to the others.
func TestLateNodeIsPassed(t *testing.T) {
	for name, deaf := range map[string]bool{"deaf": true, "goes on by the old one": false} {
		t.Run(name, func(t *testing.T) {
			r := newTestFleet(t, 12)
			r.set.Slots = 30
			r.judge = NewController(r.set, 0, r.state)
			late, stays := r.nodes[11], false
			said := false
			run := func(d time.Duration) {
				for end := r.now + d; r.now < end; r.step(100 * time.Millisecond) {
					for _, n := range r.nodes {
						if n != late || !stays || !deaf {
							n.read(r.state)
						}
						rep := n.report()
						facts, _ := drift.Expect(drift.Intended{Revision: n.revision, Items: slices.Collect(maps.Values(n.held))}, n.Member)
						if drift.FillReport(&rep, facts, nil); n == late && stays && !deaf && len(rep.Tenants) > 0 {
							rep.Tenants[0].Committed = 1
						}
						if a, err := r.hear(rep); err == nil && n != late && a.LeaseTTLMS == 0 {
							t.Fatalf("%s loses its lease at %v", n.Node, r.now)
						}
					}
					st, _ := r.judge.TenantStatus(r.now, r.state, "a")
					said = said || slices.ContainsFunc(st, func(s tenants.NodeStatus) bool { return s.Node == late.Node && s.Reason != "" })
				}
			}
			run(time.Second)
			r.put("a", 0, 10)
			run(8 * time.Second) // settled, and past the first division
			r.put("a", 1, 20)
			for r.state.Tenants.Phase("a") != tenants.PhaseApplying {
				run(100 * time.Millisecond)
			}
			stays = true
			run(20 * time.Second)
			v := r.judge.Verdicts(r.now, 0, r.state)
			i := slices.IndexFunc(v, func(v drift.Verdict) bool { return v.Node == late.Node })
			if r.state.Tenants.Phase("a") != tenants.PhaseApplying || !said || v[i].State != drift.Stuck {
				t.Fatalf("after 20 s: %s, named %v, %+v", r.state.Tenants.Phase("a"), said, v[i])
			}
			run(40 * time.Second)
			if r.state.Tenants.Phase("a") != tenants.PhaseSettled || r.state.Session.Present(late.Member) {
				t.Fatalf("after a minute: %s, present %v", r.state.Tenants.Phase("a"), r.state.Session.Present(late.Member))
			}
			r.put("a", 2, 30)
			run(5 * time.Second)
			if e := r.state.Tenants.Tenants["a"]; r.state.Tenants.Phase("a") != tenants.PhaseSettled || e.Committed.Number != 3 {
				t.Fatalf("the next rollout: %+v", e)
			}
			stays = false
			if run(time.Second); !r.state.Session.Present(late.Member) {
				t.Error("it has followed, and is not present")
			}
		})
	}
}
