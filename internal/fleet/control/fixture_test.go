package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
)

// testFleet is a fleet in one process: nodes that hold what they last read, one leader, and a clock of its own.
type testFleet struct {
	set   Settings
	state *State
	judge *Controller
	now   fleet.Time
	rev   uint64
	nodes []*node
}

type node struct {
	fleet.Member
	services []string // its scope
	seq      uint64
	revision uint64
	held     map[string]fleet.Item
	serves   map[string]uint64 // committed generation by tenant
}

func newTestFleet(t interface{ Fatal(...any) }, n int) *testFleet {
	set, err := ParseSettings(fileText)
	if err != nil {
		t.Fatal(err)
	}
	r := &testFleet{set: set, state: New()}
	r.judge = NewController(set, 0, r.state)
	for i := range n {
		r.nodes = append(r.nodes, &node{})
		r.boot(i)
	}
	return r
}

// boot starts a run of a node, with these services for its scope.
func (f *testFleet) boot(i int, services ...string) {
	f.rev++ // incarnations only have to rise
	*f.nodes[i] = node{Member: fleet.Member{Node: fmt.Sprint("n", i), Zone: "z" + string(rune('a'+i%3)), Incarnation: f.rev}, services: services,
		held: map[string]fleet.Item{}, serves: map[string]uint64{}}
}

func (f *testFleet) apply(c Command) error {
	_, err := f.state.Apply(c, func() uint64 { f.rev++; return f.rev })
	return err
}

func (f *testFleet) put(name string, generation uint64, rate float64) error {
	return f.putIn("", name, generation, rate)
}

func (f *testFleet) putIn(service, name string, generation uint64, rate float64) error {
	return f.apply(Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: name, Generation: generation,
		Spec: &fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: rate, Burst: 1}}}})
}

// read has a node take the newest intent.
func (n *node) read(s *State) {
	in := s.Read(n.revision, n.Node, n.services...)
	if in.Full {
		n.held = map[string]fleet.Item{}
	}
	for _, it := range in.Items {
		if it.Removed {
			delete(n.held, it.Key)
		} else {
			n.held[it.Key] = it
		}
	}
	n.revision = in.Revision
	n.serves = map[string]uint64{}
	for key, it := range n.held {
		if t, ok := n.tenant(key, it); ok && t.Committed != nil && !t.Removing {
			n.serves[strings.TrimPrefix(key, "tenant/")] = t.Committed.Number
		}
	}
}

// keeps reports whether an item is in the node's scope.
func (n *node) keeps(it fleet.Item) bool {
	t, ok := n.tenant(it.Key, it)
	return !ok || fleet.Serves(n.services, t.Service())
}

func (n *node) tenant(key string, it fleet.Item) (t fleet.Tenant, ok bool) {
	if !strings.HasPrefix(key, "tenant/") {
		return t, false
	}
	return t, json.Unmarshal(it.Body, &t) == nil
}

func (n *node) report() fleet.Report {
	n.seq++
	rep := fleet.Report{Member: n.Member, Services: n.services, Sequence: n.seq, Revision: n.revision, Ready: true, WindowMS: 100}
	for key, it := range n.held {
		if t, ok := n.tenant(key, it); ok {
			a := fleet.TenantAck{Name: strings.TrimPrefix(key, "tenant/"), UID: t.UID}
			if t.Committed != nil {
				a.Committed, a.Digest = t.Committed.Number, t.Committed.Digest
			}
			if t.Staged != nil {
				a.Staged, a.Digest = t.Staged.Number, t.Staged.Digest
			}
			rep.Tenants = append(rep.Tenants, a)
		}
	}
	return rep
}

// hear brings a report to the leader.
func (f *testFleet) hear(rep fleet.Report) (fleet.ReportAnswer, error) {
	c, _, err := f.judge.Admit(f.state, rep)
	if err != nil {
		return fleet.ReportAnswer{}, err
	}
	if c != nil {
		if err := f.apply(*c); err != nil && !errors.Is(err, session.ErrNoSlot) {
			return fleet.ReportAnswer{}, err
		}
	}
	return f.judge.Report(f.now, f.now, f.state, rep)
}

// step has the leader decide, and its commands applied.
func (f *testFleet) step(d time.Duration) {
	f.now += d
	for _, c := range f.judge.Step(f.now, f.state, nil) {
		f.apply(c)
		f.judge.Resolved(c)
	}
}

// testStep is the time between two looks of the controller in these tests.
const testStep = 100 * time.Millisecond

// newScopedFleet has a node present for each scope, in order.
func newScopedFleet(t *testing.T, scopes ...[]string) *testFleet {
	t.Helper()
	f := newTestFleet(t, len(scopes))
	for i, services := range scopes {
		f.boot(i, services...)
	}
	f.turn(t, f.nodes...)
	return f
}

// evaluated has nodes read and report, and returns the controller's commands without applying them.
func (f *testFleet) judged(t *testing.T, nodes ...*node) []Command {
	t.Helper()
	for _, n := range nodes {
		n.read(f.state)
		if _, err := f.hear(n.report()); err != nil {
			t.Fatalf("%s: %v", n.Node, err)
		}
	}
	f.now += testStep
	return f.judge.Step(f.now, f.state, nil)
}

// turn has nodes read and report, and the controller's commands applied.
func (f *testFleet) turn(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, c := range f.judged(t, nodes...) {
		f.apply(c)
		f.judge.Resolved(c)
	}
}

// until takes turns until done, and gives how long that took; it fails after a minute.
func (f *testFleet) until(t *testing.T, what string, done func() bool, nodes ...*node) time.Duration {
	t.Helper()
	for began := f.now; ; f.turn(t, nodes...) {
		if done() {
			return f.now - began
		}
		if f.now-began > time.Minute {
			t.Fatalf("after a minute not %s", what)
		}
	}
}

func (f *testFleet) settled(name string) func() bool {
	return func() bool { return f.state.Tenants.Phase(name) == tenants.PhaseSettled }
}

// mustPut proposes the next generation of a tenant of a service.
func (f *testFleet) mustPut(t *testing.T, service, name string, rate float64) {
	t.Helper()
	generation := uint64(0)
	if e := f.state.Tenants.Tenants[name]; e != nil && e.Committed != nil {
		generation = e.Committed.Number
	}
	if err := f.putIn(service, name, generation, rate); err != nil {
		t.Fatal(err)
	}
}

func (f *testFleet) mustDelete(t *testing.T, name string) {
	t.Helper()
	generation := f.state.Tenants.Tenants[name].Committed.Number
	if err := f.apply(Command{Tenants: &tenants.Command{Operation: tenants.Delete, Name: name, Generation: generation}}); err != nil {
		t.Fatal(err)
	}
}

// untilDecided takes turns until the controller gives an op of a tenant, and gives that command, which is not applied.
func (f *testFleet) untilDecided(t *testing.T, op string, nodes ...*node) Command {
	t.Helper()
	for range 100 {
		for _, c := range f.judged(t, nodes...) {
			if c.Tenants != nil && c.Tenants.Operation == op {
				return c
			}
			f.apply(c)
			f.judge.Resolved(c)
		}
	}
	t.Fatalf("no %s is decided", op)
	return Command{}
}

// leased is what a node's run is leased of a tenant.
func (f *testFleet) leased(node, tenant string) float64 {
	if lease := f.state.Tenants.Runs[node]; lease != nil {
		return lease.Rates[tenant]
	}
	return 0
}
