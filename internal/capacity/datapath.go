package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// DataPath holds the runs of fleetlab datapath, which measure the latency that a real node adds to a request.
type DataPath struct {
	Format  int           `json:"format"`
	Commit  string        `json:"commit"`
	Command string        `json:"command"`
	Runs    []DataPathRun `json:"runs"`
}

// DataPathRun holds the latency percentiles of complete requests, sent directly and through the node in the same run.
type DataPathRun struct {
	RequestsPerS float64     `json:"requests_per_s"`
	ChangesPerS  float64     `json:"changes_per_s"`
	Servers      int         `json:"servers"`
	Seed         uint64      `json:"seed"`
	LoadAverage  float64     `json:"load_average"` // load average of the machine over the last minute before the run
	Direct       Percentiles `json:"direct"`
	Node         Percentiles `json:"node"`
	Failed       int64       `json:"failed"`
	Lost         int64       `json:"lost"`
}

// Percentiles are latency percentiles of Count requests, in ms.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
}

// ParseDataPath parses the runs. The error for an invalid file is one line that names the key.
func ParseDataPath(raw []byte) (DataPath, error) {
	var out DataPath
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&out); err != nil {
		return DataPath{}, invalid("data path: %w", err)
	}
	switch {
	case out.Format != Format:
		return DataPath{}, invalid("data path: format: %d, this build reads %d", out.Format, Format)
	case out.Commit == "":
		return DataPath{}, invalid("data path: commit: is missing")
	}
	for i, run := range out.Runs {
		if !(run.RequestsPerS > 0) || !(run.ChangesPerS >= 0) || run.Servers < 1 || run.Failed < 0 || run.Lost < 0 {
			return DataPath{}, invalid("data path: runs[%d]: requests, changes, servers, failed or lost can't be", i)
		}
		for _, p := range []Percentiles{run.Direct, run.Node} {
			if p.Count < 1 || !(0 <= p.P50 && p.P50 <= p.P99 && p.P99 <= p.P999) {
				return DataPath{}, invalid("data path: runs[%d]: percentiles that can't be", i)
			}
		}
	}
	return out, nil
}

// stubWorkMS is the time in ms that the stub works on a request.
const stubWorkMS = 5.0

// isUndisturbed reports whether a run can be evaluated: the p99 of the direct requests exceeds the stub's work by at most the
// allowed latency, so that added latency of that size can be seen.
func (r DataPathRun) isUndisturbed(p Plan) bool { return r.Direct.P99 <= stubWorkMS+p.Allowed.AddedMS }

// dataPathTable returns the table with the range over the repeats for each rate of requests and changes. Repeats that can be
// evaluated and those that can't have separate rows.
func dataPathTable(p Plan, d DataPath) table {
	out := table{name: "data path", head: []string{"requests a second", "changes of the list a second", "repeats, requests, load average",
		"direct p50, p99, p99.9", "added at p50", "at p99", "at p99.9", "not served, direct", "allowed at p99", "verdict"}}
	runs := slices.Clone(d.Runs)
	slices.SortStableFunc(runs, func(a, b DataPathRun) int {
		return cmp.Or(cmp.Compare(a.RequestsPerS, b.RequestsPerS), cmp.Compare(a.ChangesPerS, b.ChangesPerS), compareBool(b.isUndisturbed(p), a.isUndisturbed(p)))
	})
	for len(runs) > 0 {
		first := runs[0]
		n := slices.IndexFunc(runs, func(r DataPathRun) bool {
			return r.RequestsPerS != first.RequestsPerS || r.ChangesPerS != first.ChangesPerS || r.isUndisturbed(p) != first.isUndisturbed(p)
		})
		if n < 0 {
			n = len(runs)
		}
		out.rows = append(out.rows, dataPathRow(p, runs[:n]))
		runs = runs[n:]
	}
	if len(out.rows) == 0 {
		out.add(slices.Repeat([]string{notRun}, len(out.head))...)
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func dataPathRow(p Plan, runs []DataPathRun) []string {
	between := func(value func(r DataPathRun) float64) (low, high float64, text string) {
		low, high = value(runs[0]), value(runs[0])
		for _, run := range runs {
			low, high = min(low, value(run)), max(high, value(run))
		}
		if figure(low) == figure(high) {
			return low, high, figure(low)
		}
		return low, high, figure(low) + " to " + figure(high)
	}
	span := func(value func(r DataPathRun) float64) string { _, _, text := between(value); return text }
	low, high, p99 := between(func(r DataPathRun) float64 { return r.Node.P99 - r.Direct.P99 })
	verdict := "holds"
	switch {
	case !runs[0].isUndisturbed(p):
		verdict = "no verdict: the direct call's own p99 shows the machine's load"
	case low > p.Allowed.AddedMS:
		verdict = "**does not hold**"
	case high > p.Allowed.AddedMS:
		verdict = "open: it holds in some repeats"
	}
	direct := span(func(r DataPathRun) float64 { return r.Direct.P50 }) + "; " + span(func(r DataPathRun) float64 { return r.Direct.P99 }) + "; " +
		span(func(r DataPathRun) float64 { return r.Direct.P999 }) + " ms"
	return []string{plain(runs[0].RequestsPerS), plain(runs[0].ChangesPerS),
		fmt.Sprintf("%d, %s each, load %s", len(runs), span(func(r DataPathRun) float64 { return float64(r.Node.Count) }),
			span(func(r DataPathRun) float64 { return r.LoadAverage })), direct,
		span(func(r DataPathRun) float64 { return r.Node.P50 - r.Direct.P50 }) + " ms", p99 + " ms",
		span(func(r DataPathRun) float64 { return r.Node.P999 - r.Direct.P999 }) + " ms",
		span(func(r DataPathRun) float64 { return float64(r.Failed) }) + "; " + span(func(r DataPathRun) float64 { return float64(r.Lost) }),
		number(p.Allowed.AddedMS, "ms"), verdict}
}
