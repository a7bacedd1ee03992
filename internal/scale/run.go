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

// Options are the settings that a sweep runs with, beside its plan.
type Options struct {
	Dir             string    // directory of the run: results, plots, and the data of replicas and agents while they run
	Progress        io.Writer // gets a line for each repeat; nil: none
	Commit          string    // commit of this program
	DiscoveryCommit string    // commit of the replicas' program
	Machine         bounds.Machine
	Limits          bounds.Limits
	StartReplicas   StartReplicas
	StartHollow     StartHollow
}

// Run carries out a sweep. If the plan is bad or its needs exceed a limit, Run returns an error before anything starts. If the sweep
// ends early, because of a limit, its maximum time, ctx or a failed point, Run returns the results so far, marked partial, and no
// error.
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

// partialReason returns in one line why a sweep ended early.
func partialReason(err error) string {
	if errors.Is(err, context.Canceled) && !errors.Is(err, bounds.ErrPartial) {
		return "interrupted"
	}
	return oneLine(err.Error())
}

// sweep is a running sweep.
type sweep struct {
	plan    *Plan
	options Options
	results *Results

	mu          sync.Mutex
	currentPIDs func() []int // returns the process ids of the current repeat; nil between two repeats
}

// pids returns the ids of the processes that are running.
func (s *sweep) pids() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentPIDs == nil {
		return nil
	}
	return s.currentPIDs()
}

// setCurrentPIDs sets the function that returns the process ids to watch.
func (s *sweep) setCurrentPIDs(currentPIDs func() []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentPIDs = currentPIDs
}

// run measures every size once, then all sizes again, as often as the plan says. In this order other activity on the machine affects
// all sizes. If a size fails, neither that size nor the larger ones are measured again. The error says why the sweep is incomplete.
func (s *sweep) run(ctx context.Context) error {
	sizes := s.plan.Sizes
	var failed error
	for i := range s.plan.Repeats {
		for k, size := range sizes {
			err := s.measure(ctx, k, i)
			if ctx.Err() != nil {
				return context.Cause(ctx) // the measurements of this repeat are incomplete
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

// measure measures a size once and adds the repeat to the results.
func (s *sweep) measure(ctx context.Context, k, i int) error {
	size, began := s.plan.Sizes[k], time.Now()
	load := s.plan.Base.WithSize(s.plan.Dimension, size)
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

// repeat measures one size once, in a separate directory that it removes at the end.
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
	defer context.AfterFunc(ctx, f.close)() // closing the processes ends calls that wait for one of them
	return f.measure(ctx)
}

// printProgress prints a line of progress output.
func (s *sweep) printProgress(format string, args ...any) {
	if s.options.Progress != nil {
		fmt.Fprintf(s.options.Progress, format+"\n", args...)
	}
}
