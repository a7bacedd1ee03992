//go:build amd64

package policy_test

// This file compares digests of the module's decisions with those recorded in testdata/decisions.txt. Modules with many seeds
// get random legal events, among them events of the control plane, and the test hashes the actions that they return. A change
// that is not meant to alter decisions must leave the file as it is. The encoding contains no Go identifiers, so that renames
// do not change it, and it leaves out the text of log lines. The test runs only on amd64: other architectures fuse
// multiplications and additions, which changes the last bits.
//
// To record the file again after a change that is meant to alter decisions: go test -run TestDecisionsDigest -args -record

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"testing"
	"time"

	"meadowsill/policy"
)

var recordDigest = flag.Bool("record", false, "record testdata/decisions.txt again")

const digestSeeds = 200

// writeActions adds actions to a digest and returns the number of actions added, which are all but log lines.
func writeActions(h hash.Hash, actions []policy.Action) int {
	count := 0
	for _, a := range actions {
		count++
		switch a := a.(type) {
		case policy.Forward:
			fmt.Fprintln(h, "send", a.ID, a.Server, int64(a.Timeout))
		case policy.Reject:
			fmt.Fprintln(h, "reject", a.ID, int64(a.RetryAfter))
		case policy.Fail:
			fmt.Fprintln(h, "fail", a.ID)
		case policy.CancelAttempt:
			fmt.Fprintln(h, "cancel", a.ID, a.Attempt)
		case policy.SetTimer:
			fmt.Fprintln(h, "timer", int64(a.After), a.Token)
		case policy.HealthCheck:
			fmt.Fprintln(h, "probe", a.Server)
		case policy.SendMessage:
			fmt.Fprintln(h, "message", a.To, a.ToAll, a.Data)
		case policy.Subscribe:
			fmt.Fprintln(h, "subscribe", a.On)
		case policy.FetchEndpoints:
			fmt.Fprintln(h, "fetch")
		case policy.CloseIdleConnections:
			fmt.Fprintln(h, "close idle", a.Server)
		default: // a log line
			count--
		}
	}
	return count
}

// writeWindow adds the module's observations of a window to a digest.
func writeWindow(h hash.Hash, w policy.FleetWindow) {
	fmt.Fprintln(h, "window", int64(w.Start))
	for _, z := range w.Zones {
		fmt.Fprintln(h, "zone", z.Zone, z.Attempts, z.Lost, z.Servers, z.LostServers, z.Answered, z.Listed, z.Started, z.Rate)
	}
	for _, t := range w.Tenants {
		fmt.Fprintln(h, "tenant", t.Name, t.UID, t.Committed, t.Staged, t.Digest, t.RejectReason, t.Open, t.Arrived, t.Admitted, t.Rate)
	}
}

// writeApplied adds the state that the module reports as applied to a digest.
func writeApplied(h hash.Hash, m *policy.Module) error {
	for _, item := range m.Applied() {
		value, err := json.Marshal(item.Value)
		if err != nil {
			return err
		}
		fmt.Fprintf(h, "held %s %s\n", item.Key, value)
	}
	return nil
}

// feedFleet feeds the module one random event of the control plane, or changed settings.
func feedFleet(w *world, i int) {
	revision := uint64(1 + i - w.random.Intn(5)%(i+1))
	switch w.random.Intn(4) {
	case 0:
		w.handle(policy.ZoneDirective{Zone: fmt.Sprint("z", w.random.Intn(2)), Revision: revision, Serving: w.random.Intn(4) == 0,
			Share: []float64{0, 0, 0.5, 1}[w.random.Intn(4)], Floor: float64(w.random.Intn(3)) / 4, Rate: float64(w.random.Intn(3)) / 2,
			Trial: w.random.Intn(3) == 0, Age: time.Duration(w.random.Intn(500)) * time.Millisecond,
			ValidFor: time.Duration(w.random.Intn(2000)) * time.Millisecond})
	case 1:
		committed := rules(revision, func(g *policy.TenantRules) {
			g.Rate = float64(w.random.Intn(100))
			if w.random.Intn(3) == 0 {
				g.Classes = []string{"c0"}
			}
			if w.random.Intn(3) == 0 {
				g.Routes = []policy.TenantRoute{{Zone: "z0", Weight: 1}, {Zone: "z1", Weight: 2}}
				g.RejectUnrouted = w.random.Intn(2) == 0
			}
		})
		w.handle(policy.TenantUpdate{Name: []string{"a", "b"}[w.random.Intn(2)], UID: uint64(1 + i/40), Revision: revision,
			Committed: committed, Staged: rules(revision+1, nil), Removing: w.random.Intn(8) == 0, Removed: w.random.Intn(12) == 0})
	case 2:
		w.handle(policy.QuotaLease{Epoch: revision, Slots: 1 + w.random.Intn(4), Rates: map[string]float64{"a": float64(w.random.Intn(40)),
			"b": float64(w.random.Intn(40))}, ValidFor: time.Duration(w.random.Intn(3000)) * time.Millisecond})
	case 3:
		changed := w.settings
		changed.Nodes = 1 + w.random.Intn(6)
		changed.SendsRetryAfter = w.random.Intn(2) == 0
		w.handle(policy.SettingsChanged{Settings: changed})
	}
}

// decisionDigest runs the world with one seed and returns the seed's line of decisions.txt.
func decisionDigest(t *testing.T, seed int64) string {
	t.Helper()
	h, count := sha256.New(), 0
	w := newWorld(seed)
	w.settings.Fleet = seed%2 == 0
	w.mutate = func(_ *world, actions []policy.Action) []policy.Action {
		count += writeActions(h, actions)
		return actions
	}
	w.start()
	for i := range 40 {
		if w.settings.Fleet {
			feedFleet(w, i)
		}
		w.run(100*time.Millisecond, 3*testRate, true)
		writeWindow(h, w.module.Window(w.now))
		if err := writeApplied(h, w.module); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	return fmt.Sprintf("%d %d %x\n", seed, count, h.Sum(nil)[:16])
}

func TestDecisionsDigest(t *testing.T) {
	file := filepath.Join("testdata", "decisions.txt")
	var digests bytes.Buffer
	for seed := int64(1); seed <= digestSeeds; seed++ {
		digests.WriteString(decisionDigest(t, seed))
	}
	if *recordDigest {
		if err := os.WriteFile(file, digests.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, recorded := bytes.Split(digests.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(got) != len(recorded) {
		t.Fatalf("%d digests, but %d are recorded", len(got), len(recorded))
	}
	for i := range got {
		if !bytes.Equal(got[i], recorded[i]) {
			t.Fatalf("seed, actions, digest: %s; recorded: %s", got[i], recorded[i])
		}
	}
}
