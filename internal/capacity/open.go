package capacity

import "fmt"

const routeBytes = 50.0 // size of each route in an item beyond the one route that the benchmarks' tenants have

// effect is a figure that depends on an open input.
type effect struct {
	name       OpenName
	figureName string // description of the figure, as the page has it
	figure     func(p Plan, s Slopes) string
}

func scopeReportBytes(p Plan, s Slopes) string {
	return number(s.Get(ReportBytes).At(scopeTenants(p)), "B")
}

var effects = []effect{
	{TenantsPerService, "a whole report, 262 KB allowed", scopeReportBytes},
	{ServicesPerNode, "a whole report, 262 KB allowed", scopeReportBytes},
	{ActiveTenants, "reports, were every active tenant's load in each, 4 a second", func(p Plan, s Slopes) string {
		return number(reportsPerS*s.Get(DifferenceBytes).At(min(p.Input(ActiveTenants), scopeTenants(p))), "B/s")
	}},
	{ChangedRows, "all calls of an agent, 7,000 B/s allowed", func(p Plan, s Slopes) string {
		return number(s.Get(AgentBytes).Value+differenceBytesPerS(p, s), "B/s")
	}},
	{PeakOverMean, "the agent's copy at the peak", func(p Plan, s Slopes) string {
		work := scopeCopyNanos(s, scopeTenants(p)) / nanosPerS
		return number(percent*itemsPerChange*scopeChangesPerS(p)*p.Input(PeakOverMean)*work, "% of a core")
	}},
	{RoutesPerTenant, "tenants in a scope at which its intent is over 16 MiB", func(p Plan, s Slopes) string {
		const benchmarkRoutes = 1
		each := s.Get(CopyBytes).Value + (p.Input(RoutesPerTenant)-benchmarkRoutes)*routeBytes
		return number(16*(1<<20)/each, "tenants")
	}},
	{RoundTripMS, "a change in scope to in force, at the mean", func(p Plan, s Slopes) string {
		return number(inForceS(stages, p, s, inScope(p), false), "s")
	}},
	{NodePart, "changes a day that miss the bound", func(p Plan, s Slopes) string {
		return number(missedChanges(Misses(p, s)), "changes")
	}},
	{Cores, "the leader's calm processor time, share of its machine", func(p Plan, s Slopes) string {
		return number(s.Get(LeaderCPU).At(p.Size.Nodes)/p.Input(Cores), "%")
	}},
	{MemoryGB, "tenants with a lease at every node of a service that fit in half of it", func(p Plan, s Slopes) string {
		each := scopeNodes(p) * s.Get(DivisionBytes).Value
		return number(memoryPart*p.Input(MemoryGB)*bytesPerGB/each, "tenants")
	}},
}

// openTable returns the table of the figures that depend on each open input, at its value and at both ends of its range.
func openTable(p Plan, s Slopes) table {
	out := table{name: "open", head: []string{"input", "value (range)", "reason", "decides", "at low", "at the value", "at high"}}
	for _, e := range effects {
		for _, open := range p.Open {
			if open.Name != e.name {
				continue
			}
			at := func(value float64) string { return e.figure(p.With(e.name, value), s) }
			out.add(string(open.Name), fmt.Sprintf("%s (%s to %s)", plain(open.Value), plain(open.Low), plain(open.High)), open.Reason, e.figureName,
				at(open.Low), at(open.Value), at(open.High))
		}
	}
	return out
}
