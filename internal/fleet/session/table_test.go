package session

import (
	"errors"
	"strings"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/statetable"
)

// event is an event at one node's name: a report of a run, or the lapse of a run.
type event struct {
	lapse       bool
	leaving     bool
	full        bool
	otherScope  bool // the report names services, and the run that is present named none
	incarnation uint64
}

// name returns the event and condition as the page's table names them, given the state before the event.
func (e event) name(s *State) (event, condition string) {
	_, present := s.Members["n"]
	newest, known := s.NewestRuns["n"]
	switch older := known && e.incarnation < newest.Incarnation; {
	case e.lapse && older:
		return "lapse", "of an incarnation that has a successor"
	case e.lapse:
		return "lapse", "lease over by the leader's clock"
	case present && older:
		return "report", "smaller incarnation"
	case older:
		return "report", "incarnation below the highest seen"
	case newest.Ended && e.incarnation == newest.Incarnation:
		return "report", "the highest seen, which left"
	case present && e.incarnation > newest.Incarnation && e.leaving:
		return "report", "larger incarnation, leaving"
	case e.leaving:
		return "report", "leaving"
	case present && e.incarnation == newest.Incarnation && e.otherScope:
		return "report", "same incarnation, another scope"
	case present && e.incarnation == newest.Incarnation:
		return "report", "same incarnation"
	case present:
		return "report", "larger incarnation"
	case e.full:
		return "report", "every slot is taken"
	case known && e.incarnation == newest.Incarnation:
		return "report", "the highest seen, which lapsed"
	}
	return "report", "incarnation above the highest seen"
}

// apply applies the event as the control plane does and returns the effect as the page names it.
func (e event) apply(t *testing.T, s *State) string {
	m := fleet.Member{Node: "n", Zone: "z", Incarnation: e.incarnation}
	c := Command{Operation: Join, Member: m, Slots: 3}
	if e.full {
		c.Slots = 1 // the node "other" holds the only slot
	}
	if e.otherScope {
		c.Services = []string{"billing"}
	}
	if e.leaving {
		c.Operation = Leave
	}
	if e.lapse {
		c.Operation = Expire
	}
	epoch, previous, wasPresent := s.Epoch, s.Members["n"], s.Present(m)
	changed, err := s.Apply(c)
	switch {
	case errors.Is(err, fleet.ErrFenced):
		return "refused: older incarnation"
	case errors.Is(err, ErrNoSlot):
		return "refused: no slot is free"
	case errors.Is(err, fleet.ErrInvalid):
		return "refused: invalid"
	case err != nil:
		t.Fatal(err)
	case changed && s.Epoch != epoch+1:
		t.Fatalf("epoch %d after %d", s.Epoch, epoch)
	case changed && c.Operation == Join && previous.Incarnation != 0:
		return "the old one ends, the new one joins; epoch + 1"
	case changed && c.Operation == Join:
		return "join; epoch + 1"
	case changed:
		return "epoch + 1"
	case c.Operation == Join && wasPresent && NewLeases(0, ttl).Renew(0, m) == nil:
		return "lease renewed"
	}
	return ""
}

// TestSessionsTable checks that every event in every state has a row in the page's table with the same next state and effect, and that
// every row is covered.
func TestSessionsTable(t *testing.T) {
	rows, err := statetable.Table("../../../docs/fleet.md", "Sessions")
	if err != nil {
		t.Fatal(err)
	}
	covered := map[int]bool{}
	other := Command{Operation: Join, Member: fleet.Member{Node: "other", Zone: "z", Incarnation: 1}}
	run := func(inc uint64, op string) Command {
		return Command{Operation: op, Member: fleet.Member{Node: "n", Zone: "z", Incarnation: inc}}
	}
	for _, before := range [][]Command{{}, {run(5, Join)}, {run(5, Join), run(5, Expire)}, {run(5, Join), run(5, Leave)}} {
		for bits := range 16 {
			for inc := uint64(4); inc <= 6; inc++ {
				e := event{lapse: bits&1 != 0, leaving: bits&2 != 0, full: bits&4 != 0, otherScope: bits&8 != 0, incarnation: inc}
				var s State
				for _, c := range append([]Command{other}, before...) {
					if _, err := s.Apply(c); err != nil {
						t.Fatal(err)
					}
				}
				if e.lapse && (e.leaving || e.full || s.Members["n"].Incarnation < inc) {
					continue // the leader holds no lease of that run
				}
				state := func() string {
					if _, ok := s.Members["n"]; ok {
						return "present"
					}
					return "absent"
				}
				from := state()
				ev, cond := e.name(&s)
				effect := e.apply(t, &s)
				found := false
				for _, r := range rows {
					if r.State == from && r.Event == ev && r.Condition == cond {
						found, covered[r.Line] = true, true
						if r.Next != state() || strings.ReplaceAll(r.Effect, "`", "") != effect {
							t.Errorf("%s: the core goes to %s with effect %q; the page has %q", r, state(), effect, r.Effect)
						}
					}
				}
				if !found {
					t.Errorf("no row for %s | %s | %s -> %s, %q", from, ev, cond, state(), effect)
				}
			}
		}
	}
	for _, r := range rows {
		if !covered[r.Line] {
			t.Errorf("no event covers the row %s", r)
		}
	}
}
