package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// benchOutput returns output of every benchmark of the catalog, with the value that cost gives for each size and repeat.
func benchOutput(cost func(size, repeat int) float64) string {
	var b strings.Builder
	for _, d := range catalog {
		if d.benchmark == (benchmark{}) {
			continue
		}
		fmt.Fprintf(&b, "pkg: meadowsill/%s\n", d.benchmark.pkg)
		for _, size := range []int{100, 200, 400, 800} {
			for repeat := range 3 {
				value, unit := cost(size, repeat), "ns/op"
				if d.unit != Nanoseconds {
					unit = d.benchmark.metric
				}
				fmt.Fprintf(&b, "BenchmarkCapacity%s/%s=%d-8 \t 10 \t %f %s\n", d.benchmark.name, d.per, size, value, unit)
			}
		}
	}
	return b.String()
}

// TestMeasure checks the slope and the range of a linear cost, the value of a flat cost, and the extrapolation of a superlinear cost
// by its power law.
func TestMeasure(t *testing.T) {
	linear, err := Measure(strings.NewReader(benchOutput(func(size, repeat int) float64 { return float64(size * (10 + repeat)) })), "out", "run %s")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range linear {
		if s.Value < 9.9 || s.Value > 10.1 || s.Low > s.Value || s.High < 11.9 || s.High > 12.1 || s.Largest != 800 {
			t.Fatalf("%s: %+v", s.ID, s)
		}
		if math.Abs(s.Exponent-1) > 0.01 || s.Repeats != 3 || !strings.HasPrefix(s.Command, "run ./") {
			t.Fatalf("%s: %+v", s.ID, s)
		}
		if at := s.At(8000); math.Abs(at/80_000-1) > 0.02 {
			t.Fatalf("%s: %g at 8,000", s.ID, at)
		}
	}
	square, err := Measure(strings.NewReader(benchOutput(func(size, _ int) float64 { return float64(size * size) })), "out", "run %s")
	if err != nil {
		t.Fatal(err)
	}
	same, err := Measure(strings.NewReader(benchOutput(func(_, repeat int) float64 { return float64(50 + repeat) })), "out", "run %s")
	if err != nil {
		t.Fatal(err)
	}
	if s := same[0]; !s.Flat() || math.Abs(s.At(1e6)-50) > 1 || s.High*s.Largest < 51.9 {
		t.Errorf("a flat cost of 50: %+v gives %g", s, s.At(1e6))
	}
	if s := square[0]; math.Abs(s.Exponent-2) > 0.01 || math.Abs(s.At(8000)/64e6-1) > 0.02 {
		t.Errorf("%+v gives %g at 8,000", s, s.At(8000))
	}
}

func TestMeasureRefuses(t *testing.T) {
	good := benchOutput(func(size, _ int) float64 { return float64(size) })
	for name, row := range map[string]struct{ text, want string }{
		"nothing":         {"", "benchmarks:"},
		"one is missing":  {strings.ReplaceAll(good, "BenchmarkCapacityGuard/", "BenchmarkCapacityOther/"), "Guard"},
		"two sizes":       {strings.NewReplacer("Guard/tenants=100-", "Other/tenants=100-", "Guard/tenants=200-", "Other/tenants=200-").Replace(good), "Guard"},
		"a size of 0":     {strings.ReplaceAll(good, "Guard/tenants=100-", "Guard/tenants=0-"), `size "0"`},
		"a size of words": {strings.ReplaceAll(good, "Guard/tenants=100-", "Guard/tenants=many-"), `size "many"`},
		"a lost repeat":   {strings.Replace(good, "Guard/tenants=100-", "Other/tenants=100-", 1), "repeats"},
	} {
		_, err := Measure(strings.NewReader(row.text), "out", "run %s")
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", name, err, row.want)
		}
	}
}
