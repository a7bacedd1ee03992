package lab

import (
	"fmt"
	"strings"
	"testing"

	"meadowsill/internal/lab/bounds"
	"meadowsill/lab/scenarios"
)

// labLimits are the limits of a machine with 16 GB of memory and 20,000 descriptors.
var labLimits = bounds.Limits{MemoryBytes: 8 << 30, Processes: bounds.MaxProcesses, Descriptors: 20_000, Ports: 28_000}

func TestBundledScenariosAreWithinTheLimits(t *testing.T) {
	for _, name := range scenarios.Names() {
		text, _ := scenarios.Read(name)
		s, err := ParseScenario(name, text)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.checkNeeds(labLimits); err != nil {
			t.Error(err)
		}
	}
}

// TestFleetSizeIsLimitedByNeeds checks that the number of nodes is bounded only by the resources that the fleet needs.
func TestFleetSizeIsLimitedByNeeds(t *testing.T) {
	rows := []struct {
		fleet, want string
	}{
		{"nodes = 200\nservers = 6", ""},
		{"nodes = 1001\nservers = 6", "MiB of memory"},
		{"nodes = 250\nservers = 100", "descriptors in one process"},
		{"nodes = 160\nservers = 6\ndiscovery = \"replicated\"", "needs 324 processes, at most 300"},
	}
	for _, row := range rows {
		s, err := ParseScenario("x", fmt.Appendf(nil, "[fleet]\n%s\n", row.fleet))
		if err != nil {
			t.Fatal(err)
		}
		err = s.checkNeeds(labLimits)
		if row.want == "" && err != nil || row.want != "" && (err == nil || !strings.Contains(err.Error(), row.want)) {
			t.Errorf("%s: %v, want %q", row.fleet, err, row.want)
		}
	}
}
