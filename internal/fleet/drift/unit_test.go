package drift

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"meadowsill/internal/fleet"
)

func TestCanonical(t *testing.T) {
	for in, want := range map[string]string{
		`{"b":1,"a":{"z":0,"y":""},"c":[0,null,{"q":false}]}`: `{"b":1,"c":[0,null,{}]}`,
		`{"a":1.0,"b":1e3,"c":0.30000000000000004,"d":-0.0}`:  `{"a":1,"b":1000,"c":0.30000000000000004}`,
		`{"a":18446744073709551615,"b":9007199254740993}`:     `{"a":18446744073709551615,"b":9007199254740993}`,
		`{"é":"<\u0001>","a":[]}`:                             `{"é":"\u003c\u0001\u003e"}`,
		`[]`:                                                  `[]`,
	} {
		got, err := Canonical(json.RawMessage(in))
		must(t, err == nil && string(got) == want, "%s: %s, %v, want %s", in, got, err, want)
		again, err := Canonical(json.RawMessage(got))
		must(t, err == nil && string(again) == want, "not stable: %s", again)
	}
	for _, v := range []any{json.RawMessage(`{"a":1e999}`), json.RawMessage(`{`), func() {}} {
		if out, err := Canonical(v); err == nil {
			t.Errorf("%v: %s", v, out)
		}
	}
	a, _ := Canonical(fleet.AppliedRules{Generation: 3, Rate: 5, ClassRates: map[string]float64{"x": 1, "b": 2}})
	b, _ := Canonical(struct { // a type of another package: other field order, omitempty, zero fields left out
		ClassRates map[string]float64 `json:"class_rates,omitempty"`
		Rate       int                `json:"rate"`
		Generation uint8              `json:"generation,omitempty"`
	}{map[string]float64{"b": 2, "x": 1}, 5, 3})
	must(t, string(a) == string(b), "%s\n%s", a, b)
}

// drawItems draws two sets of items with most items in common.
func drawItems(t *rapid.T) (a, b []fleet.AppliedItem, differ []string) {
	n := rapid.SampledFrom([]int{0, 1, 5, 40, 300, 1500}).Draw(t, "facts")
	changed := rapid.MapOf(rapid.IntRange(0, n+3), rapid.SampledFrom([]string{"other", "a only", "b only"})).Draw(t, "odd")
	for i := range n + 4 {
		h := appliedItem(fmt.Sprintf("tenant/t%d", i), fleet.AppliedTenant{UID: 1 + uint64(i)})
		o := appliedItem(h.Key, fleet.AppliedTenant{UID: 1 + uint64(i), Revision: 9})
		switch variant := changed[i]; {
		case i >= n && variant == "":
		case variant == "":
			a, b = append(a, h), append(b, h)
		case variant == "other":
			a = append(a, h)
			b = append(b, o)
			differ = append(differ, h.Key)
		case variant == "a only":
			a, differ = append(a, h), append(differ, h.Key)
		default:
			b, differ = append(b, o), append(differ, h.Key)
		}
	}
	slices.Sort(differ)
	return a, b, differ
}

// Diff must find exactly the keys that differ, with few hashes. The exchange over reports must find the same keys within
// five answers, with the bodies of those that are shown, and each report must stay within its limit.
func TestTreeAndExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, differ := drawItems(t)
		ta, tb := NewTree(a), NewTree(b)
		keys, hashes := Diff(ta, tb)
		must(t, slices.Equal(keys, differ) && (len(differ) == 0) == (ta.Root() == tb.Root()), "%v, want %v", keys, differ)
		maximum := 1 + fanOut + len(differ)*(fanOut+2+2*len(b)/leaves+12)
		must(t, hashes <= maximum, "%d hashes for %d keys of %d items", hashes, len(differ), len(b))
		var x treeExchange
		var wanted []string
		for round := 0; ; round++ {
			var r fleet.Report
			FillReport(&r, b, wanted)
			out, _ := json.Marshal(r)
			must(t, len(out) <= fleet.MaxReportBytes && round <= 5, "round %d: %d bytes, requested %v", round, len(out), wanted)
			if r.AppliedRoot == ta.Root() {
				break
			}
			x.addAnswers(r.AppliedRoot, fleetTree, r.Applied)
			if keys, wanted = x.differingKeys(ta, fleetTree); len(wanted) == 0 {
				break
			}
		}
		must(t, slices.Equal(keys, differ), "found %v, want %v", keys, differ)
		for _, k := range keys[:min(len(keys), maxBodies)] {
			want := bodyOf(b, k)
			must(t, string(x.answers[k].Body) == string(want), "%s: body %s, want %s", k, x.answers[k].Body, want)
		}
	})
}

// A report must stay within its limit if want contains unknown keys or requests too much at once.
func TestFillIsBounded(t *testing.T) {
	var items []fleet.AppliedItem
	want := []string{"", "~", "~*", "=*", "~zz", "~333", "nobody", "~0*"}
	for i := range 9000 {
		h := appliedItem(fmt.Sprintf("server/s%d", i), fleet.AppliedServer{Zone: "z", Kind: "some kind of machine", State: "ready", Weight: 1})
		items, want = append(items, h), append(want, h.Key)
	}
	var r fleet.Report
	FillReport(&r, items, want)
	out, _ := json.Marshal(r)
	must(t, len(out) <= fleet.MaxReportBytes && len(r.Applied) > 500, "%d bytes, %d items", len(out), len(r.Applied))
}

func TestStateRejects(t *testing.T) {
	s, rev := &State{}, uint64(10)
	next := func() uint64 { rev++; return rev }
	put := func(inc, ifRev uint64, state string) error {
		return s.Apply(Command{AtMS: 5, Set: []Change{{Verdict{Member: fleet.Member{Node: "n", Incarnation: inc}, State: state, LastRevision: 3, Count: 2}, ifRev}}}, next)
	}
	must(t, put(7, 0, Stuck) == nil && rev == 11, "first")
	for _, c := range []struct {
		inc   uint64
		ifRev uint64
		err   error
	}{{6, 11, fleet.ErrFenced}, {7, 0, fleet.ErrConflict}, {7, 10, fleet.ErrConflict}} {
		if err := put(c.inc, c.ifRev, Ahead); !errors.Is(err, c.err) || rev != 11 || s.Verdicts["n"].State != Stuck {
			t.Errorf("%+v: %v, revision %d", c, err, rev)
		}
	}
	must(t, put(8, 11, Stuck) == nil && s.Verdicts["n"].Count == 4 && s.Verdicts["n"].FirstRevision == 3 && s.Verdicts["n"].Revision == 12, "%+v", s.Verdicts["n"])
	must(t, errors.Is(s.Apply(Command{Forget: map[string]uint64{"n": 11}}, next), fleet.ErrConflict), "a verdict was removed by an outdated command")
	must(t, s.Apply(Command{Forget: map[string]uint64{"n": 12, "m": 3}}, next) == nil && len(s.Verdicts) == 0, "forget")
	must(t, errors.Is(put(8, 0, Stuck), fleet.ErrFenced) && put(9, 0, Stuck) == nil, "a verdict on an ended run was accepted")
}

func appliedItem(key string, v any) fleet.AppliedItem {
	h, _, err := AppliedItemOf(key, v)
	if err != nil {
		panic(err)
	}
	return h
}

func must(t rapid.TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
