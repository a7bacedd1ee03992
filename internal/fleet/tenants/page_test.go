package tenants

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/statetable"
)

// fixture is a state with two present nodes that report as the test sets, and a tenant of service, which may be empty. If
// service is not empty, the two nodes serve it, and a third node serves another service and never reports.
type fixture struct {
	state      *State
	controller *Controller
	rev        uint64
	service    string
	sessions   session.State
	reporting  []fleet.Member // the nodes that report
	now        fleet.Time
	sequence   uint64
}

func newFixture(service string) *fixture {
	f := &fixture{state: &State{}, controller: NewController(Config{Slots: 3, TTL: 6 * time.Second}), service: service,
		reporting: []fleet.Member{{Node: "n1", Zone: "z", Incarnation: 1}, {Node: "n2", Zone: "z", Incarnation: 2}}}
	if service != "" {
		f.join("n0", "other")
	}
	for _, m := range f.reporting {
		f.session(session.Command{Operation: session.Join, Member: m, Services: f.scope()})
	}
	return f
}

// scope returns the scope of the nodes that report.
func (f *fixture) scope() []string {
	if f.service == "" {
		return nil
	}
	return []string{f.service}
}

func (f *fixture) session(c session.Command) {
	if changed, err := f.sessions.Apply(c); !changed || err != nil {
		panic(fmt.Sprintf("%+v: changed %v, %v", c, changed, err))
	}
}

// join adds a present node with these services.
func (f *fixture) join(node string, services ...string) {
	f.session(session.Command{Operation: session.Join, Member: fleet.Member{Node: node, Zone: "z", Incarnation: 1}, Services: services})
}

func (f *fixture) present() Present {
	return Present{Epoch: f.sessions.ScopeEpoch, Members: f.sessions.List(), Services: f.sessions.ServicesByNode()}
}

func (f *fixture) apply(c Command) error {
	_, err := f.state.Apply(c, f.sessions.ScopeEpoch, func() uint64 { f.rev++; return f.rev })
	return err
}

func (f *fixture) put(rate float64, at uint64) error {
	spec := fleet.Spec{Name: "lulu", Service: f.service, Quota: fleet.Quota{Rate: rate}}
	return f.apply(Command{Operation: Put, Name: "lulu", Generation: at, Spec: &spec})
}

func (f *fixture) committed() uint64 {
	if e := f.state.Tenants["lulu"]; e != nil && e.Committed != nil {
		return e.Committed.Number
	}
	return 0
}

// report makes the nodes report that they hold everything that is intended. change may modify a node's report.
func (f *fixture) report(change func(node string, a *fleet.TenantAck)) {
	f.sequence++
	for _, m := range f.reporting {
		r := fleet.Report{Member: m, Services: f.scope(), Sequence: f.sequence, Revision: f.rev}
		for name, e := range f.state.Tenants {
			a := fleet.TenantAck{Name: name, UID: e.UID}
			if e.Committed != nil {
				a.Committed, a.Digest = e.Committed.Number, e.Committed.Digest
			}
			if e.Staged != nil {
				a.Staged, a.Digest = e.Staged.Number, e.Staged.Digest
			}
			if change != nil {
				change(m.Node, &a)
			}
			r.Tenants = append(r.Tenants, a)
		}
		f.controller.Observe(f.now, fleet.NodeView{Member: m, ReceivedAt: f.now, Report: r})
	}
}

// step applies the commands of one step of the controller, divisions only if divide is set. It returns the joined errors of
// the commands.
func (f *fixture) step(divide bool) (err error) {
	for _, c := range f.controller.Step(f.now, f.state, f.present()) {
		if c.Operation != Divide || divide {
			err = errors.Join(err, f.apply(c))
		}
	}
	return err
}

// stepAfterChange does a step of the controller, but applies its first command only after change.
func (f *fixture) stepAfterChange(change func()) error {
	f.report(nil)
	commands := f.controller.Step(f.now, f.state, f.present())
	change()
	return f.apply(commands[0])
}

// bringTo brings the tenant into a phase. If committedBefore is set, a generation was committed before.
func (f *fixture) bringTo(t *testing.T, phase string, committedBefore bool) {
	t.Helper()
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	advance := func() { f.report(nil); must(f.step(false)) }
	if phase != PhaseNone && (committedBefore || phase != PhaseStaging) {
		must(f.put(100, 0))
		advance()
		if phase != PhaseApplying {
			advance()
		}
	}
	switch phase {
	case PhaseStaging:
		must(f.put(50, f.committed()))
	case PhaseRemoving, PhaseQuotaWithdrawn:
		must(f.apply(Command{Operation: Delete, Name: "lulu", Generation: 1}))
		if phase == PhaseQuotaWithdrawn {
			advance()
		}
	}
	if got := f.state.Phase("lulu"); got != phase {
		t.Fatalf("set up phase %s, want %s", got, phase)
	}
}

// pageEvents are the events of the page's table, by event and condition; for put and delete an empty condition means the
// present generation.
var pageEvents = map[string]func(f *fixture) error{
	"put/":                              func(f *fixture) error { return f.put(60, f.committed()) },
	"put/valid, generation 0":           func(f *fixture) error { return f.put(60, 0) },
	"put/valid, the present generation": func(f *fixture) error { return f.put(60, f.committed()) },
	"put/valid, another generation":     func(f *fixture) error { return f.put(60, 7) },
	"put/invalid":                       func(f *fixture) error { return f.put(-1, f.committed()) },
	"put/another service": func(f *fixture) error {
		spec := fleet.Spec{Name: "lulu", Service: f.service + "2", Quota: fleet.Quota{Rate: 60}}
		err := f.apply(Command{Operation: Put, Name: "lulu", Generation: f.committed(), Spec: &spec})
		if field := (*FieldError)(nil); !errors.As(err, &field) || field.Field != "service" {
			return fmt.Errorf("%w, want an error about the field service", err)
		}
		return err
	},
	"delete/": func(f *fixture) error {
		return f.apply(Command{Operation: Delete, Name: "lulu", Generation: f.committed()})
	},
	"delete/the present generation": func(f *fixture) error {
		return f.apply(Command{Operation: Delete, Name: "lulu", Generation: 1})
	},
	"delete/another generation": func(f *fixture) error {
		return f.apply(Command{Operation: Delete, Name: "lulu", Generation: 9})
	},
	"*/by all present nodes, same epoch":        func(f *fixture) error { f.report(nil); return f.step(false) },
	"drained/no present node has requests open": func(f *fixture) error { f.report(nil); return f.step(false) },
	"drained/a present node has requests open": func(f *fixture) error {
		f.report(func(n string, a *fleet.TenantAck) { a.Open = len(n) })
		return f.step(false)
	},
	"*/not by all present nodes": func(f *fixture) error {
		f.report(nil)
		f.controller.reports["n2"].Report.Revision--
		return f.step(false)
	},
	"*/the epoch has changed":      func(f *fixture) error { return f.stepAfterChange(func() { f.join("n3") }) },
	"*/a join inside of the scope": func(f *fixture) error { return f.stepAfterChange(func() { f.join("n3", f.scope()...) }) },
	"*/a join or a leave outside of the scope": func(f *fixture) error {
		return f.stepAfterChange(func() {
			f.join("n3", "another", "other")
			f.session(session.Command{Operation: session.Leave, Member: f.sessions.Members["n0"]})
		})
	},
	"staged/leases over the smaller quota may still be held": func(f *fixture) error {
		f.state.Slots, f.state.Runs = 3, map[string]*Lease{"n1": {Incarnation: 1, MaxRates: map[string]float64{"lulu": 70}}}
		f.report(nil)
		if cs := f.controller.Step(f.now, f.state, f.present()); slices.ContainsFunc(cs, func(c Command) bool { return c.Operation == Commit }) {
			return errors.New("the controller commits")
		}
		e := f.state.Tenants["lulu"]
		return f.apply(Command{Operation: Commit, Name: "lulu", UID: e.UID, IfRevision: e.Revision, Generation: e.Staged.Number,
			Epoch: f.sessions.ScopeEpoch(f.service), Scoped: f.service != ""})
	},
	"refused/by one present node": func(f *fixture) error {
		f.report(func(n string, a *fleet.TenantAck) {
			if n == "n2" {
				a.RejectReason = "routes[0]: matches no server"
			}
		})
		return f.step(false)
	},
	"timeout/a present node has not staged within 10 s": func(f *fixture) error {
		f.report(func(n string, a *fleet.TenantAck) {
			if n == "n2" {
				a.Digest = "0"
			}
		})
		err := f.step(false)
		f.now += StageTimeout
		return errors.Join(err, f.step(false))
	},
	"timeout/a present node has not applied within 10 s": func(f *fixture) error {
		f.report(func(n string, a *fleet.TenantAck) {
			if n == "n2" {
				a.Committed = 0
			}
		})
		err := f.step(false)
		early := f.controller.Late(f.now+ApplyTimeout-1, f.state, f.present())
		f.now += ApplyTimeout
		if late := f.controller.Late(f.now, f.state, f.present()); len(early) > 0 || !slices.Equal(late, []LateNode{{"n2", "lulu", 1, 0}}) {
			return fmt.Errorf("late: %v, before %v", late, early)
		}
		if st, _ := f.controller.Status(f.now, f.state, "lulu", f.present()); len(st) != 2 || st[1].Reason != reasonLate || st[0].Reason != "" {
			return fmt.Errorf("status: %+v", st)
		}
		return errors.Join(err, f.step(false))
	},
}

func TestPageTable(t *testing.T) {
	rows, err := statetable.Table("../../../docs/fleet.md", "Tenants")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		t.Run(r.String(), func(t *testing.T) {
			runRow(t, r, "retail")
			if !strings.Contains(r.Condition, "the scope") {
				runRow(t, r, "")
			}
		})
	}
	t.Run("every transition is in a row", func(t *testing.T) {
		checkEveryTransition(t, rows, "")
		checkEveryTransition(t, rows, "retail")
	})
}

// runRow brings a tenant of a service into the row's state, runs the row's event, and checks the next state and the effect.
func runRow(t *testing.T, r statetable.Row, service string) {
	t.Helper()
	f := newFixture(service)
	cond, neverCommitted := strings.CutSuffix(r.Condition, ", never committed")
	cond, _ = strings.CutSuffix(cond, ", committed before")
	f.bringTo(t, r.State, !neverCommitted)
	runEvent := pageEvents[r.Event+"/"+cond]
	if runEvent == nil {
		runEvent = pageEvents["*/"+cond]
	}
	if runEvent == nil {
		t.Fatalf("no test event for %q with condition %q", r.Event, r.Condition)
	}
	before := f.rev
	err := runEvent(f)
	if got := f.state.Phase("lulu"); got != r.Next {
		t.Errorf("next phase %s, want %s (%v)", got, r.Next, err)
	}
	f.effect(t, r.Effect, err, before)
}

func (f *fixture) effect(t *testing.T, effect string, err error, before uint64) {
	want, rejected := strings.CutPrefix(effect, "refused: ")
	kinds := map[string]error{"conflict": fleet.ErrConflict, "not found": fleet.ErrNotFound, "names": fleet.ErrInvalid, "stale": ErrStale}
	if !rejected {
		if err != nil {
			t.Errorf("error %v", err)
		}
	} else {
		matched := false
		for prefix, kind := range kinds {
			if strings.HasPrefix(want, prefix) {
				matched = errors.Is(err, kind)
			}
		}
		if _, named, _ := strings.Cut(want, ", "); !matched || !strings.Contains(err.Error(), named) && named != "" || f.rev != before {
			t.Errorf("error %v at revision %d, was %d; want %s", err, f.rev, before, effect)
		}
	}
	e := f.state.Tenants["lulu"]
	_, lookupErr := f.state.Tenant("lulu")
	effects := map[string]func() bool{
		"uid made":   func() bool { return e.UID == f.rev && e.Staged.Number == 1 },
		"staged + 1": func() bool { return e.Staged.Number == e.Committed.Number+1 },
		"no new":     func() bool { return e.Removing },
		"committed":  func() bool { return e.Committed != nil && e.Staged == nil },
		"rolled back, node": func() bool {
			return e.Staged == nil && e.Committed.Number == 1 && strings.Contains(e.RolledBack, "node n2: ")
		},
		"rolled back, the": func() bool { return strings.Contains(lookupErr.Error(), "node n2: ") },
		"quota and routes": func() bool { return e.QuotaWithdrawn },
		"namespace": func() bool {
			old := f.state.Tombstones[0].UID
			return f.put(60, 0) == nil && f.state.Tenants["lulu"].UID > old && f.state.Tenants["lulu"].Committed == nil
		},
	}
	for prefix, holds := range effects {
		if strings.HasPrefix(effect, prefix) && !holds() {
			t.Errorf("effect %q does not hold: %+v, %v", effect, e, lookupErr)
		}
	}
}

// checkEveryTransition applies every command in every phase. Each change of the phase must have a row in the page's table.
func checkEveryTransition(t *testing.T, rows []statetable.Row, service string) {
	events := map[string][]string{Put: {"put"}, Delete: {"delete"}, Commit: {"staged"}, Rollback: {"refused", "timeout"},
		Applied: {"applied"}, Drained: {"drained"}, QuotaWithdrawn: {"applied"}, Divide: nil}
	for _, phase := range []string{PhaseNone, PhaseSettled, PhaseStaging, PhaseApplying, PhaseRemoving, PhaseQuotaWithdrawn} {
		for _, committedBefore := range []bool{false, true} {
			for op := range events {
				f := newFixture(service)
				f.bringTo(t, phase, committedBefore)
				c := Command{Operation: op, Name: "lulu", Generation: f.committed(), Epoch: f.sessions.ScopeEpoch(service), Scoped: service != "",
					Node: "n1", Reason: "r", Spec: &fleet.Spec{Name: "lulu", Service: service, Quota: fleet.Quota{Rate: 3}}, Division: &Division{Slots: 3}}
				if e := f.state.Tenants["lulu"]; e != nil {
					c.UID, c.IfRevision = e.UID, e.Revision
					if e.Staged != nil && op != Put && op != Delete {
						c.Generation = e.Staged.Number
					}
				}
				f.apply(c)
				next := f.state.Phase("lulu")
				for _, event := range events[op] {
					if next != phase && !slices.ContainsFunc(rows, func(r statetable.Row) bool {
						return r.State == phase && r.Event == event && r.Next == next
					}) {
						t.Errorf("%s | %s -> %s is in no row", phase, event, next)
					}
				}
				if next != phase && len(events[op]) == 0 {
					t.Errorf("%s changes phase %s to %s", op, phase, next)
				}
			}
		}
	}
}
