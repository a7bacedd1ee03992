package scale

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
)

// TestOverLimitsFindsExcessGrowth runs a sweep on the fake fleet with costs of known exponents.
func TestOverLimitsFindsExcessGrowth(t *testing.T) {
	for _, row := range []struct {
		exponent, maximum float64
		over              bool
	}{{0, 0.1, false}, {0.5, 0.1, true}, {1, 1.1, false}, {1.5, 1.1, true}, {1.5, 0.1, true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet()
			f.bytesPerS = func(nodes, _ int) float64 { return 1000 * math.Pow(float64(nodes), row.exponent) }
			lines := f.runSweep(t, t.Context(), runPlan).OverLimits([]GrowthLimit{{NodeBytes, row.maximum}})
			if over := len(lines) == 1; over != row.over || len(lines) > 1 {
				t.Errorf("cost n^%v, limit %v: %q", row.exponent, row.maximum, lines)
			}
		})
	}
}

func TestOverLimitsRequiresACompleteSweep(t *testing.T) {
	r := resultsOf(func(n float64) float64 { return n })
	r.Sweep.Sizes = fitSizes
	if lines := r.OverLimits([]GrowthLimit{{NodeBytes, 1.1}}); len(lines) != 0 {
		t.Errorf("%q", lines)
	}
	if lines := r.OverLimits([]GrowthLimit{{LeaderCPU, 1.1}}); len(lines) != 1 || !strings.Contains(lines[0], "not measured") {
		t.Errorf("%q", lines)
	}
	r.Partial = "interrupted"
	if lines := r.OverLimits([]GrowthLimit{{NodeBytes, 1.1}}); len(lines) != 1 || !strings.Contains(lines[0], "partial") {
		t.Errorf("%q", lines)
	}
	zero := resultsOf(func(float64) float64 { return -1 })
	zero.Sweep.Sizes = fitSizes
	if lines := zero.OverLimits([]GrowthLimit{{NodeBytes, 1.1}}); len(lines) != 1 {
		t.Errorf("%q", lines)
	}
}
