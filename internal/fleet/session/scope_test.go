package session

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
)

func member(node string, incarnation uint64) fleet.Member {
	return fleet.Member{Node: node, Zone: "z", Incarnation: incarnation}
}

func mustApply(t *testing.T, s *State, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		if changed, err := s.Apply(c); !changed || err != nil {
			t.Fatalf("%+v: changed %v, %v", c, changed, err)
		}
	}
}

// TestScopeEpoch checks that a scope's epoch moves with changes of the members that serve the scope, including those without a scope,
// and with no others.
func TestScopeEpoch(t *testing.T) {
	var s State
	steps := []struct {
		c       Command
		billing uint64
		search  uint64
	}{
		{Command{Operation: Join, Member: member("a", 1)}, 1, 1},
		{Command{Operation: Join, Member: member("b", 1), Services: []string{"billing"}}, 2, 1},
		{Command{Operation: Join, Member: member("c", 1), Services: []string{"search"}}, 2, 3},
		{Command{Operation: Leave, Member: member("c", 1)}, 2, 4},
		{Command{Operation: Join, Member: member("d", 1), Services: []string{"billing", "search"}}, 5, 5},
		{Command{Operation: Join, Member: member("b", 2), Services: []string{"search"}}, 6, 6}, // the node leaves one scope and joins another
		{Command{Operation: Expire, Member: member("b", 2)}, 6, 7},
		{Command{Operation: Expire, Member: member("a", 1)}, 8, 8},
		{Command{Operation: Join, Member: member("e", 1), Services: []string{"mail"}}, 8, 8},
	}
	for i, step := range steps {
		mustApply(t, &s, step.c)
		if b, c, all := s.ScopeEpoch("billing"), s.ScopeEpoch("search"), s.ScopeEpoch(""); b != step.billing || c != step.search || all != uint64(i+1) {
			t.Errorf("step %d: epochs %d, %d and %d, want %d, %d and %d", i, b, c, all, step.billing, step.search, i+1)
		}
	}
	want := map[string][]string{"d": {"billing", "search"}, "e": {"mail"}}
	if got := s.ServicesByNode(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("scopes %v, want %v", got, want)
	}
}

// TestScopeEpochOverRandomChanges checks over random sequences of commands and snapshots that the epoch of every scope equals a
// reference that is kept from the changes of its members: it never goes back, and moves whenever the present members of the scope
// change.
func TestScopeEpochOverRandomChanges(t *testing.T) {
	names := []string{"billing", "mail", "search"}
	rapid.Check(t, func(t *rapid.T) {
		var s State
		want := map[string]uint64{}
		incarnation := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				node := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
				c := Command{Operation: rapid.SampledFrom([]string{Join, Leave, Expire}).Draw(t, "op"), Member: s.Members[node]}
				if c.Operation == Join {
					incarnation++
					c.Member = member(node, incarnation)
					for _, name := range names {
						if rapid.Bool().Draw(t, name) {
							c.Services = append(c.Services, name)
						}
					}
				}
				_, was := s.Members[node]
				before := s.Services(node)
				changed, err := s.Apply(c)
				if !changed || err != nil {
					return
				}
				for _, name := range names {
					if was && fleet.Serves(before, name) || c.Operation == Join && fleet.Serves(c.Services, name) {
						want[name] = s.Epoch
					}
				}
			},
			"snapshot": func(t *rapid.T) {
				raw, _ := json.Marshal(s)
				s = State{}
				if err := json.Unmarshal(raw, &s); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for _, name := range names {
					if got := s.ScopeEpoch(name); got != want[name] {
						t.Fatalf("%s: epoch %d, want %d", name, got, want[name])
					}
				}
			},
		})
	})
}

// TestScopesThatAreRejected checks that a present run can't change the scope that it joined with, that an invalid scope is rejected,
// and that neither attempt changes the state.
func TestScopesThatAreRejected(t *testing.T) {
	var s State
	mustApply(t, &s, Command{Operation: Join, Member: member("a", 1), Services: []string{"billing"}})
	before, _ := json.Marshal(s)
	for name, c := range map[string]Command{
		"another scope":  {Member: member("a", 1), Services: []string{"search"}},
		"none any more":  {Member: member("a", 1)},
		"not in order":   {Member: member("b", 1), Services: []string{"b", "a"}},
		"too many":       {Member: member("b", 1), Services: make([]string, fleet.MaxScopeServices+1)},
		"empty":          {Member: member("b", 1), Services: []string{""}},
		"too long":       {Member: member("b", 1), Services: []string{strings.Repeat("x", fleet.MaxServiceNameBytes+1)}},
		"named twice":    {Member: member("b", 1), Services: []string{"a", "a"}},
		"a newer run's":  {Member: member("a", 2), Services: []string{"b", "a"}},
		"with no member": {Services: []string{"billing"}},
	} {
		c.Operation = Join
		if changed, err := s.Apply(c); changed || !errors.Is(err, fleet.ErrInvalid) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: changed %v, %v", name, changed, err)
		}
	}
	if after, _ := json.Marshal(s); string(after) != string(before) {
		t.Errorf("rejected commands changed the state from %s to %s", before, after)
	}
	if changed, err := s.Apply(Command{Operation: Join, Member: member("a", 1), Services: []string{"billing"}}); changed || err != nil {
		t.Errorf("the same run again: changed %v, %v", changed, err)
	}
	mustApply(t, &s, Command{Operation: Join, Member: member("a", 2), Services: []string{"search"}}) // a newer run may have another scope
}

// TestStateWithoutScopes checks that a state without scopes is encoded as it was before there were scopes, and that a state from that
// time restores.
func TestStateWithoutScopes(t *testing.T) {
	const old = `{"epoch":3,"members":{"a":{"node":"a","zone":"z","incarnation":1}},"highest":{"a":{"incarnation":1},"b":{"incarnation":1}}}`
	var s State
	mustApply(t, &s, Command{Operation: Join, Member: member("a", 1)}, Command{Operation: Join, Member: member("b", 1)}, Command{Operation: Expire, Member: member("b", 1)})
	if raw, _ := json.Marshal(s); string(raw) != old {
		t.Errorf("%s, want %s", raw, old)
	}
	var restored State
	if err := json.Unmarshal([]byte(old), &restored); err != nil || restored.ScopeEpoch("billing") != 3 {
		t.Errorf("epoch %d, %v", restored.ScopeEpoch("billing"), err)
	}
	mustApply(t, &restored, Command{Operation: Join, Member: member("b", 1), Services: []string{"search"}})
	if got := []uint64{restored.ScopeEpoch("billing"), restored.ScopeEpoch("search"), restored.ScopeEpoch("")}; !slices.Equal(got, []uint64{3, 4, 4}) {
		t.Errorf("epochs %v", got)
	}
}

// TestScopeEpochsAreBounded checks that the number of epochs kept is bounded however many services are ever named, and that no epoch
// goes back.
func TestScopeEpochsAreBounded(t *testing.T) {
	var s State
	mustApply(t, &s, Command{Operation: Join, Member: member("a", 1), Services: []string{"billing"}})
	last := s.ScopeEpoch("billing")
	for i := range 2 * maxServiceEpochs / fleet.MaxScopeServices {
		var services []string
		for j := range fleet.MaxScopeServices {
			services = append(services, fmt.Sprintf("s%05d", i*fleet.MaxScopeServices+j))
		}
		mustApply(t, &s, Command{Operation: Join, Member: member("b", uint64(i+1)), Services: services})
		if epoch := s.ScopeEpoch("billing"); epoch < last {
			t.Fatalf("the epoch of billing goes back from %d to %d", last, epoch)
		} else {
			last = epoch
		}
		if n := len(s.Scopes.Epochs); n > maxServiceEpochs {
			t.Fatalf("%d epochs are kept", n)
		}
	}
}
