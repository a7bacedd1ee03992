package scale

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

func planOf(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ParsePlan("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestCheckRefusesWhatPassesALimit(t *testing.T) {
	p := planOf(t, goodPlan)
	wide := Limits{MemoryBytes: 1 << 40, Processes: 1 << 20, Descriptors: 1 << 20, Ports: 1 << 20}
	if err := Check(p, wide); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		narrow func(*Limits)
		want   string
	}{
		{func(l *Limits) { l.MemoryBytes = 300 << 20 }, "MiB of memory, half of the machine's is 300 MiB"},
		{func(l *Limits) { l.Processes = 6 }, "sizes[4]: nodes 128: needs 7 processes, at most 6"},
		{func(l *Limits) { l.Descriptors = 100 }, "descriptors in one process, the limit is 100"},
		{func(l *Limits) { l.Ports = 50 }, "ports for one replica, the machine has 50"},
	}
	for _, row := range rows {
		limits := wide
		row.narrow(&limits)
		err := Check(p, limits)
		if err == nil || !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want one line with %q", err, row.want)
		}
	}
}

func TestNeedsGrowWithTheLoad(t *testing.T) {
	p := planOf(t, goodPlan)
	base := NeedsOf(p, p.Base)
	for _, grow := range []func(*Load){
		func(l *Load) { l.Nodes *= 100 },
		func(l *Load) { l.Servers *= 1000 },
		func(l *Load) { l.Tenants *= 100 },
	} {
		l := p.Base
		grow(&l)
		if needs := NeedsOf(p, l); needs.MemoryBytes <= base.MemoryBytes {
			t.Errorf("%+v needs %d bytes, the base %d", l, needs.MemoryBytes, base.MemoryBytes)
		}
	}
	l := p.Base
	l.PerNode = 2
	if needs := NeedsOf(p, l); needs.MemoryBytes >= base.MemoryBytes {
		t.Errorf("nodes with a scope need %d bytes, without %d", needs.MemoryBytes, base.MemoryBytes)
	}
}

func TestReadMachine(t *testing.T) {
	m, err := ReadMachine()
	if err != nil || m.Cores < 1 || m.MemoryBytes < 1<<20 || m.Descriptors < 1 {
		t.Errorf("%+v, %v", m, err)
	}
	if l := LimitsOf(m); l.MemoryBytes != m.MemoryBytes/2 || l.Processes != 300 || l.Ports < 1 {
		t.Errorf("%+v", l)
	}
	if use := processUse(os.Getpid()); use.MemoryBytes == 0 || use.Descriptors == 0 {
		t.Errorf("own use: %+v", use)
	}
}

func TestWatcherEndsARunThatPassesALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory atomic.Uint64
		memory.Store(10)
		w := Watcher{limits: Limits{MemoryBytes: 100, Processes: 3, Descriptors: 10, Ports: 10},
			pids: func() []int { return []int{1} },
			use:  func(int) Use { return Use{MemoryBytes: memory.Load(), Descriptors: 1} }}
		ctx, cancel := context.WithCancelCause(t.Context())
		go w.run(ctx, cancel)
		time.Sleep(10 * time.Second)
		if ctx.Err() != nil {
			t.Fatalf("ended within the limits: %v", context.Cause(ctx))
		}
		memory.Store(51) // of each of two processes
		time.Sleep(2 * time.Second)
		if err := context.Cause(ctx); !errors.Is(err, ErrPartial) || !strings.Contains(err.Error(), "memory") {
			t.Errorf("cause: %v", err)
		}
	})
}
