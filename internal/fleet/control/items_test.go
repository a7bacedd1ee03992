package control

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// intentLog applies commands to a state and numbers the revisions, as raft's log does.
type intentLog struct {
	state    *State
	revision uint64
	changed  Change // result of the newest command
}

func (l *intentLog) apply(c Command) (err error) {
	l.changed, err = l.state.Apply(c, func() uint64 { l.revision++; return l.revision })
	return err
}

func (l *intentLog) tenant(c tenants.Command) error {
	if e := l.state.Tenants.Tenants[c.Name]; e != nil && c.Operation != tenants.Put && c.Operation != tenants.Delete {
		c.UID = e.UID
		c.IfRevision = e.Revision
		c.Epoch = l.state.Session.Epoch
	}
	return l.apply(Command{Tenants: &c})
}

// put proposes a tenant's next generation.
func (l *intentLog) put(name, service string) error {
	generation := uint64(0)
	if e := l.state.Tenants.Tenants[name]; e != nil && e.Committed != nil {
		generation = e.Committed.Number
	}
	return l.tenant(tenants.Command{Operation: tenants.Put, Name: name, Generation: generation,
		Spec: &fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 10, Burst: 1}}})
}

// advance takes a tenant one step forward in its rollout or removal; it begins the removal of a settled tenant.
func (l *intentLog) advance(name string) error {
	e := l.state.Tenants.Tenants[name]
	switch l.state.Tenants.Phase(name) {
	case tenants.PhaseStaging:
		return l.tenant(tenants.Command{Operation: tenants.Commit, Name: name, Generation: e.Staged.Number})
	case tenants.PhaseApplying:
		return l.tenant(tenants.Command{Operation: tenants.Applied, Name: name, Generation: e.Committed.Number})
	case tenants.PhaseSettled:
		return l.tenant(tenants.Command{Operation: tenants.Delete, Name: name, Generation: e.Committed.Number})
	case tenants.PhaseRemoving:
		return l.tenant(tenants.Command{Operation: tenants.Drained, Name: name})
	case tenants.PhaseQuotaWithdrawn:
		return l.tenant(tenants.Command{Operation: tenants.QuotaWithdrawn, Name: name})
	}
	return nil
}

// rollback rolls back a rollout that is being staged; this removes a tenant that has no earlier generation.
func (l *intentLog) rollback(name string) error {
	e := l.state.Tenants.Tenants[name]
	if e == nil || e.Staged == nil {
		return nil
	}
	return l.tenant(tenants.Command{Operation: tenants.Rollback, Name: name, Generation: e.Staged.Number, Node: "n1", Reason: "refused"})
}

// recreate removes a tenant that is being staged, and creates one of the same name in another service.
func (l *intentLog) recreate(t testing.TB, name, service string) {
	t.Helper()
	if err := l.rollback(name); err != nil {
		t.Fatal(err)
	}
	if err := l.put(name, service); err != nil {
		t.Fatal(err)
	}
}

// lease grants a quota lease to a run of a node, or ends that lease if end is set.
func (l *intentLog) lease(node string, end bool) error {
	run := tenants.Run{Node: node, Incarnation: 1}
	d := &tenants.Division{Slots: 8, Grants: []tenants.Grant{{Run: run}}}
	if end {
		d = &tenants.Division{Slots: 8, Expired: []tenants.Run{run}}
	}
	return l.tenant(tenants.Command{Operation: tenants.Divide, IfRevision: l.state.Tenants.DividedRevision, Epoch: l.state.Session.Epoch, Division: d})
}

// evacuate applies one command that makes nodes evacuate a zone.
func (l *intentLog) evacuate(zone string) error {
	d := fleet.Directive{Phase: fleet.Evacuated, ValidMS: 5000, Reason: "lost", BackoffMS: 1000}
	change := zones.Change{Key: "zone/" + zone, Event: zones.Lost, Entry: zones.Entry{Directive: d, ListedServers: 1}}
	return l.apply(Command{Zones: &zones.Command{IfStateRevision: l.state.Zones.Revision, Items: []zones.Change{change}}})
}

// scanRead is the reference implementation of Read: a scan of the items of the cores and the tombstones.
func scanRead(s *State, since uint64, node string, services ...string) fleet.Intent {
	out := fleet.Intent{Revision: s.Revision, Full: since == 0 || since < s.Floor || since > s.Revision, Items: []fleet.Item{}}
	newest := map[string]fleet.Item{}
	add := func(it fleet.Item, service string) {
		leaseNode, isLease := strings.CutPrefix(it.Key, leasePrefix)
		outside := isLease && node != "" && leaseNode != node || !fleet.Serves(services, service)
		if !outside && newest[it.Key].Revision <= it.Revision && (out.Full && !it.Removed || !out.Full && it.Revision > since) {
			newest[it.Key] = it
		}
	}
	for _, it := range s.Zones.Items() {
		add(it, "")
	}
	for _, it := range s.Tenants.Items() {
		if !it.Removed {
			add(it, s.service(it.Key))
		}
	}
	for _, t := range s.Tombstones {
		add(t.item().Item, t.Service)
	}
	for _, it := range newest {
		out.Items = append(out.Items, it)
	}
	slices.SortFunc(out.Items, func(a, b fleet.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// reader is a reader of the intent that holds what it has read; it reads only changes where it can.
type reader struct {
	node     string
	services []string
	revision uint64
	held     map[string]fleet.Item
}

func (r *reader) read(s *State) {
	in := s.Read(r.revision, r.node, r.services...)
	if in.Full || r.held == nil {
		r.held = map[string]fleet.Item{}
	}
	for _, it := range in.Items {
		if it.Removed {
			delete(r.held, it.Key)
		} else {
			r.held[it.Key] = it
		}
	}
	r.revision = in.Revision
}

// readers returns readers of every kind of scope.
func readers() []*reader {
	return []*reader{{}, {node: "n1"}, {node: "n1", services: []string{"x"}}, {node: "n2", services: []string{"y"}},
		{node: "n2", services: []string{"x", "y"}}, {services: []string{"z"}}, {node: "n3", services: []string{"x", "y", "z"}}}
}

// TestReadAgainstScan checks over random schedules that a read returns what a scan returns, in every scope and from every revision,
// before and after a restore; that HasChanges is right; that a reader of changes holds what a complete read returns; and that a
// view never changes.
func TestReadAgainstScan(t *testing.T) {
	recreations, checks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		l := &intentLog{state: New()}
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		services := rapid.SampledFrom([]string{"", "x", "y", "z"})
		all := readers()
		held, heldWant := l.state.View(), scanRead(l.state, 0, "n1")
		must := func(err error) {
			if err != nil && !errors.Is(err, fleet.ErrConflict) && !errors.Is(err, fleet.ErrInvalid) && !errors.Is(err, zones.ErrChanged) && !errors.Is(err, zones.ErrIllegalTransition) {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":      func(t *rapid.T) { must(l.put(names.Draw(t, "name"), services.Draw(t, "service"))) },
			"advance":  func(t *rapid.T) { must(l.advance(names.Draw(t, "name"))) },
			"rollback": func(t *rapid.T) { must(l.rollback(names.Draw(t, "name"))) },
			"rename": func(t *rapid.T) {
				name := names.Draw(t, "name")
				must(l.rollback(name))
				must(l.put(name, services.Draw(t, "service")))
				recreations++
			},
			"lease": func(t *rapid.T) {
				must(l.lease(rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node"), rapid.Bool().Draw(t, "end")))
			},
			"zone":   func(t *rapid.T) { must(l.evacuate(rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone"))) },
			"read":   func(t *rapid.T) { all[rapid.IntRange(0, len(all)-1).Draw(t, "reader")].read(l.state) },
			"others": func(t *rapid.T) { l.revision += uint64(rapid.IntRange(1, 3).Draw(t, "revisions")) },
			"hold":   func(*rapid.T) { held, heldWant = l.state.View(), scanRead(l.state, 0, "n1") },
			"restore": func(t *rapid.T) {
				raw, err := l.state.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if l.state, err = Restore(raw); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				checks++
				for i, r := range readers() {
					if i%2 != checks%2 { // check each half of the readers in turn, as there are many schedules
						continue
					}
					checkReads(t, l.state, r, all[i].revision)
					complete, changes := *r, *all[i]
					complete.read(l.state)
					changes.held = maps.Clone(changes.held)
					changes.read(l.state)
					if !reflect.DeepEqual(complete.held, changes.held) {
						t.Fatalf("%q of %q, which reads changes since %d, holds %v, want %v", r.node, r.services, all[i].revision, changes.held, complete.held)
					}
				}
				if now := held.Read(0, "n1"); !reflect.DeepEqual(heldWant, now) {
					t.Fatalf("a view has changed: %s", gocmp.Diff(heldWant, now))
				}
				items := l.state.All()
				if !slices.IsSortedFunc(items, func(a, b fleet.Item) int { return strings.Compare(a.Key, b.Key) }) {
					t.Fatal("the items are not sorted by key")
				}
				for i, it := range items {
					if got, ok := l.state.Item(it.Key); !ok || !reflect.DeepEqual(it, got) || i > 0 && items[i-1].Key == it.Key {
						t.Fatalf("State.All has %+v, State.Item returns %+v", it, got)
					}
				}
			},
		})
	})
	if recreations == 0 {
		t.Error("no name was used again: the schedules cover too little")
	}
}

// checkReads compares the answers to a reader with those of a scan, from the revisions at the bounds of a read and from since.
func checkReads(t interface{ Fatalf(string, ...any) }, s *State, r *reader, since uint64) {
	for _, since := range []uint64{0, 1, s.Floor, s.Floor + 1, s.Revision - min(s.Revision, 3), s.Revision, s.Revision + 1, since} {
		want, got := scanRead(s, since, r.node, r.services...), s.Read(since, r.node, r.services...)
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("%q of %q since %d: %s", r.node, r.services, since, gocmp.Diff(want, got))
		}
		changes := since != s.Revision && (want.Full || len(want.Items) > 0)
		if got := s.View().HasChanges(since, r.node, r.services...); got != changes {
			t.Fatalf("%q of %q since %d: has changes %v, want %v", r.node, r.services, since, got, changes)
		}
	}
}

// TestTombstonesAreBounded checks that beyond maxTombstones the oldest tombstones are dropped first, and that a reader from before
// the last dropped tombstone gets every item.
func TestTombstonesAreBounded(t *testing.T) {
	l := recreatedTenant(t) // its first tombstone is dropped while the name is used in another service
	for i := range maxTombstones + maxTombstones/2 {
		name := fmt.Sprint("t", i%(maxTombstones+maxTombstones/4)) // the first names are put and removed twice
		if err := l.put(name, []string{"", "x", "y"}[i%3]); err != nil {
			t.Fatal(err)
		}
		if err := l.rollback(name); err != nil {
			t.Fatal(err)
		}
		if i%(maxTombstones/2) != 0 {
			continue
		}
		for _, r := range readers() {
			checkReads(t, l.state, r, l.state.Revision/2)
		}
	}
	if n := len(l.state.Tombstones); n != maxTombstones || l.state.Floor == 0 {
		t.Errorf("%d tombstones, floor %d", n, l.state.Floor)
	}
	if n := l.state.View().items.Len(); n > 2*maxTombstones {
		t.Errorf("%d entries are indexed for %d tombstones", n, maxTombstones)
	}
	if _, there := keysOf(l.state.Read(0, "n1"))["tenant/a"]; !there {
		t.Error("the tenant whose name is used again was removed together with the former tombstone")
	}
	if in := l.state.Read(l.state.Floor-1, "n1", "x"); !in.Full {
		t.Error("a reader from before the floor does not get every item")
	}
}
