package capacity

import "math"

const (
	diskS          = 0.01 // a write that is synced: raft's log, the agent's copy
	reportS        = 0.25 // report_ms: a node's next report while its evidence changes
	verifyS        = 0.05 // the leader gathers reports so long before it confirms that it leads
	stepS          = 0.1  // between two steps of the leader
	batchPart      = 0.1  // of the nodes that a release restarts at a time
	batchS         = 30.0 // in which the nodes of a batch leave and come back
	roundTripsEach = 5.0  // of a rollout: call, commit, way out, report, confirmation, commit, way out
	daysPerWeek    = 7.0
	daysPerYear    = 365.0
	msPerS         = 1000.0
)

func roundTripS(p Plan) float64 { return p.Input(RoundTripMS) / msPerS }

// scopeTenants is how many tenants a node holds that holds only those of its services.
func scopeTenants(p Plan) float64 {
	return min(p.Size.Tenants, p.Input(TenantsPerService)*p.Input(ServicesPerNode))
}

// scopeNodes is how many nodes serve one service.
func scopeNodes(p Plan) float64 {
	return min(p.Size.Nodes, p.Size.Nodes*p.Input(ServicesPerNode)/p.Size.Services)
}

// reach is how far a change goes: how many tenants each node holds, and how many nodes are woken and waited for.
type reach struct {
	tenants, nodes float64
}

func everywhere(p Plan) reach { return reach{p.Size.Tenants, p.Size.Nodes} }

func inScope(p Plan) reach { return reach{scopeTenants(p), scopeNodes(p)} }

// stage is one step of a change on its way into force, in seconds. A burst makes its per-change part come twice: a watch that
// was answered before the last of the burst reads again.
type stage struct {
	name    string
	seconds func(p Plan, s Slopes, r reach) float64
	twice   bool
}

func fanOutS(_ Plan, s Slopes, r reach) float64 {
	return r.nodes / replicasToday * s.Get(IntentReadChange).At(r.tenants) / nanosPerS
}

func copyS(_ Plan, s Slopes, r reach) float64 {
	return diskS + (s.Get(CopyTakeChange).At(r.tenants)+s.Get(CopyEncode).At(r.tenants)+s.Get(CopyDecode).At(r.tenants))/nanosPerS
}

func commitS(p Plan, _ Slopes, _ reach) float64 { return roundTripS(p) + diskS }

func oneWayS(p Plan, _ Slopes, _ reach) float64 { return roundTripS(p) / 2 }

func nodeReadS(_ Plan, s Slopes, r reach) float64 {
	return s.Get(CopyReadChange).At(r.tenants) / nanosPerS
}

func nodeReportS(p Plan, s Slopes, r reach) float64 {
	return reportS + (tenantNanos(s, r.tenants)+listNanos(p, s))/nanosPerS
}

func leaderReportsS(p Plan, s Slopes, r reach) float64 {
	work := s.Get(ReportDecode).At(r.tenants) + s.Get(JudgeReport).At(r.tenants)
	return 1.5*roundTripS(p) + verifyS + r.nodes*work/p.Input(Cores)/nanosPerS
}

// leaderStepS goes by every tenant, whatever the reach: the step is not scoped before stage 5.
func leaderStepS(p Plan, s Slopes, _ reach) float64 {
	return stepS + s.Get(Step).At(p.Size.Tenants)/nanosPerS
}

var stages = []stage{
	{name: "the call to the leader, half a round trip", seconds: oneWayS},
	{name: "commit of what is staged: a round trip and a synced write", seconds: commitS},
	{name: "fan-out: the reads of a replica's watches, one after another", seconds: fanOutS, twice: true},
	{name: "to the agents, half a round trip", seconds: oneWayS},
	{name: "the agent's copy: taken, written, the old one read back", seconds: copyS, twice: true},
	{name: "the node reads it, validates and stages", seconds: nodeReadS},
	{name: "the node's next report", seconds: nodeReportS},
	{name: "the reports at the leader: half a round trip, 50 ms gathered, a confirmation, all read", seconds: leaderReportsS},
	{name: "the leader's next step", seconds: leaderStepS},
	{name: "commit of what is committed", seconds: commitS},
	{name: "fan-out again", seconds: fanOutS, twice: true},
	{name: "to the agents again", seconds: oneWayS},
	{name: "the agent's copy again", seconds: copyS, twice: true},
	{name: "the node reads it and serves by it", seconds: nodeReadS},
}

// inForceS is the sum of the stages.
func inForceS(p Plan, s Slopes, r reach, burst bool) float64 {
	sum := 0.0
	for _, st := range stages {
		sum += st.at(p, s, r, burst)
	}
	return sum
}

func (st stage) at(p Plan, s Slopes, r reach, burst bool) float64 {
	seconds := st.seconds(p, s, r)
	if burst && st.twice {
		seconds *= 2
	}
	return seconds
}

// rolloutS is a rollout that nothing holds up, without the costs that grow with the plan: as measured on 50 nodes on one machine,
// with the round trips between regions.
func rolloutS(p Plan, s Slopes) float64 { return s.Get(Rollout).Value + roundTripsEach*roundTripS(p) }

// Miss is one cause for which changes are not in force in time.
type Miss struct {
	Cause   string
	PerDay  float64 // events
	WindowS float64 // of each, in which a change that is put misses the bound
	Part    float64 // of the changes put in it that do miss it
	Changes float64 // a day
}

// silentWindowS is the time of puts that a node held up which fell silent: those under way, and those after it that meet what is
// left of its lease.
func silentWindowS(p Plan, s Slopes) float64 {
	r := rolloutS(p, s)
	return r + max(0, leaseTTLS+r-p.Allowed.InForceS)
}

// releaseMiss is the part of the changes put during a rolling restart that miss the bound: each try to commit wants an epoch
// that does not change between the leader's step and the commit.
func releaseMiss(p Plan) float64 {
	changesOfEpoch := 2 * batchPart * p.Size.Nodes / batchS
	try := stepS + roundTripS(p) + diskS
	succeeds := math.Exp(-changesOfEpoch * try)
	tries := max(1, p.Allowed.InForceS/try)
	return math.Pow(1-succeeds, tries)
}

// Misses gives the causes, by today's rule that a rollout waits for every present node and an unchanged epoch.
func Misses(p Plan, s Slopes) []Miss {
	window, nodePart := silentWindowS(p, s), p.Input(NodePart)
	out := []Miss{
		{Cause: "a node that fails silently", PerDay: nodePart * p.Failures.MachinesPerDay, WindowS: window, Part: 1},
		{Cause: "a rack or switch", PerDay: p.Failures.RacksPerWeek / daysPerWeek, WindowS: window, Part: 1},
		{Cause: "a zone", PerDay: p.Failures.ZonesPerYear / daysPerYear, WindowS: window, Part: 1},
		{Cause: "a batch of a rolling restart, a tenth of the nodes in 30 s", WindowS: batchS, Part: releaseMiss(p),
			PerDay: nodePart * p.Failures.RestartsPerDay / (batchPart * p.Size.Nodes)},
	}
	for i := range out {
		m := &out[i]
		m.Changes = p.Size.ChangesPerDay * m.PerDay * m.WindowS * m.Part / day
	}
	return out
}

func missedChanges(p Plan, s Slopes) float64 {
	sum := 0.0
	for _, m := range Misses(p, s) {
		sum += m.Changes
	}
	return sum
}
