package simulation

import (
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// DriftFaults are the ways in which one node can really drift, with the key and field that the detector must name.
var DriftFaults = []struct {
	name   string
	key    string
	field  string
	state  string
	inject func(w *world, n *simNode)
}{
	{"a zone lost on the way", "zone/z2", "", drift.Diverged, func(w *world, n *simNode) { n.AlterApplied = ReplaceItem("zone/z2", nil) }},
	{"a truncated update", "tenant/t3", "committed.rate", drift.Diverged, func(w *world, n *simNode) {
		n.AlterApplied = ReplaceItem("tenant/t3", fleet.AppliedTenantOf(ItemRevision(w.Intent, "tenant/t3"), CommittedTenant(ItemRevision(w.Intent, "tenant/t3"), 1, 70)))
	}},
	{"an old binary that knows no floor", "zone/z2", "floor", drift.Diverged, func(w *world, n *simNode) {
		rev := w.Put("zone/z2", fleet.Directive{Phase: fleet.Evacuated, Share: 0.5, Floor: 0.25, ValidMS: 5000})
		n.AlterApplied = ReplaceItem("zone/z2", fleet.AppliedZone{Revision: rev, Share: 0.5, ValidMS: 5000})
	}},
	{"a server kept that is gone", "server/s99", "", drift.Diverged, func(w *world, n *simNode) {
		n.AlterApplied = ReplaceItem("server/s99", fleet.AppliedServer{Zone: "z1", Kind: "k", State: "ready", Weight: 1})
	}},
	{"an old copy of the agent", "zone/z2", "rev", drift.Stuck, func(w *world, n *simNode) { n.watchHangs = true; w.Put("zone/z2", EvacuationDirective(0.9)) }},
	{"a replica from an old snapshot", "zone/z2", "rev", drift.Stuck, func(w *world, n *simNode) {
		old := w.Intended
		w.Put("zone/z2", EvacuationDirective(0.9))
		n.ApplyIntent(old)
		n.watchHangs = true
	}},
	{"a generation that was never committed", "tenant/t1", "committed.generation", drift.Ahead, func(w *world, n *simNode) {
		n.AlterApplied = ReplaceItem("tenant/t1", fleet.AppliedTenantOf(ItemRevision(w.Intent, "tenant/t1"), CommittedTenant(ItemRevision(w.Intent, "tenant/t1"), 2, 100)))
	}},
	{"another file by SIGHUP", "settings", "nodes", drift.Overridden, func(w *world, n *simNode) { n.local = []fleet.AppliedItem{settings(7)} }},
	{"a ban by the operators", "ban/s1", "", drift.Overridden, func(w *world, n *simNode) {
		n.local = append(slices.Clone(n.local), AppliedItem("ban/s1", fleet.AppliedExclusion{Excluded: true}))
	}},
	{"attempts to a zone that is left", "zone/z2", "sent", drift.Diverged, func(w *world, n *simNode) { n.falsifyCounts = countAttempts(1, 1<<30) }},
	{"more admitted than its share", "tenant/t0", "admitted", drift.Diverged, func(w *world, n *simNode) {
		n.falsifyCounts = func(r *fleet.Report) {
			r.Tenants = []fleet.TenantAck{{Name: "t0", UID: ItemRevision(w.Intent, "tenant/t0"), Committed: 1, Admitted: 30, Rate: 1.5}}
		}
	}},
	{"requests of a tenant that is removed", "tenant/t0", "admitted", drift.Diverged, func(w *world, n *simNode) {
		uid := ItemRevision(w.Intent, "tenant/t0")
		w.Remove("tenant/t0")
		n.falsifyCounts = func(r *fleet.Report) {
			if n.revision >= w.Intended.Revision {
				r.Tenants = []fleet.TenantAck{{Name: "t0", UID: uid, Admitted: 1}}
			}
		}
	}},
	{"a share above what was leased", "tenant/t0", "rate", drift.Diverged, func(w *world, n *simNode) {
		n.falsifyCounts = func(r *fleet.Report) {
			r.Tenants = []fleet.TenantAck{{Name: "t0", UID: ItemRevision(w.Intent, "tenant/t0"), Committed: 1, Rate: 5}}
		}
	}},
}

// ItemRevision returns the revision of an existing item.
func ItemRevision(intent *Intent, key string) uint64 {
	return intent.Intended.Items[slices.IndexFunc(intent.Intended.Items, func(it fleet.Item) bool { return it.Key == key })].Revision
}

// runUntilNamed runs the simulation until the node's verdict has the state and lists the item. It returns how long that
// took, and the last verdict.
func (w *world) runUntilNamed(n *simNode, state, key, field string, timeout time.Duration) (time.Duration, drift.Verdict) {
	start, last := w.now, drift.Verdict{}
	for w.now-start < timeout {
		w.tick()
		for _, v := range w.detector.Verdicts(w.now+w.skew, 0, w.state) {
			if v.Node != n.Node {
				continue
			}
			last = v
			local := slices.ContainsFunc(v.Overrides, func(o drift.Override) bool {
				return o.Key == key && (field == "" || HasDifference(o.Fields, key, field))
			})
			if v.State == state && (HasDifference(v.Differences, key, field) || local) {
				return w.now - start, v
			}
		}
	}
	return timeout + 1, last
}

// countAttempts makes the reports from number first to number last count attempts to an evacuated zone.
func countAttempts(first, last int) func(*fleet.Report) {
	n := 0
	return func(r *fleet.Report) {
		if n++; n >= first && n <= last {
			r.Zones = []fleet.ZoneEvidence{{Zone: "z2", Started: 4, Listed: 2}}
		}
	}
}
