package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/faults"
)

// countStaged returns how many nodes have staged a tenant, as the leader reports it.
func (f *testFleet) countStaged(name string) (n int) {
	for _, s := range f.status(name).Nodes {
		if s.Phase == "staged" {
			n++
		}
	}
	return n
}

// checkAdjacentGenerations checks invariant T2 until stop is called: at any time present nodes serve at most two adjacent
// generations of a tenant.
func (f *testFleet) checkAdjacentGenerations(name string) (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			var seen []uint64
			for _, n := range f.nodes {
				if in := n.Look(); in.LeaseMS > 0 {
					seen = append(seen, n.Serves(name))
				}
			}
			if len(seen) > 0 && slices.Max(seen) > slices.Min(seen)+1 {
				f.t.Errorf("T2: present nodes serve generations %v of %s at once", seen, name)
				return
			}
		}
	}()
	return func() { close(done); <-ended }
}

// TestLeaderKilledInRollout kills the leader between stage and commit, and again between commit and the first apply. The rollout
// must continue from the replicated state without a rollback.
func TestLeaderKilledInRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	defer f.checkAdjacentGenerations("brand")()

	last := f.nodes[9]
	last.With(func() { last.Slow = true })
	f.mustPut("brand", 1, 200)
	f.until("nine of ten staged", func() bool { return f.countStaged("brand") == 9 })
	lead := f.leader()
	f.Kill(lead)
	last.With(func() { last.Slow = false })
	f.awaitSettled("brand", 2)
	if err := f.Restart(lead); err != nil {
		t.Fatal(err)
	}

	for _, n := range f.nodes {
		n.With(func() { n.Keep = true })
	}
	f.mustPut("brand", 2, 300)
	f.until("the commit", func() bool { return f.status("brand").Phase == "applying" })
	for _, n := range f.nodes {
		if g := n.Serves("brand"); g != 2 {
			t.Fatalf("%s serves generation %d before the kill, want 2", n.Name, g)
		}
	}
	lead = f.leader()
	f.Kill(lead)
	for _, n := range f.nodes {
		n.With(func() { n.Keep = false })
	}
	f.awaitSettled("brand", 3)
	if s := f.tenant("brand"); s.RolledBack != "" || s.Committed.Spec.Quota.Rate != 300 {
		t.Errorf("after the leader was killed twice: %+v", s)
	}
}

// TestPartitionInRollout partitions the fleet during a rollout: three of ten nodes can't reach any replica, and the leader is cut
// off from the other replicas. The rollout must wait for the three nodes no longer than their leases, and the majority must
// commit. After the partition all nodes must get the same generation, and the three must not be present before they have it.
func TestPartitionInRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "ttl_ms = 2000")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	defer f.checkAdjacentGenerations("brand")()

	last := f.nodes[9]
	last.With(func() { last.Slow = true })
	f.mustPut("brand", 1, 200)
	f.until("nine of ten staged", func() bool { return f.countStaged("brand") == 9 })
	cutOff := f.nodes[:3]
	for _, n := range cutOff {
		for _, l := range n.Links {
			l.Set(faults.Fault{Blackhole: true})
		}
	}
	lead := f.leader()
	f.Cut(lead, faults.Fault{Blackhole: true})
	last.With(func() { last.Slow = false })
	f.until("the majority's commit", func() bool {
		for _, n := range f.nodes[3:] {
			if n.Serves("brand") != 2 {
				return false
			}
		}
		return f.status("brand").Phase == "settled"
	})
	for _, n := range cutOff {
		if in := n.Look(); in.LeaseMS > 0 || n.Serves("brand") != 1 {
			t.Errorf("%s, cut off from the replicas, serves generation %d with %d ms left of its lease", n.Name, n.Serves("brand"), in.LeaseMS)
		}
	}
	f.mustPut("brand", 2, 300) // another rollout during the partition: the three nodes are now two generations behind
	f.until("the majority at generation 3", func() bool { return f.status("brand").Phase == "settled" })
	f.Cut(lead, faults.Fault{})
	for _, n := range cutOff {
		for _, l := range n.Links {
			l.Set(faults.Fault{})
		}
	}
	f.awaitSettled("brand", 3)
	f.awaitSessions()
	for i := range f.HTTP {
		f.until(fmt.Sprintf("replica %d to hold generation 3", i), func() bool {
			resp, err := fleetClient.Get("http://" + f.HTTP[i] + "/fleet/v1/tenants/brand")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			var tn fleet.Tenant
			return decode(resp, &tn) && tn.Committed != nil && tn.Committed.Number == 3
		})
	}
}

// newestSnapshots returns the index in raft's log of each replica's newest snapshot, 0 for none.
func (f *testFleet) newestSnapshots() (newest [3]uint64) {
	for i, d := range f.Dirs {
		entries, _ := os.ReadDir(d + "/snapshots")
		for _, e := range entries { // TERM-INDEX-TIME
			var term, index uint64
			if fmt.Sscanf(e.Name(), "%d-%d-", &term, &index); !strings.HasSuffix(e.Name(), ".tmp") {
				newest[i] = max(newest[i], index)
			}
		}
	}
	return newest
}

// TestReplicaBackFromOldSnapshot restarts a replica with an old copy of its store, a snapshot and an old log. The replica must
// catch up, and must not answer with a state older than the agents'.
func TestReplicaBackFromOldSnapshot(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, "", "--snapshot-after", "20", "--snapshot-every", "200ms")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	// Look up the leader for each write: the leadership may move, and only the current leader accepts writes.
	w, from := 0, f.newestSnapshots()
	f.until("a snapshot with the fleet on each replica", func() bool {
		for range 10 {
			w++
			if !f.register(fmt.Sprintf("w-%d", w), f.leader()) {
				t.Fatal("no replica accepted a write")
			}
		}
		have := 0
		for i, s := range f.newestSnapshots() {
			if s > from[i] {
				have++
			}
		}
		return have == 3
	})
	down := (f.leader() + 1) % 3
	f.Kill(down)
	old := t.TempDir()
	if out, err := exec.Command("cp", "-a", f.Dirs[down]+"/.", old).CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	if err := f.Restart(down); err != nil {
		t.Fatal(err)
	}
	f.mustPut("brand", 1, 200)
	f.awaitSettled("brand", 2)
	f.Kill(down)
	os.RemoveAll(f.Dirs[down])
	if out, err := exec.Command("cp", "-a", old, f.Dirs[down]).CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	if err := f.Restart(down); err != nil {
		t.Fatal(err)
	}
	f.until("the replica to catch up", func() bool {
		resp, err := fleetClient.Get("http://" + f.HTTP[down] + "/fleet/v1/tenants/brand")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var tn fleet.Tenant
		return decode(resp, &tn) && tn.Committed != nil && tn.Committed.Number == 2
	})
	for _, n := range f.nodes {
		if n.Serves("brand") != 2 {
			t.Errorf("%s serves generation %d", n.Name, n.Serves("brand"))
		}
	}
	f.mustPut("brand", 2, 300)
	f.awaitSettled("brand", 3)
}
