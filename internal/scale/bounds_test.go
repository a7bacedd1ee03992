package scale

import (
	"strings"
	"testing"

	"meadowsill/internal/lab/bounds"
)

func mustParsePlan(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ParsePlan("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestCheckRejectsAPlanOverALimit(t *testing.T) {
	p := mustParsePlan(t, validPlan)
	wide := bounds.Limits{MemoryBytes: 1 << 40, Processes: 1 << 20, Descriptors: 1 << 20, Ports: 1 << 20}
	if err := Check(p, wide); err != nil {
		t.Fatal(err)
	}
	rows := []struct {
		lower func(*bounds.Limits)
		want  string
	}{
		{func(l *bounds.Limits) { l.MemoryBytes = 300 << 20 }, "MiB of memory, half of the machine's is 300 MiB"},
		{func(l *bounds.Limits) { l.Processes = 6 }, "sizes[4]: nodes 128: needs 7 processes, at most 6"},
		{func(l *bounds.Limits) { l.Descriptors = 100 }, "descriptors in one process, the limit is 100"},
		{func(l *bounds.Limits) { l.Ports = 50 }, "ports for one replica, the machine has 50"},
	}
	for _, row := range rows {
		limits := wide
		row.lower(&limits)
		err := Check(p, limits)
		if err == nil || !strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want one line with %q", err, row.want)
		}
	}
}

func TestNeedsGrowWithTheLoad(t *testing.T) {
	p := mustParsePlan(t, validPlan)
	base := EstimateNeeds(p, p.Base)
	for _, grow := range []func(*Load){
		func(l *Load) { l.Nodes *= 100 },
		func(l *Load) { l.Servers *= 1000 },
		func(l *Load) { l.Tenants *= 100 },
	} {
		l := p.Base
		grow(&l)
		if needs := EstimateNeeds(p, l); needs.MemoryBytes <= base.MemoryBytes {
			t.Errorf("%+v needs %d bytes, the base %d", l, needs.MemoryBytes, base.MemoryBytes)
		}
	}
	l := p.Base
	l.PerNode = 2
	if needs := EstimateNeeds(p, l); needs.MemoryBytes >= base.MemoryBytes {
		t.Errorf("nodes with a scope need %d bytes, without %d", needs.MemoryBytes, base.MemoryBytes)
	}
}
