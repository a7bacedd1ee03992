package capacity

import "slices"

// Role is a part of the system whose costs the page states.
type Role string

// The roles.
const (
	RoleNode       Role = "node"
	RoleAgent      Role = "agent"
	RoleLeader     Role = "leader"
	RoleFollower   Role = "follower"
	RoleReader     Role = "non-voting reader"
	RoleRegistrant Role = "registrant"
	RoleOperator   Role = "operators' API"
)

// Unit is the unit of a slope's value.
type Unit string

// The units.
const (
	Nanoseconds Unit = "ns"
	Bytes       Unit = "B"
	BytesPerS   Unit = "B/s"
	CorePercent Unit = "% of a core"
	PerSecond   Unit = "1/s"
	Seconds     Unit = "s"
)

// The slopes. The catalog's rows name the benchmarks that measure them; slopes without a benchmark come from pages or from sweeps
// of whole processes.
const (
	ListReadChange   ID = "list.read.change"
	ListReadComplete ID = "list.read.whole"
	ListEncode       ID = "list.encode"
	ListBytes        ID = "list.bytes"
	ListSweep        ID = "list.sweep"
	ListNextExpiry   ID = "list.next_expiry"
	ListSnapshot     ID = "list.snapshot"
	ListSnapshotSize ID = "list.snapshot.bytes"

	ReportBytes  ID = "report.bytes"
	ReportEncode ID = "report.encode"
	ReportDecode ID = "report.decode"

	Difference      ID = "report.difference"
	DifferenceBytes ID = "report.difference.bytes"
	Apply           ID = "report.difference.apply"
	GuardScope      ID = "fleet.guard.scope"
	MayJoinScope    ID = "fleet.may_join.scope"
	ReadScope       ID = "intent.read.scope"
	CopySave        ID = "copy.save.change"
	CopySaveBytes   ID = "copy.save.change.bytes"

	IntentReadChange   ID = "intent.read.change"
	IntentReadComplete ID = "intent.read.whole"
	Guard              ID = "fleet.guard"
	MayJoin            ID = "fleet.may_join"
	FleetSnapshot      ID = "fleet.snapshot"
	FleetSnapshotSize  ID = "fleet.snapshot.bytes"
	Step               ID = "judge.step"
	FirstStep          ID = "judge.first_step"
	EvaluateReport     ID = "judge.report"
	FleetHeap          ID = "fleet.heap"
	Division           ID = "division"
	DivisionBytes      ID = "division.bytes"

	CopyReadChange   ID = "copy.read.change"
	CopyTakeChange   ID = "copy.take.change"
	CopyTakeComplete ID = "copy.take.whole"
	CopyEncode       ID = "copy.encode"
	CopyBytes        ID = "copy.bytes"
	CopyDecode       ID = "copy.decode"
	CopyHeap         ID = "copy.heap"

	ModuleList        ID = "module.list.change"
	ModuleTick        ID = "module.tick"
	ModuleWindow      ID = "module.window"
	ModuleApplied     ID = "module.holds"
	ModuleLoad        ID = "module.tenants.load"
	ModuleAppliedList ID = "module.holds.list"
	FillTenants       ID = "report.digests.tenants"
	FillServers       ID = "report.digests.list"

	AgentBytes    ID = "agent.bytes"
	AgentCPU      ID = "agent.cpu"
	LeaderBytes   ID = "leader.bytes"
	LeaderCPU     ID = "leader.cpu"
	WatcherMemory ID = "follower.watcher.memory"
	Commits       ID = "leader.commits"
	Failover      ID = "leader.failover"
	Rollout       ID = "leader.rollout"

	AgentRSSTenant   ID = "agent.rss.tenant"
	AgentCPUTenant   ID = "agent.cpu.tenant"
	AgentBytesTenant ID = "agent.bytes.tenant"
	LeaderRSSTenant  ID = "leader.rss.tenant"
	LeaderCPUNode    ID = "leader.cpu.node"
	LeaderBytesNode  ID = "leader.bytes.node"
	RegistrantBytes  ID = "registrant.bytes"
)

// benchmark identifies a slope's figure in the output of go test -bench.
type benchmark struct {
	pkg    string // package path within the module
	name   string // the benchmark's name after "Capacity"
	metric string // unit of the figure, as benchfmt names it
}

// definition describes a slope independently of its measurement. A slope without a benchmark is taken from a page or a sweep.
type definition struct {
	id        ID
	role      Role
	quantity  string
	per       string // name of the size in the benchmark
	unit      Unit
	benchmark benchmark
}

func timed(id ID, role Role, quantity, per, pkg, name string) definition {
	return definition{id, role, quantity, per, Nanoseconds, benchmark{pkg, name, "sec/op"}}
}

func sized(id ID, role Role, quantity, per, pkg, name, metric string) definition {
	return definition{id, role, quantity, per, Bytes, benchmark{pkg, name, metric}}
}

func external(id ID, role Role, quantity, per string, unit Unit) definition {
	return definition{id: id, role: role, quantity: quantity, per: per, unit: unit}
}

const (
	perServer = "servers"
	perTenant = "tenants"
	perPair   = "pairs"
	perNode   = "node"
	perRow    = "rows"
)

var catalog = []definition{
	timed(ListReadChange, RoleLeader, "a watch's read of one change of the list", perServer, "internal/registry", "ReadOneChange"),
	timed(ListReadComplete, RoleLeader, "a read of the whole list", perServer, "internal/registry", "ReadComplete"),
	timed(ListEncode, RoleLeader, "the whole list as JSON", perServer, "internal/registry", "EncodeComplete"),
	sized(ListBytes, RoleLeader, "body of the whole list", perServer, "internal/registry", "EncodeComplete", "body-B"),
	timed(ListSweep, RoleLeader, "an expiry sweep that finds nothing", perServer, "internal/registry", "Sweep"),
	timed(ListNextExpiry, RoleLeader, "the look for the next lease to lapse", perServer, "internal/registry", "NextExpiry"),
	timed(ListSnapshot, RoleLeader, "snapshot of the list", perServer, "internal/registry", "Snapshot"),
	sized(ListSnapshotSize, RoleLeader, "snapshot of the list", perServer, "internal/registry", "Snapshot", "snapshot-B"),

	sized(ReportBytes, RoleAgent, "body of a report", perTenant, "internal/fleet", "ReportEncode", "body-B"),
	timed(ReportEncode, RoleNode, "a report as JSON", perTenant, "internal/fleet", "ReportEncode"),
	timed(ReportDecode, RoleLeader, "reading a report", perTenant, "internal/fleet", "ReportDecode"),

	timed(Difference, RoleAgent, "a difference of two reports and its body", perTenant, "internal/fleet/reportdelta", "Difference"),
	sized(DifferenceBytes, RoleAgent, "body of a difference, by its changed rows", perRow, "internal/fleet/reportdelta", "DifferenceBody", "body-B"),
	timed(Apply, RoleLeader, "reading a difference, and the whole report of it", perTenant, "internal/fleet/reportdelta", "Apply"),

	timed(GuardScope, RoleLeader, "Guard of a join in a scope", perTenant, "internal/fleet/control", "GuardInScope"),
	timed(MayJoinScope, RoleLeader, "MayJoin of a report in a scope", perTenant, "internal/fleet/control", "MayJoinInScope"),
	timed(ReadScope, RoleLeader, "a read of the whole intent of a scope", perTenant, "internal/fleet/control", "ReadScope"),
	timed(IntentReadChange, RoleLeader, "a watch's read of one change of the intent", perTenant, "internal/fleet/control", "ReadOneChange"),
	timed(IntentReadComplete, RoleLeader, "a read of the whole intent", perTenant, "internal/fleet/control", "ReadComplete"),
	timed(Guard, RoleLeader, "Guard of a join", perTenant, "internal/fleet/control", "Guard"),
	timed(MayJoin, RoleLeader, "MayJoin of a report", perTenant, "internal/fleet/control", "MayJoin"),
	timed(FleetSnapshot, RoleLeader, "snapshot of the fleet", perTenant, "internal/fleet/control", "Snapshot"),
	sized(FleetSnapshotSize, RoleLeader, "snapshot of the fleet", perTenant, "internal/fleet/control", "Snapshot", "snapshot-B"),
	timed(Step, RoleLeader, "the leader's step, no session", perTenant, "internal/fleet/control", "ControllerStep"),
	timed(FirstStep, RoleLeader, "the first step of a leader", perTenant, "internal/fleet/control", "ControllerFirstStep"),
	timed(EvaluateReport, RoleLeader, "judging a report", perTenant, "internal/fleet/control", "ControllerReport"),
	sized(FleetHeap, RoleFollower, "heap of the fleet's state", perTenant, "internal/fleet/control", "Heap", "heap-B"),
	timed(Division, RoleLeader, "a division of quotas", perPair, "internal/fleet/tenants", "Division"),
	sized(DivisionBytes, RoleLeader, "leases in a snapshot", perPair, "internal/fleet/tenants", "Division", "leases-B"),

	timed(CopyReadChange, RoleAgent, "the node's read of one change", perTenant, "internal/fleet/agent", "ReadOneChange"),
	timed(CopyTakeChange, RoleAgent, "taking one change into the copy", perTenant, "internal/fleet/agent", "TakeOneChange"),
	timed(CopyTakeComplete, RoleAgent, "taking a whole answer", perTenant, "internal/fleet/agent", "ApplyComplete"),
	timed(CopyEncode, RoleAgent, "the copy as it is written", perTenant, "internal/fleet/agent", "Encode"),
	timed(CopySave, RoleAgent, "one change made durable, the wait for the disk in it", perTenant, "internal/fleet/agent", "SaveOneChange"),
	sized(CopySaveBytes, RoleAgent, "bytes written for one change", perTenant, "internal/fleet/agent", "SaveOneChange", "disk-B"),
	sized(CopyBytes, RoleAgent, "the copy on disk", perTenant, "internal/fleet/agent", "Encode", "copy-B"),
	timed(CopyDecode, RoleAgent, "reading the copy back", perTenant, "internal/fleet/agent", "Decode"),
	sized(CopyHeap, RoleAgent, "heap of the copy", perTenant, "internal/fleet/agent", "Heap", "heap-B"),

	timed(ModuleList, RoleNode, "the module's update for one change of the list", perServer, "policy", "ListOneChange"),
	timed(ModuleTick, RoleNode, "the module's round of checks, no request open", perServer, "policy", "Tick"),
	timed(ModuleWindow, RoleNode, "Window, for each report", perTenant, "policy", "Window"),
	timed(ModuleApplied, RoleNode, "Holds, for each report", perTenant, "policy", "Applied"),
	timed(ModuleAppliedList, RoleNode, "Holds of the list, for each report", perServer, "policy", "AppliedList"),
	timed(FillTenants, RoleNode, "digests of the tenants, for each report", perTenant, "internal/fleet/drift", "FillTenants"),
	timed(FillServers, RoleNode, "digests of the list, for each report", perServer, "internal/fleet/drift", "FillServers"),
	timed(ModuleLoad, RoleNode, "a module's load of all tenants", perTenant, "policy", "TenantsLoad"),

	external(AgentBytes, RoleAgent, "all calls to the replicas, calm, one tenant", perNode, BytesPerS),
	external(AgentCPU, RoleAgent, "processor time, calm, one tenant", perNode, CorePercent),
	external(LeaderBytes, RoleLeader, "agents and raft, calm, one tenant", perNode, BytesPerS),
	external(LeaderCPU, RoleLeader, "processor time, calm, one tenant", perNode, CorePercent),
	external(WatcherMemory, RoleFollower, "resident memory of a watch", "watcher", Bytes),
	external(Commits, RoleLeader, "commands committed, three replicas", "cluster", PerSecond),
	external(Failover, RoleLeader, "a leader's kill to the next write", "kill", Seconds),
	external(Rollout, RoleLeader, "PUT to in force on 50 nodes, one tenant", "rollout", Seconds),

	external(AgentRSSTenant, RoleAgent, "resident memory of an agent's process", perTenant, Bytes),
	external(AgentCPUTenant, RoleAgent, "processor time of an agent's process", perTenant, CorePercent),
	external(AgentBytesTenant, RoleAgent, "all calls of an agent", perTenant, BytesPerS),
	external(LeaderRSSTenant, RoleLeader, "resident memory of the leader's process", perTenant, Bytes),
	external(LeaderCPUNode, RoleLeader, "processor time of the leader's process", perNode, CorePercent),
	external(LeaderBytesNode, RoleLeader, "all bytes of the leader", perNode, BytesPerS),
	external(RegistrantBytes, RoleRegistrant, "all calls of a registrant", "registrant", BytesPerS),
}

func findDefinition(id ID) (definition, bool) {
	i := slices.IndexFunc(catalog, func(d definition) bool { return d.id == id })
	if i < 0 {
		return definition{}, false
	}
	return catalog[i], true
}
