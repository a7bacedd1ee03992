package main

import (
	"os/exec"
	"strings"
	"testing"

	"meadowsill/internal/fleet"
)

// TestAgentRejectsBadServices checks that the agent exits at its start if its services are invalid, with one line that names the
// flag and before it writes anything.
func TestAgentRejectsBadServices(t *testing.T) {
	t.Parallel()
	many := []string{"--node", "n", "--zone", "z"}
	for range fleet.MaxScopeServices + 1 {
		many = append(many, "--service", "s"+strings.Repeat("x", len(many)%60))
	}
	for name, flags := range map[string][]string{
		"without a node": {"--service", "billing"},
		"named twice":    {"--node", "n", "--zone", "z", "--service", "search", "--service", "billing", "--service", "search"},
		"empty":          {"--node", "n", "--zone", "z", "--service", ""},
		"too long":       {"--node", "n", "--zone", "z", "--service", strings.Repeat("x", fleet.MaxServiceNameBytes+1)},
		"too many":       many,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			args := append([]string{"agent", "--replica", "127.0.0.1:9"}, flags...)
			if name != "without a node" {
				args = append(args, "--dir", t.TempDir()+"/copy")
			}
			out, err := exec.CommandContext(t.Context(), bin, args...).CombinedOutput()
			if err == nil || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 || !strings.Contains(string(out), "--service") {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}
