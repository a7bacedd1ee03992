package drift

import (
	"slices"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/fleet"
)

// tell gives a module what is intended, as the node does: in the words of fleet.ZoneBody and fleet.TenantBody.
func tell(m *decide.Module, at decide.Time, in Intended, self fleet.Member) {
	b := book{}
	b.ingest(0, in)
	var list []decide.Server
	for i, s := range in.Servers {
		if s.Gone {
			continue
		}
		state := decide.Ready
		if s.Body.State == "draining" {
			state = decide.Draining
		}
		list = append(list, decide.Server{ID: decide.ServerID(i + 1), Name: s.ID, Zone: s.Body.Zone, Kind: s.Body.Kind, Cell: s.Body.Cell, Size: s.Body.Size, State: state})
	}
	m.Handle(at, decide.ListUpdate{Kind: decide.ListFull, Version: in.Revision, Entries: list})
	zones := map[string]bool{}
	for _, e := range b.zones {
		zones[e.zone] = true
	}
	for zone := range zones {
		told := decide.ZoneTold{Zone: zone, Revision: in.Revision, Intent: in.Revision, Serving: true}
		if d, rev := b.directive(zone, in.Revision, self); d != nil {
			h := fleet.ZoneBody(rev, *d, self.Node)
			told = decide.ZoneTold{Zone: zone, Revision: rev, Intent: in.Revision, Share: h.Share, Floor: h.Floor, Rate: h.Rate, Trial: h.Trial, Valid: time.Duration(h.ValidMS) * ms}
		}
		m.Handle(at, told)
	}
	for _, e := range b.tenants {
		v := e.last()
		told := decide.TenantTold{Name: e.key[len(fleet.KeyTenant):], Revision: v.rev, Gone: v.gone}
		if !v.gone {
			told.UID, told.Removing, told.QuotaGone = v.tenant.UID, v.tenant.Removing, v.tenant.QuotaGone
			if r := fleet.TenantBody(v.rev, *v.tenant).Committed; r != nil {
				told.Committed = &decide.TenantRules{Generation: r.Generation, Digest: r.Digest, Classes: r.Classes, Rate: r.Rate, Burst: r.Burst, ClassRates: r.ClassRates, RefuseElse: r.RefuseElse}
				for _, x := range r.Routes {
					told.Committed.Routes = append(told.Committed.Routes, decide.TenantRoute{Zone: x.Zone, Kind: x.Kind, ID: x.ID, Weight: x.Weight})
				}
			}
		}
		m.Handle(at, told)
	}
	if s := b.shares[self.Node].last().shares; s != nil {
		m.Handle(at, decide.ShareTold{Epoch: s.Epoch, Slots: s.Slots, Rates: s.Rates, Valid: time.Hour})
	}
}

// What a real module holds after it was told is what is expected of it, fact by fact; and a module that missed
// the last telling differs in just that.
func TestModuleHoldsWhatIsExpected(t *testing.T) {
	c, self := seed(1), fleet.Member{Node: "n000", Zone: "z1", Incarnation: 1}
	c.put("zone/z3", fleet.Directive{Phase: fleet.Returning, Share: 0.4, Floor: 0.1, Budget: 30, Slots: 7, ValidMS: 5000})
	spec := fleet.Spec{Name: "t9", Namespace: fleet.Namespace{Classes: []string{"read"}}, Fallback: "refuse",
		Quota: fleet.Quota{Rate: 50, Burst: 10, Classes: map[string]float64{"read": 20}}, Routes: []fleet.Route{{Zone: "z1", Weight: 2}, {ID: "s*", Weight: 1}}}
	c.put("tenant/t9", fleet.Tenant{UID: c.in.Revision + 1, Committed: &fleet.Generation{Number: 3, Digest: "0a", Spec: spec}})
	m := decide.New(decide.Settings{Nodes: 1, Zone: "z1", Zones: []string{"z1", "z2", "z3"}, Fleet: true, MaxAttempts: 3, MaxOpen: 100,
		Classes: []decide.Class{{Name: "read", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: decide.Safe}}}, 1)
	tell(m, time.Second, c.in, self)
	check := func(want ...string) {
		t.Helper()
		var held []fleet.Held
		for _, f := range m.Holds() {
			if h := hold(f.Key, f.Value); !isLocal(f.Key) {
				held = append(held, h)
			}
		}
		expected, err := Expect(c.in, self)
		keys, _ := Diff(NewTree(expected), NewTree(held))
		if err != nil || len(keys) != len(want) || len(want) > 0 && keys[0] != want[0] {
			for _, k := range keys {
				t.Errorf("%+v", Differences(k, bodyOf(expected, k), bodyOf(held, k)))
			}
			t.Fatalf("%v, %v, want %v", keys, err, want)
		}
	}
	check()
	c.drop("zone/z2")
	c.drop("tenant/t2")
	c.serve("s4", "gone")
	c.serve("s5", "draining")
	check("server/s4", "server/s5", "tenant/t2", "zone/z2")
	tell(m, 2*time.Second, c.in, self)
	check()
	for epoch, rates := range []map[string]float64{{"t0": 2}, {}, nil} {
		c.put("share/n000", fleet.Shares{Epoch: uint64(epoch + 2), Slots: 3, Rates: rates})
		check("share")
		tell(m, 3*time.Second, c.in, self)
		check()
	}
	c.put("share/n000", fleet.Shares{Epoch: 9, Slots: 3, Rates: map[string]float64{"t0": 2}})
	tell(m, 3*time.Second, c.in, self)
	check()
	c.drop("share/n000")
	check("share")
	m.Handle(3*time.Second, decide.ShareTold{Epoch: 9, Slots: 3}) // as internal/node tells a share that is gone
	check()
	at := slices.IndexFunc(m.Holds(), func(f decide.Fact) bool { return f.Key == fleet.KeySettings })
	got, want := hold("settings", m.Holds()[at].Value), hold("settings", fleet.HeldSettings{Nodes: 1, MaxAttempts: 3, MaxOpen: 100,
		Classes: []fleet.HeldClass{{Name: "read", Worth: 1, AimMS: 1000, DeadlineMS: 2000, Effect: 2}}})
	must(t, got.Digest == want.Digest, "settings %s, want %s", got.Body, want.Body)
}
