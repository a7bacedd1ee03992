package control

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
)

// TestJoinDigestCoversOnlyItsScope checks that a join is rejected where its scope has changed since the run was checked, and not
// where anything else has changed.
func TestJoinDigestCoversOnlyItsScope(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"search"}, nil)
	f.mustPut(t, "billing", "b", 10)
	f.mustPut(t, "search", "s", 10)
	f.runUntil(t, "settled", func() bool { return f.settled("b")() && f.settled("s")() }, f.nodes...)
	f.startRun(0, "billing")
	joining, rest := f.nodes[0], f.nodes[1:]
	joining.read(f.state)
	join := func() *Command {
		t.Helper()
		c, notReady, err := f.controller.Admit(f.state, joining.report())
		if c == nil || notReady || err != nil {
			t.Fatalf("join %v, not ready %v, %v", c, notReady, err)
		}
		return c
	}
	first := join()
	f.state.Session.Apply(session.Command{Operation: session.Expire, Member: f.state.Session.Members["n0"]})
	f.mustPut(t, "search", "s", 20)
	f.runUntil(t, "settled", f.settled("s"), rest...)
	before, _ := f.state.Snapshot()
	if again := join(); again.ScopeDigest != first.ScopeDigest {
		t.Error("a change outside of the scope changes the digest")
	}
	f.mustPut(t, "billing", "b", 20)
	f.runUntil(t, "settled", f.settled("b"), rest...)
	if err := f.apply(*first); !errors.Is(err, ErrStale) {
		t.Errorf("a join decided before a change of its scope: %v", err)
	}
	f.state, _ = Restore(before)
	if err := f.apply(*first); err != nil || !f.state.Session.Present(joining.Member) {
		t.Errorf("a join decided before a change elsewhere: %v", err)
	}
}

// TestCaughtUpWithItsScope checks that rollouts and removals outside of a run's scope don't count when the run catches up, and that a
// run that holds a tenant outside of its scope is not caught up.
func TestCaughtUpWithItsScope(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"search"})
	f.mustPut(t, "billing", "b", 10)
	f.mustPut(t, "search", "s", 10)
	f.runUntil(t, "settled", func() bool { return f.settled("b")() && f.settled("s")() }, f.nodes...)
	searching := f.nodes[1]
	searching.read(f.state)
	f.mustDelete(t, "b")
	report := searching.report()
	if !f.state.CaughtUp(report) || !tenants.HasFollowed(&f.state.Tenants, report) {
		t.Error("a run that holds its scope is not caught up while a tenant elsewhere is removed")
	}
	f.mustDelete(t, "s")
	if f.state.CaughtUp(report) || tenants.HasFollowed(&f.state.Tenants, report) {
		t.Error("a run that has not read a removal in its scope is caught up")
	}
	searching.read(f.state)
	report = searching.report()
	if !f.state.CaughtUp(report) || !tenants.HasFollowed(&f.state.Tenants, report) {
		t.Error("a run that has read the removal is not caught up")
	}
	report.Tenants = append(report.Tenants, fleet.TenantAck{Name: "b", UID: f.state.Tenants.Tenants["b"].UID, Committed: 1})
	if f.state.CaughtUp(report) || f.state.MayJoin(report) {
		t.Error("a run that holds a tenant of another service is caught up")
	}
}

// TestRunReturnsWithAnotherScope checks that a run that lapsed and returns with another scope is leased nothing more of the tenants
// of its former scope, and that its former leases count until it has confirmed their end.
func TestRunReturnsWithAnotherScope(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"}, []string{"billing"})
	f.mustPut(t, "billing", "b", 10)
	f.runUntil(t, "leased", func() bool { return f.leased("n0", "b") > 3 && f.leased("n1", "b") > 3 }, f.nodes...)
	back := f.nodes[0]
	if err := f.apply(Command{Session: &session.Command{Operation: session.Expire, Member: back.Member}}); err != nil {
		t.Fatal(err)
	}
	back.services, back.revision = []string{"search"}, 0
	f.runUntil(t, "leased to the other alone", func() bool {
		maximum := f.state.Tenants.Runs["n0"].MaxRates["b"] + f.state.Tenants.Runs["n1"].MaxRates["b"]
		if pool := f.state.Tenants.Leasable("b"); maximum > pool*(1+1e-9) {
			t.Fatalf("T3: runs may hold %g, of a leasable %g", maximum, pool)
		}
		return f.leased("n0", "b") == 0 && f.leased("n1", "b") > 7
	}, f.nodes...)
	if got := f.state.Session.Services("n0"); !slices.Equal(got, []string{"search"}) || f.state.Tenants.Runs["n0"].Incarnation != back.Incarnation {
		t.Errorf("n0 serves %v", got)
	}
}

// TestReportWithAnotherScopeIsRejected checks that a report with a scope other than its session's, or an invalid scope, is rejected
// with an error of one line and changes nothing.
func TestReportWithAnotherScopeIsRejected(t *testing.T) {
	f := newScopedFleet(t, []string{"billing"})
	before, _ := f.state.Snapshot()
	for name, services := range map[string][]string{"another": {"search"}, "none": nil, "more": {"billing", "search"}, "bad": {"b", "a"}} {
		report := f.nodes[0].report()
		report.Services = services
		if _, err := f.deliver(report); !errors.Is(err, fleet.ErrInvalid) || !strings.Contains(err.Error(), "services") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := f.controller.Report(f.now, f.now, f.state, report); !errors.Is(err, fleet.ErrInvalid) {
			t.Errorf("%s, passed to Controller.Report: %v", name, err)
		}
	}
	if after, _ := f.state.Snapshot(); !bytes.Equal(before, after) {
		t.Errorf("the state is now %s", after)
	}
	if _, err := f.deliver(f.nodes[0].report()); err != nil {
		t.Errorf("the next report: %v", err)
	}
	raw, _ := json.Marshal(fleet.Report{Member: f.nodes[0].Member, Services: []string{"b", "a"}})
	if _, err := fleet.DecodeReport(raw); !errors.Is(err, fleet.ErrInvalid) || !strings.Contains(err.Error(), "services") {
		t.Errorf("decoded: %v", err)
	}
}

// TestLogAndSnapshotWithoutScopes checks that the log of a build without scopes, including commands that are rejected, produces the
// same state byte for byte as in that build; that the snapshot of that build restores and behaves the same; and that runs with
// scopes may join afterwards. Log and snapshot were written by commit f4d3cad.
func TestLogAndSnapshotWithoutScopes(t *testing.T) {
	want, err := os.ReadFile("testdata/unscoped-snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	want = bytes.TrimSpace(want)
	raw, err := os.ReadFile("testdata/unscoped-log.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	replayed := New()
	revision := uint64(0)
	rejected := 0
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			t.Fatal(err)
		}
		if _, err := replayed.Apply(c, func() uint64 { revision++; return revision }); err != nil {
			rejected++
		}
	}
	got, _ := replayed.Snapshot()
	if !bytes.Equal(got, want) || rejected == 0 {
		t.Errorf("%d commands rejected; replayed %s, want %s", rejected, got, want)
	}
	restored, err := Restore(want)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := restored.Snapshot(); !bytes.Equal(again, want) {
		t.Errorf("restored %s, want %s", again, want)
	}
	if a, b := replayed.ScopeDigest("n0", nil), restored.ScopeDigest("n0", nil); a != b {
		t.Errorf("scope digests %x and %x", a, b)
	}
	f := newTestFleet(t, 1)
	f.state, f.rev = restored, revision
	f.controller = NewController(f.set, f.now, f.state)
	f.startRun(0, "billing")
	f.runRound(t, f.nodes...)
	f.mustPut(t, "billing", "b", 10)
	f.runUntil(t, "settled", f.settled("b"), f.nodes...)
}
