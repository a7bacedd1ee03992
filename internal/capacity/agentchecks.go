package capacity

import "meadowsill/internal/fleet"

// calmReports is the number of reports per second that the measured calm traffic of a node includes.
const calmReports = 1.0

// differenceBytesPerS returns the bytes per second that a node's reports by difference add to its calm traffic.
func differenceBytesPerS(p Plan, s Slopes) float64 {
	rows := min(p.Input(ChangedRows), scopeTenants(p))
	headers := 2 * answerHeaderBytes // those of a report and those of its answer
	return reportsPerS*s.Get(DifferenceBytes).At(rows) + (reportsPerS-calmReports)*headers
}

// scopeChangesPerS returns the changes per second of the tenants in one node's scope.
func scopeChangesPerS(p Plan) float64 { return changesPerS(p) * scopeTenants(p) / p.Size.Tenants }

// scopeCopyNanos returns the time that one change takes for a copy that is saved by difference.
func scopeCopyNanos(s Slopes, tenants float64) float64 {
	return s.Get(CopyTakeChange).At(tenants) + s.Get(CopySave).At(tenants) + s.Get(CopyReadChange).At(tenants)
}

// completeCopyNanos returns the time that one change takes for a copy that is written in full.
func completeCopyNanos(s Slopes, tenants float64) float64 {
	return s.Get(CopyTakeChange).At(tenants) + s.Get(CopyEncode).At(tenants) + s.Get(CopyDecode).At(tenants) + s.Get(CopyReadChange).At(tenants)
}

func copyHeapBytes(s Slopes, tenants float64) float64 {
	return s.Get(CopyHeap).At(tenants) + 2*s.Get(CopyBytes).At(tenants)
}

var agentChecks = []check{
	{
		role:      RoleAgent,
		quantity:  "all calls, calm, one tenant",
		formula:   "slope",
		slopes:    []ID{AgentBytes},
		unit:      "B/s",
		mechanism: None,
		cost:      func(_ Plan, s Slopes) float64 { return s.Get(AgentBytes).Value },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS },
	},
	{
		role:      RoleAgent,
		quantity:  "processor time, calm, one tenant",
		formula:   "slope",
		slopes:    []ID{AgentCPU},
		unit:      "% of a core",
		mechanism: None,
		cost:      func(_ Plan, s Slopes) float64 { return s.Get(AgentCPU).Value },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
	},
	{
		role:        RoleAgent,
		quantity:    "all calls, with reports of every tenant held",
		formula:     "calm + 4 differences a second × min(changed rows, tenants in scope) × slope + headers of 3",
		slopes:      []ID{DifferenceBytes, AgentBytes},
		unit:        "B/s",
		mechanism:   FewerLoads,
		assumptions: "300 bytes of headers each way for the three reports a second that calm traffic does not have",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(AgentBytes).Value + differenceBytesPerS(p, s) },
		allowed:     func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS },
		past: &past{[]ID{ReportBytes, AgentBytes},
			func(p Plan, s Slopes) float64 {
				return s.Get(AgentBytes).Value + reportsPerS*s.Get(ReportBytes).At(p.Size.Tenants)
			}},
	},
	{
		role:      RoleAgent,
		quantity:  "reports as differences, processor time",
		formula:   "4 a second × tenants in scope × (decode + difference)",
		slopes:    []ID{ReportDecode, Difference},
		unit:      "% of a core",
		mechanism: WorkAtNode,
		cost: func(p Plan, s Slopes) float64 {
			one := s.Get(ReportDecode).At(scopeTenants(p)) + s.Get(Difference).At(scopeTenants(p))
			return percent * reportsPerS * one / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
		past: &past{[]ID{ReportDecode},
			func(p Plan, s Slopes) float64 {
				return percent * reportsPerS * s.Get(ReportDecode).At(p.Size.Tenants) / nanosPerS
			}},
	},
	{
		role:        RoleAgent,
		quantity:    "body of a whole report",
		formula:     "tenants in scope × slope",
		slopes:      []ID{ReportBytes},
		unit:        "B",
		mechanism:   ScopedState,
		boundReason: "the limit of a report",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(ReportBytes).At(scopeTenants(p)) },
		allowed:     func(Plan, Slopes) float64 { return fleet.MaxReportBytes },
		past:        &past{[]ID{ReportBytes}, func(p Plan, s Slopes) float64 { return s.Get(ReportBytes).At(p.Size.Tenants) }},
	},
	{
		role:        RoleAgent,
		quantity:    "services in a node's scope",
		formula:     "services a node",
		unit:        "services",
		mechanism:   ScopedState,
		boundReason: "the limit of a scope",
		cost:        func(p Plan, _ Slopes) float64 { return p.Input(ServicesPerNode) },
		allowed:     func(Plan, Slopes) float64 { return fleet.MaxScopeServices },
	},
	{
		role:        RoleAgent,
		quantity:    "items of a whole intent",
		formula:     "tenants in scope",
		unit:        "items",
		mechanism:   ScopedState,
		boundReason: "the decoder's limit; a new agent never comes up over it",
		cost:        func(p Plan, _ Slopes) float64 { return scopeTenants(p) },
		allowed:     func(Plan, Slopes) float64 { return rowsLimit },
		past:        &past{nil, func(p Plan, _ Slopes) float64 { return p.Size.Tenants }},
	},
	{
		role:        RoleAgent,
		quantity:    "bytes of a whole intent, and of the durable copy's base",
		formula:     "tenants in scope × slope",
		slopes:      []ID{CopyBytes},
		unit:        "B",
		mechanism:   ScopedState,
		boundReason: "the limit of an intent",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(CopyBytes).At(scopeTenants(p)) },
		allowed:     func(Plan, Slopes) float64 { return fleet.MaxIntentBytes },
		past:        &past{[]ID{CopyBytes}, func(p Plan, s Slopes) float64 { return s.Get(CopyBytes).At(p.Size.Tenants) }},
	},
	{
		role:      RoleAgent,
		quantity:  "the copy at the mean of changes, processor time",
		formula:   "2 × changes a second in scope × (take + save + read)",
		slopes:    []ID{CopyTakeChange, CopySave, CopyReadChange},
		unit:      "% of a core",
		mechanism: ScopedState,
		cost: func(p Plan, s Slopes) float64 {
			return percent * itemsPerChange * scopeChangesPerS(p) * scopeCopyNanos(s, scopeTenants(p)) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
		past: &past{[]ID{CopyTakeChange, CopyEncode, CopyDecode, CopyReadChange},
			func(p Plan, s Slopes) float64 {
				return percent * itemsPerChange * changesPerS(p) * completeCopyNanos(s, p.Size.Tenants) / nanosPerS
			}},
	},
	{
		role:        RoleAgent,
		quantity:    "heap of the copy, and of the bodies while its base is written",
		formula:     "tenants in scope × (heap + 2 × bytes)",
		slopes:      []ID{CopyHeap, CopyBytes},
		unit:        "MB",
		mechanism:   ScopedState,
		assumptions: "garbage is not counted",
		cost:        func(p Plan, s Slopes) float64 { return copyHeapBytes(s, scopeTenants(p)) / bytesPerMB },
		allowed:     func(p Plan, _ Slopes) float64 { return p.Allowed.NodeMemoryMB },
		past: &past{[]ID{CopyHeap, CopyBytes},
			func(p Plan, s Slopes) float64 { return copyHeapBytes(s, p.Size.Tenants) / bytesPerMB }},
	},
	{
		role:        RoleAgent,
		quantity:    "changes of the list",
		formula:     "changes of the list a second × (bytes of an entry + 300)",
		slopes:      []ID{ListBytes},
		unit:        "B/s",
		mechanism:   None,
		assumptions: "300 bytes of headers an answer; all failed and restarted machines taken as app servers",
		cost: func(p Plan, s Slopes) float64 {
			return listChangesPerS(p) * (s.Get(ListBytes).Value + answerHeaderBytes)
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS },
	},
	{
		role:        RoleAgent,
		quantity:    "the whole list at a start, at the rate allowed",
		formula:     "servers × slope ÷ bytes a second",
		slopes:      []ID{ListBytes},
		unit:        "s",
		mechanism:   ListByService,
		boundReason: "catch_up_ms",
		cost: func(p Plan, s Slopes) float64 {
			return s.Get(ListBytes).At(p.Size.Servers) / p.Allowed.NodeBytesPerS
		},
		allowed: func(Plan, Slopes) float64 { return catchUpS },
	},
}
