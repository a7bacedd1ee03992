package capacity

import "meadowsill/internal/fleet"

const (
	replicasToday          = 3.0    // voters that answer watches
	leaseTTLS              = 6.0    // TTL of an app server's lease and of a node's session
	renewalsPerTTL         = 3.0    // a lease is renewed at a third of its length
	memoryPart             = 0.5    // part of a machine's memory that one replica may use
	viewBytes              = 200.0  // memory of the controller for one tenant in one node's report
	baseBytes              = 150.0  // memory of a tenant's row in a report kept as a base: 104 bytes and its texts (docs/fleet.md)
	basesPerNode           = 2.0    // reports kept per node: the newest acknowledged one and its predecessor
	linkBytesPerS          = 125e6  // network link of a machine: 1 Gbit/s
	listBoundS             = 6.0    // PROTOCOL: a change of the list counts as known 6 s later
	observationS           = 1.0    // time in s in which a new leader evaluates nothing
	trailingLogs           = 4096.0 // entries of raft's log that are kept behind a snapshot
	replicaRestartS        = 10.0   // time that the restart of one replica takes
	renewalBytes           = 500.0  // request and answer of a renewal, including headers
	registrantBytesAllowed = 7000.0 // bytes/s; a registrant has no bound of its own, so that of a node applies
	entryHeapBytes         = 400.0  // memory of an entry of the list
	maxReturnS             = 30.0   // time in which all nodes are to return after all replicas were down
	maxMissPercent         = 1.0    // % of changes that may miss the bound
	watchesPerAgent        = 2.0    // one of the list and one of the intent
)

// pairs returns the number of pairs of a node and a tenant; scopePairs returns that of pairs of a node and a tenant in its scope.
func pairs(p Plan) float64 { return p.Size.Nodes * p.Size.Tenants }

func scopePairs(p Plan) float64 { return p.Size.Nodes * scopeTenants(p) }

func halfMemory(p Plan, _ Slopes) float64 { return memoryPart * p.Input(MemoryGB) }

func lockMS(p Plan, _ Slopes) float64 { return p.Allowed.LockMS }

func renewalsPerS(p Plan) float64 { return p.Size.Servers * renewalsPerTTL / leaseTTLS }

func snapshotNanos(p Plan, s Slopes) float64 {
	return s.Get(FleetSnapshot).At(p.Size.Tenants) + s.Get(ListSnapshot).At(p.Size.Servers)
}

func joinNanos(p Plan, s Slopes) float64 {
	return 2*s.Get(GuardScope).At(scopeTenants(p)) + s.Get(MayJoinScope).At(scopeTenants(p))
}

func completeJoinNanos(p Plan, s Slopes) float64 {
	return 2*s.Get(Guard).At(p.Size.Tenants) + s.Get(MayJoin).At(p.Size.Tenants)
}

// reportNanos returns the time of the leader's work on one report that arrives as a difference.
func reportNanos(s Slopes, tenants float64) float64 {
	return s.Get(Apply).At(tenants) + s.Get(EvaluateReport).At(tenants)
}

// completeReportNanos returns the time of the leader's work on one report that arrives in full.
func completeReportNanos(s Slopes, tenants float64) float64 {
	return s.Get(ReportDecode).At(tenants) + s.Get(EvaluateReport).At(tenants)
}

var (
	completeJoin   = []ID{Guard, MayJoin}
	scopedJoin     = []ID{GuardScope, MayJoinScope}
	completeReport = []ID{ReportDecode, EvaluateReport}
)

func listFanOutS(p Plan, s Slopes) float64 {
	return p.Size.Nodes / replicasToday * s.Get(ListReadChange).At(p.Size.Servers) / nanosPerS
}

var leaderChecks = []check{
	{
		role:        RoleLeader,
		quantity:    "agents and raft, calm, one tenant",
		formula:     "nodes × slope",
		slopes:      []ID{LeaderBytes},
		unit:        "MB/s",
		mechanism:   None,
		assumptions: "1 Gbit/s a machine",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(LeaderBytes).At(p.Size.Nodes) / bytesPerMB },
		allowed:     func(Plan, Slopes) float64 { return linkBytesPerS / bytesPerMB },
	},
	{
		role:      RoleLeader,
		quantity:  "processor time, calm, one tenant",
		formula:   "nodes × slope",
		slopes:    []ID{LeaderCPU},
		unit:      "cores",
		mechanism: None,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(LeaderCPU).At(p.Size.Nodes) / percent },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Input(Cores) },
	},
	{
		role:      RoleLeader,
		quantity:  "the step, each 100 ms, under the lock, without sessions",
		formula:   "tenants × slope",
		slopes:    []ID{Step},
		unit:      "ms",
		mechanism: WorkByChange,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(Step).At(p.Size.Tenants) / nanosPerMS },
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.StepMS },
	},
	{
		role:        RoleLeader,
		quantity:    "a new leader's first step, under the lock",
		formula:     "tenants × slope",
		slopes:      []ID{FirstStep},
		unit:        "s",
		mechanism:   WorkByChange,
		boundReason: "a new leader's first second, in which it judges nothing",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(FirstStep).At(p.Size.Tenants) / nanosPerS },
		allowed:     func(Plan, Slopes) float64 { return observationS },
	},
	{
		role:      RoleLeader,
		quantity:  "a join, under the lock",
		formula:   "tenants in scope × (2 × guard + may join)",
		slopes:    scopedJoin,
		unit:      "ms",
		mechanism: ScopedRollouts,
		allowed:   lockMS,
		cost:      func(p Plan, s Slopes) float64 { return joinNanos(p, s) / nanosPerMS },
		past:      &past{completeJoin, func(p Plan, s Slopes) float64 { return completeJoinNanos(p, s) / nanosPerMS }},
	},
	{
		role:        RoleLeader,
		quantity:    "joins of all nodes after all replicas were down, under the lock",
		formula:     "nodes × tenants in scope × (2 × guard + may join)",
		slopes:      scopedJoin,
		unit:        "s",
		mechanism:   ScopedRollouts,
		past:        &past{completeJoin, func(p Plan, s Slopes) float64 { return p.Size.Nodes * completeJoinNanos(p, s) / nanosPerS }},
		boundReason: "wanted until all are back",
		cost:        func(p Plan, s Slopes) float64 { return p.Size.Nodes * joinNanos(p, s) / nanosPerS },
		allowed:     func(Plan, Slopes) float64 { return maxReturnS },
	},
	{
		role:        RoleLeader,
		quantity:    "changes put during a rolling restart that miss the bound",
		unit:        "%",
		mechanism:   ScopedRollouts,
		formula:     "a tenth of a scope's nodes leaves and comes back in 30 s (\"Changes that miss the bound\")",
		assumptions: "at random over the 30 s, without what a node that has joined must still stage",
		boundReason: "99 of 100 changes in time",
		cost:        func(p Plan, _ Slopes) float64 { return percent * releaseMiss(p, scopeNodes(p)) },
		past:        &past{nil, func(p Plan, _ Slopes) float64 { return percent * releaseMiss(p, p.Size.Nodes) }},
		allowed:     func(Plan, Slopes) float64 { return maxMissPercent },
	},
	{
		role:      RoleLeader,
		quantity:  "a snapshot, under the lock",
		formula:   "tenants × slope + servers × slope",
		slopes:    []ID{FleetSnapshot, ListSnapshot},
		unit:      "ms",
		mechanism: WorkByChange,
		allowed:   lockMS,
		cost:      func(p Plan, s Slopes) float64 { return snapshotNanos(p, s) / nanosPerMS },
	},
	{
		role:        RoleLeader,
		quantity:    "a division of quotas, decided and applied",
		formula:     "nodes × tenants in scope × slope",
		slopes:      []ID{Division},
		unit:        "ms",
		mechanism:   LeasesByLoad,
		assumptions: "the slope of fleets without scopes taken for each pair",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(Division).At(scopePairs(p)) / nanosPerMS },
		past:        &past{[]ID{Division}, func(p Plan, s Slopes) float64 { return s.Get(Division).At(pairs(p)) / nanosPerMS }},
		allowed:     func(p Plan, _ Slopes) float64 { return p.Allowed.StepMS },
	},
	{
		role:        RoleLeader,
		quantity:    "leases in a snapshot",
		formula:     "nodes × tenants in scope × slope",
		slopes:      []ID{DivisionBytes},
		unit:        "GB",
		mechanism:   LeasesByLoad,
		boundReason: "half of a machine's memory",
		allowed:     halfMemory,
		cost:        func(p Plan, s Slopes) float64 { return s.Get(DivisionBytes).At(scopePairs(p)) / bytesPerGB },
		past:        &past{[]ID{DivisionBytes}, func(p Plan, s Slopes) float64 { return s.Get(DivisionBytes).At(pairs(p)) / bytesPerGB }},
	},
	{
		role:      RoleLeader,
		quantity:  "the reports of all nodes, processor time",
		formula:   "nodes × 4 a second × tenants in scope × (apply + judge)",
		slopes:    []ID{Apply, EvaluateReport},
		unit:      "cores",
		mechanism: ReportsByChange,
		cost: func(p Plan, s Slopes) float64 {
			return p.Size.Nodes * reportsPerS * reportNanos(s, scopeTenants(p)) / nanosPerS
		},
		past: &past{completeReport, func(p Plan, s Slopes) float64 {
			return p.Size.Nodes * reportsPerS * completeReportNanos(s, p.Size.Tenants) / nanosPerS
		}},
		allowed: func(p Plan, _ Slopes) float64 { return p.Input(Cores) },
	},
	{
		role:        RoleLeader,
		quantity:    "memory of the reports: the judge's, and two bases",
		formula:     "nodes × tenants in scope × (200 + 2 × 150 B)",
		unit:        "GB",
		mechanism:   ReportsByChange,
		allowed:     halfMemory,
		boundReason: "half of a machine's memory",
		assumptions: "200 bytes a tenant of a report in the judge; 104 bytes and texts in each base",
		cost: func(p Plan, _ Slopes) float64 {
			return (viewBytes + basesPerNode*baseBytes) * scopePairs(p) / bytesPerGB
		},
		past: &past{nil, func(p Plan, _ Slopes) float64 { return viewBytes * pairs(p) / bytesPerGB }},
	},
	{
		role:        RoleLeader,
		quantity:    "renewals, each a command of raft's log",
		formula:     "servers × 3 ÷ 6 s",
		slopes:      []ID{Commits},
		unit:        "1/s",
		mechanism:   RenewalsOutsideLog,
		boundReason: "commits measured",
		cost:        func(p Plan, _ Slopes) float64 { return renewalsPerS(p) },
		allowed:     func(_ Plan, s Slopes) float64 { return s.Get(Commits).Value },
	},
	{
		role:      RoleLeader,
		quantity:  "the look for lapsed leases, each 100 ms, under the lock",
		formula:   "servers × slope",
		slopes:    []ID{ListNextExpiry},
		unit:      "ms",
		mechanism: None,
		allowed:   lockMS,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(ListNextExpiry).At(p.Size.Servers) / nanosPerMS },
	},
	{
		role:      RoleLeader,
		quantity:  "a sweep of lapsed leases, under the lock",
		formula:   "servers × slope",
		slopes:    []ID{ListSweep},
		unit:      "ms",
		mechanism: None,
		allowed:   lockMS,
		cost:      func(p Plan, s Slopes) float64 { return s.Get(ListSweep).At(p.Size.Servers) / nanosPerMS },
	},
}

var followerChecks = []check{
	{
		role:      RoleFollower,
		quantity:  "watches of one change of a tenant, staged and committed, one after another",
		formula:   "2 × nodes of a service ÷ 3 replicas × slope",
		slopes:    []ID{IntentReadChange},
		unit:      "s",
		mechanism: ScopedState,
		cost:      func(p Plan, s Slopes) float64 { return itemsPerChange * fanOutS(p, s, inScope(p)) },
		past:      &past{[]ID{IntentReadChange}, func(p Plan, s Slopes) float64 { return itemsPerChange * fanOutS(p, s, wholeFleet(p)) }},
		allowed:   func(p Plan, _ Slopes) float64 { return p.Allowed.InForceS },
	},
	{
		role:        RoleFollower,
		quantity:    "watches of one change of the list, one after another",
		formula:     "nodes ÷ 3 replicas × slope",
		slopes:      []ID{ListReadChange},
		unit:        "s",
		mechanism:   ListByService,
		boundReason: "PROTOCOL's bound",
		cost:        listFanOutS,
		allowed:     func(Plan, Slopes) float64 { return listBoundS },
	},
	{
		role:        RoleFollower,
		quantity:    "one whole read of the intent of a scope",
		formula:     "tenants in scope × slope",
		slopes:      []ID{ReadScope},
		unit:        "ms",
		mechanism:   ScopedState,
		allowed:     lockMS,
		boundReason: "as for the lock, which it no longer takes",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(ReadScope).At(scopeTenants(p)) / nanosPerMS },
		past:        &past{[]ID{IntentReadComplete}, func(p Plan, s Slopes) float64 { return s.Get(IntentReadComplete).At(p.Size.Tenants) / nanosPerMS }},
	},
	{
		role:        RoleFollower,
		quantity:    "one whole read of the list",
		formula:     "servers × slope",
		slopes:      []ID{ListReadComplete},
		unit:        "ms",
		mechanism:   ListByService,
		allowed:     lockMS,
		boundReason: "as for the lock, which it no longer takes",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(ListReadComplete).At(p.Size.Servers) / nanosPerMS },
	},
	{
		role:        RoleFollower,
		quantity:    "state in memory, without leases",
		formula:     "tenants × heap + servers × 400 B",
		slopes:      []ID{FleetHeap},
		unit:        "GB",
		mechanism:   None,
		boundReason: "half of a machine's memory",
		assumptions: "400 bytes an entry of the list",
		allowed:     halfMemory,
		cost: func(p Plan, s Slopes) float64 {
			return (s.Get(FleetHeap).At(p.Size.Tenants) + entryHeapBytes*p.Size.Servers) / bytesPerGB
		},
	},
	{
		role:        RoleFollower,
		quantity:    "memory of the watches",
		formula:     "2 × nodes ÷ 3 replicas × slope",
		slopes:      []ID{WatcherMemory},
		unit:        "GB",
		mechanism:   None,
		boundReason: "half of a machine's memory",
		allowed:     halfMemory,
		cost: func(p Plan, s Slopes) float64 {
			return watchesPerAgent / replicasToday * s.Get(WatcherMemory).At(p.Size.Nodes) / bytesPerGB
		},
	},
	{
		role:        RoleFollower,
		quantity:    "log that a replica lacks after a restart of 10 s",
		formula:     "servers × 3 ÷ 6 s × 10 s",
		unit:        "entries",
		mechanism:   RenewalsOutsideLog,
		boundReason: "entries kept; beyond them a whole snapshot is sent",
		assumptions: "10 s for a restart",
		cost:        func(p Plan, _ Slopes) float64 { return renewalsPerS(p) * replicaRestartS },
		allowed:     func(Plan, Slopes) float64 { return trailingLogs },
	},
}

var otherChecks = []check{
	{
		role:        RoleRegistrant,
		quantity:    "renewals of one server",
		formula:     "3 ÷ 6 s × 500 B",
		unit:        "B/s",
		mechanism:   None,
		assumptions: "500 bytes a call and answer",
		boundReason: "no bound is given: a node's",
		cost:        func(Plan, Slopes) float64 { return renewalsPerTTL / leaseTTLS * renewalBytes },
		allowed:     func(Plan, Slopes) float64 { return registrantBytesAllowed },
	},
	{
		role:        RoleOperator,
		quantity:    "one read of all tenants",
		formula:     "tenants × slope of a snapshot",
		slopes:      []ID{FleetSnapshotSize},
		unit:        "B",
		mechanism:   PagedReads,
		assumptions: "a tenant's answer taken as long as its part of a snapshot",
		boundReason: "the limit of an intent",
		cost:        func(p Plan, s Slopes) float64 { return s.Get(FleetSnapshotSize).At(p.Size.Tenants) },
		allowed:     func(Plan, Slopes) float64 { return fleet.MaxIntentBytes },
	},
	{
		role:        RoleOperator,
		quantity:    "changes of tenants, at the peak, as commands of raft's log",
		formula:     "3 × changes a second × peak over mean",
		slopes:      []ID{Commits},
		unit:        "1/s",
		mechanism:   None,
		boundReason: "commits measured",
		cost:        func(p Plan, _ Slopes) float64 { return 3 * changesPerS(p) * p.Input(PeakOverMean) },
		allowed:     func(_ Plan, s Slopes) float64 { return s.Get(Commits).Value },
	},
}
