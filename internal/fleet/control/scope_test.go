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

// A node that joins, leaves or lapses between the controller's count and the state's decision rejects it where it serves the tenant,
// and does not where it serves another service: at the commit, when all have applied it, and at both steps of the removal.
func TestJoinInTheMiddleOfTheCount(t *testing.T) {
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
						f.boot(2, service)
					}
					f.mustPut(t, "billing", "a", 10)
					nodes := f.nodes
					if name == "join" {
						nodes = counted
					}
					if op == tenants.Drained || op == tenants.QuotaWithdrawn {
						f.until(t, "settled", f.settled("a"), nodes...)
						f.mustDelete(t, "a")
					}
					decided := f.untilDecided(t, op, nodes...)
					moved := change(f, third)
					if changed, err := f.state.Session.Apply(moved); !changed || err != nil {
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

// A leader may go at each step of a scoped rollout and removal, with the command lost or applied: the next one continues from the
// replicated state, commits only what all present nodes of the scope have staged, and waits for no node outside of it.
func TestLeaderLostAtEachStepOfAScopedRollout(t *testing.T) {
	for _, applied := range []bool{false, true} {
		for step := 0; ; step++ {
			if !playRolloutWithLeaderGone(t, step, applied) {
				if step < 6 {
					t.Fatalf("only %d steps", step)
				}
				break
			}
		}
	}
}

// playRolloutWithLeaderGone runs two generations and a removal; the leader ends at the numbered command, if there are as many.
func playRolloutWithLeaderGone(t *testing.T, at int, applied bool) (removed bool) {
	f := newScopedFleet(t, []string{"billing"}, []string{"billing", "mail"}, []string{"search"})
	serving := f.nodes[:2]
	began := f.now
	commands := 0 // the third is silent from here on
	run := func(done func() bool) {
		for !done() {
			if f.now-began > f.set.TTL { // the silent node has not lapsed before
				t.Fatalf("leader gone at %d, applied %v: not done after %v", at, applied, f.now-began)
			}
			for _, c := range f.judged(t, serving...) {
				goes := commands == at && c.Tenants != nil
				if c.Tenants != nil {
					commands++
				}
				if !goes || applied {
					checkCommit(t, f, c, serving)
					f.apply(c)
					f.judge.Resolved(c)
				}
				if goes {
					raw, _ := f.state.Snapshot()
					state, err := Restore(raw)
					if err != nil {
						t.Fatal(err)
					}
					f.state, removed = state, true
					f.judge = NewController(f.set, f.now, f.state)
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
		t.Fatalf("leader gone at %d, applied %v: generation %d", at, applied, e.Committed.Number)
	}
	f.mustDelete(t, "a")
	run(func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone })
	return removed
}

// checkCommit holds T5: what is committed all of these nodes have staged.
func checkCommit(t *testing.T, f *testFleet, c Command, nodes []*node) {
	t.Helper()
	if c.Tenants == nil || c.Tenants.Operation != tenants.Commit {
		return
	}
	for _, n := range nodes {
		body, _ := n.tenant("tenant/"+c.Tenants.Name, n.held["tenant/"+c.Tenants.Name])
		if body.Staged == nil || body.Staged.Number != c.Tenants.Generation {
			t.Errorf("T5: generation %d is committed, and %s has not staged it", c.Tenants.Generation, n.Node)
		}
	}
}

// A tenant is removed and named again in another service while a node of the first is away: it is not present again before it
// has dropped the old one, has nothing to say on the new one, and what it was leased goes.
func TestNameReusedOutsideOfSight(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"billing"}, []string{"search"})
	away, rest := f.nodes[0], f.nodes[1:]
	f.mustPut(t, "billing", "a", 10)
	f.until(t, "leased", func() bool { return f.leased("n0", "a") > 0 && f.settled("a")() }, f.nodes...)
	f.until(t, "lapsed", func() bool { return !f.state.Session.Present(away.Member) }, rest...)
	old := f.state.Tenants.Tenants["a"].UID
	f.mustDelete(t, "a")
	f.until(t, "removed", func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone }, rest...)
	f.mustPut(t, "search", "a", 30)
	if a, err := f.hear(away.report()); err != nil || !a.NotReady || f.state.Session.Present(away.Member) {
		t.Errorf("with the old tenant while the new one is staged: %+v, %v", a, err)
	}
	f.until(t, "settled", f.settled("a"), rest...)
	if e := f.state.Tenants.Tenants["a"]; e.UID <= old || e.Service() != "search" {
		t.Errorf("%+v is no new tenant", e)
	}
	if a, err := f.hear(away.report()); err != nil || !a.NotReady || f.state.Session.Present(away.Member) {
		t.Errorf("with the old tenant: %+v, %v", a, err)
	}
	away.read(f.state)
	if a, err := f.hear(away.report()); err != nil || a.NotReady || !f.state.Session.Present(away.Member) || len(away.serves) > 0 {
		t.Errorf("after it has dropped it: %+v, %v, serves %v", a, err, away.serves)
	}
	f.until(t, "leased to its service alone", func() bool {
		return f.leased("n0", "a") == 0 && f.leased("n1", "a") == 0 && f.leased("n2", "a") > 20
	}, f.nodes...)
	status, err := f.judge.TenantStatus(f.now, f.state, "a")
	if err != nil || len(status) != 1 || status[0].Node != "n2" {
		t.Errorf("status %+v, %v", status, err)
	}
}

// A present node that says nothing delays a rollout where it serves the tenant, by its lease at most, and not where it does not.
func TestSilentNodeAndTheScope(t *testing.T) {
	for service, want := range map[string][2]time.Duration{"search": {0, time.Second}, "billing": {time.Second, 8 * time.Second}} {
		t.Run(service, func(t *testing.T) {
			f := newScopedFleet(t, []string{"billing"}, []string{"billing"}, []string{service})
			f.mustPut(t, "billing", "a", 10)
			took := f.until(t, "settled", f.settled("a"), f.nodes[:2]...)
			if took < want[0] || took > want[1] {
				t.Errorf("settled after %v, want %v to %v", took, want[0], want[1])
			}
			if e := f.state.Tenants.Tenants["a"]; e.Committed.Number != 1 || e.RolledBack != "" {
				t.Errorf("%+v", e)
			}
		})
	}
}

// Nodes whose interests differ: each rollout counts those that serve its tenant, a node without a scope among them; a quota is
// leased to these alone, and its guaranteed parts and leases stay within it.
func TestInterestsThatDiffer(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"search"}, nil, []string{"billing", "search"})
	holders := map[string][]string{"b": {"n0", "n2", "n3"}, "s": {"n1", "n2", "n3"}, "u": {"n0", "n1", "n2", "n3"}}
	for name, service := range map[string]string{"b": "billing", "s": "search", "u": ""} {
		f.mustPut(t, service, name, 100)
	}
	for name := range holders {
		f.until(t, name+" settled", f.settled(name), f.nodes...)
	}
	for range 30 {
		f.turn(t, f.nodes...)
	}
	for name, want := range holders {
		var serve, leased, listed []string
		sum := 0.0
		for _, n := range f.nodes {
			if n.serves[name] == 1 {
				serve = append(serve, n.Node)
			}
			if rate := f.leased(n.Node, name); rate > 0 {
				leased = append(leased, n.Node)
				sum += rate
			}
		}
		status, _ := f.judge.TenantStatus(f.now, f.state, name)
		for _, s := range status {
			listed = append(listed, s.Node)
			if s.Phase != tenants.NodeApplied {
				t.Errorf("%s: %+v", name, s)
			}
		}
		if !slices.Equal(serve, want) || !slices.Equal(leased, want) || !slices.Equal(listed, want) {
			t.Errorf("%s is served by %v, leased to %v and shown of %v, want %v", name, serve, leased, listed, want)
		}
		if floors := fleet.GuaranteedPart * 100; sum < 0.95*(100-floors) || sum > 100-floors+1e-6 {
			t.Errorf("%g of %s leased, of 100 with floors of %g", sum, name, floors)
		}
	}
}

// A scope without a present node waits for nobody, as a fleet without one: what is put there is committed at once, and what is
// removed is removed. A node that joins the scope later holds it before it is ready.
func TestScopeWithoutNodes(t *testing.T) {
	f := newScopedFleet(t, []string{"search"})
	f.mustPut(t, "billing", "a", 10)
	if took := f.until(t, "settled", f.settled("a"), f.nodes...); took > time.Second {
		t.Errorf("settled after %v", took)
	}
	f.nodes = append(f.nodes, &node{})
	f.boot(1, "billing")
	if a, err := f.hear(f.nodes[1].report()); err != nil || !a.NotReady {
		t.Errorf("a node that holds nothing: %+v, %v", a, err)
	}
	f.nodes[1].read(f.state)
	if a, err := f.hear(f.nodes[1].report()); err != nil || a.NotReady || f.nodes[1].serves["a"] != 1 {
		t.Errorf("a node that holds its scope: %+v, %v", a, err)
	}
	f.mustDelete(t, "a")
	f.until(t, "removed", func() bool { return f.state.Tenants.Phase("a") == tenants.PhaseNone }, f.nodes...)
}
