package capacity

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

const (
	modulePath      = "meadowsill/"
	benchmarkPrefix = "Capacity"
	minSizes        = 3 // minimum number of sizes for a fit
	secondsPerNano  = 1e-9
)

// sample is the figure of a benchmark at one size in one repeat.
type sample struct {
	size  float64
	value float64
}

// Measure reads the output of go test -bench and returns a slope for each benchmark of the catalog. Every benchmark must be present
// with at least three sizes. command is the command that produced the output; its %s stands for the package.
func Measure(output io.Reader, name, command string) ([]Slope, error) {
	reader := benchfmt.NewReader(output, name)
	samples := map[benchmark][]sample{}
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.SyntaxError:
			return nil, invalid("benchmarks: %w", record)
		case *benchfmt.Result:
			if err := collect(record, samples); err != nil {
				return nil, err
			}
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("benchmarks: %w", err)
	}
	var out []Slope
	for _, definition := range catalog {
		if definition.benchmark == (benchmark{}) {
			continue
		}
		slope, err := fit(samples[definition.benchmark])
		if err != nil {
			return nil, invalid("benchmarks: %s of %s: %w", definition.benchmark.name, definition.benchmark.pkg, err)
		}
		if definition.unit == Nanoseconds {
			slope.Value = slope.Value / secondsPerNano
			slope.Low = slope.Low / secondsPerNano
			slope.High = slope.High / secondsPerNano
		}
		slope.ID = definition.id
		slope.Role = definition.role
		slope.Quantity = definition.quantity
		slope.Per, slope.Unit = definition.per, definition.unit
		slope.Command = fmt.Sprintf(command, "./"+definition.benchmark.pkg)
		out = append(out, slope)
	}
	return out, nil
}

// collect adds the values of one result line to the samples.
func collect(result *benchfmt.Result, samples map[benchmark][]sample) error {
	pkg := strings.TrimPrefix(result.GetConfig("pkg"), modulePath)
	base, parts := result.Name.Parts()
	name, isCapacity := strings.CutPrefix(string(base), benchmarkPrefix)
	if !isCapacity {
		return nil
	}
	for _, part := range parts {
		_, text, ok := strings.Cut(string(part), "=")
		if !ok {
			continue // this part of the name is the number of processors
		}
		size, err := strconv.ParseFloat(text, 64)
		if err != nil || size <= 0 {
			return invalid("benchmarks: %s: size %q", result.Name, text)
		}
		for _, value := range result.Values {
			key := benchmark{pkg, name, value.Unit}
			samples[key] = append(samples[key], sample{size, value.Value})
		}
	}
	return nil
}

// fit returns the cost per unit of size from a fit through the origin. Other work on the machine can only lengthen a time, so the
// value is fitted to the minimum of the repeats at each size. The range covers the fits of the individual repeats.
func fit(samples []sample) (Slope, error) {
	sizes := []float64{}
	for _, s := range samples {
		if !slices.Contains(sizes, s.size) {
			sizes = append(sizes, s.size)
		}
	}
	slices.Sort(sizes)
	if len(sizes) < minSizes {
		return Slope{}, fmt.Errorf("%d sizes, a fit needs %d", len(sizes), minSizes)
	}
	values := make([][]float64, len(sizes)) // by size and repeat
	for i, size := range sizes {
		for _, s := range samples {
			if s.size == size {
				values[i] = append(values[i], s.value)
			}
		}
		if len(values[i]) != len(values[0]) {
			return Slope{}, fmt.Errorf("%d repeats at size %g and %d at %g", len(values[0]), sizes[0], len(values[i]), size)
		}
	}
	minimum := make([]float64, len(sizes))
	for i := range sizes {
		minimum[i] = slices.Min(values[i])
		if minimum[i] <= 0 {
			return Slope{}, errors.New("a value that is not above 0")
		}
	}
	slope := Slope{Repeats: len(values[0]), Largest: sizes[len(sizes)-1], Exponent: exponent(sizes, minimum)}
	slope.Value = perUnit(sizes, minimum, slope.Exponent)
	slope.Low, slope.High = slope.Value, slope.Value
	for repeat := range values[0] {
		one := make([]float64, len(sizes))
		for i := range sizes {
			one[i] = values[i][repeat]
		}
		cost := perUnit(sizes, one, slope.Exponent)
		slope.Low, slope.High = min(slope.Low, cost), max(slope.High, cost)
	}
	return slope, nil
}

// exponent returns the exponent of a power law that is fitted to the figures.
func exponent(sizes, values []float64) float64 {
	logSizes, logValues := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i := range sizes {
		logSizes[i], logValues[i] = math.Log(sizes[i]), math.Log(values[i])
	}
	_, beta := stat.LinearRegression(logSizes, logValues, nil, false)
	return beta
}

// perUnit returns the slope of a line through the origin, with each size weighted by its inverse, so that a relative error counts
// the same at all sizes. For a superlinear cost it returns the cost per unit at the largest size, from which Slope.At extrapolates
// by the power law; for a flat cost it returns the highest cost divided by the largest size.
func perUnit(sizes, values []float64, exponent float64) float64 {
	last := len(sizes) - 1
	switch {
	case exponent > superlinear:
		return values[last] / sizes[last]
	case exponent < flat:
		return slices.Max(values) / sizes[last]
	}
	weights := make([]float64, len(sizes))
	for i, size := range sizes {
		weights[i] = 1 / size
	}
	_, beta := stat.LinearRegression(sizes, values, weights, true)
	return beta
}

// Merge returns the slopes with the measured ones added, in place of slopes with the same ids.
func (s Slopes) Merge(measured []Slope, commit string) Slopes {
	out := Slopes{Format: Format, Commit: commit, Slopes: slices.Clone(s.Slopes)}
	for _, slope := range measured {
		i := slices.IndexFunc(out.Slopes, func(old Slope) bool { return old.ID == slope.ID })
		if i < 0 {
			out.Slopes = append(out.Slopes, slope)
			continue
		}
		out.Slopes[i] = slope
	}
	return out
}
