package tenants

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"

	"meadowsill/internal/fleet"
)

// TestCommandsWithoutScopes checks that a command without "scoped", as in older logs, is checked against the fleet's epoch,
// whatever the tenant's service is.
func TestCommandsWithoutScopes(t *testing.T) {
	f := newFixture("retail")
	f.join("n3", "other") // the fleet's epoch is now above the scope's
	if err := f.put(100, 0); err != nil {
		t.Fatal(err)
	}
	e := f.state.Tenants["lulu"]
	commit := Command{Operation: Commit, Name: "lulu", UID: e.UID, IfRevision: e.Revision, Generation: 1, Epoch: f.sessions.ScopeEpoch("retail")}
	if err := f.apply(commit); !errors.Is(err, ErrStale) || commit.Epoch == f.sessions.Epoch {
		t.Errorf("at the scope's epoch %d of %d: %v", commit.Epoch, f.sessions.Epoch, err)
	}
	commit.Epoch = f.sessions.Epoch
	if err := f.apply(commit); err != nil {
		t.Errorf("at the fleet's epoch: %v", err)
	}
}

// TestInScope checks that InScope finds the tenants of a scope, also after changes and after a snapshot is restored.
func TestInScope(t *testing.T) {
	s, revision := &State{}, uint64(0)
	apply := func(c Command) {
		t.Helper()
		if _, err := s.Apply(c, firstEpoch, func() uint64 { revision++; return revision }); err != nil {
			t.Fatal(err)
		}
	}
	for name, service := range map[string]string{"a": "", "b": "billing", "c": "billing", "d": "search", "e": "mail"} {
		apply(Command{Operation: Put, Name: name, Spec: &fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 1}}})
	}
	check := func(want map[string][]string) {
		t.Helper()
		for key, names := range want {
			var services []string
			if key != "" {
				json.Unmarshal([]byte(key), &services)
			}
			if got := slices.Sorted(maps.Keys(maps.Collect(s.InScope(services)))); !slices.Equal(got, names) {
				t.Errorf("in the scope of %v: %v, want %v", services, got, names)
			}
		}
	}
	check(map[string][]string{"": {"a", "b", "c", "d", "e"}, `["billing"]`: {"a", "b", "c"}, `["billing","search"]`: {"a", "b", "c", "d"}, `["none"]`: {"a"}})
	// Rolling back the first generation deletes the tenant; its name may then be used in another service.
	e := s.Tenants["b"]
	apply(Command{Operation: Rollback, Name: "b", UID: e.UID, IfRevision: e.Revision, Generation: 1, Node: "n", Reason: "r"})
	check(map[string][]string{`["billing"]`: {"a", "c"}})
	apply(Command{Operation: Put, Name: "b", Spec: &fleet.Spec{Name: "b", Service: "search", Quota: fleet.Quota{Rate: 1}}})
	want := map[string][]string{`["billing"]`: {"a", "c"}, `["search"]`: {"a", "b", "d"}}
	check(want)
	raw, _ := json.Marshal(s)
	s = &State{}
	if err := json.Unmarshal(raw, s); err != nil {
		t.Fatal(err)
	}
	check(want)
	if again, _ := json.Marshal(s); string(again) != string(raw) {
		t.Errorf("%s, was %s", again, raw)
	}
}
