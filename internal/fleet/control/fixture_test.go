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

// testFleet simulates a fleet in one process: nodes that hold what they last read, one leader, and its own clock.
type testFleet struct {
	set        Settings
	state      *State
	controller *Controller
	now        fleet.Time
	rev        uint64
	nodes      []*node
}

type node struct {
	fleet.Member
	services []string // its scope
	seq      uint64
	revision uint64
	held     map[string]fleet.Item
	serves   map[string]uint64 // committed generations that it serves, by tenant
}

func newTestFleet(t interface{ Fatal(...any) }, n int) *testFleet {
	set, err := ParseSettings(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{set: set, state: New()}
	f.controller = NewController(set, 0, f.state)
	for i := range n {
		f.nodes = append(f.nodes, &node{})
		f.startRun(i)
	}
	return f
}

// startRun starts a new run of a node, with these services as its scope.
func (f *testFleet) startRun(i int, services ...string) {
	f.rev++ // incarnations only have to increase
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

// read makes the node read the newest intent.
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

// inScope reports whether an item is in the node's scope.
func (n *node) inScope(it fleet.Item) bool {
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

// deliver delivers a report to the leader, applies the command that the leader requires first, and returns the answer.
func (f *testFleet) deliver(rep fleet.Report) (fleet.ReportAnswer, error) {
	c, _, err := f.controller.Admit(f.state, rep)
	if err != nil {
		return fleet.ReportAnswer{}, err
	}
	if c != nil {
		if err := f.apply(*c); err != nil && !errors.Is(err, session.ErrNoSlot) {
			return fleet.ReportAnswer{}, err
		}
	}
	return f.controller.Report(f.now, f.now, f.state, rep)
}

// step advances the clock, runs a step of the controller and applies its commands.
func (f *testFleet) step(d time.Duration) {
	f.now += d
	for _, c := range f.controller.Step(f.now, f.state, nil) {
		f.apply(c)
		f.controller.Resolved(c)
	}
}

// testStep is the time between two steps of the controller in these tests.
const testStep = 100 * time.Millisecond

// newScopedFleet returns a fleet with one present node for each scope, in order.
func newScopedFleet(t *testing.T, scopes ...[]string) *testFleet {
	t.Helper()
	f := newTestFleet(t, len(scopes))
	for i, services := range scopes {
		f.startRun(i, services...)
	}
	f.runRound(t, f.nodes...)
	return f
}

// decisions makes nodes read and report, runs a step of the controller and returns its commands without applying them.
func (f *testFleet) decisions(t *testing.T, nodes ...*node) []Command {
	t.Helper()
	for _, n := range nodes {
		n.read(f.state)
		if _, err := f.deliver(n.report()); err != nil {
			t.Fatalf("%s: %v", n.Node, err)
		}
	}
	f.now += testStep
	return f.controller.Step(f.now, f.state, nil)
}

// runRound makes nodes read and report, runs a step of the controller and applies its commands.
func (f *testFleet) runRound(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, c := range f.decisions(t, nodes...) {
		f.apply(c)
		f.controller.Resolved(c)
	}
}

// runUntil runs rounds until done returns true, and returns the time that this took; it fails the test after a minute.
func (f *testFleet) runUntil(t *testing.T, what string, done func() bool, nodes ...*node) time.Duration {
	t.Helper()
	for began := f.now; ; f.runRound(t, nodes...) {
		if done() {
			return f.now - began
		}
		if f.now-began > time.Minute {
			t.Fatalf("not %s after a minute", what)
		}
	}
}

func (f *testFleet) settled(name string) func() bool {
	return func() bool { return f.state.Tenants.Phase(name) == tenants.PhaseSettled }
}

// mustPut proposes the next generation of a tenant in a service.
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

// runUntilDecided runs rounds until the controller decides an operation on a tenant, and returns that command without applying it.
func (f *testFleet) runUntilDecided(t *testing.T, op string, nodes ...*node) Command {
	t.Helper()
	for range 100 {
		for _, c := range f.decisions(t, nodes...) {
			if c.Tenants != nil && c.Tenants.Operation == op {
				return c
			}
			f.apply(c)
			f.controller.Resolved(c)
		}
	}
	t.Fatalf("the controller has not decided a %s command", op)
	return Command{}
}

// leased returns the rate that a node's run is leased of a tenant's quota.
func (f *testFleet) leased(node, tenant string) float64 {
	if lease := f.state.Tenants.Runs[node]; lease != nil {
		return lease.Rates[tenant]
	}
	return 0
}
