package capacity

const (
	secondsPerDay     = 86_400.0 // s
	nanosPerMS        = 1e6
	nanosPerS         = 1e9
	bytesPerMB        = 1e6
	bytesPerGB        = 1e9
	percent           = 100.0
	reportsPerS       = 4.0      // of a node with traffic, one every report_ms; a node without traffic reports once a second
	rowsLimit         = 16 << 10 // items of an intent, tenants of a report: fleet.DecodeIntent, fleet.DecodeReport
	catchUpS          = 10.0     // catch_up_ms, after which a node reports ready whatever it holds
	itemsPerChange    = 2.0      // revisions of an item in a rollout: staged and committed
	listChanges       = 2.0      // changes of the list for each server that fails or restarts: gone and ready
	answerHeaderBytes = 300.0    // headers of an answer to a watch
	ticksPerS         = 40.0     // ticks of the module's timer, one every 25 ms
)

func changesPerS(p Plan) float64 { return p.Size.ChangesPerDay / secondsPerDay }

// listChangesPerS returns the changes of the list per second, on the assumption that all failed and restarted machines are app
// servers.
func listChangesPerS(p Plan) float64 {
	return listChanges * (p.Failures.MachinesPerDay + p.Failures.RestartsPerDay) / secondsPerDay
}

// loopNanos returns the time that a report takes in the node's event loop, for the given number of tenants.
func loopNanos(p Plan, s Slopes, tenants float64) float64 {
	return s.Get(ModuleWindow).At(tenants) + s.Get(ModuleApplied).At(tenants) + s.Get(ModuleAppliedList).At(p.Size.Servers)
}

// tenantNanos and listNanos return the times of a node's work on one report, inside and outside the event loop, for the tenants
// and for the list.
func tenantNanos(s Slopes, tenants float64) float64 {
	return s.Get(ModuleWindow).At(tenants) + s.Get(ModuleApplied).At(tenants) + s.Get(FillTenants).At(tenants) + s.Get(ReportEncode).At(tenants)
}

func listNanos(p Plan, s Slopes) float64 {
	return s.Get(ModuleAppliedList).At(p.Size.Servers) + s.Get(FillServers).At(p.Size.Servers)
}

var nodeChecks = []check{
	{
		role:      RoleNode,
		quantity:  "the module's update for one change of the list, in the node's loop",
		formula:   "servers × slope",
		slopes:    []ID{ModuleList},
		unit:      "ms",
		mechanism: ListByService,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(ModuleList).At(p.Size.Servers) / nanosPerMS },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS },
	},
	{
		role:        RoleNode,
		quantity:    "changes of the list, share of the loop",
		formula:     "changes of the list a second × servers × slope",
		slopes:      []ID{ModuleList},
		unit:        "% of a core",
		mechanism:   ListByService,
		assumptions: "all failed and restarted machines taken as app servers, two changes each",
		cost: func(p Plan, s Slopes) float64 {
			return percent * listChangesPerS(p) * s.Get(ModuleList).At(p.Size.Servers) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
	},
	{
		role:      RoleNode,
		quantity:  "the module's round of checks, each 25 ms, in the node's loop",
		formula:   "servers × slope",
		slopes:    []ID{ModuleTick},
		unit:      "ms",
		mechanism: ListByService,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(ModuleTick).At(p.Size.Servers) / nanosPerMS },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS },
	},
	{
		role:      RoleNode,
		quantity:  "the module's rounds of checks, processor time",
		formula:   "40 a second × servers × slope",
		slopes:    []ID{ModuleTick},
		unit:      "% of a core",
		mechanism: ListByService,
		cost: func(p Plan, s Slopes) float64 {
			return percent * ticksPerS * s.Get(ModuleTick).At(p.Size.Servers) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
	},
	{
		role:      RoleNode,
		quantity:  "Window and Holds for one report, in the node's loop",
		formula:   "tenants in scope × (window + holds) + servers × holds",
		slopes:    []ID{ModuleWindow, ModuleApplied, ModuleAppliedList},
		unit:      "ms",
		mechanism: WorkAtNode,
		cost:      func(p Plan, s Slopes) float64 { return loopNanos(p, s, scopeTenants(p)) / nanosPerMS },
		past: &past{[]ID{ModuleWindow, ModuleApplied, ModuleAppliedList},
			func(p Plan, s Slopes) float64 { return loopNanos(p, s, p.Size.Tenants) / nanosPerMS }},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS },
	},
	{
		role:      RoleNode,
		quantity:  "reports: tenants, processor time",
		formula:   "4 reports a second × tenants in scope × (window + holds + digests + encode)",
		slopes:    []ID{ModuleWindow, ModuleApplied, FillTenants, ReportEncode},
		unit:      "% of a core",
		mechanism: WorkAtNode,
		cost: func(p Plan, s Slopes) float64 {
			return percent * reportsPerS * tenantNanos(s, scopeTenants(p)) / nanosPerS
		},
		past: &past{[]ID{ModuleWindow, ModuleApplied, FillTenants, ReportEncode},
			func(p Plan, s Slopes) float64 {
				return percent * reportsPerS * tenantNanos(s, p.Size.Tenants) / nanosPerS
			}},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
	},
	{
		role:      RoleNode,
		quantity:  "reports: the list, processor time",
		formula:   "4 reports a second × servers × (holds + digests)",
		slopes:    []ID{ModuleAppliedList, FillServers},
		unit:      "% of a core",
		mechanism: WorkAtNode,
		cost:      func(p Plan, s Slopes) float64 { return percent * reportsPerS * listNanos(p, s) / nanosPerS },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent },
	},
	{
		role:        RoleNode,
		quantity:    "load of a node's tenants at its start, in its loop",
		formula:     "tenants in scope, by the power law",
		slopes:      []ID{ModuleLoad},
		unit:        "s",
		mechanism:   ScopedState,
		boundReason: "catch_up_ms",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(ModuleLoad).At(scopeTenants(p)) / nanosPerS },
		past: &past{[]ID{ModuleLoad},
			func(p Plan, s Slopes) float64 { return s.Get(ModuleLoad).At(p.Size.Tenants) / nanosPerS }},
		allowed: func(Plan, Slopes) float64 { return catchUpS },
	},
}
