package control

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
)

// TestMemberChangeRejectsDecidedCommand checks that a join, leave or lapse between the controller's count of the nodes and the
// application of its command rejects the command if the node serves the tenant, and doesn't if it serves another service. It covers
// the commit, the step after which all nodes have applied the generation, and both steps of the removal.
func TestMemberChangeRejectsDecidedCommand(t *testing.T) {
	changes := map[string]func(*testFleet, *node) session.Command{
		"join": func(_ *testFleet, n *node) session.Command {
			return session.Command{Operation: session.Join, Member: n.Member, Services: n.services}
		},
		"leave": func(_ *testFleet, n *node) session.Command {
			return session.Command{Operation: session.Leave, Member: n.Member}
		},
		"lapse": func(_ *testFleet, n *node) session.Command {
			return session.Command{Operation: session.Expire, Member: n.Member}
		},
	}
	for _, service := range []string{"billing", "search"} {
		for name, change := range changes {
			for _, op := range []string{tenants.Commit, tenants.Applied, tenants.Drained, tenants.QuotaWithdrawn} {
				t.Run(fmt.Sprintf("%s of %s at %s", name, service, op), func(t *testing.T) {
					f := newScopedFleet(t, []string{"billing"}, []string{"billing"}, []string{service})
					counted, third := f.nodes[:2], f.nodes[2]
					if name == "join" {
						f.state.Session.Apply(session.Command{Operation: session.Leave, Member: third.Member})
						f.startRun(2, service)
					}
					f.mustPut(t, "billing", "a", 10)
					nodes := f.nodes
					if name == "join" {
						nodes = counted
					}
					if op == tenants.Drained || op == tenants.QuotaWithdrawn {
						f.runUntil(t, "settled", f.settled("a"), nodes...)
						f.mustDelete(t, "a")
					}
					decided := f.runUntilDecided(t, op, nodes...)
					memberChange := change(f, third)
					if changed, err := f.state.Session.Apply(memberChange); !changed || err != nil {
						t.Fatalf("%s: changed %v, %v", name, changed, err)
					}
					err := f.apply(decided)
					if inside := service == "billing"; inside && !errors.Is(err, tenants.ErrStale) || !inside && err != nil {
						t.Errorf("%s after a %s of %s: %v", op, name, service, err)
					}
				})
			}
		}
	}
}

// TestLeaderLostAtEachStepOfScopedRollout loses the leader at each step of a scoped rollout and removal, with its last command lost
// or applied. The next leader has to continue from the replicated state, commit only what all present nodes of the scope have staged,
// and wait for no node outside of the scope.
func TestLeaderLostAtEachStepOfScopedRollout(t *testing.T) {
	for _, applied := range []bool{false, true} {
		for step := 0; ; step++ {
			if !runRolloutWithLeaderLoss(t, step, applied) {
				if step < 6 {
					t.Fatalf("the rollout and removal took only %d steps", step)
				}
				break
			}
		}
	}
}

// runRolloutWithLeaderLoss rolls out two generations and removes the tenant; the leader is lost at command number lossAt. It reports
// whether there were that many commands.
func runRolloutWithLeaderLoss(t *testing.T, lossAt int, applied bool) (lost bool) {
	f := newScopedFleet(t, []string{"billing"}, []string{"billing", "mail"}, []string{"search"})
	serving := f.nodes[:2]
	began := f.now
	commands := 0 // the third node is silent from here on
	run := func(done func() bool) {
		for !done() {
			if f.now-began > f.set.TTL { // the silent node's lease does not lapse within this time
				t.Fatalf("leader lost at command %d, applied %v: not done after %v", lossAt, applied, f.now-began)
			}
			for _, c := range f.decisions(t, serving...) {
				losesLeader := commands == lossAt && c.Tenants != nil
				if c.Tenants != nil {
					commands++
				}
				if !losesLeader || applied {
					checkCommit(t, f, c, serving)
					f.apply(c)
					f.controller.Resolved(c)
				}
				if losesLeader {
					raw, _ := f.state.Snapshot()
					state, err := Restore(raw)
					if err != nil {
						t.Fatal(err)
					}
					f.state, lost = state, true
					f.controller = NewController(f.set, f.now, f.state)
					break
				}
			}
		}
	}
	f.mustPut(t, "billing", "a", 10)
	run(f.settled("a"))
	f.mustPut(t, "billing", "a", 20)
	run(f.settled("a"))
	if e := f.state.Tenants.Tenants["a"]; e.Committed.Number != 2 {
		t.Fatalf("leader lost at command %d, applied %v: generation %d", lossAt, applied, e.Committed.Number)
	}
	f.mustDelete(t, "a")
	run(func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone })
	return lost
}

// checkCommit checks T5: a generation that is committed is staged on all of these nodes.
func checkCommit(t *testing.T, f *testFleet, c Command, nodes []*node) {
	t.Helper()
	if c.Tenants == nil || c.Tenants.Operation != tenants.Commit {
		return
	}
	for _, n := range nodes {
		body, _ := n.tenant("tenant/"+c.Tenants.Name, n.held["tenant/"+c.Tenants.Name])
		if body.Staged == nil || body.Staged.Number != c.Tenants.Generation {
			t.Errorf("T5: generation %d is committed, but %s has not staged it", c.Tenants.Generation, n.Node)
		}
	}
}

// TestNameReusedWhileNodeIsAway removes a tenant and creates it again in another service while a node of the first service is away.
// That node must not be present again before it has dropped the old tenant, must have no part in the new one, and must lose its
// quota lease.
func TestNameReusedWhileNodeIsAway(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"billing"}, []string{"search"})
	away, rest := f.nodes[0], f.nodes[1:]
	f.mustPut(t, "billing", "a", 10)
	f.runUntil(t, "leased", func() bool { return f.leased("n0", "a") > 0 && f.settled("a")() }, f.nodes...)
	f.runUntil(t, "lapsed", func() bool { return !f.state.Session.Present(away.Member) }, rest...)
	old := f.state.Tenants.Tenants["a"].UID
	f.mustDelete(t, "a")
	f.runUntil(t, "removed", func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone }, rest...)
	f.mustPut(t, "search", "a", 30)
	if a, err := f.deliver(away.report()); err != nil || !a.NotReady || f.state.Session.Present(away.Member) {
		t.Errorf("a run with the old tenant, while the new one is staged: %+v, %v", a, err)
	}
	f.runUntil(t, "settled", f.settled("a"), rest...)
	if e := f.state.Tenants.Tenants["a"]; e.UID <= old || e.Service() != "search" {
		t.Errorf("%+v is not a new tenant", e)
	}
	if a, err := f.deliver(away.report()); err != nil || !a.NotReady || f.state.Session.Present(away.Member) {
		t.Errorf("a run with the old tenant: %+v, %v", a, err)
	}
	away.read(f.state)
	if a, err := f.deliver(away.report()); err != nil || a.NotReady || !f.state.Session.Present(away.Member) || len(away.serves) > 0 {
		t.Errorf("a run that has dropped the old tenant: %+v, %v, serves %v", a, err, away.serves)
	}
	f.runUntil(t, "leased to its service alone", func() bool {
		return f.leased("n0", "a") == 0 && f.leased("n1", "a") == 0 && f.leased("n2", "a") > 20
	}, f.nodes...)
	status, err := f.controller.TenantStatus(f.now, f.state, "a")
	if err != nil || len(status) != 1 || status[0].Node != "n2" {
		t.Errorf("status %+v, %v", status, err)
	}
}

// TestSilentNodeDelaysOnlyItsScope checks that a present node that doesn't report delays a rollout by its lease at most if it serves
// the tenant, and not at all if it doesn't.
func TestSilentNodeDelaysOnlyItsScope(t *testing.T) {
	for service, want := range map[string][2]time.Duration{"search": {0, time.Second}, "billing": {time.Second, 8 * time.Second}} {
		t.Run(service, func(t *testing.T) {
			f := newScopedFleet(t, []string{"billing"}, []string{"billing"}, []string{service})
			f.mustPut(t, "billing", "a", 10)
			took := f.runUntil(t, "settled", f.settled("a"), f.nodes[:2]...)
			if took < want[0] || took > want[1] {
				t.Errorf("settled after %v, want %v to %v", took, want[0], want[1])
			}
			if e := f.state.Tenants.Tenants["a"]; e.Committed.Number != 1 || e.RolledBack != "" {
				t.Errorf("%+v", e)
			}
		})
	}
}

// TestNodesWithDifferentScopes checks that each rollout counts only the nodes that serve its tenant, including a node without a
// scope; that a quota is leased to these nodes alone; and that its guaranteed parts and leases stay within the quota.
func TestNodesWithDifferentScopes(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"search"}, nil, []string{"billing", "search"})
	holders := map[string][]string{"b": {"n0", "n2", "n3"}, "s": {"n1", "n2", "n3"}, "u": {"n0", "n1", "n2", "n3"}}
	for name, service := range map[string]string{"b": "billing", "s": "search", "u": ""} {
		f.mustPut(t, service, name, 100)
	}
	for name := range holders {
		f.runUntil(t, name+" settled", f.settled(name), f.nodes...)
	}
	for range 30 {
		f.runRound(t, f.nodes...)
	}
	for name, want := range holders {
		var serving, leased, listed []string
		sum := 0.0
		for _, n := range f.nodes {
			if n.serves[name] == 1 {
				serving = append(serving, n.Node)
			}
			if rate := f.leased(n.Node, name); rate > 0 {
				leased = append(leased, n.Node)
				sum += rate
			}
		}
		status, _ := f.controller.TenantStatus(f.now, f.state, name)
		for _, s := range status {
			listed = append(listed, s.Node)
			if s.Phase != tenants.NodeApplied {
				t.Errorf("%s: %+v", name, s)
			}
		}
		if !slices.Equal(serving, want) || !slices.Equal(leased, want) || !slices.Equal(listed, want) {
			t.Errorf("%s is served by %v, leased to %v and has a status of %v, want %v", name, serving, leased, listed, want)
		}
		if guaranteed := fleet.GuaranteedPart * 100; sum < 0.95*(100-guaranteed) || sum > 100-guaranteed+1e-6 {
			t.Errorf("%g of %s leased, of a quota of 100 with guaranteed parts of %g", sum, name, guaranteed)
		}
	}
}

// TestScopeWithoutNodes checks that a rollout or removal in a scope without a present node waits for no node, as in a fleet without
// nodes: it is committed or removed at once. A node that joins the scope later holds its tenants before it is ready.
func TestScopeWithoutNodes(t *testing.T) {
	f := newScopedFleet(t, []string{"search"})
	f.mustPut(t, "billing", "a", 10)
	if took := f.runUntil(t, "settled", f.settled("a"), f.nodes...); took > time.Second {
		t.Errorf("settled after %v", took)
	}
	f.nodes = append(f.nodes, &node{})
	f.startRun(1, "billing")
	if a, err := f.deliver(f.nodes[1].report()); err != nil || !a.NotReady {
		t.Errorf("a node that holds nothing: %+v, %v", a, err)
	}
	f.nodes[1].read(f.state)
	if a, err := f.deliver(f.nodes[1].report()); err != nil || a.NotReady || f.nodes[1].serves["a"] != 1 {
		t.Errorf("a node that holds its scope: %+v, %v", a, err)
	}
	f.mustDelete(t, "a")
	f.runUntil(t, "removed", func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone }, f.nodes...)
}
