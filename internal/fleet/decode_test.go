package fleet

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validReport = `{"node":"n1","zone":"ghala","incarnation":7,"seq":3,"revision":9,"window_ms":250,"new":[1],
 "zones":[{"zone":"rusayl","attempts":5,"lost":2,"servers":2,"lost_servers":1,"ok":3,"listed":4,"sent":6,"rate":1.5}],
 "tenants":[{"name":"a","uid":4,"committed":1,"digest":"00ff","open":1,"offered":2.5,"admitted":2,"rate":3}],
 "held":[{"key":"settings","digest":"00ff","body":{"nodes":3},"by":"file","since_ms":5}],"root":"0011","list_root":""}`

const validIntent = `{"revision":9,"full":true,"items":[
 {"key":"zone/rusayl","rev":8,"body":{"phase":"returning","share":0.25,"floor":0.1,"budget":9,"slots":30,"valid_ms":5000}},
 {"key":"tenant/a","rev":9,"body":{"uid":4,"committed":{"number":1,"digest":"00ff","spec":{"name":"a","quota":{"rate":5}}}}},
 {"key":"share/n1","rev":7,"body":{"epoch":2,"slots":30,"rates":{"a":1.5}}},{"key":"later/x","rev":1,"body":[1]},
 {"key":"zone/gone","rev":3,"gone":true}],"age_ms":12,"held_ms":4000}`

// Each case replaces one part of a valid body by an invalid one. The error must name the field.
func TestDecodeRejects(t *testing.T) {
	report := func(s string) error { _, err := DecodeReport([]byte(s)); return err }
	intent := func(s string) error { _, err := DecodeIntent([]byte(s)); return err }
	for _, c := range []struct {
		decode   func(string) error
		valid    string
		old      string
		new      string
		wantText string
	}{
		{report, validReport, `"n1"`, `""`, "node"},
		{report, validReport, `"n1"`, `"a\nb"`, "node"},
		{report, validReport, `"n1"`, `"` + strings.Repeat("n", maxNameBytes+1) + `"`, "node"},
		{report, validReport, `"n1"`, "\"\xff\"", "UTF-8"},
		{report, validReport, `"incarnation":7`, `"incarnation":0`, "incarnation"},
		{report, validReport, `"lost":2`, `"lost":6`, "lost"},
		{report, validReport, `"lost":2`, `"lost":-1`, "lost"},
		{report, validReport, `"ok":3`, `"ok":9`, "ok"},
		{report, validReport, `"lost_servers":1`, `"lost_servers":3`, "lost_servers"},
		{report, validReport, `"rate":1.5`, `"rate":1e300`, "rate"},
		{report, validReport, `"rate":1.5`, `"rate":NaN`, "invalid"},
		{report, validReport, `"window_ms":250`, `"window_ms":-1`, "window_ms"},
		{report, validReport, `"held":[`, `"held":[{"key":"settings"},`, "settings twice"},
		{report, validReport, `"zones":[`, `"zones":[{"zone":"rusayl"},`, "rusayl twice"},
		{report, validReport, `"list_root":""}`, `"list_root":""} {}`, "invalid"},
		{report, validReport, `"n1"`, `"n1","x":"` + strings.Repeat("x", MaxReportBytes) + `"`, "bytes"},
		{intent, validIntent, `"share":0.25`, `"share":1.25`, "share"},
		{intent, validIntent, `"floor":0.1`, `"floor":0.5`, "floor"},
		{intent, validIntent, `"returning"`, `"gone"`, "phase"},
		{intent, validIntent, `"rev":8`, `"rev":10`, "rev"},
		{intent, validIntent, `"uid":4`, `"uid":0`, "uid"},
		{intent, validIntent, `"a":1.5`, `"a":-1.5`, "rates.a"},
		{intent, validIntent, `{"epoch":2,"slots":30,"rates":{"a":1.5}}`, `null`, "share/n1"},
		{intent, validIntent, `"later/x"`, `"later"`, "key"},
		{intent, validIntent, `"later/x"`, `"tenant/a"`, "tenant/a"},
		{intent, validIntent, `"age_ms":12`, `"age_ms":-12`, "age_ms"},
	} {
		if err := c.decode(c.valid); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(c.valid, c.old) {
			t.Fatalf("%s is not in the valid body", c.old)
		}
		err := c.decode(strings.Replace(c.valid, c.old, c.new, 1))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.wantText) || len(err.Error()) > 400 {
			t.Errorf("%s in place of %s: got error %v, want one that contains %s", c.new, c.old, err, c.wantText)
		}
	}
}

// DecodeNodeReport must give the same report and error as DecodeReport, and detect unknown members, including those of
// rows.
func TestDecodeNodeReport(t *testing.T) {
	const member = `"node":"n","zone":"z","incarnation":1`
	for body, newer := range map[string]bool{
		validReport:                  true,
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
			t.Errorf("%.90s: newer %v, error %v, want error %v: %s", body, gotNewer, err, wantErr, d)
		}
	}
}

// A decoded body must be encoded and decoded again to the same value, and no input may cause a panic.
func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(validReport))
	f.Add([]byte(`{"node":"n","zone":"z","incarnation":1,"held":[{"key":"~3*"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) { testRoundTrip(t, b, DecodeReport) })
}

func FuzzDecodeIntent(f *testing.F) {
	f.Add([]byte(validIntent))
	f.Add([]byte(`{"items":[{"key":"zone/a","rev":1,"gone":true}],"revision":1}`))
	f.Fuzz(func(t *testing.T, b []byte) { testRoundTrip(t, b, DecodeIntent) })
}

func testRoundTrip[T any](t *testing.T, b []byte, decode func([]byte) (T, error)) {
	v, err := decode(b)
	if err != nil {
		if !errors.Is(err, ErrInvalid) {
			t.Fatalf("error %v does not wrap ErrInvalid", err)
		}
		return
	}
	encoded, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > MaxReportBytes { // escapes may make the encoded body longer than the input
		return
	}
	redecoded, err := decode(encoded)
	if err != nil {
		t.Fatalf("error %v from decoding the encoded form of %q", err, b)
	}
	if reencoded, _ := json.Marshal(redecoded); !cmp.Equal(encoded, reencoded) {
		t.Fatalf("%s\nthen %s", encoded, reencoded)
	}
}
