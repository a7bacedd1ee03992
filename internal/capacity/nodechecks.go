package capacity

import "starlingvalve/internal/fleet"

const (
	day               = 86_400.0 // s
	nanosPerMS        = 1e6
	nanosPerS         = 1e9
	bytesPerMB        = 1e6
	bytesPerGB        = 1e9
	percent           = 100.0
	reportsPerS       = 4.0      // of a node with traffic, each report_ms; one without reports each second
	rowsLimit         = 16 << 10 // items of an intent, tenants of a report: fleet.DecodeIntent, fleet.DecodeReport
	catchUpS          = 10.0     // catch_up_ms, after which a node says that it is ready whatever it holds
	itemsPerChange    = 2.0      // revisions of an item in a rollout: staged, committed
	listChanges       = 2.0      // of the list for each server that fails or restarts: gone, ready
	answerHeaderBytes = 300.0    // of an answer to a watch
	ticksPerS         = 40.0     // of the module's timer, each 25 ms
)

func changesPerS(p Plan) float64 { return p.Size.ChangesPerDay / day }

// listChangesPerS reckons with all failed and restarted machines as app servers.
func listChangesPerS(p Plan) float64 {
	return listChanges * (p.Failures.MachinesPerDay + p.Failures.RestartsPerDay) / day
}

// loopNanos is what a report takes of the node's loop.
func loopNanos(p Plan, s Slopes) float64 {
	tenants := s.Get(ModuleWindow).At(p.Size.Tenants) + s.Get(ModuleHolds).At(p.Size.Tenants)
	return tenants + s.Get(HoldsList).At(p.Size.Servers)
}

// tenantNanos and listNanos are a node's work on one report, in the loop and outside it.
func tenantNanos(s Slopes, tenants float64) float64 {
	return s.Get(ModuleWindow).At(tenants) + s.Get(ModuleHolds).At(tenants) + s.Get(FillTenants).At(tenants) + s.Get(ReportEncode).At(tenants)
}

func listNanos(p Plan, s Slopes) float64 {
	return s.Get(HoldsList).At(p.Size.Servers) + s.Get(FillServers).At(p.Size.Servers)
}

var nodeChecks = []check{
	{role: RoleNode, quantity: "the module's update for one change of the list, in the node's loop", formula: "servers × slope",
		slopes: []ID{ModuleList}, unit: "ms", mechanism: ListByService,
		cost:    func(p Plan, s Slopes) float64 { return s.Get(ModuleList).At(p.Size.Servers) / nanosPerMS },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS }},
	{role: RoleNode, quantity: "changes of the list, share of the loop", formula: "changes of the list a second × servers × slope",
		slopes: []ID{ModuleList}, unit: "% of a core", mechanism: ListByService,
		reckoned: "all failed and restarted machines taken as app servers, two changes each",
		cost: func(p Plan, s Slopes) float64 {
			return percent * listChangesPerS(p) * s.Get(ModuleList).At(p.Size.Servers) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleNode, quantity: "the module's round of checks, each 25 ms, in the node's loop", formula: "servers × slope",
		slopes: []ID{ModuleTick}, unit: "ms", mechanism: ListByService,
		cost:    func(p Plan, s Slopes) float64 { return s.Get(ModuleTick).At(p.Size.Servers) / nanosPerMS },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS }},
	{role: RoleNode, quantity: "the module's rounds of checks, processor time", formula: "40 a second × servers × slope",
		slopes: []ID{ModuleTick}, unit: "% of a core", mechanism: ListByService,
		cost: func(p Plan, s Slopes) float64 {
			return percent * ticksPerS * s.Get(ModuleTick).At(p.Size.Servers) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleNode, quantity: "Window and Holds for one report, in the node's loop", formula: "tenants × (window + holds) + servers × holds",
		slopes: []ID{ModuleWindow, ModuleHolds, HoldsList}, unit: "ms", mechanism: ScopedState,
		cost:    func(p Plan, s Slopes) float64 { return loopNanos(p, s) / nanosPerMS },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.AddedMS }},
	{role: RoleNode, quantity: "reports: tenants, processor time", formula: "4 reports a second × tenants × (window + holds + digests + encode)",
		slopes: []ID{ModuleWindow, ModuleHolds, FillTenants, ReportEncode}, unit: "% of a core", mechanism: ReportsByChange,
		cost: func(p Plan, s Slopes) float64 {
			return percent * reportsPerS * tenantNanos(s, p.Size.Tenants) / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleNode, quantity: "reports: the list, processor time", formula: "4 reports a second × servers × (holds + digests)",
		slopes: []ID{HoldsList, FillServers}, unit: "% of a core", mechanism: ReportsByChange,
		cost:    func(p Plan, s Slopes) float64 { return percent * reportsPerS * listNanos(p, s) / nanosPerS },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleNode, quantity: "load of all tenants at a node's start, in its loop", formula: "tenants, by the power law",
		slopes: []ID{ModuleLoad}, unit: "s", mechanism: ScopedState, why: "catch_up_ms",
		cost:    func(p Plan, s Slopes) float64 { return s.Get(ModuleLoad).At(p.Size.Tenants) / nanosPerS },
		allowed: func(Plan, Slopes) float64 { return catchUpS }},
}

var agentChecks = []check{
	{role: RoleAgent, quantity: "all calls, calm, one tenant", formula: "slope", slopes: []ID{AgentBytes}, unit: "B/s", mechanism: None,
		cost:    func(_ Plan, s Slopes) float64 { return s.Get(AgentBytes).Value },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS }},
	{role: RoleAgent, quantity: "processor time, calm, one tenant", formula: "slope", slopes: []ID{AgentCPU}, unit: "% of a core", mechanism: None,
		cost:    func(_ Plan, s Slopes) float64 { return s.Get(AgentCPU).Value },
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleAgent, quantity: "all calls, with reports of every tenant", formula: "calm + 4 reports a second × tenants × slope",
		slopes: []ID{ReportBytes, AgentBytes}, unit: "B/s", mechanism: ReportsByChange,
		cost: func(p Plan, s Slopes) float64 {
			return s.Get(AgentBytes).Value + reportsPerS*s.Get(ReportBytes).At(p.Size.Tenants)
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS }},
	{role: RoleAgent, quantity: "body of a report", formula: "tenants × slope", slopes: []ID{ReportBytes}, unit: "B",
		mechanism: ReportsByChange, why: "the limit of a report",
		cost:    func(p Plan, s Slopes) float64 { return s.Get(ReportBytes).At(p.Size.Tenants) },
		allowed: func(Plan, Slopes) float64 { return fleet.ReportLimit }},
	{role: RoleAgent, quantity: "items of a whole intent", formula: "tenants", unit: "items", mechanism: ScopedState,
		why:     "the decoder's limit; a new agent never comes up over it",
		cost:    func(p Plan, _ Slopes) float64 { return p.Size.Tenants },
		allowed: func(Plan, Slopes) float64 { return rowsLimit }},
	{role: RoleAgent, quantity: "bytes of a whole intent, and of the durable copy", formula: "tenants × slope", slopes: []ID{CopyBytes},
		unit: "B", mechanism: ScopedState, why: "the limit of an intent",
		cost:    func(p Plan, s Slopes) float64 { return s.Get(CopyBytes).At(p.Size.Tenants) },
		allowed: func(Plan, Slopes) float64 { return fleet.IntentLimit }},
	{role: RoleAgent, quantity: "the copy at the mean of changes, processor time",
		formula: "2 × changes a second × tenants × (take + encode + decode + read)",
		slopes:  []ID{CopyTakeChange, CopyEncode, CopyDecode, CopyReadChange}, unit: "% of a core", mechanism: ScopedState,
		cost: func(p Plan, s Slopes) float64 {
			nanos := 0.0
			for _, id := range []ID{CopyTakeChange, CopyEncode, CopyDecode, CopyReadChange} {
				nanos += s.Get(id).At(p.Size.Tenants)
			}
			return percent * itemsPerChange * changesPerS(p) * nanos / nanosPerS
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeCorePercent }},
	{role: RoleAgent, quantity: "heap of the copy, and of the bodies while it is saved", formula: "tenants × (heap + 2 × bytes)",
		slopes: []ID{CopyHeap, CopyBytes}, unit: "MB", mechanism: ScopedState,
		reckoned: "the copy being written and the old one being read are in memory at one time; garbage is not counted",
		cost: func(p Plan, s Slopes) float64 {
			return (s.Get(CopyHeap).At(p.Size.Tenants) + 2*s.Get(CopyBytes).At(p.Size.Tenants)) / bytesPerMB
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeMemoryMB }},
	{role: RoleAgent, quantity: "changes of the list", formula: "changes of the list a second × (bytes of an entry + 300)",
		slopes: []ID{ListBytes}, unit: "B/s", mechanism: None,
		reckoned: "300 bytes of headers an answer; all failed and restarted machines taken as app servers",
		cost: func(p Plan, s Slopes) float64 {
			return listChangesPerS(p) * (s.Get(ListBytes).Value + answerHeaderBytes)
		},
		allowed: func(p Plan, _ Slopes) float64 { return p.Allowed.NodeBytesPerS }},
	{role: RoleAgent, quantity: "the whole list at a start, at the rate allowed", formula: "servers × slope ÷ bytes a second",
		slopes: []ID{ListBytes}, unit: "s", mechanism: ListByService, why: "catch_up_ms",
		cost: func(p Plan, s Slopes) float64 {
			return s.Get(ListBytes).At(p.Size.Servers) / p.Allowed.NodeBytesPerS
		},
		allowed: func(Plan, Slopes) float64 { return catchUpS }},
}
