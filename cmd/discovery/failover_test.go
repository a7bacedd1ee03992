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

// staged says how many nodes have staged a tenant, by the leader.
func (f *fleetUp) staged(name string) (n int) {
	for _, s := range f.status(name).Nodes {
		if s.Phase == "staged" {
			n++
		}
	}
	return n
}

// watchT2 checks until stop that present nodes serve no more than two adjacent generations of a tenant.
func (f *fleetUp) watchT2(name string) (stop func()) {
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

// The leader is killed between stage and commit, and again between commit and the first apply: the rollout continues from the
// replicated state, and nothing is rolled back.
func TestLeaderKilledInRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "")
	f.present()
	f.mustPut("brand", 0, 100)
	f.settled("brand", 1)
	defer f.watchT2("brand")()

	last := f.nodes[9]
	last.With(func() { last.Slow = true })
	f.mustPut("brand", 1, 200)
	f.until("nine of ten staged", func() bool { return f.staged("brand") == 9 })
	lead := f.leader()
	f.Kill(lead)
	last.With(func() { last.Slow = false })
	f.settled("brand", 2)
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
			t.Fatalf("%s serves generation %d before the kill", n.Name, g)
		}
	}
	lead = f.leader()
	f.Kill(lead)
	for _, n := range f.nodes {
		n.With(func() { n.Keep = false })
	}
	f.settled("brand", 3)
	if s := f.tenant("brand"); s.RolledBack != "" || s.Committed.Spec.Quota.Rate != 300 {
		t.Errorf("after two kills: %+v", s)
	}
}

// A partition during a rollout: three of ten nodes can't reach any replica, and the leader is cut off from the others. The
// rollout waits for the three for no longer than their leases, the majority commits, and after the heal all hold the
// same; the three are not present again before they do.
func TestPartitionInRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "ttl_ms = 2000")
	f.present()
	f.mustPut("brand", 0, 100)
	f.settled("brand", 1)
	defer f.watchT2("brand")()

	last := f.nodes[9]
	last.With(func() { last.Slow = true })
	f.mustPut("brand", 1, 200)
	f.until("nine of ten staged", func() bool { return f.staged("brand") == 9 })
	away := f.nodes[:3]
	for _, n := range away {
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
	for _, n := range away {
		if in := n.Look(); in.LeaseMS > 0 || n.Serves("brand") != 1 {
			t.Errorf("%s, cut off, serves generation %d and counts %d ms of its session", n.Name, n.Serves("brand"), in.LeaseMS)
		}
	}
	f.mustPut("brand", 2, 300) // another, while they are away: their generation is now two behind
	f.until("the majority at generation 3", func() bool { return f.status("brand").Phase == "settled" })
	f.Cut(lead, faults.Fault{})
	for _, n := range away {
		for _, l := range n.Links {
			l.Set(faults.Fault{})
		}
	}
	f.settled("brand", 3)
	f.present()
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

// snapshots returns the index in raft's log of each replica's newest snapshot, 0 for none.
func (f *fleetUp) snapshots() (newest [3]uint64) {
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

// A replica that was down comes back on its store of long ago, a snapshot and an old log: it answers nothing older than
// what agents have, and catches up.
func TestReplicaBackFromOldSnapshot(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, "", "--snapshot-after", "20", "--snapshot-every", "200ms")
	f.present()
	f.mustPut("brand", 0, 100)
	f.settled("brand", 1)
	// Each write goes to whoever leads then: the lead may move, and a replica that has lost it takes none.
	w, from := 0, f.snapshots()
	f.until("a snapshot with the fleet on each replica", func() bool {
		for range 10 {
			w++
			if !f.register(fmt.Sprintf("w-%d", w), f.leader()) {
				t.Fatal("a write that no replica takes")
			}
		}
		have := 0
		for i, s := range f.snapshots() {
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
	f.settled("brand", 2)
	f.Kill(down)
	os.RemoveAll(f.Dirs[down])
	if out, err := exec.Command("cp", "-a", old, f.Dirs[down]).CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, out)
	}
	if err := f.Restart(down); err != nil {
		t.Fatal(err)
	}
	f.until("the replica caught up", func() bool {
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
	f.settled("brand", 3)
}
