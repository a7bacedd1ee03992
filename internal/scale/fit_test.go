package scale

import (
	"math"
	"testing"
)

// samplesOf returns the samples of two repeats at each size, 1 % below and above the cost.
func samplesOf(sizes []float64, cost func(float64) float64) []Sample {
	var out []Sample
	for _, size := range sizes {
		out = append(out, Sample{size, cost(size) * 0.99}, Sample{size, cost(size) * 1.01})
	}
	return out
}

var fitSizes = []float64{16, 32, 64, 128, 256}

func TestFitOfALine(t *testing.T) {
	fit, ok := FitSamples(NodeBytes, samplesOf(fitSizes, func(n float64) float64 { return 1000 + 50*n }))
	if !ok || math.Abs(fit.Slope-50) > 1e-6 || math.Abs(fit.Intercept-1000) > 1e-6 {
		t.Fatalf("%+v", fit)
	}
	if fit.Largest != 256 || math.Abs(fit.Predicted-13800) > 1e-6 || math.Abs(fit.Error) > 1e-9 {
		t.Errorf("largest: %+v", fit)
	}
	if fit.Superlinear || fit.Exponent > 1 || fit.Residual <= 0 {
		t.Errorf("%+v", fit)
	}
}

func TestFitFlagsSuperlinearGrowth(t *testing.T) {
	for _, row := range []struct {
		exponent    float64
		superlinear bool
	}{{0, false}, {0.5, false}, {1, false}, {1.05, false}, {1.2, true}, {1.5, true}, {2, true}} {
		fit, ok := FitSamples(NodeBytes, samplesOf(fitSizes, func(n float64) float64 { return 3 * math.Pow(n, row.exponent) }))
		if !ok || math.Abs(fit.Exponent-row.exponent) > 1e-6 || fit.Superlinear != row.superlinear {
			t.Errorf("n^%v: %+v", row.exponent, fit)
		}
		if row.exponent == 2 && fit.Error > -0.1 {
			t.Errorf("a line predicts a square with an error of %v", fit.Error)
		}
	}
}

// TestFitLeavesTheLargestOut checks that the largest size, which is off the line here, affects neither slope nor exponent.
func TestFitLeavesTheLargestOut(t *testing.T) {
	fit, ok := FitSamples(NodeBytes, samplesOf(fitSizes, func(n float64) float64 {
		if n == 256 {
			return 1e6
		}
		return 10 * n
	}))
	if !ok || math.Abs(fit.Slope-10) > 1e-6 || math.Abs(fit.Exponent-1) > 1e-6 || math.Abs(fit.Predicted-2560) > 1e-6 ||
		math.Abs(fit.Measured-1e6) > 1e-6 || fit.Error > -0.99 {
		t.Errorf("%+v", fit)
	}
}

func TestFitNeedsFourSizes(t *testing.T) {
	if fit, ok := FitSamples(NodeBytes, samplesOf(fitSizes[:3], func(n float64) float64 { return n })); ok {
		t.Errorf("fit of three sizes: %+v", fit)
	}
	fit, ok := FitSamples(NodeBytes, samplesOf(fitSizes, func(float64) float64 { return 0 }))
	if !ok || fit.HasExponent || fit.Superlinear || fit.Error != 0 {
		t.Errorf("fit of zeros: %+v, %v", fit, ok)
	}
}
