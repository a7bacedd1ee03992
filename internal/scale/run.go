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

	"starlingvalve/internal/lab/bounds"
)

// Options are what a sweep is run with.
type Options struct {
	Dir           string    // of the run: results, plots, the replicas' and agents' data while they run
	Progress      io.Writer // a line for each repeat
	Commit        string    // of this program
	ListdCommit   string    // of the replicas' program
	Machine       bounds.Machine
	Limits        bounds.Limits
	StartReplicas StartReplicas
	StartHollow   StartHollow
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
	s := &sweep{plan: plan, options: options, results: &Results{Format: Format, Commit: options.Commit, Listd: options.ListdCommit,
		Machine: options.Machine, Sweep: *plan, Begun: time.Now().UTC()}}
	limit := fmt.Errorf("%w: limit_s, %v, is over", bounds.ErrPartial, plan.LimitS)
	ctx, stop := context.WithTimeoutCause(ctx, seconds(plan.LimitS), limit)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watcher := bounds.Watcher{Limits: options.Limits, PIDs: s.pids, Use: bounds.ProcessUse}
	go watcher.Run(ctx, cancel)
	if err := s.run(ctx); err != nil {
		s.results.Partial = reason(err)
	}
	s.results.TookS = time.Since(s.results.Begun).Seconds()
	s.results.FitAll()
	return s.results, nil
}

// reason is why a sweep ended early, on one line.
func reason(err error) string {
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

	mu   sync.Mutex
	live func() []int // the present repeat's processes; nil between two
}

// pids gives the processes that run now.
func (s *sweep) pids() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live == nil {
		return nil
	}
	return s.live()
}

// watch sets whose processes are watched.
func (s *sweep) watch(live func() []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = live
}

// run measures every size; the error says why it ended early.
func (s *sweep) run(ctx context.Context) error {
	for _, size := range s.plan.Sizes {
		point := Point{Size: size, Load: s.plan.Base.At(s.plan.Dimension, size)}
		err := s.point(ctx, &point)
		if len(point.Repeats) > 0 {
			s.results.Points = append(s.results.Points, point)
		}
		if err != nil {
			return fmt.Errorf("%s %v: %w", s.plan.Dimension, size, err)
		}
	}
	return nil
}

// point measures one size, as often as the plan says.
func (s *sweep) point(ctx context.Context, point *Point) error {
	for i := range s.plan.Repeats {
		began := time.Now()
		repeat, err := s.repeat(ctx, point, i)
		if ctx.Err() != nil {
			return context.Cause(ctx) // what was measured of this repeat is not whole
		}
		if err != nil {
			repeat.Failed = oneLine(err.Error())
		}
		repeat.MachineLoad = bounds.MachineLoad()
		point.Repeats = append(point.Repeats, repeat)
		s.say("%s %s %v, repeat %d of %d: %.0f s%s", s.plan.Name, s.plan.Dimension, point.Size, i+1, s.plan.Repeats,
			time.Since(began).Seconds(), summary(repeat))
		if err != nil {
			return err
		}
	}
	return nil
}

// repeat measures one size once, in a directory of its own that is taken away at the end.
func (s *sweep) repeat(ctx context.Context, point *Point, i int) (Repeat, error) {
	dir := filepath.Join(s.options.Dir, fmt.Sprintf("data-%v-%d", point.Size, i))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Repeat{}, err
	}
	defer os.RemoveAll(dir)
	f := &fleetRun{plan: s.plan, load: point.Load, options: s.options, dir: dir, seed: s.plan.Seed*1000 + uint64(i)}
	s.watch(f.pids)
	defer s.watch(nil)
	defer f.close()
	defer context.AfterFunc(ctx, f.close)() // a call that waits at a process ends with it
	return f.measure(ctx)
}

// say prints a line of progress.
func (s *sweep) say(format string, args ...any) {
	if s.options.Progress != nil {
		fmt.Fprintf(s.options.Progress, format+"\n", args...)
	}
}
