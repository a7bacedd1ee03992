package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/tenants"
)

// TestLateNodeIsLeftOutOfRollout covers a node that reports but never applies a commit, because it stops reading the intent or keeps
// serving the old generation. The status must name it after 10 s; it is sent the missing items again, is taken out of the load
// balancer, and then its lease is not renewed. The rollout goes on without it, it is not present again before it has applied the
// commit, and the other nodes are not affected.
func TestLateNodeIsLeftOutOfRollout(t *testing.T) {
	for name, stopsReading := range map[string]bool{"deaf": true, "keeps serving the old generation": false} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 12)
			f.set.Slots = 30
			f.controller = NewController(f.set, 0, f.state)
			lateNode, faulty := f.nodes[11], false
			reasonReported := false
			run := func(d time.Duration) {
				for end := f.now + d; f.now < end; f.step(100 * time.Millisecond) {
					for _, n := range f.nodes {
						if n != lateNode || !faulty || !stopsReading {
							n.read(f.state)
						}
						rep := n.report()
						facts, _ := drift.Expect(drift.Intended{Revision: n.revision, Items: slices.Collect(maps.Values(n.held))}, n.Member)
						if drift.FillReport(&rep, facts, nil); n == lateNode && faulty && !stopsReading && len(rep.Tenants) > 0 {
							rep.Tenants[0].Committed = 1
						}
						if a, err := f.deliver(rep); err == nil && n != lateNode && a.LeaseTTLMS == 0 {
							t.Fatalf("%s lost its lease at %v", n.Node, f.now)
						}
					}
					st, _ := f.controller.TenantStatus(f.now, f.state, "a")
					reasonReported = reasonReported || slices.ContainsFunc(st, func(s tenants.NodeStatus) bool { return s.Node == lateNode.Node && s.Reason != "" })
				}
			}
			run(time.Second)
			f.put("a", 0, 10)
			run(8 * time.Second) // the rollout settles, and the first division is made
			f.put("a", 1, 20)
			for f.state.Tenants.Phase("a") != tenants.PhaseApplying {
				run(100 * time.Millisecond)
			}
			faulty = true
			run(20 * time.Second)
			v := f.controller.Verdicts(f.now, 0, f.state)
			i := slices.IndexFunc(v, func(v drift.Verdict) bool { return v.Node == lateNode.Node })
			if f.state.Tenants.Phase("a") != tenants.PhaseApplying || !reasonReported || v[i].State != drift.Stuck {
				t.Fatalf("after 20 s: phase %s, reason reported %v, verdict %+v", f.state.Tenants.Phase("a"), reasonReported, v[i])
			}
			run(40 * time.Second)
			if f.state.Tenants.Phase("a") != tenants.PhaseSettled || f.state.Session.Present(lateNode.Member) {
				t.Fatalf("after a minute: phase %s, present %v", f.state.Tenants.Phase("a"), f.state.Session.Present(lateNode.Member))
			}
			f.put("a", 2, 30)
			run(5 * time.Second)
			if e := f.state.Tenants.Tenants["a"]; f.state.Tenants.Phase("a") != tenants.PhaseSettled || e.Committed.Number != 3 {
				t.Fatalf("the next rollout: %+v", e)
			}
			faulty = false
			if run(time.Second); !f.state.Session.Present(lateNode.Member) {
				t.Error("the node has applied the commit but is not present")
			}
		})
	}
}
