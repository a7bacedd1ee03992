package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/registry"
)

func logEntry(c control.Command) *raft.Log { return &raft.Log{Data: fleetCommand(c)} }

// TestFSM checks that a change of the fleet takes the next revision, wakes no watcher of the list, and is restored from a
// snapshot. A join must not wake a watcher of the intent either.
func TestFSM(t *testing.T) {
	f := newFSM(10)
	list, intent := f.list.Load().changed, f.watchers.add(control.ReaderScopes("n")).woken
	woken := func(c chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	raw, _ := json.Marshal(registry.Command{Op: registry.Register, Entry: registry.Entry{ID: "s", Addr: "127.0.0.1:1"}, TTLMS: 1000, NowMS: 1})
	if a := f.Apply(&raft.Log{Data: raw}).(applyResult); !a.changed || !woken(list) || woken(intent) {
		t.Fatalf("a registration: %+v", a)
	}
	list = f.list.Load().changed
	m := fleet.Member{Node: "n", Zone: "z", Incarnation: 1}
	join := control.Command{Session: &session.Command{Operation: session.Join, Member: m}, ScopeDigest: f.fleet.ScopeDigest("n", nil)}
	if a := f.Apply(logEntry(join)).(applyResult); a.revision != 2 || woken(list) || woken(intent) {
		t.Fatalf("a join: %+v", a)
	}
	put := control.Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: "b", Spec: &fleet.Spec{Name: "b", Quota: fleet.Quota{Rate: 1, Burst: 1}}}}
	if a := f.Apply(logEntry(put)).(applyResult); a.revision != 3 || woken(list) || !woken(intent) {
		t.Fatalf("a new tenant: %+v", a)
	}
	if a := f.Apply(logEntry(put)).(applyResult); !errors.Is(a.err, fleet.ErrConflict) || a.changed || f.state.Revision != 3 {
		t.Fatalf("the same tenant proposed again: %+v", a)
	}
	if a := f.Apply(&raft.Log{Data: []byte(`{"op":"fleet","now_ms":0,"fleet":{"tenants":3}}`)}).(applyResult); a.err == nil || f.state.Revision != 3 {
		t.Fatalf("a malformed command: %+v", a)
	}
	if a := f.state.Read(1, true); a.Version != 1 || a.Full || len(a.Servers) != 0 {
		t.Errorf("the list after changes of the fleet: %+v", a)
	}
	snap, err := f.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g := newFSM(10)
	if err := g.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot)))); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(f.fleet.Read(0, ""), g.fleet.Read(0, "")); d != "" || g.state.Revision != 3 || !g.fleet.Session.Present(m) {
		t.Errorf("restored at revision %d: %s", g.state.Revision, d)
	}
	if err := g.Restore(io.NopCloser(bytes.NewReader([]byte(`{"rev":9,"version":2,"fleet":{"zones":1}}`)))); err == nil || g.state.Revision != 3 {
		t.Errorf("a malformed snapshot: %v, revision %d", err, g.state.Revision)
	}
}

// TestBatchedCheck checks that each caller gets the outcome of a check that began after its call, and that many callers share a
// check.
func TestBatchedCheck(t *testing.T) {
	var begun, checks atomic.Int64
	b := batchedCheck{check: func() error { begun.Add(1); checks.Add(1); time.Sleep(time.Millisecond); return nil }}
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			before := begun.Load()
			if err := b.wait(); err != nil || begun.Load() <= before {
				t.Errorf("%v: no check began after the call", err)
			}
		})
	}
	all.Wait()
	if n := checks.Load(); n > 20 {
		t.Errorf("%d checks for 200 callers", n)
	}
}
