package drift_test

import (
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/drift/simulation"
)

// scopedNode is a node of one service that reports what it holds of an intent, and an agent's detector of it.
type scopedNode struct {
	member fleet.Member
	seq    uint64
	now    fleet.Time
	held   []fleet.AppliedItem
	at     uint64 // revision that it holds
	want   []string
	judge  *LocalDetector
}

func newScopedNode() *scopedNode {
	return &scopedNode{member: fleet.Member{Node: "n000", Zone: "z1", Incarnation: 5}, judge: NewLocalDetector(Defaults())}
}

// take has the node hold what is intended for its scope.
func (n *scopedNode) take(t *testing.T, in Intended) {
	t.Helper()
	held, err := Expect(in, n.member, "billing")
	must(t, err == nil, "%v", err)
	n.held, n.at = held, in.Revision
}

// run has the node report for some seconds, and gives the verdict.
func (n *scopedNode) run(t *testing.T, in Intended) Verdict {
	t.Helper()
	for range 70 {
		n.now += 100 * time.Millisecond
		n.seq++
		r := fleet.Report{Member: n.member, Services: []string{"billing"}, Sequence: n.seq, Revision: n.at, List: in.Revision, WindowMS: 100}
		FillReport(&r, n.held, n.want)
		must(t, n.judge.Observe(n.now, r) == nil, "refused")
		_, n.want = n.judge.Answer(n.member.Node)
		n.judge.Step(n.now, in, n.member, true)
	}
	v, ok := n.judge.Verdict(n.now, 0, n.member.Node)
	must(t, ok, "no verdict")
	return v
}

func scoped(uid, generation uint64, service string) fleet.Tenant {
	tenant := simulation.CommittedTenant(uid, generation, 100)
	tenant.Committed.Spec.Service = service
	return tenant
}

// scopedIntent has tenants without a service, of billing and of search.
func scopedIntent() *simulation.Intent {
	c := simulation.Seed(1)
	c.Put("tenant/bill", scoped(90, 1, "billing"))
	c.Put("tenant/find", scoped(91, 1, "search"))
	return c
}

// Of a node with a scope only the tenants of its services, and those without a service, are expected.
func TestExpectInScope(t *testing.T) {
	c := scopedIntent()
	held, err := Expect(c.Intended, fleet.Member{Node: "n000", Zone: "z1"}, "billing")
	must(t, err == nil, "%v", err)
	must(t, BodyOf(held, "tenant/t0") != nil && BodyOf(held, "tenant/bill") != nil, "%v", held)
	must(t, BodyOf(held, "tenant/find") == nil, "a tenant of another service is expected: %v", held)
	complete, _ := Expect(c.Intended, fleet.Member{Node: "n000", Zone: "z1"})
	must(t, len(complete) == len(held)+1, "%d facts without a scope, %d with", len(complete), len(held))
}

// A node that holds its scope is in step, whatever changes outside of it, also where it has not heard of that; what it lacks
// inside, and what it holds outside, is named.
func TestEvaluatedInScope(t *testing.T) {
	c, n := scopedIntent(), newScopedNode()
	n.take(t, c.Intended)
	v := n.run(t, c.Intended)
	must(t, v.State == InStep, "%+v", v)
	c.Put("tenant/find", scoped(91, 2, "search"))
	c.Drop("tenant/find")
	v = n.run(t, c.Intended)
	must(t, v.State == CatchingUp || v.State == InStep, "after a change outside of its scope: %+v", v)
	n.take(t, c.Intended)
	v = n.run(t, c.Intended)
	must(t, v.State == InStep, "%+v", v)

	c.Put("tenant/bill", scoped(90, 2, "billing"))
	v = n.run(t, c.Intended)
	must(t, v.State == Stuck && simulation.HasDifference(v.Differences, "tenant/bill", "rev"), "after a change inside of its scope: %+v", v)
	n.take(t, c.Intended)
	v = n.run(t, c.Intended)
	must(t, v.State == InStep, "%+v", v)

	n.held = simulation.PlantItem("tenant/bill", nil)(n.held)
	v = n.run(t, c.Intended)
	must(t, v.State == Diverged && simulation.HasDifference(v.Differences, "tenant/bill", ""), "without a tenant of its scope: %+v", v)

	c.Put("tenant/find", scoped(c.Intended.Revision+1, 1, "search"))
	n.take(t, c.Intended)
	n.held = simulation.PlantItem("tenant/find", fleet.AppliedTenant{UID: c.Intended.Revision, Revision: c.Intended.Revision})(n.held)
	v = n.run(t, c.Intended)
	must(t, v.State == Diverged && simulation.HasDifference(v.Differences, "tenant/find", ""), "with a tenant outside of its scope: %+v", v)
}

// A name that is removed and named again in another service is outstanding at a node of the first, until it has dropped it.
func TestNameMovesOutOfTheScope(t *testing.T) {
	c, n := scopedIntent(), newScopedNode()
	n.take(t, c.Intended)
	must(t, n.run(t, c.Intended).State == InStep, "not in step")
	c.Drop("tenant/bill")
	c.Put("tenant/bill", scoped(c.Intended.Revision+1, 1, "search"))
	v := n.run(t, c.Intended)
	must(t, v.State == Stuck && simulation.HasDifference(v.Differences, "tenant/bill", "rev"), "%+v", v)
	n.take(t, c.Intended)
	must(t, BodyOf(n.held, "tenant/bill") == nil, "it holds the tenant that has its name now")
	v = n.run(t, c.Intended)
	must(t, v.State == InStep, "%+v", v)
}
