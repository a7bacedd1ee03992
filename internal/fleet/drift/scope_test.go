package drift_test

import (
	"testing"
	"time"

	"meadowsill/internal/fleet"
	. "meadowsill/internal/fleet/drift"
	"meadowsill/internal/fleet/drift/simulation"
)

// scopedNode is a node with the scope of one service that reports what it has applied, together with its agent's
// detector.
type scopedNode struct {
	member   fleet.Member
	seq      uint64
	now      fleet.Time
	applied  []fleet.AppliedItem
	revision uint64 // revision of the applied intent
	wanted   []string
	detector *LocalDetector
}

func newScopedNode() *scopedNode {
	return &scopedNode{member: fleet.Member{Node: "n000", Zone: "z1", Incarnation: 5}, detector: NewLocalDetector(Defaults())}
}

// applyIntent makes the node apply the intent for its scope.
func (n *scopedNode) applyIntent(t *testing.T, in Intended) {
	t.Helper()
	applied, err := Expect(in, n.member, "billing")
	must(t, err == nil, "%v", err)
	n.applied, n.revision = applied, in.Revision
}

// runReports makes the node report for some seconds, and returns the verdict.
func (n *scopedNode) runReports(t *testing.T, in Intended) Verdict {
	t.Helper()
	for range 70 {
		n.now += 100 * time.Millisecond
		n.seq++
		r := fleet.Report{Member: n.member, Services: []string{"billing"}, Sequence: n.seq, Revision: n.revision, AppliedListVersion: in.Revision, WindowMS: 100}
		FillReport(&r, n.applied, n.wanted)
		must(t, n.detector.Observe(n.now, r) == nil, "refused")
		_, n.wanted = n.detector.Answer(n.member.Node)
		n.detector.Step(n.now, in, n.member, true)
	}
	v, ok := n.detector.Verdict(n.now, 0, n.member.Node)
	must(t, ok, "no verdict")
	return v
}

func scopedTenant(uid, generation uint64, service string) fleet.Tenant {
	tenant := simulation.CommittedTenant(uid, generation, 100)
	tenant.Committed.Spec.Service = service
	return tenant
}

// scopedIntent has tenants without a service, of billing and of search.
func scopedIntent() *simulation.Intent {
	intent := simulation.NewIntent(1)
	intent.Put("tenant/bill", scopedTenant(90, 1, "billing"))
	intent.Put("tenant/find", scopedTenant(91, 1, "search"))
	return intent
}

// A node with a scope is only expected to have the tenants of its services, and those without a service.
func TestExpectInScope(t *testing.T) {
	intent := scopedIntent()
	applied, err := Expect(intent.Intended, fleet.Member{Node: "n000", Zone: "z1"}, "billing")
	must(t, err == nil, "%v", err)
	must(t, BodyOf(applied, "tenant/t0") != nil && BodyOf(applied, "tenant/bill") != nil, "%v", applied)
	must(t, BodyOf(applied, "tenant/find") == nil, "a tenant of another service is expected: %v", applied)
	complete, _ := Expect(intent.Intended, fleet.Member{Node: "n000", Zone: "z1"})
	must(t, len(complete) == len(applied)+1, "%d items without a scope, %d with", len(complete), len(applied))
}

// A node that has applied its scope must be in step whatever changes outside the scope, even if it has not been notified
// of the change. A missing tenant inside the scope and an applied one outside must be listed.
func TestEvaluatedInScope(t *testing.T) {
	intent, n := scopedIntent(), newScopedNode()
	n.applyIntent(t, intent.Intended)
	v := n.runReports(t, intent.Intended)
	must(t, v.State == InStep, "%+v", v)
	intent.Put("tenant/find", scopedTenant(91, 2, "search"))
	intent.Remove("tenant/find")
	v = n.runReports(t, intent.Intended)
	must(t, v.State == CatchingUp || v.State == InStep, "after a change outside the scope: %+v", v)
	n.applyIntent(t, intent.Intended)
	v = n.runReports(t, intent.Intended)
	must(t, v.State == InStep, "%+v", v)

	intent.Put("tenant/bill", scopedTenant(90, 2, "billing"))
	v = n.runReports(t, intent.Intended)
	must(t, v.State == Stuck && simulation.HasDifference(v.Differences, "tenant/bill", "rev"), "after a change inside the scope: %+v", v)
	n.applyIntent(t, intent.Intended)
	v = n.runReports(t, intent.Intended)
	must(t, v.State == InStep, "%+v", v)

	n.applied = simulation.ReplaceItem("tenant/bill", nil)(n.applied)
	v = n.runReports(t, intent.Intended)
	must(t, v.State == Diverged && simulation.HasDifference(v.Differences, "tenant/bill", ""), "without a tenant of the scope: %+v", v)

	intent.Put("tenant/find", scopedTenant(intent.Intended.Revision+1, 1, "search"))
	n.applyIntent(t, intent.Intended)
	n.applied = simulation.ReplaceItem("tenant/find", fleet.AppliedTenant{UID: intent.Intended.Revision, Revision: intent.Intended.Revision})(n.applied)
	v = n.runReports(t, intent.Intended)
	must(t, v.State == Diverged && simulation.HasDifference(v.Differences, "tenant/find", ""), "with a tenant outside the scope: %+v", v)
}

// A tenant name that is removed and reused in another service must be outstanding at a node of the first service until
// the node has dropped the tenant.
func TestNameMovesOutOfTheScope(t *testing.T) {
	intent, n := scopedIntent(), newScopedNode()
	n.applyIntent(t, intent.Intended)
	must(t, n.runReports(t, intent.Intended).State == InStep, "not in step")
	intent.Remove("tenant/bill")
	intent.Put("tenant/bill", scopedTenant(intent.Intended.Revision+1, 1, "search"))
	v := n.runReports(t, intent.Intended)
	must(t, v.State == Stuck && simulation.HasDifference(v.Differences, "tenant/bill", "rev"), "%+v", v)
	n.applyIntent(t, intent.Intended)
	must(t, BodyOf(n.applied, "tenant/bill") == nil, "the node has applied the new tenant of that name")
	v = n.runReports(t, intent.Intended)
	must(t, v.State == InStep, "%+v", v)
}
