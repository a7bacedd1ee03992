package fleet

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodReport = `{"node":"n1","zone":"ghala","incarnation":7,"seq":3,"revision":9,"window_ms":250,"new":[1],
 "zones":[{"zone":"rusayl","attempts":5,"lost":2,"servers":2,"lost_servers":1,"ok":3,"listed":4,"sent":6,"rate":1.5}],
 "tenants":[{"name":"a","uid":4,"committed":1,"digest":"00ff","open":1,"offered":2.5,"admitted":2,"rate":3}],
 "held":[{"key":"settings","digest":"00ff","body":{"nodes":3},"by":"file","since_ms":5}],"root":"0011","list_root":""}`

const goodIntent = `{"revision":9,"full":true,"items":[
 {"key":"zone/rusayl","rev":8,"body":{"phase":"returning","share":0.25,"floor":0.1,"budget":9,"slots":30,"valid_ms":5000}},
 {"key":"tenant/a","rev":9,"body":{"uid":4,"committed":{"number":1,"digest":"00ff","spec":{"name":"a","quota":{"rate":5}}}}},
 {"key":"share/n1","rev":7,"body":{"epoch":2,"slots":30,"rates":{"a":1.5}}},{"key":"later/x","rev":1,"body":[1]},
 {"key":"zone/gone","rev":3,"gone":true}],"age_ms":12,"held_ms":4000}`

// Each case puts one thing in place of another in a good body; the error must name the field.
func TestDecodeRejects(t *testing.T) {
	report := func(s string) error { _, err := DecodeReport([]byte(s)); return err }
	intent := func(s string) error { _, err := DecodeIntent([]byte(s)); return err }
	for _, c := range []struct {
		read func(string) error
		good string
		old  string
		new  string
		says string
	}{
		{report, goodReport, `"n1"`, `""`, "node"},
		{report, goodReport, `"n1"`, `"a\nb"`, "node"},
		{report, goodReport, `"n1"`, `"` + strings.Repeat("n", maxNameBytes+1) + `"`, "node"},
		{report, goodReport, `"n1"`, "\"\xff\"", "UTF-8"},
		{report, goodReport, `"incarnation":7`, `"incarnation":0`, "incarnation"},
		{report, goodReport, `"lost":2`, `"lost":6`, "lost"},
		{report, goodReport, `"lost":2`, `"lost":-1`, "lost"},
		{report, goodReport, `"ok":3`, `"ok":9`, "ok"},
		{report, goodReport, `"lost_servers":1`, `"lost_servers":3`, "lost_servers"},
		{report, goodReport, `"rate":1.5`, `"rate":1e300`, "rate"},
		{report, goodReport, `"rate":1.5`, `"rate":NaN`, "invalid"},
		{report, goodReport, `"window_ms":250`, `"window_ms":-1`, "window_ms"},
		{report, goodReport, `"held":[`, `"held":[{"key":"settings"},`, "settings twice"},
		{report, goodReport, `"zones":[`, `"zones":[{"zone":"rusayl"},`, "rusayl twice"},
		{report, goodReport, `"list_root":""}`, `"list_root":""} {}`, "invalid"},
		{report, goodReport, `"n1"`, `"n1","x":"` + strings.Repeat("x", MaxReportBytes) + `"`, "bytes"},
		{intent, goodIntent, `"share":0.25`, `"share":1.25`, "share"},
		{intent, goodIntent, `"floor":0.1`, `"floor":0.5`, "floor"},
		{intent, goodIntent, `"returning"`, `"gone"`, "phase"},
		{intent, goodIntent, `"rev":8`, `"rev":10`, "rev"},
		{intent, goodIntent, `"uid":4`, `"uid":0`, "uid"},
		{intent, goodIntent, `"a":1.5`, `"a":-1.5`, "rates.a"},
		{intent, goodIntent, `{"epoch":2,"slots":30,"rates":{"a":1.5}}`, `null`, "share/n1"},
		{intent, goodIntent, `"later/x"`, `"later"`, "key"},
		{intent, goodIntent, `"later/x"`, `"tenant/a"`, "tenant/a"},
		{intent, goodIntent, `"age_ms":12`, `"age_ms":-12`, "age_ms"},
	} {
		if err := c.read(c.good); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(c.good, c.old) {
			t.Fatalf("%s is not in the good body", c.old)
		}
		err := c.read(strings.Replace(c.good, c.old, c.new, 1))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.says) || len(err.Error()) > 400 {
			t.Errorf("%s for %s: %v, want one that says %s", c.new, c.old, err, c.says)
		}
	}
}

// A node's report is read as any, and it is said whether it has members that are not known, of its rows too.
func TestDecodeNodeReport(t *testing.T) {
	const member = `"node":"n","zone":"z","incarnation":1`
	for body, newer := range map[string]bool{
		goodReport:                   true,
		`{` + member + `}`:           false,
		`{` + member + `,"later":1}`: true,
		`{` + member + `,"tenants":[{"name":"a","later":1}]}`: true,
		`{` + member + `} {}`: false,
		`{` + member + `}}`:   false,
		`{` + member + `}  `:  false,
		`{` + member + `,"zones":[{"zone":"za","attempts":1,"lost":2}]}`: false,
		`{` + member + `,"later":1,"seq":"1"}`:                           false,
		"{\"node\":\"\xff\"}":                                            false,
		strings.Repeat(" ", MaxReportBytes+1):                            false,
	} {
		want, wantErr := DecodeReport([]byte(body))
		got, gotNewer, err := DecodeNodeReport([]byte(body))
		if d := cmp.Diff(want, got); d != "" || (err == nil) != (wantErr == nil) || err != nil && err.Error() != wantErr.Error() || gotNewer != newer {
			t.Errorf("%.90s: newer %v, %v, not %v: %s", body, gotNewer, err, wantErr, d)
		}
	}
}

// What is taken is applied completely: written again it is read as the same; and nothing panics.
func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(goodReport))
	f.Add([]byte(`{"node":"n","zone":"z","incarnation":1,"held":[{"key":"~3*"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) { again(t, b, DecodeReport) })
}

func FuzzDecodeIntent(f *testing.F) {
	f.Add([]byte(goodIntent))
	f.Add([]byte(`{"items":[{"key":"zone/a","rev":1,"gone":true}],"revision":1}`))
	f.Fuzz(func(t *testing.T, b []byte) { again(t, b, DecodeIntent) })
}

func again[T any](t *testing.T, b []byte, read func([]byte) (T, error)) {
	v, err := read(b)
	if err != nil {
		if !errors.Is(err, ErrInvalid) {
			t.Fatalf("%v is no ErrInvalid", err)
		}
		return
	}
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if len(out) > MaxReportBytes { // escapes may make it longer than what was read
		return
	}
	w, err := read(out)
	if err != nil {
		t.Fatalf("%v on what was written of %q", err, b)
	}
	if out2, _ := json.Marshal(w); !cmp.Equal(out, out2) {
		t.Fatalf("%s\nthen %s", out, out2)
	}
}
