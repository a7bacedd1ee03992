package report

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"

	"meadowsill/internal/invariants"
)

// Limits on what evidence is gathered for breaches.
const (
	evidenceIDs   = 50 // breaches looked up
	evidenceLines = 5  // lines kept for each
)

// evidence finds, for the first breaches' request ids, the lines of the run's logs (nodes and agents) that name
// them, each prefixed with the log's node: "n3: ...". A node logs an id only where it warns of it, so many
// breaches have none.
func evidence(dir string, breaches []invariants.Breach) map[string][]string {
	out := map[string][]string{}
	want := map[string]bool{}
	for _, b := range breaches {
		if b.ID != "" && len(want) < evidenceIDs {
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
				if strings.Contains(line, id) && len(out[id]) < evidenceLines {
					out[id] = append(out[id], node+": "+line)
				}
			}
		}
		f.Close()
	}
	return out
}
