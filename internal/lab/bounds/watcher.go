package bounds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// watchEvery is how often the limits are looked at while a sweep runs.
const watchEvery = time.Second

// ErrPartial is the cause of a sweep's early end with what it has: a limit, its time, or an interrupt.
var ErrPartial = errors.New("ended early")

// Watcher looks once a second whether the processes of a run are within the limits, and ends its context where they
// are not.
type Watcher struct {
	Limits Limits
	PIDs   func() []int      // of the run's processes, the runner aside
	Use    func(pid int) Use // ProcessUse, or a test's
}

// Use is what one process takes.
type Use struct {
	MemoryBytes uint64
	Descriptors int
}

// ProcessUse reads a process's use from /proc.
func ProcessUse(pid int) Use {
	return Use{MemoryBytes: ResidentBytes(pid), Descriptors: openDescriptors(pid)}
}

// check compares the use of all processes with the limits.
func (w *Watcher) check() error {
	pids := append(w.PIDs(), os.Getpid())
	needs := Needs{Processes: len(pids)}
	for _, pid := range pids {
		use := w.Use(pid)
		needs.MemoryBytes += use.MemoryBytes
		needs.Descriptors = max(needs.Descriptors, use.Descriptors)
	}
	return needs.Within(w.Limits)
}

// Run watches until ctx ends, and ends the run by cancel at the first limit that is passed.
func (w *Watcher) Run(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := w.check(); err != nil {
			cancel(fmt.Errorf("%w: %w", ErrPartial, err))
			return
		}
	}
}
