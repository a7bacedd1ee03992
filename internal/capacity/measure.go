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
	fewestSizes     = 3 // that a fit is made from
	secondsPerNano  = 1e-9
)

// sample is one benchmark's figure at one size, in one repeat.
type sample struct {
	size  float64
	value float64
}

// Measure reads the output of go test -bench and gives a slope for each benchmark of the catalog. All of them must be there, each
// at three sizes or more. command is how the output was made; its %s stands for the package.
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
	name, ours := strings.CutPrefix(string(base), benchmarkPrefix)
	if !ours {
		return nil
	}
	for _, part := range parts {
		_, text, ok := strings.Cut(string(part), "=")
		if !ok {
			continue // the number of processors
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

// fit gives the cost for each unit of size, through the origin. Other work on the machine can only lengthen a time, so the value
// comes of the least of each size over the repeats, the range of the fit of each repeat.
func fit(samples []sample) (Slope, error) {
	sizes := []float64{}
	for _, s := range samples {
		if !slices.Contains(sizes, s.size) {
			sizes = append(sizes, s.size)
		}
	}
	slices.Sort(sizes)
	if len(sizes) < fewestSizes {
		return Slope{}, fmt.Errorf("%d sizes, a fit needs %d", len(sizes), fewestSizes)
	}
	values := make([][]float64, len(sizes)) // by size, by repeat
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

// exponent is that of the power law through the figures.
func exponent(sizes, values []float64) float64 {
	logSizes, logValues := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i := range sizes {
		logSizes[i], logValues[i] = math.Log(sizes[i]), math.Log(values[i])
	}
	_, beta := stat.LinearRegression(logSizes, logValues, nil, false)
	return beta
}

// perUnit is the slope of a line through the origin, each size weighted by its inverse: a relative error counts alike at all. A
// superlinear cost has that of the largest size, from which its power law carries it on, and a flat one that of the dearest.
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

// Merge puts measured slopes over those of the same ids.
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
