package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The module is to be ported by hand: its length is limited, and the deploy file names every file that decides.
func TestModuleLimits(t *testing.T) {
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("*.go")
	undecided := []string{"api.go", "state.go", "fleet_events.go", "fleet_state.go", "fleet_held.go"}
	lines := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || slices.Contains(undecided, file) {
			continue
		}
		if !slices.Contains(deploy.Policy, "policy/"+file) {
			t.Errorf("%s is not named under policy in the deploy file", file)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(all) > 400 {
			t.Errorf("%s has %d lines, 400 at most", file, len(all))
		}
		for i, l := range all {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := len([]rune(l)); n > 110 {
				t.Errorf("%s: line %d is %d characters long", file, i+1, n)
			}
		}
	}
	if lines > 1200 || len(deploy.Policy) < 2 {
		t.Errorf("%d non-blank lines in %d files, 1200 at most", lines, len(deploy.Policy))
	}
	text, _ := os.ReadFile("decide.go")
	if !strings.Contains(string(text[:400]), "api.go") {
		t.Error("the interface's file must be named at the top")
	}
}
