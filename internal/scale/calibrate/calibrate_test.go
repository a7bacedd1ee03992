package calibrate_test

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/scale/calibrate"
	"meadowsill/internal/scale/hollow"
)

// Both kinds of nodes run the whole schedule, and every call that nodes make is counted for both.
func TestMeasure(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "meadowsill/cmd/fleetlab", "meadowsill/cmd/discovery", "meadowsill/cmd/balancer")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	binaries := calibrate.Binaries{Fleetlab: filepath.Join(dir, "fleetlab"), Discovery: filepath.Join(dir, "discovery"), Node: filepath.Join(dir, "balancer")}
	plan := calibrate.Plan{Nodes: 2, Servers: 3, Tenants: 1, RequestsPerS: 5, Window: 2 * time.Second, Seed: 1}
	for _, kind := range []string{calibrate.Real, calibrate.Hollow} {
		figures, err := calibrate.Measure(t.Context(), kind, binaries, filepath.Join(dir, kind), plan, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
		if figures.Kind != kind || figures.Changing.Changes == 0 || figures.Changing.Replaced == 0 || figures.Changing.CPU <= 0 {
			t.Errorf("%s: %+v", kind, figures)
		}
		for _, call := range []hollow.Call{hollow.CallIntent, hollow.CallReport, hollow.CallList} {
			if c := figures.Changing.Calls[call]; c.Calls <= 0 || c.BytesIn <= 0 || c.BytesOut <= 0 {
				t.Errorf("%s, %s: %+v", kind, call, c)
			}
		}
	}
}

// A bad plan is rejected with an error that names the key.
func TestBadPlan(t *testing.T) {
	t.Parallel()
	good := calibrate.Plan{Nodes: 2, Servers: 3, Tenants: 1, RequestsPerS: 5, Window: 2 * time.Second}
	for key, change := range map[string]func(*calibrate.Plan){
		"nodes":    func(p *calibrate.Plan) { p.Nodes = 0 },
		"servers":  func(p *calibrate.Plan) { p.Servers = 251 },
		"tenants":  func(p *calibrate.Plan) { p.Tenants = -1 },
		"requests": func(p *calibrate.Plan) { p.RequestsPerS = 0 },
		"for":      func(p *calibrate.Plan) { p.Window = time.Hour },
	} {
		plan := good
		change(&plan)
		_, err := calibrate.Measure(t.Context(), calibrate.Hollow, calibrate.Binaries{}, t.TempDir(), plan, slog.New(slog.DiscardHandler))
		if err == nil || !strings.HasPrefix(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
	if _, err := calibrate.Measure(t.Context(), "other", calibrate.Binaries{}, t.TempDir(), good, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("an unknown kind was accepted")
	}
}
