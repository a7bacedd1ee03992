package drift

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"starlingvalve/internal/fleet"
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
	a, _ := Canonical(fleet.HeldRules{Generation: 3, Rate: 5, ClassRates: map[string]float64{"x": 1, "b": 2}})
	b, _ := Canonical(struct { // another package's type: other order, omitempty, unknown to it what is zero
		ClassRates map[string]float64 `json:"class_rates,omitempty"`
		Rate       int                `json:"rate"`
		Generation uint8              `json:"generation,omitempty"`
	}{map[string]float64{"b": 2, "x": 1}, 5, 3})
	must(t, string(a) == string(b), "%s\n%s", a, b)
}

// facts draws two sets of facts that share most.
func facts(t *rapid.T) (a, b []fleet.Held, differ []string) {
	n := rapid.SampledFrom([]int{0, 1, 5, 40, 300, 1500}).Draw(t, "facts")
	odd := rapid.MapOf(rapid.IntRange(0, n+3), rapid.SampledFrom([]string{"other", "a only", "b only"})).Draw(t, "odd")
	for i := range n + 4 {
		h := hold(fmt.Sprintf("tenant/t%d", i), fleet.HeldTenant{UID: 1 + uint64(i)})
		o := hold(h.Key, fleet.HeldTenant{UID: 1 + uint64(i), Rev: 9})
		switch what := odd[i]; {
		case i >= n && what == "":
		case what == "":
			a, b = append(a, h), append(b, h)
		case what == "other":
			a, b, differ = append(a, h), append(b, o), append(differ, h.Key)
		case what == "a only":
			a, differ = append(a, h), append(differ, h.Key)
		default:
			b, differ = append(b, o), append(differ, h.Key)
		}
	}
	slices.Sort(differ)
	return a, b, differ
}

// The tree finds exactly the keys that differ, for few hashes; and so does the exchange over reports, in at most five
// answers, with the bodies of those that are shown, each report within its limit.
func TestTreeAndExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, differ := facts(t)
		ta, tb := NewTree(a), NewTree(b)
		keys, hashes := Diff(ta, tb)
		must(t, slices.Equal(keys, differ) && (len(differ) == 0) == (ta.Root() == tb.Root()), "%v, want %v", keys, differ)
		most := 1 + fanOut + len(differ)*(fanOut+2+2*len(b)/leaves+12)
		must(t, hashes <= most, "%d hashes for %d keys of %d facts", hashes, len(differ), len(b))
		var x exchange
		var ask []string
		for round := 0; ; round++ {
			var r fleet.Report
			Fill(&r, b, ask)
			out, _ := json.Marshal(r)
			must(t, len(out) <= fleet.ReportLimit && round <= 5, "round %d: %d bytes, asked for %v", round, len(out), ask)
			if r.Root == ta.Root() {
				break
			}
			x.hear(r.Root, inFleet, r.Held)
			if keys, ask = x.name(ta, inFleet); len(ask) == 0 {
				break
			}
		}
		must(t, slices.Equal(keys, differ), "named %v, want %v", keys, differ)
		for _, k := range keys[:min(len(keys), bodiesAt)] {
			want := bodyOf(b, k)
			must(t, string(x.got[k].Body) == string(want), "%s: body %s, want %s", k, x.got[k].Body, want)
		}
	})
}

// What Want asks for and nobody knows, or too much at once, gives a report within its limit.
func TestFillIsBounded(t *testing.T) {
	var held []fleet.Held
	want := []string{"", "~", "~*", "=*", "~zz", "~333", "nobody", "~0*"}
	for i := range 9000 {
		h := hold(fmt.Sprintf("server/s%d", i), fleet.HeldServer{Zone: "z", Kind: "some kind of machine", State: "ready", Size: 1})
		held, want = append(held, h), append(want, h.Key)
	}
	var r fleet.Report
	Fill(&r, held, want)
	out, _ := json.Marshal(r)
	must(t, len(out) <= fleet.ReportLimit && len(r.Held) > 500, "%d bytes, %d facts", len(out), len(r.Held))
}

func TestExpectAndDifferences(t *testing.T) {
	c := seed(2)
	c.put("zone/z2@z1", left(0)) // tie: that for every node holds
	c.put("zone/z2@z3", fleet.Directive{Phase: fleet.Left, Share: 0, ValidMS: 1})
	c.put("zone/z3", fleet.Directive{Phase: fleet.Returning, Share: 0.6, Floor: 0.2, Budget: 30, Slots: 10, Trial: []string{"n000"}, ValidMS: 5000})
	c.put("zone/a", fleet.Directive{Phase: fleet.Serving, Share: 1})
	c.put("zone/a-b", left(0.25))
	c.put("later/x", []int{1})
	c.serve("s3", "gone")
	c.drop("tenant/t4")
	held, err := Expect(c.in, fleet.Member{Node: "n000", Zone: "z1"})
	must(t, err == nil, "%v", err)
	got := map[string]string{}
	for _, h := range held {
		got[h.Key] = string(h.Body)
	}
	must(t, got["zone/z2"] == `{"rev":1,"valid_ms":5000}`, "%s", got["zone/z2"])
	must(t, got["zone/z3"] == `{"rev":2,"share":0.5,"valid_ms":5000}`, "%s", got["zone/z3"])
	must(t, got["zone/a-b"] != "" && got["zone/a"] == "" && got["later/x"] == "" && got["server/s3"] == "" && got["tenant/t4"] == "", "%v", got)
	must(t, got["share"] == `{"epoch":1,"rates":{"t0":1,"t1":2},"slots":2}`, "%s", got["share"])
	must(t, len(got) == 3+4+1+11, "%d facts: %v", len(got), slices.Sorted(maps.Keys(got)))
	other, _ := Expect(c.in, fleet.Member{Node: "n000", Zone: "z9"})
	must(t, string(bodyOf(other, "zone/z3")) == fmt.Sprintf(`{"floor":0.2,"rate":3,"rev":%d,"share":0.6,"trial":true,"valid_ms":5000}`, itemRevOf(c, "zone/z3")), "%s", bodyOf(other, "zone/z3"))

	d := Differences("k", json.RawMessage(`{"a":{"b":[1,{"c":2}]},"d":"x"}`), json.RawMessage(`{"a":{"b":[1,{"c":3},4]},"e":true}`))
	want := []Difference{{"k", "a.b[1].c", "2", "3"}, {"k", "a.b[2]", "null", "4"}, {"k", "d", `"x"`, "null"}, {"k", "e", "null", "true"}}
	must(t, cmp.Equal(d, want), "%s", cmp.Diff(want, d))
	c.set(fleet.Item{Key: "tenant/t1", Rev: c.in.Revision, Body: json.RawMessage(`{"uid":-1}`)})
	if _, err := Expect(c.in, fleet.Member{Node: "n000"}); !errors.Is(err, fleet.ErrInvalid) {
		t.Errorf("a bad item: %v", err)
	}
}

// What was changed twice between two looks, or went without a word, is not known for the revisions between; before
// and after, it is.
func TestBookBetweenLooks(t *testing.T) {
	for key, change := range map[string]func(*intent){
		"zone/z2": func(c *intent) { c.put("zone/z2", left(0.5)); c.drop("zone/z2"); c.put("zone/z9", left(0.5)) },
		"tenant/t1": func(c *intent) {
			c.in.Items = slices.DeleteFunc(c.in.Items, func(it fleet.Item) bool { return it.Key == "tenant/t1" })
			c.put("zone/z9", left(0.5))
			c.in.Revision += 2
		}} {
		c, b, self := seed(1), book{}, fleet.Member{Node: "n000", Zone: "z2"}
		b.ingest(0, c.in)
		first := c.in.Revision
		change(c)
		b.ingest(0, c.in)
		for n, want := range map[uint64]bool{0: false, first: true, first + 1: false, first + 3: true} {
			held, whole := b.expect(n, self)
			must(t, whole == want, "%s at %d of %d: %v, %v", key, n, first, whole, held)
			must(t, !whole || (bodyOf(held, key) != nil) == (n == first), "%s at %d: %v", key, n, held)
			must(t, !whole || (bodyOf(held, "zone/z9") != nil) == (n > first), "%s at %d: %v", key, n, held)
		}
	}
}

// A node may hear of the list from a replica before the judge has looked again: it is compared once the judge knows that version.
func TestListNewerThanTheJudge(t *testing.T) {
	c, b := seed(1), book{}
	b.ingest(0, c.in)
	before := c.in.Revision
	c.serve("s99", "ready")
	c.in.Revision = before // as the control plane has it: no item has changed
	m := module{Member: fleet.Member{Node: "n000", Zone: "z2"}}
	m.hear(c.in)
	m.list++
	n := &node{Member: m.Member, heard: true, report: m.report()}
	n.compare(0, &b)
	must(t, n.redo && !n.judged() && len(n.trees[1].ask) == 0, "compared with a list that was not known: %+v", n.trees[1])
	b.ingest(0, c.in)
	n.compare(0, &b)
	must(t, !n.redo && n.judged() && n.trees[0].same && n.trees[1].same, "after the judge has looked: %+v", n.trees)
}

func itemRevOf(c *intent, key string) uint64 { return itemRev(&world{intent: c}, key) }

func TestStateRefuses(t *testing.T) {
	s, rev := &State{}, uint64(10)
	next := func() uint64 { rev++; return rev }
	put := func(inc, ifRev uint64, state string) error {
		return s.Apply(Command{AtMS: 5, Set: []Change{{Verdict{Member: fleet.Member{Node: "n", Incarnation: inc}, State: state, LastRev: 3, Count: 2}, ifRev}}}, next)
	}
	must(t, put(7, 0, Stuck) == nil && rev == 11, "first")
	for _, c := range []struct {
		inc, ifRev uint64
		err        error
	}{{6, 11, fleet.ErrFenced}, {7, 0, fleet.ErrConflict}, {7, 10, fleet.ErrConflict}} {
		if err := put(c.inc, c.ifRev, Ahead); !errors.Is(err, c.err) || rev != 11 || s.Verdicts["n"].State != Stuck {
			t.Errorf("%+v: %v, revision %d", c, err, rev)
		}
	}
	must(t, put(8, 11, Stuck) == nil && s.Verdicts["n"].Count == 4 && s.Verdicts["n"].FirstRev == 3 && s.Verdicts["n"].Rev == 12, "%+v", s.Verdicts["n"])
	must(t, errors.Is(s.Apply(Command{Forget: map[string]uint64{"n": 11}}, next), fleet.ErrConflict), "forgotten at an older revision")
	must(t, s.Apply(Command{Forget: map[string]uint64{"n": 12, "m": 3}}, next) == nil && len(s.Verdicts) == 0, "forget")
	must(t, errors.Is(put(8, 0, Stuck), fleet.ErrFenced) && put(9, 0, Stuck) == nil, "a forgotten run came back")
}

// An agent that is cut off from the control plane still finds that its node holds something else, and has it sent
// again; a copy older than what the node holds makes no alarm until a replica has answered.
func TestLocal(t *testing.T) {
	c, m := seed(1), &module{Member: fleet.Member{Node: "n000", Zone: "z1", Incarnation: 5}}
	l, now := NewLocal(Defaults()), fleet.Time(0)
	m.hear(c.in)
	old := c.in
	run := func(in Intended, caughtUp bool, want string) Verdict {
		t.Helper()
		var resent []string
		for range 70 {
			now += 100 * ms
			must(t, l.Observe(now, m.report()) == nil, "refused")
			var again []string
			again, m.want = l.Answer(m.Node)
			resent = append(resent, again...)
			l.Step(now, in, m.Member, caughtUp)
		}
		v, ok := l.Verdict(now, 0, m.Node)
		must(t, ok && v.State == want, "%+v, want %s", v, want)
		must(t, (len(resent) > 0) == drifts(want), "re-sent %v", resent)
		return v
	}
	run(c.in, false, InStep)
	m.plant = change("tenant/t2", nil)
	must(t, has(run(c.in, false, Diverged).Items, "tenant/t2", ""), "not named")
	m.plant = nil
	run(c.in, false, InStep)
	c.put("zone/z2", left(0.9))
	m.hear(c.in)
	run(old, false, InStep)
	run(old, true, Ahead)
	run(c.in, true, InStep)
}
