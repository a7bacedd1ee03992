package bounds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// checkInterval is the interval between two checks of the limits while a sweep runs.
const checkInterval = time.Second

// ErrPartial is the cause of a sweep that ends early with partial results: at a limit, at the end of its time, or on an interrupt.
var ErrPartial = errors.New("ended early")

// Watcher checks once a second that the processes of a run are within the limits, and cancels the run's context if they are not.
type Watcher struct {
	Limits Limits
	PIDs   func() []int      // the run's processes, without the process that runs the Watcher
	Use    func(pid int) Use // ProcessUse, or a test's replacement
}

// Use is the resource use of one process.
type Use struct {
	MemoryBytes uint64
	Descriptors int
}

// ProcessUse reads the resource use of a process from /proc.
func ProcessUse(pid int) Use {
	return Use{MemoryBytes: ResidentBytes(pid), Descriptors: openDescriptors(pid)}
}

// check compares the use of all processes of the run, including this one, with the limits.
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

// Run checks the limits until ctx ends. At the first limit that is exceeded it calls cancel with an ErrPartial and returns.
func (w *Watcher) Run(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(checkInterval)
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
