// Package report computes figures from the records of a lab run, for each phase of its timeline, and writes them as JSON and as plots.
package report

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab"
)

// Phase is the part of a run between two successive events of its timeline.
type Phase struct {
	// From and To are seconds from the run's start.
	From      float64
	To        float64
	Event     string // the event at the start of the phase
	Sent      int
	Served    int
	Refused   int     // answers with status 429 or 503
	Failed    int     // requests with another status than 200, 429 and 503, or without an answer
	GoodputPS float64 `json:"goodput_per_s"`
	P50MS     float64 `json:"p50_ms"` // latency of served requests, from the last byte sent to the last byte received
	P99MS     float64 `json:"p99_ms"`
	P999MS    float64 `json:"p999_ms"`
}

// Report holds the figures of a run.
type Report struct {
	Scenario         string              `json:"scenario"`
	Phases           []Phase             `json:"phases"`
	Total            Phase               `json:"whole"`
	PerNode          map[string]int      `json:"per_node"`   // requests that the front sent to each node
	PerServer        map[string]int64    `json:"per_server"` // requests that each app server worked on
	Breaches         []invariants.Breach `json:"breaches"`
	Evidence         map[string][]string `json:"evidence"` // log lines that contain a request's id, by id
	NeverUp          []string            `json:"never_up"`
	WarmingOverloads int                 `json:"cold_falls"` // overloads of warming app servers, whether or not the nodes knew of the start
	CPU              lab.CPU             `json:"cpu"`
	LabCPUFraction   float64             `json:"lab_cpu_share"` // the lab's part of all CPU time: of the lab, the nodes, the agents and the replicas
	Skipped          int                 `json:"skipped"`
	Zones            []ZoneLoss          `json:"zones"`
	Onboarded        []Onboarding        `json:"onboarded"`
	Drifts           []Detection         `json:"drifts"`
	Deaths           Deaths              `json:"deaths"`      // deaths among the gossiping members
	BytesPS          map[string]float64  `json:"bytes_per_s"` // traffic through the relays in both directions, by kind of link, averaged over the run
	NoFile           [2]uint64           `json:"nofile"`
	Links            int                 `json:"links"`
	Plots            []string            `json:"plots"`
}

// Build computes the report from a run's records.
func Build(r *lab.Records) *Report {
	out := &Report{
		Scenario:         r.Scenario.Name,
		PerNode:          map[string]int{},
		PerServer:        map[string]int64{},
		Breaches:         r.Breaches,
		CPU:              r.CPU,
		WarmingOverloads: len(r.Falls),
		Skipped:          r.Skipped,
		NoFile:           r.NoFile,
		Links:            r.Links,
	}
	if out.Breaches == nil {
		out.Breaches = []invariants.Breach{}
	}
	if total := r.CPU.LabS + r.CPU.NodesS + r.CPU.AgentsS + r.CPU.ReplicasS; total > 0 {
		out.LabCPUFraction = r.CPU.LabS / total
	}
	out.Zones = zoneLosses(r)
	out.Onboarded = onboardings(r)
	out.Drifts = detections(r)
	out.BytesPS = map[string]float64{}
	out.Deaths = deaths(r)
	for kind, n := range r.Bytes {
		out.BytesPS[kind] = float64(n) / r.Scenario.DurationS
	}
	edges := []float64{0}
	names := []string{"start"}
	for _, d := range r.Timeline {
		edges = append(edges, d.At.Seconds())
		names = append(names, d.Do)
	}
	edges = append(edges, r.Scenario.DurationS)
	for i := range len(edges) - 1 {
		out.Phases = append(out.Phases, phase(r.Sent, edges[i], edges[i+1], names[i]))
	}
	out.Total = phase(r.Sent, 0, r.Scenario.DurationS, "whole")
	for _, s := range r.Sent {
		if s.Node >= 0 && s.Node < len(r.Nodes) {
			out.PerNode[r.Nodes[s.Node].Name]++
		}
	}
	for _, s := range r.Servers {
		out.PerServer[s.ID] = s.Served
	}
	for _, n := range r.Nodes {
		if n.NeverUp > 0 {
			out.NeverUp = append(out.NeverUp, n.Name)
		}
	}
	return out
}

func phase(sent []invariants.Sent, from, to float64, event string) Phase {
	p := Phase{From: from, To: to, Event: event}
	h := hdrhistogram.New(1, 60_000_000, 3) // microseconds
	for _, s := range sent {
		if at := s.At.Seconds(); at < from || at >= to {
			continue
		}
		p.Sent++
		switch {
		case s.Status == 200:
			p.Served++
			h.RecordValue(max(int64((s.Done-s.At)/time.Microsecond), 1))
		case s.Status == 429 || s.Status == 503:
			p.Refused++
		default:
			p.Failed++
		}
	}
	if to > from {
		p.GoodputPS = float64(p.Served) / (to - from)
	}
	p.P50MS = float64(h.ValueAtQuantile(50)) / 1000
	p.P99MS = float64(h.ValueAtQuantile(99)) / 1000
	p.P999MS = float64(h.ValueAtQuantile(99.9)) / 1000
	return p
}

// Write writes report.json and the plots to dir.
func Write(dir string, r *lab.Records, rep *Report) error {
	rep.Evidence = evidence(dir, rep.Breaches)
	plots := map[string]func(*lab.Records) (*plot.Plot, error){"latency.png": latencyPlot, "goodput.png": goodputPlot,
		"servers.png": serversPlot}
	for _, name := range []string{"latency.png", "goodput.png", "servers.png"} {
		p, err := plots[name](r)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := p.Save(8*vg.Inch, 4*vg.Inch, filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		rep.Plots = append(rep.Plots, name)
	}
	raw, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), raw, 0o644)
}

// perSecond groups the sent requests by the second in which they were sent.
func perSecond(r *lab.Records) [][]invariants.Sent {
	out := make([][]invariants.Sent, int(r.Scenario.DurationS)+1)
	for _, s := range r.Sent {
		if i := int(s.At.Seconds()); i >= 0 && i < len(out) {
			out[i] = append(out[i], s)
		}
	}
	return out
}

func markEvents(p *plot.Plot, r *lab.Records, top float64) {
	for _, d := range r.Timeline {
		x := d.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			continue
		}
		line.Color = color.RGBA{R: 200, A: 255}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top}}, Labels: []string{d.Do}})
		if err == nil {
			p.Add(label)
		}
	}
}

func latencyPlot(r *lab.Records) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario.Name + ": latency of served requests"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	var p50, p99 plotter.XYs
	top := 1.0
	for i, bucket := range perSecond(r) {
		ph := phase(bucket, float64(i), float64(i+1), "")
		if ph.Served == 0 {
			continue
		}
		p50 = append(p50, plotter.XY{X: float64(i), Y: ph.P50MS})
		p99 = append(p99, plotter.XY{X: float64(i), Y: ph.P99MS})
		top = max(top, ph.P99MS)
	}
	if err := addLines(p, "p50", p50, color.RGBA{B: 200, A: 255}, "p99", p99, color.RGBA{G: 140, A: 255}); err != nil {
		return nil, err
	}
	markEvents(p, r, top)
	return p, nil
}

func goodputPlot(r *lab.Records) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Scenario.Name + ": answers a second"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests/s"
	var served, rejected plotter.XYs
	top := 1.0
	for i, bucket := range perSecond(r) {
		ph := phase(bucket, float64(i), float64(i+1), "")
		served = append(served, plotter.XY{X: float64(i), Y: float64(ph.Served)})
		rejected = append(rejected, plotter.XY{X: float64(i), Y: float64(ph.Refused + ph.Failed)})
		top = max(top, float64(ph.Sent))
	}
	if err := addLines(p, "served", served, color.RGBA{G: 140, A: 255}, "refused or failed", rejected, color.RGBA{R: 200, A: 255}); err != nil {
		return nil, err
	}
	markEvents(p, r, top)
	return p, nil
}

func addLines(p *plot.Plot, n1 string, a plotter.XYs, c1 color.Color, n2 string, b plotter.XYs, c2 color.Color) error {
	for _, l := range []struct {
		name string
		xys  plotter.XYs
		c    color.Color
	}{{n1, a, c1}, {n2, b, c2}} {
		if len(l.xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(l.xys)
		if err != nil {
			return err
		}
		line.Color = l.c
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return nil
}

func serversPlot(r *lab.Records) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = r.Scenario.Name+": requests worked on by each app server", "requests"
	servers := append([]lab.ServerInfo(nil), r.Servers...)
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	values := make(plotter.Values, len(servers))
	var names []string
	for i, s := range servers {
		values[i] = float64(s.Served)
		names = append(names, s.ID[len(s.ID)-3:]+" "+s.Zone)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(12))
	if err != nil {
		return nil, err
	}
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}
