package report

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"meadowsill/internal/invariants"
)

// Limits on the log lines that are collected as evidence for breaches.
const (
	maxEvidenceIDs   = 50 // request ids that are searched for
	maxEvidenceLines = 5  // lines kept for each id
)

// evidence searches the run's logs (of nodes and agents) for lines that contain the request ids of the first breaches. Each line is
// prefixed with the node whose log has it: "n3: ...". A node logs a request's id only in warnings, so many breaches have no
// such lines.
func evidence(dir string, breaches []invariants.Breach) map[string][]string {
	out := map[string][]string{}
	want := map[string]bool{}
	for _, b := range breaches {
		if b.ID != "" && len(want) < maxEvidenceIDs {
			want[b.ID] = true
		}
	}
	if len(want) == 0 {
		return out
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "nodes", "*", "*.log"))
	for _, path := range logs {
		node := filepath.Base(filepath.Dir(path))
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(make([]byte, 64<<10), 1<<20)
		for lines.Scan() {
			line := lines.Text()
			for id := range want {
				if strings.Contains(line, id) && len(out[id]) < maxEvidenceLines {
					out[id] = append(out[id], node+": "+line)
				}
			}
		}
		f.Close()
	}
	return out
}
