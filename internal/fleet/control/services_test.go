package control

import (
	"errors"
	"maps"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/registry/index"
)

// keysOf returns the revision of each key in an answer, negative where the item is removed.
func keysOf(in fleet.Intent) map[string]int {
	out := map[string]int{}
	for _, it := range in.Items {
		out[it.Key] = int(it.Revision)
		if it.Removed {
			out[it.Key] = -int(it.Revision)
		}
	}
	return out
}

// recreatedTenant returns a log with a tenant of service x at revision 1, removed at 2 and created again in service y at 3.
func recreatedTenant(t testing.TB) *intentLog {
	l := &intentLog{state: New()}
	if err := l.put("a", "x"); err != nil {
		t.Fatal(err)
	}
	l.recreate(t, "a", "y")
	return l
}

// TestNameReusedInAnotherService checks that a tenant that is removed and created again in another service is removed for the
// nodes of the first service and exists for those of the second and of both, from whatever revision each of them reads.
func TestNameReusedInAnotherService(t *testing.T) {
	const created, removed, again = 1, 2, 3
	gone := map[string]int{"tenant/a": -removed}
	there := map[string]int{"tenant/a": again}
	nothing := map[string]int{}
	cases := []struct {
		name     string
		services []string
		since    uint64
		want     map[string]int
	}{
		{"old service, from before the removal", []string{"x"}, created, gone},
		{"old service, from the removal", []string{"x"}, removed, nothing},
		{"new service, from before the removal", []string{"y"}, created, there},
		{"new service, from the removal", []string{"y"}, removed, there},
		{"both, from before the removal", []string{"x", "y"}, created, there},
		{"both, from the removal", []string{"x", "y"}, removed, there},
		{"every service, from before the removal", nil, created, there},
		{"every service, from the removal", nil, removed, there},
		{"another service", []string{"z"}, created, nothing},
	}
	l := recreatedTenant(t)
	raw, err := l.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		for which, s := range map[string]*State{"as applied": l.state, "restored": restored} {
			in := s.Read(c.since, "n1", c.services...)
			if d := gocmp.Diff(c.want, keysOf(in)); in.Full || in.Revision != again || d != "" {
				t.Errorf("%s, %s: full %v at %d: %s", c.name, which, in.Full, in.Revision, d)
			}
		}
	}
}

// TestNameReusedInManyServices checks that readers of the old service learn of the removal also where the name returns to that
// service or moves on to a third one, and in any order of reads.
func TestNameReusedInManyServices(t *testing.T) {
	l := &intentLog{state: New()}
	if err := l.put("a", "x"); err != nil {
		t.Fatal(err)
	}
	all := readers()
	for step, service := range []string{"y", "x", "", "z", "", "y", "y", "x"} {
		for i, r := range all {
			if (step+i)%3 == 0 { // a third of the readers reads at each step, the others later
				r.read(l.state)
			}
		}
		l.recreate(t, "a", service)
		for _, r := range all {
			late := *r
			late.held = maps.Clone(r.held)
			late.read(l.state)
			if _, holds := late.held["tenant/a"]; holds != fleet.Serves(r.services, service) {
				t.Errorf("created again in %q: a reader of %q since %d holds the tenant: %v", service, r.services, r.revision, holds)
			}
		}
	}
}

// TestTombstoneWithoutServiceAppliesToAllScopes checks that tombstones from a build that knew no services, which name none, apply to
// every scope, also once the name is used again in one service.
func TestTombstoneWithoutServiceAppliesToAllScopes(t *testing.T) {
	s, err := Restore([]byte(`{"rev":5,"floor":0,"tombs":[{"key":"tenant/a","rev":5},{"key":"share/n1","rev":4}],"session":{"epoch":0},"zones":{"rev":0},"tenants":{},"drift":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	l := &intentLog{state: s, revision: 5}
	for _, services := range [][]string{nil, {"x"}, {"x", "y"}} {
		if d := gocmp.Diff(map[string]int{"tenant/a": -5, "share/n1": -4}, keysOf(s.Read(3, "n1", services...))); d != "" {
			t.Errorf("%q: %s", services, d)
		}
		if d := gocmp.Diff(map[string]int{"tenant/a": -5}, keysOf(s.Read(3, "n2", services...))); d != "" {
			t.Errorf("quota lease of another node, %q: %s", services, d)
		}
	}
	if err := l.put("a", "y"); err != nil {
		t.Fatal(err)
	}
	for service, want := range map[string]int{"x": -5, "y": 6} {
		if d := gocmp.Diff(map[string]int{"tenant/a": want}, keysOf(s.Read(4, "n2", service))); d != "" {
			t.Errorf("created again in y, reader of %q: %s", service, d)
		}
	}
}

// TestServiceCantChange checks that a rollout can't change a tenant's service, and that the attempt changes nothing.
func TestServiceCantChange(t *testing.T) {
	l := &intentLog{state: New()}
	for _, err := range []error{l.put("a", "x"), l.advance("a"), l.advance("a"), l.put("b", "")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	before, _ := l.state.Snapshot()
	for _, change := range [][2]string{{"a", "y"}, {"a", ""}, {"b", "x"}} {
		err := l.put(change[0], change[1])
		var field *tenants.FieldError
		if !errors.As(err, &field) || field.Field != "service" || !errors.Is(err, fleet.ErrInvalid) {
			t.Errorf("%q in %q: %v, want an error that names the service", change[0], change[1], err)
		}
	}
	if after, _ := l.state.Snapshot(); string(before) != string(after) || l.revision != 3 {
		t.Errorf("the state has changed, revision %d:\n%s\nwas\n%s", l.revision, after, before)
	}
	if err := l.put("a", "x"); err != nil {
		t.Errorf("the next generation in the same service: %v", err)
	}
}

// TestChangeNamesItsScopes checks that a Change names the scopes whose readers have to be woken.
func TestChangeNamesItsScopes(t *testing.T) {
	l := &intentLog{state: New()}
	if err := l.evacuate("zb"); err != nil {
		t.Fatal(err)
	}
	everyone := []int{0, 1, 2, 3, 4, 5, 6}
	for _, c := range []struct {
		name  string
		do    func() error
		wakes []int // indexes into readers()
	}{
		{"a tenant of x", func() error { return l.put("a", "x") }, []int{0, 1, 2, 4, 6}},
		{"a tenant of every service", func() error { return l.put("b", "") }, everyone},
		{"a zone", func() error { return l.evacuate("za") }, everyone},
		{"a quota lease of n2", func() error { return l.lease("n2", false) }, []int{0, 3, 4, 5}},
		{"the tenant of x removed", func() error { return l.rollback("a") }, []int{0, 1, 2, 4, 6}},
		{"created again in y", func() error { return l.put("a", "y") }, []int{0, 1, 3, 4, 6}},
	} {
		before := l.state.Revision
		if err := c.do(); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		for i, r := range readers() {
			wakes := slices.ContainsFunc(ReaderScopes(r.node, r.services...), func(s index.Scope) bool { return slices.Contains(l.changed.Scopes, s) })
			changes := l.state.View().HasChanges(before, r.node, r.services...)
			if want := slices.Contains(c.wakes, i); wakes != want || changes != want {
				t.Errorf("%s: %q of %q: woken %v, has changes %v, want %v", c.name, r.node, r.services, wakes, changes, want)
			}
		}
	}
}
