package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Superlinear is the exponent above which a cost is said to grow faster than the dimension that it is measured against.
const Superlinear = 1.1

// minFittedPoints is the minimum number of sizes that a fit is computed from, not counting the size that it predicts.
const minFittedPoints = 3

// Sample is one measured value at one size.
type Sample struct {
	Size  float64
	Value float64
}

// Fit is a regression line through the samples of all sizes but the largest, the exponent of a power law fitted to the same samples,
// and the line's prediction for the largest size.
type Fit struct {
	Metric      Metric  `json:"metric"`
	Slope       float64 `json:"slope"`        // of the line, per unit of the dimension
	Intercept   float64 `json:"intercept"`    // of the line
	Residual    float64 `json:"residual"`     // standard error of the line, in the metric's unit
	Exponent    float64 `json:"exponent"`     // slope of the line through the logarithms; 0 if HasExponent is false
	HasExponent bool    `json:"has_exponent"` // false if a value was 0 or below
	Superlinear bool    `json:"superlinear"`  // Exponent is over Superlinear
	Largest     float64 `json:"largest"`      // the size that was left out
	Predicted   float64 `json:"predicted"`    // value that the line predicts for Largest
	Measured    float64 `json:"measured"`     // value measured at Largest, the mean over its repeats
	Error       float64 `json:"error"`        // (Predicted - Measured) / Measured; 0 if Measured is 0
}

// FitSamples fits the samples of one metric. ok is false if there are fewer than four sizes.
func FitSamples(metric Metric, samples []Sample) (fit Fit, ok bool) {
	sizes := distinctSizes(samples)
	if len(sizes) < minFittedPoints+1 {
		return Fit{}, false
	}
	largest := sizes[len(sizes)-1]
	var x, y, measured []float64
	for _, s := range samples {
		if s.Size == largest {
			measured = append(measured, s.Value)
			continue
		}
		x, y = append(x, s.Size), append(y, s.Value)
	}
	fit = Fit{Metric: metric, Largest: largest, Measured: stat.Mean(measured, nil)}
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	fit.Residual = standardError(x, y, fit.Intercept, fit.Slope)
	fit.Predicted = fit.Intercept + fit.Slope*largest
	if fit.Measured != 0 {
		fit.Error = (fit.Predicted - fit.Measured) / fit.Measured
	}
	fit.Exponent, fit.HasExponent = Exponent(x, y)
	fit.Superlinear = fit.HasExponent && fit.Exponent > Superlinear
	return fit, true
}

// Exponent returns k of y = c * x^k, the slope of a regression line through the logarithms. ok is false if a value is 0 or below.
func Exponent(x, y []float64) (k float64, ok bool) {
	logX, logY := make([]float64, len(x)), make([]float64, len(y))
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			return 0, false
		}
		logX[i], logY[i] = math.Log(x[i]), math.Log(y[i])
	}
	_, k = stat.LinearRegression(logX, logY, nil, false)
	return k, !math.IsNaN(k) && !math.IsInf(k, 0)
}

// standardError returns the residual standard error of a line with two parameters; 0 if there are two points or fewer.
func standardError(x, y []float64, intercept, slope float64) float64 {
	sum := 0.0
	for i := range x {
		deviation := y[i] - intercept - slope*x[i]
		sum += deviation * deviation
	}
	if len(x) <= 2 {
		return 0
	}
	return math.Sqrt(sum / float64(len(x)-2))
}

// distinctSizes returns the distinct sizes of the samples in ascending order.
func distinctSizes(samples []Sample) []float64 {
	var sizes []float64
	for _, s := range samples {
		sizes = append(sizes, s.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}
