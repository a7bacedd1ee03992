package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"meadowsill/internal/lab/bounds"
)

// Format is the version of the results file.
const Format = 1

// resultsFile and histogramsFile are the names of a run directory's files.
const (
	resultsFile    = "results.json"
	histogramsFile = "histograms.json"
)

// Results are a sweep's figures.
type Results struct {
	Format    int            `json:"format"`
	Commit    string         `json:"commit"`       // of the program that measured
	Discovery string         `json:"listd_commit"` // of the replicas' program
	Machine   bounds.Machine `json:"machine"`
	Sweep     Plan           `json:"sweep"`
	Begun     time.Time      `json:"begun"`
	TookS     float64        `json:"took_s"`
	Partial   string         `json:"partial,omitempty"` // why the sweep ended before its end; empty: it is complete
	Points    []Point        `json:"points"`
	Fits      []Fit          `json:"fits"`
}

// Point is what was measured at one size.
type Point struct {
	Size    float64  `json:"size"`
	Load    Load     `json:"load"`
	Repeats []Repeat `json:"repeats"`
}

// Repeat is one run of one size.
type Repeat struct {
	Values      Values  `json:"values"`
	WindowS     float64 `json:"window_s"`             // as it was measured
	Changes     int     `json:"changes"`              // put and waited for
	Late        int     `json:"late,omitempty"`       // of them, begun after their time, as the one before took so long
	Refused     int     `json:"refused,omitempty"`    // changes not put, as every tenant that was tried was not done with its last one
	Restarts    int     `json:"restarts,omitempty"`   // of nodes
	Replaced    int     `json:"replaced,omitempty"`   // servers
	WorstNode   string  `json:"worst_node,omitempty"` // that came to a change last
	MachineLoad float64 `json:"machine_load"`         // the machine's load average at the window's end, of all that runs there
	Failed      string  `json:"failed,omitempty"`     // why there are no values
	Histogram   string  `json:"-"`                    // of the changes, as HdrHistogram encodes it; in a file of its own
}

// Samples gives the measured values of one metric over all sizes.
func (r *Results) Samples(metric Metric) []Sample {
	var out []Sample
	for _, point := range r.Points {
		for _, repeat := range point.Repeats {
			if v, ok := repeat.Values[metric]; ok && repeat.Failed == "" {
				out = append(out, Sample{Size: point.Size, Value: v})
			}
		}
	}
	return out
}

// Metrics gives the names of all that was measured, in order.
func (r *Results) Metrics() []Metric {
	all := Values{}
	for _, point := range r.Points {
		for _, repeat := range point.Repeats {
			for name := range repeat.Values {
				all[name] = 0
			}
		}
	}
	return all.Names()
}

// FitAll makes the fits anew from the points.
func (r *Results) FitAll() {
	r.Fits = nil
	for _, metric := range r.Metrics() {
		if fit, ok := FitSamples(metric, r.Samples(metric)); ok {
			r.Fits = append(r.Fits, fit)
		}
	}
}

// Fit finds the fit of a metric.
func (r *Results) Fit(metric Metric) (Fit, bool) {
	i := slices.IndexFunc(r.Fits, func(f Fit) bool { return f.Metric == metric })
	if i < 0 {
		return Fit{}, false
	}
	return r.Fits[i], true
}

// Mean is a metric's mean over the repeats of a point; ok is false where it was not measured.
func (p Point) Mean(metric Metric) (mean float64, ok bool) {
	var values []float64
	for _, repeat := range p.Repeats {
		if v, has := repeat.Values[metric]; has && repeat.Failed == "" {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	return stat.Mean(values, nil), true
}

// histogram is one repeat's HdrHistogram in the file of histograms.
type histogram struct {
	Size    float64 `json:"size"`
	Repeat  int     `json:"repeat"`
	Encoded string  `json:"encoded"`
}

// Write puts results.json, and the histograms in a file of their own, in a directory.
func (r *Results) Write(dir string) error {
	var all []histogram
	for _, point := range r.Points {
		for i, repeat := range point.Repeats {
			if repeat.Histogram != "" {
				all = append(all, histogram{Size: point.Size, Repeat: i, Encoded: repeat.Histogram})
			}
		}
	}
	if err := writeJSON(filepath.Join(dir, resultsFile), r); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, histogramsFile), all)
}

// writeJSON writes a value to a file, completely or not at all.
func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(raw, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// ReadResults reads a results file. One of another format is refused.
func ReadResults(path string) (*Results, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Results
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("%s: format: %d, this build reads %d", path, r.Format, Format)
	}
	return &r, nil
}
