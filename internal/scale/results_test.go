package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// resultsOf returns results with one metric and two repeats at each size.
func resultsOf(cost func(float64) float64) *Results {
	r := &Results{Format: Format, Commit: "0123456789", Sweep: Plan{Name: "test", Dimension: Nodes}}
	for _, size := range fitSizes {
		point := Point{Size: size}
		for i := range 2 {
			point.Repeats = append(point.Repeats, Repeat{Values: Values{NodeBytes: cost(size) + float64(i)}, Histogram: "h"})
		}
		r.Points = append(r.Points, point)
	}
	r.FitAll()
	return r
}

func TestResultsRoundTrip(t *testing.T) {
	dir := t.TempDir()
	r := resultsOf(func(n float64) float64 { return 5 * n })
	r.Points[0].Repeats[0].Failed = "no leader"
	r.FitAll()
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	again, err := ReadResults(filepath.Join(dir, "results.json"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range r.Points {
		for k := range r.Points[i].Repeats {
			r.Points[i].Repeats[k].Histogram = "" // stored in a separate file
		}
	}
	if d := cmp.Diff(r, again); d != "" {
		t.Error(d)
	}
	if _, ok := again.Fit(NodeBytes); !ok || len(again.Samples(NodeBytes)) != 9 {
		t.Errorf("fits %+v, %d samples", again.Fits, len(again.Samples(NodeBytes)))
	}
}

func TestResultsOfAnotherFormatAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.json")
	for _, text := range []string{`{"format": 2}`, `{}`, `[`} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if r, err := ReadResults(path); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %+v, %v", text, r, err)
		}
	}
}

func TestTableMarksSuperlinearFits(t *testing.T) {
	r := resultsOf(func(n float64) float64 { return n * n })
	r.Partial = "interrupted"
	var b strings.Builder
	r.Table(&b)
	text := b.String()
	for _, want := range []string{"superlinear", "partial: interrupted", string(NodeBytes), "256", "0123456789"} {
		if !strings.Contains(text, want) {
			t.Errorf("the table lacks %q:\n%s", want, text)
		}
	}
}

func TestPlotsAreWritten(t *testing.T) {
	dir := t.TempDir()
	names, err := resultsOf(func(n float64) float64 { return 7 * n }).Plot(dir)
	if err != nil || len(names) != 1 {
		t.Fatalf("%v, %v", names, err)
	}
	if info, err := os.Stat(filepath.Join(dir, names[0])); err != nil || info.Size() == 0 {
		t.Errorf("%v", err)
	}
}
