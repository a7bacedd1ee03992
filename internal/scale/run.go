package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"meadowsill/internal/lab/bounds"
)

// Options are what a sweep is run with.
type Options struct {
	Dir             string    // of the run: results, plots, the replicas' and agents' data while they run
	Progress        io.Writer // a line for each repeat
	Commit          string    // of this program
	DiscoveryCommit string    // of the replicas' program
	Machine         bounds.Machine
	Limits          bounds.Limits
	StartReplicas   StartReplicas
	StartHollow     StartHollow
}

// Run carries out a sweep. It refuses one whose needs pass a limit before anything starts. One that is ended early, by a limit,
// by its time, by ctx or by a point that fails, gives what it has, marked partial, and no error.
func Run(ctx context.Context, plan *Plan, options Options) (*Results, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if err := Check(plan, options.Limits); err != nil {
		return nil, err
	}
	s := &sweep{plan: plan, options: options, results: &Results{
		Format:    Format,
		Commit:    options.Commit,
		Discovery: options.DiscoveryCommit,
		Machine:   options.Machine,
		Sweep:     *plan,
		Begun:     time.Now().UTC(),
	}}
	limit := fmt.Errorf("%w: limit_s, %v, is over", bounds.ErrPartial, plan.LimitS)
	ctx, stop := context.WithTimeoutCause(ctx, seconds(plan.LimitS), limit)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watcher := bounds.Watcher{Limits: options.Limits, PIDs: s.pids, Use: bounds.ProcessUse}
	go watcher.Run(ctx, cancel)
	if err := s.run(ctx); err != nil {
		s.results.Partial = partialReason(err)
	}
	s.results.TookS = time.Since(s.results.Begun).Seconds()
	s.results.FitAll()
	return s.results, nil
}

// reason is why a sweep ended early, on one line.
func partialReason(err error) string {
	if errors.Is(err, context.Canceled) && !errors.Is(err, bounds.ErrPartial) {
		return "interrupted"
	}
	return oneLine(err.Error())
}

// sweep is a sweep under way.
type sweep struct {
	plan    *Plan
	options Options
	results *Results

	mu          sync.Mutex
	currentPIDs func() []int // the present repeat's processes; nil between two
}

// pids gives the processes that run now.
func (s *sweep) pids() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentPIDs == nil {
		return nil
	}
	return s.currentPIDs()
}

// watch sets whose processes are watched.
func (s *sweep) setCurrentPIDs(currentPIDs func() []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentPIDs = currentPIDs
}

// run measures every size once, then all again, as often as the plan says: so what else goes on at the machine falls on all
// sizes. A size that fails is not measured again, nor those above it. The error says why the sweep is incomplete.
func (s *sweep) run(ctx context.Context) error {
	sizes := s.plan.Sizes
	var failed error
	for i := range s.plan.Repeats {
		for k, size := range sizes {
			err := s.measure(ctx, k, i)
			if ctx.Err() != nil {
				return context.Cause(ctx) // what was measured of this repeat is incomplete
			}
			if err != nil {
				failed = fmt.Errorf("%s %v: %w", s.plan.Dimension, size, err)
				sizes = sizes[:k]
				break
			}
		}
	}
	return failed
}

// measure measures a size once and puts it with the results.
func (s *sweep) measure(ctx context.Context, k, i int) error {
	size, began := s.plan.Sizes[k], time.Now()
	load := s.plan.Base.At(s.plan.Dimension, size)
	repeat, err := s.repeat(ctx, load, size, i)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if err != nil {
		repeat.Failed = oneLine(err.Error())
	}
	repeat.MachineLoad = bounds.MachineLoad()
	if k == len(s.results.Points) {
		s.results.Points = append(s.results.Points, Point{Size: size, Load: load})
	}
	point := &s.results.Points[k]
	point.Repeats = append(point.Repeats, repeat)
	s.printProgress("%s %s %v, repeat %d of %d: %.0f s%s", s.plan.Name, s.plan.Dimension, size, i+1, s.plan.Repeats,
		time.Since(began).Seconds(), summary(repeat))
	return err
}

// repeat measures one size once, in a directory of its own that is taken away at the end.
func (s *sweep) repeat(ctx context.Context, load Load, size float64, i int) (Repeat, error) {
	dir := filepath.Join(s.options.Dir, fmt.Sprintf("data-%v-%d", size, i))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Repeat{}, err
	}
	defer os.RemoveAll(dir)
	f := &fleetRun{plan: s.plan, load: load, options: s.options, dir: dir, seed: s.plan.Seed*1000 + uint64(i)}
	s.setCurrentPIDs(f.pids)
	defer s.setCurrentPIDs(nil)
	defer f.close()
	defer context.AfterFunc(ctx, f.close)() // a call that waits at a process ends with it
	return f.measure(ctx)
}

// say prints a line of progress.
func (s *sweep) printProgress(format string, args ...any) {
	if s.options.Progress != nil {
		fmt.Fprintf(s.options.Progress, format+"\n", args...)
	}
}
