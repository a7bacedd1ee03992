package reportdelta

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// nodeReport returns the report of a node with the given number of tenants, of which the first active ones have load.
func nodeReport(tenants, active int, seq uint64) fleet.Report {
	r := fleet.Report{Member: fleet.Member{Node: "ghala-17", Zone: "ghala", Incarnation: 1_764_652_571_000_000_000}, Sequence: seq,
		Revision: 4711, Ready: true, WindowMS: 1000 + int64(seq%7), AppliedListVersion: 12, AppliedRoot: "0123456789abcdef", ListRoot: "fedcba9876543210",
		Applied: []fleet.AppliedItem{{Key: fleet.KeySettings, Digest: "00000000000000aa", ChangedBy: "the configuration file", SinceMS: 1_764_652_571_000}}}
	for i := range tenants {
		t := fleet.TenantAck{Name: fmt.Sprintf("tenant-%05d", i), UID: uint64(1000 + i), Committed: 3, Digest: fmt.Sprintf("%016x", i*7919), Rate: 0.2}
		if i < active {
			load := float64((seq*31+uint64(i)*17)%23 + 1)
			t.Open = int(seq % 3)
			t.Offered = load / 1.003
			t.Admitted = load / 1.003
			t.Rate = 5 + load/7
		}
		r.Tenants = append(r.Tenants, t)
	}
	return Normalize(r)
}

func mustDiff(t testing.TB, base, next fleet.Report) Delta {
	t.Helper()
	d, err := Diff(base, next)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// roundTrip encodes and decodes a delta.
func roundTrip(t testing.TB, d Delta) Delta {
	t.Helper()
	raw, err := Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatalf("%v: %.400s", err, raw)
	}
	return got
}

func diffReports(a, b fleet.Report) string { return cmp.Diff(a, b, cmpopts.EquateEmpty()) }

// Every member of a report and of its rows is in the digest: a change of a member missing there would be lost undetected.
func TestDigestCoversEveryMember(t *testing.T) {
	full := func() fleet.Report {
		return fleet.Report{Services: []string{"a"}, Zones: []fleet.ZoneEvidence{{}}, Tenants: []fleet.TenantAck{{}}, Applied: []fleet.AppliedItem{{}}}
	}
	want := Digest(full())
	seen := 0
	var walk func(path string, get func(*fleet.Report) reflect.Value)
	walk = func(path string, get func(*fleet.Report) reflect.Value) {
		r := full()
		v := get(&r)
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, func(r *fleet.Report) reflect.Value { return get(r).Field(i) })
			}
			return
		case reflect.Slice:
			if v.Type() != reflect.TypeFor[json.RawMessage]() {
				walk(path+"[0]", func(r *fleet.Report) reflect.Value { return get(r).Index(0) })
				return
			}
			v.SetBytes([]byte("1"))
		case reflect.String:
			v.SetString(v.String() + "x")
		case reflect.Bool:
			v.SetBool(true)
		case reflect.Float64:
			v.SetFloat(0.5)
		case reflect.Int, reflect.Int64:
			v.SetInt(1)
		case reflect.Uint64:
			v.SetUint(1)
		default:
			t.Fatalf("%s: %s", path, v.Kind())
		}
		seen++
		if Digest(r) == want {
			t.Errorf("%s is not in the digest", path)
		}
	}
	walk("report", func(r *fleet.Report) reflect.Value { return reflect.ValueOf(r).Elem() })
	if seen < 35 {
		t.Errorf("%d members checked, want at least 35", seen)
	}
}

// An idle tenant adds nothing to a delta, a changed load adds its numbers, and any other change adds the row.
func TestDeltaHoldsOnlyChanges(t *testing.T) {
	base, next := nodeReport(300, 5, 1), nodeReport(300, 5, 2)
	d := mustDiff(t, base, next)
	if len(d.Tenants) != 0 || len(d.Loads) != 5 || len(d.TenantsRemoved) != 0 || len(d.Applied) != 0 {
		t.Errorf("%d rows, %d loads, %d removed, %d items", len(d.Tenants), len(d.Loads), len(d.TenantsRemoved), len(d.Applied))
	}
	next.Tenants = append(next.Tenants[:7:7], next.Tenants[8:]...)
	next.Tenants[0].Staged = 4
	next.Applied = append(next.Applied, fleet.AppliedItem{Key: "~3*", Digest: "00000000000000bb", Body: json.RawMessage(`{"a":"<&>"}`)})
	d = roundTrip(t, mustDiff(t, base, next))
	if len(d.Tenants) != 1 || len(d.Loads) != 4 || len(d.TenantsRemoved) != 1 || len(d.Applied) != 1 {
		t.Errorf("%d rows, %d loads, %d removed, %d items", len(d.Tenants), len(d.Loads), len(d.TenantsRemoved), len(d.Applied))
	}
	got, err := Apply(base, d)
	if diff := diffReports(next, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if diff := diffReports(base, nodeReport(300, 5, 1)); diff != "" {
		t.Error("the base was changed:", diff)
	}
}

// A delta that does not match its base is rejected with its reason and changes nothing: the delta before it was lost, or it is repeated,
// reordered, truncated, of another incarnation, with a wrong digest, or with impossible rows.
func TestApplyRejectsMismatchedDelta(t *testing.T) {
	first, second, third := nodeReport(5, 2, 1), nodeReport(6, 3, 2), nodeReport(4, 1, 3)
	fromFirst, fromSecond := mustDiff(t, first, second), mustDiff(t, second, third)
	with := func(d Delta, change func(*Delta)) Delta { change(&d); return d }
	for _, row := range []struct {
		name string
		base fleet.Report
		d    Delta
		want error
	}{
		{"the delta before it was lost", first, fromSecond, ErrUnknownBase},
		{"repeated", second, fromFirst, ErrUnknownBase},
		{"reordered", third, fromFirst, ErrUnknownBase},
		{"another incarnation", with(Delta{Head: first}, func(d *Delta) { d.Head.Incarnation++ }).Head, fromFirst, ErrUnknownBase},
		{"another node", with(Delta{Head: first}, func(d *Delta) { d.Head.Node = "m" }).Head, fromFirst, ErrUnknownBase},
		{"truncated: a load", first, with(fromFirst, func(d *Delta) { d.Loads = d.Loads[:1] }), ErrDigestMismatch},
		{"truncated: a row", first, with(fromFirst, func(d *Delta) { d.Tenants = nil }), ErrDigestMismatch},
		{"removed rows are omitted", second, with(fromSecond, func(d *Delta) { d.TenantsRemoved = nil }), ErrDigestMismatch},
		{"wrong digest", first, with(fromFirst, func(d *Delta) { d.Digest = "0123456789abcdef" }), ErrDigestMismatch},
		{"altered head", first, with(fromFirst, func(d *Delta) { d.Head.Revision++ }), ErrDigestMismatch},
		{"a removed row that is not in the base", first, with(fromFirst, func(d *Delta) { d.TenantsRemoved = []string{"x"} }), ErrRowMismatch},
		{"rows out of order", first, with(fromFirst, func(d *Delta) {
			d.Tenants = []fleet.TenantAck{{Name: "z"}, {Name: "y"}}
		}), ErrRowMismatch},
		{"a load of a row that does not exist", first, with(fromFirst, func(d *Delta) { d.Loads = []LoadChange{{Row: 5}} }), ErrRowMismatch},
		{"a load twice", first, with(fromFirst, func(d *Delta) { d.Loads = []LoadChange{{Row: 1}, {Row: 1}} }), ErrRowMismatch},
		{"a load of a row below 0", first, with(fromFirst, func(d *Delta) { d.Loads = []LoadChange{{Row: -1}} }), ErrRowMismatch},
		{"more than a report can hold", first, with(fromFirst, func(d *Delta) {
			d.Tenants = nil
			for i := range 300 {
				d.Tenants = append(d.Tenants, fleet.TenantAck{Name: fmt.Sprintf("z%03d", i), RejectReason: strings.Repeat("x", 1024)})
			}
		}), fleet.ErrInvalid},
	} {
		before := Digest(row.base)
		got, err := Apply(row.base, row.d)
		if !errors.Is(err, row.want) || got.Node != "" || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, %+v", row.name, err, got)
		}
		if Digest(row.base) != before {
			t.Errorf("%s: the base was changed", row.name)
		}
	}
	if _, err := Diff(first, with(Delta{Head: second}, func(d *Delta) { d.Head.Incarnation++ }).Head); err == nil {
		t.Error("no error for a delta between two incarnations")
	}
}

// Invalid bodies are rejected in one line that names the member.
func TestDecodeRejectsInvalidDeltas(t *testing.T) {
	const head = `"head":{"node":"n","zone":"z","incarnation":7,"seq":3},"base_seq":2,"digest":"0123456789abcdef"`
	if _, err := Decode([]byte("{" + head + "}")); err != nil {
		t.Fatal(err)
	}
	for body, want := range map[string]string{
		`{` + head:                                             "unexpected end",
		`{` + head + `}{}`:                                     "after top-level",
		`{` + head + `,"base_seq":3}`:                          "base_seq: 3",
		`{` + head + `,"base_seq":0}`:                          "base_seq: 0",
		`{` + head + `,"digest":"12"}`:                         "digest",
		`{` + head + `,"head":{"node":""}}`:                    "node",
		`{` + head + `,"tenants":[{"name":"a"},{"name":"a"}]}`: "a twice",
		`{` + head + `,"tenants":[{"name":"a","rate":-1}]}`:    "tenants[0]: invalid: rate",
		`{` + head + `,"loads":[{"i":1,"f":-1}]}`:              "loads[0]: invalid: offered",
		`{` + head + `,"loads":[{"i":-1}]}`:                    "loads[0].i",
		`{` + head + `,"loads":[{"i":16384}]}`:                 "loads[0].i",
		`{` + head + `,"tenants_gone":[""]}`:                   "gone",
		`{` + head + `,"zones":[{"zone":"z","lost":1}]}`:       "zones[0]: invalid: lost",
		`{` + head + `,"held":[{"key":""}]}`:                   "held[0]",
		`{` + head + `,"head":{"tenants":[{"name":"a"}]}}`:     "head: has services or rows",
		`{` + head + `,"head":{"services":["a"]}}`:             "head: has services or rows",
		strings.Repeat(" ", fleet.MaxReportBytes+1):            "bytes, at most",
		"{\"digest\":\"\xff\"}":                                "UTF-8",
	} {
		_, err := Decode([]byte(body))
		if !errors.Is(err, fleet.ErrInvalid) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.120s: %v, want %s", body, err, want)
		}
	}
}

// A leader of the previous build would not accept a delta as a report if it were sent one.
func TestDeltaIsNotAReport(t *testing.T) {
	raw, err := Encode(mustDiff(t, nodeReport(5, 2, 1), nodeReport(5, 2, 2)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.DecodeReport(raw); !errors.Is(err, fleet.ErrInvalid) {
		t.Errorf("accepted as a report: %v", err)
	}
}

// Items that a leader wants from a node arrive in deltas as in complete reports, and are later removed from them.
func TestWantedItemsInDeltas(t *testing.T) {
	items := []fleet.AppliedItem{{Key: "settings", Digest: "00000000000000aa", Body: json.RawMessage(`{ "nodes": 3 }`)},
		{Key: "tenant/a", Digest: "00000000000000ab", Body: json.RawMessage(`{"uid": 1}`)},
		{Key: "tenant/b", Digest: "00000000000000ac", Body: json.RawMessage(`{"uid":2}`)}, {Key: "server/1", Digest: "00000000000000ad"}}
	var sender Sender
	var leader Bases
	for seq, want := range [][]string{nil, {"~*"}, {"tenant/b", "=*"}, {"settings", "~*"}, nil} {
		r := nodeReport(3, 1, uint64(seq+1))
		drift.FillReport(&r, items, want)
		raw, _ := json.Marshal(r)
		complete, err := fleet.DecodeReport(raw)
		if err != nil {
			t.Fatal(err)
		}
		sent, got, baseSeq := Normalize(complete), Normalize(complete), uint64(0)
		if d, ok := sender.Delta(sent); ok {
			d, baseSeq = roundTrip(t, d), d.BaseSequence
			base, err := leader.Find(&d)
			if err == nil {
				got, err = Apply(base, d)
			}
			if err != nil {
				t.Fatal(err)
			}
		} else if seq > 0 {
			t.Fatal("sent complete")
		}
		if diff := diffReports(Normalize(complete), got); diff != "" || len(want) > 0 && len(got.Applied) < 2 {
			t.Errorf("seq %d: %d items: %s", seq, len(got.Applied), diff)
		}
		sender.Acknowledged(sent, leader.Keep(got, baseSeq))
	}
}

func FuzzDecode(f *testing.F) {
	base := nodeReport(4, 2, 1)
	for _, next := range []fleet.Report{nodeReport(4, 2, 2), nodeReport(6, 3, 3), nodeReport(0, 0, 4)} {
		d, _ := Diff(base, next)
		raw, _ := Encode(d)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			if !errors.Is(err, fleet.ErrInvalid) {
				t.Fatalf("%v is not ErrInvalid", err)
			}
			return
		}
		r, err := Apply(base, d)
		if err != nil {
			return
		}
		if Digest(r) != d.Digest || r.Check() != nil || r.Member != base.Member {
			t.Fatalf("an invalid report: %+v", r)
		}
	})
}

func forEachSize(f func(tenants, active int)) {
	for _, tenants := range []int{10, 100, 300, 1000} {
		for _, active := range []int{0, 5, 50} {
			if active <= tenants {
				f(tenants, active)
			}
		}
	}
}

// The size of a delta depends on the number of tenants with load, whatever the size of the scope.
func TestDeltaSize(t *testing.T) {
	minimum := map[int]int{}
	forEachSize(func(tenants, active int) {
		base, next := nodeReport(tenants, active, 12), nodeReport(tenants, active, 13)
		complete, _ := json.Marshal(next)
		raw, err := Encode(mustDiff(t, base, next))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%4d tenants, %2d with load: complete %6d, delta %4d bytes", tenants, active, len(complete), len(raw))
		if minimum[active] == 0 {
			minimum[active] = len(raw)
		}
		if len(raw) > minimum[active]+2*active { // allows for more digits in the rows' numbers
			t.Errorf("%d tenants, %d with load: %d bytes, %d in the smallest scope", tenants, active, len(raw), minimum[active])
		}
	})
	t.Logf("a base: %d bytes per tenant's row, plus its texts", unsafe.Sizeof(fleet.TenantAck{}))
}

func BenchmarkDiff(b *testing.B) {
	forEachSize(func(tenants, active int) {
		b.Run(fmt.Sprintf("tenants=%d/active=%d", tenants, active), func(b *testing.B) {
			base, next := nodeReport(tenants, active, 12), nodeReport(tenants, active, 13)
			b.ReportAllocs()
			for b.Loop() {
				d, _ := Diff(base, next)
				Encode(d)
			}
		})
	})
}

func BenchmarkApply(b *testing.B) {
	forEachSize(func(tenants, active int) {
		b.Run(fmt.Sprintf("tenants=%d/active=%d", tenants, active), func(b *testing.B) {
			base, next := nodeReport(tenants, active, 12), nodeReport(tenants, active, 13)
			raw, _ := Encode(mustDiff(b, base, next))
			b.ReportAllocs()
			for b.Loop() {
				d, err := Decode(raw)
				if err == nil {
					_, err = Apply(base, d)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	})
}

// BenchmarkDecodeComplete decodes a complete report, as a leader does, for comparison.
func BenchmarkDecodeComplete(b *testing.B) {
	forEachSize(func(tenants, active int) {
		if active > 0 {
			return
		}
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			raw, _ := json.Marshal(nodeReport(tenants, active, 13))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fleet.DecodeReport(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
}
