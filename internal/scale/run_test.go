package scale

import (
	"context"
	"math"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"meadowsill/internal/lab/bounds"
)

const runPlan = `
dimension = "nodes"
sizes = [8, 16, 32, 64, 128]
repeats = 2
measure_s = 20
[base]
tenants = 50
changes_per_s = 2
restarts_per_s = 0.5
replacements_per_s = 0.25
[hollow]
nodes_per_process = 20
servers_per_process = 10
`

func TestRunMeasuresEveryRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		r := f.runSweep(t, t.Context(), runPlan)
		if r.Partial != "" || len(r.Points) != 5 {
			t.Fatalf("partial %q, %d points", r.Partial, len(r.Points))
		}
		for _, point := range r.Points {
			if len(point.Repeats) != 2 || point.Load.Nodes != int(point.Size) {
				t.Fatalf("size %v: %+v", point.Size, point)
			}
			for _, repeat := range point.Repeats {
				if repeat.Changes != 40 || repeat.Restarts != 10 || repeat.Replaced != 5 || repeat.Late != 0 || repeat.Histogram == "" {
					t.Errorf("size %v: %d changes, %d late, %d restarts, %d replaced", point.Size, repeat.Changes, repeat.Late, repeat.Restarts, repeat.Replaced)
				}
				if !strings.HasPrefix(repeat.WorstNode, "h") {
					t.Errorf("worst node %q", repeat.WorstNode)
				}
			}
		}
		want := Values{LeaderCPU: 0.1, FollowerCPU: 0.01, LeaderStepMean: 0.002, LeaderStepP99: 0.01, NodeBytes: 1000, NodeCPU: 0.001,
			RegistrantBytes: 100, RegistrantCalls: 1, ChangeP99: 0.02, NodeItems: 50, ChangeMissed: 0, ChangesDone: 2}
		last := r.Points[4].Repeats[1].Values
		for metric, value := range want {
			if got, ok := last[metric]; !ok || math.Abs(got-value) > 0.01*value+1e-9 {
				t.Errorf("%s: %v, want %v", metric, got, value)
			}
		}
		if f.running != 0 || f.started == 0 {
			t.Errorf("%d of %d fakes are not closed", f.running, f.started)
		}
	})
}

func TestRunRejectsAPlanBeforeStarting(t *testing.T) {
	f := newFakeFleet()
	options := f.options(t)
	options.Limits.Processes = 3
	if r, err := Run(t.Context(), mustParsePlan(t, runPlan), options); err == nil || f.started != 0 {
		t.Errorf("%+v, %v, %d started", r, err, f.started)
	}
	p := mustParsePlan(t, runPlan)
	p.Sizes[0] = 0
	if r, err := Run(t.Context(), p, f.options(t)); err == nil || f.started != 0 {
		t.Errorf("%+v, %v, %d started", r, err, f.started)
	}
}

// TestRunKeepsPartialResults has one row for each way in which a sweep can end early.
func TestRunKeepsPartialResults(t *testing.T) {
	rows := []struct {
		name, text, want string
		set              func(f *fakeFleet, cancel func())
		points           int
	}{
		{"maximum time is over", "limit_s = 60\n" + runPlan, "limit_s, 60, is over", func(*fakeFleet, func()) {}, 2},
		{"interrupted", runPlan, "interrupted", func(_ *fakeFleet, cancel func()) {
			time.AfterFunc(130*time.Second, cancel)
		}, 5},
		{"interrupted during a blocking call", runPlan, "interrupted", func(f *fakeFleet, cancel func()) {
			f.hangs = true
			time.AfterFunc(20*time.Second, cancel)
		}, 0},
		{"no replicas", runPlan, "nodes 8: replicas: no leader in 30 s", func(f *fakeFleet, _ func()) { f.failingCall = "replicas" }, 1},
		{"no hollow process", runPlan, "hollow process 0: no such program", func(f *fakeFleet, _ func()) { f.failingCall = "hollow" }, 1},
		{"never ready", runPlan, "after 60 s 0 of 8 nodes are ready, 16 of 16 servers registered", func(f *fakeFleet, _ func()) { f.failingCall = "ready" }, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFakeFleet()
				row.set(f, cancel)
				r := f.runSweep(t, ctx, row.text)
				if !strings.Contains(r.Partial, row.want) || strings.Contains(r.Partial, "\n") {
					t.Errorf("partial: %q, want %q", r.Partial, row.want)
				}
				if len(r.Points) != row.points {
					t.Errorf("%d points, want %d", len(r.Points), row.points)
				}
				if f.running != 0 {
					t.Errorf("%d fakes are not closed", f.running)
				}
			})
		})
	}
}

// TestFailedSizeIsNotRepeated checks that the three sizes below the failing one are measured as often as planned, the failing fourth
// size once, and the fifth not at all.
func TestFailedSizeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		f.maxReadyNodes = 32
		r := f.runSweep(t, t.Context(), runPlan)
		if !strings.Contains(r.Partial, "nodes 64: after 60 s 0 of 64 nodes are ready") || len(r.Points) != 4 {
			t.Fatalf("partial %q, %d points", r.Partial, len(r.Points))
		}
		for i, want := range []int{2, 2, 2, 1} {
			if got := len(r.Points[i].Repeats); got != want {
				t.Errorf("size %v: %d repeats, want %d", r.Points[i].Size, got, want)
			}
		}
		if r.Points[3].Repeats[0].Failed == "" || len(r.Samples(NodeBytes)) != 6 {
			t.Errorf("%+v, %d samples", r.Points[3].Repeats[0], len(r.Samples(NodeBytes)))
		}
	})
}

func TestRunEndsWhenALimitIsExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		options := f.options(t)
		options.Limits.MemoryBytes = 1
		s := &sweep{plan: mustParsePlan(t, runPlan), options: options, results: &Results{}}
		ctx, cancel := context.WithCancelCause(t.Context())
		watcher := bounds.Watcher{Limits: options.Limits, PIDs: s.pids, Use: bounds.ProcessUse}
		go watcher.Run(ctx, cancel)
		if err := s.run(ctx); err == nil || !strings.Contains(partialReason(err), "MiB of memory") {
			t.Errorf("ended by %v", err)
		}
		if f.running != 0 {
			t.Errorf("%d fakes are not closed", f.running)
		}
	})
}

func TestRunLeavesNoDataBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		options := f.options(t)
		if _, err := Run(t.Context(), mustParsePlan(t, runPlan), options); err != nil {
			t.Fatal(err)
		}
		if left, _ := os.ReadDir(options.Dir); len(left) != 0 {
			t.Errorf("files left in the run's directory: %v", left)
		}
	})
}

func TestChangeSkipsTenantsInRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		f.conflicts = 5
		r := f.runSweep(t, t.Context(), runPlan)
		if r.Partial != "" {
			t.Fatal(r.Partial)
		}
	})
}

func TestSlowChangesAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet()
		f.changeDelay = 2 * time.Second
		r := f.runSweep(t, t.Context(), runPlan)
		if repeat := r.Points[0].Repeats[0]; repeat.Changes != 10 || repeat.Late != 9 {
			t.Errorf("%d changes, %d late, want 10 and 9", repeat.Changes, repeat.Late)
		}
	})
}

// TestSweepFlagsSuperlinearCost runs the same sweep with costs that don't grow, grow linearly and grow as n^1.5.
func TestSweepFlagsSuperlinearCost(t *testing.T) {
	for _, row := range []struct {
		exponent    float64
		superlinear bool
	}{{0, false}, {1, false}, {1.5, true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet()
			f.bytesPerS = func(nodes, _ int) float64 { return 1000 * math.Pow(float64(nodes), row.exponent) }
			fit, ok := f.runSweep(t, t.Context(), runPlan).Fit(NodeBytes)
			if !ok || fit.Superlinear != row.superlinear || math.Abs(fit.Exponent-row.exponent) > 0.02 {
				t.Errorf("cost n^%v: %+v", row.exponent, fit)
			}
		})
	}
}
