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

// The names of the files in a run's directory.
const (
	resultsFile    = "results.json"
	histogramsFile = "histograms.json"
)

// Results are the results of a sweep: its measured points and the fits.
type Results struct {
	Format    int            `json:"format"`
	Commit    string         `json:"commit"`       // commit of the measuring program
	Discovery string         `json:"listd_commit"` // commit of the replicas' program
	Machine   bounds.Machine `json:"machine"`
	Sweep     Plan           `json:"sweep"`
	Begun     time.Time      `json:"begun"`
	TookS     float64        `json:"took_s"`
	Partial   string         `json:"partial,omitempty"` // why the sweep ended early; empty: the sweep is complete
	Points    []Point        `json:"points"`
	Fits      []Fit          `json:"fits"`
}

// Point holds the measurements at one size.
type Point struct {
	Size    float64  `json:"size"`
	Load    Load     `json:"load"`
	Repeats []Repeat `json:"repeats"`
}

// Repeat holds the measurements of one run at one size.
type Repeat struct {
	Values      Values  `json:"values"`
	WindowS     float64 `json:"window_s"`             // actual length of the measured window, in seconds
	Changes     int     `json:"changes"`              // changes that were proposed and waited for
	Late        int     `json:"late,omitempty"`       // those of Changes that began late because the previous change took too long
	Refused     int     `json:"refused,omitempty"`    // changes not made: every tenant tried was still rolling out its previous generation
	Restarts    int     `json:"restarts,omitempty"`   // node restarts
	Replaced    int     `json:"replaced,omitempty"`   // server replacements
	WorstNode   string  `json:"worst_node,omitempty"` // node with the longest time of a change, or one on which that change was not yet in force
	MachineLoad float64 `json:"machine_load"`         // load average of the whole machine at the window's end
	Failed      string  `json:"failed,omitempty"`     // why there are no values
	Histogram   string  `json:"-"`                    // times of the changes, encoded by HdrHistogram; stored in a separate file
}

// Samples returns the measured values of one metric over all sizes.
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

// Metrics returns the names of all metrics that were measured, sorted.
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

// FitAll replaces the fits by new ones, computed from the points.
func (r *Results) FitAll() {
	r.Fits = nil
	for _, metric := range r.Metrics() {
		if fit, ok := FitSamples(metric, r.Samples(metric)); ok {
			r.Fits = append(r.Fits, fit)
		}
	}
}

// Fit returns the fit of a metric.
func (r *Results) Fit(metric Metric) (Fit, bool) {
	i := slices.IndexFunc(r.Fits, func(f Fit) bool { return f.Metric == metric })
	if i < 0 {
		return Fit{}, false
	}
	return r.Fits[i], true
}

// Mean returns the mean of a metric over the repeats of a point; ok is false if the metric was not measured.
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

// histogram is the HdrHistogram of one repeat, as stored in the histograms file.
type histogram struct {
	Size    float64 `json:"size"`
	Repeat  int     `json:"repeat"`
	Encoded string  `json:"encoded"`
}

// Write writes results.json and, in a separate file, the histograms to a directory.
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

// writeJSON writes a value as JSON to a file. It replaces the file atomically, so that no incomplete file is left.
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

// ReadResults reads a results file. It returns an error if the file has another format version.
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
