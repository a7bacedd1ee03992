package tenants

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode"

	"github.com/google/go-cmp/cmp"

	"meadowsill/internal/fleet"
)

const validTOML = `name = "amouage"
fallback = "any"
[namespace]
classes = ["place-order", "browse"]
[quota]
rate = 120
burst = 24.5
[quota.classes]
place-order = 30
[[routes]]
zone = "ghala"
weight = 3
[[routes]]
id = "app-[0-9]*"
weight = 1
`

func TestTOMLAndJSONShareOneSchema(t *testing.T) {
	a, err := ParseTOML([]byte(validTOML))
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := json.Marshal(a)
	b, err := ParseJSON(raw)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(a, b); d != "" {
		t.Error(d)
	}
	g, c, err := ParseProposal([]byte(`{"generation": 4, "spec": ` + string(raw) + `}`))
	if err != nil || g != 4 || Digest(c) != Digest(a) {
		t.Errorf("proposal: %d, %v", g, err)
	}
	c.Namespace.Classes = []string{"browse", "place-order"}
	if Digest(c) != Digest(a) || len(Digest(a)) != 16 {
		t.Errorf("the order of classes changes digest %s", Digest(a))
	}
	c.Quota.Rate++
	if Digest(c) == Digest(a) {
		t.Error("another rate has the same digest")
	}
}

// TestErrorsNameFieldAndLine changes one part of a valid file at a time. The error must name the field and its line.
func TestErrorsNameFieldAndLine(t *testing.T) {
	for _, f := range []struct{ old, new, want string }{
		{`name = "amouage"`, `name = "../x"`, `invalid: line 1: name: "../x" has other`},
		{`name = "amouage"`, ``, "invalid: name: is missing"},
		{`name = "amouage"`, "name = 7", "invalid: line 1: name: must be a string"},
		{`fallback = "any"`, `fallback = "all"`, `invalid: line 2: fallback: "all" is neither`},
		{`fallback = "any"`, ``, "invalid: fallback: is missing"},
		{`fallback = "any"`, "fallback = ", "invalid: line 2: fallback: expected value"},
		{`"browse"`, `"place-order"`, `invalid: line 4: namespace.classes[1]: "place-order" is named twice`},
		{"rate = 120", "rate = nan", "invalid: line 6: quota.rate: must be a finite number"},
		{"rate = 120", "rate = inf", "invalid: line 6: quota.rate: must be a finite number"},
		{"rate = 120", "rate = 0", "invalid: line 6: quota.rate: must be above 0"},
		{"rate = 120", "rate = 1e300", "invalid: line 6: quota.rate: must not be above"},
		{"rate = 120", "rate = 20", "invalid: line 9: quota.classes.place-order: 30 is above quota.rate"},
		{"rate = 120", "rate = 120\nrate = 1", "invalid: line 7: quota.rate: Key 'quota.rate' has already been defined"},
		{"burst = 24.5", "burst = -1", "invalid: line 7: quota.burst: must not be negative"},
		{"burst = 24.5", "brust = 1", "invalid: line 7: quota.brust: is not known"},
		{"place-order = 30", "buy = 30", "invalid: line 9: quota.classes.buy: is not among namespace.classes"},
		{"weight = 3", "weight = 0", "invalid: line 12: routes[0].weight: must be above 0"},
		{"weight = 1", "", "invalid: line 13: routes[1].weight: must be above 0"},
		{`"app-[0-9]*"`, `"app-["`, `invalid: line 14: routes[1].id: "app-[" is no pattern`},
		{`id = "app-[0-9]*"`, `zone = "ghala"`, "invalid: line 13: routes[1]: names the same servers as routes[0]"},
		{`zone = "ghala"`, `zone = "` + strings.Repeat("z", 65) + `"`, "invalid: line 11: routes[0].zone: is longer than 64"},
		{`name = "amouage"`, "#" + strings.Repeat("x", fleet.MaxTenantBytes), "invalid: is over 65536 bytes"},
	} {
		text := strings.Replace(validTOML, f.old, f.new, 1)
		_, err := ParseTOML([]byte(text))
		if !errors.Is(err, fleet.ErrInvalid) || !strings.HasPrefix(err.Error(), f.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q:\n got %v\nwant %s", f.new, f.old, err, f.want)
		}
	}
	for body, want := range map[string]string{
		``:                                "invalid: is no JSON: EOF",
		`{"generation": 1.5, "spec": {}}`: "invalid: generation: must be a whole number",
		`{"generation": 1, "spec": {"quota": {"rate": "x"}}}`:                          "invalid: spec.quota.rate: must be a number",
		`{"generation": 1, "spec": {"routes": [{"wieght": 1}]}}`:                       "invalid: spec.routes[0].wieght: is not known",
		`{"generation": 1, "spec": {"name": "a"}}`:                                     "invalid: spec.quota.rate: must be above 0",
		`{"generation": 1, "spec": {"name": "a", "name": "b"}}`:                        "invalid: spec.name: is given twice",
		`{"generation": 1, "spec": {"quota": {"rate": 1e999}}}`:                        "invalid: spec.quota.rate: must be a finite number",
		`{"generation": 1, "spec": null}`:                                              "invalid: spec: must be an object",
		`{"generation": 1, "spec": {}, "sepc": 1}`:                                     "invalid: sepc: is not known",
		`{"generation": 1} {}`:                                                         "invalid: goes on after its end",
		`{"generation": 1, "spec": {"Name": "a"}}`:                                     "invalid: spec.Name: is not known",
		`{"spec":` + strings.Repeat("[", 99):                                           "invalid: spec[0][0]",
		`{"generation": 1, "spec": {"name": "a", "quota": {"rate": 1}, "routes": {}}}`: "invalid: spec.routes: must be a list",
	} {
		if _, _, err := ParseProposal([]byte(body)); !errors.Is(err, fleet.ErrInvalid) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s:\n got %v\nwant %s", body, err, want)
		}
	}
}

// FuzzParseTOML and FuzzParseJSON check that invalid input gives one error on one line, and that an accepted specification is
// valid, survives a round trip and keeps its digest. Their corpora are the files under testdata/fuzz.
func FuzzParseTOML(f *testing.F) {
	f.Add([]byte(validTOML))
	f.Fuzz(func(t *testing.T, data []byte) { checkParsed(t, data, ParseTOML) })
}

func FuzzParseJSON(f *testing.F) {
	s, _ := ParseTOML([]byte(validTOML))
	f.Add(Canonical(s))
	f.Fuzz(func(t *testing.T, data []byte) { checkParsed(t, data, ParseJSON) })
}

func checkParsed(t *testing.T, data []byte, parse func([]byte) (fleet.Spec, error)) {
	s, err := parse(data)
	if err != nil {
		if !errors.Is(err, fleet.ErrInvalid) || len(err.Error()) > 700 || strings.ContainsFunc(err.Error(), unicode.IsControl) {
			t.Fatalf("error %v", err)
		}
		return
	}
	if err := Validate(s); err != nil {
		t.Fatalf("accepted an invalid specification: %v", err)
	}
	again, err := ParseJSON(Canonical(s))
	if err != nil || Digest(again) != Digest(s) {
		t.Fatalf("does not survive a round trip: %v", err)
	}
}
