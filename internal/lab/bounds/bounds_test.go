package bounds

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestReadMachine(t *testing.T) {
	m, err := ReadMachine()
	if err != nil || m.Cores < 1 || m.MemoryBytes < 1<<20 || m.Descriptors < 1 {
		t.Errorf("ReadMachine: %+v, %v", m, err)
	}
	if l := LimitsOf(m); l.MemoryBytes != m.MemoryBytes/2 || l.Processes != 300 || l.Ports < 1 {
		t.Errorf("%+v", l)
	}
	if use := ProcessUse(os.Getpid()); use.MemoryBytes == 0 || use.Descriptors == 0 {
		t.Errorf("use of the test process: %+v", use)
	}
}

func TestWatcherCancelsRunOverLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory atomic.Uint64
		memory.Store(10)
		w := Watcher{Limits: Limits{MemoryBytes: 100, Processes: 3, Descriptors: 10, Ports: 10},
			PIDs: func() []int { return []int{1} },
			Use:  func(int) Use { return Use{MemoryBytes: memory.Load(), Descriptors: 1} }}
		ctx, cancel := context.WithCancelCause(t.Context())
		go w.Run(ctx, cancel)
		time.Sleep(10 * time.Second)
		if ctx.Err() != nil {
			t.Fatalf("canceled while the use was within the limits: %v", context.Cause(ctx))
		}
		memory.Store(51) // in each of two processes: 102 together
		time.Sleep(2 * time.Second)
		if err := context.Cause(ctx); !errors.Is(err, ErrPartial) || !strings.Contains(err.Error(), "memory") {
			t.Errorf("cause: %v, want ErrPartial that names the memory limit", err)
		}
	})
}
