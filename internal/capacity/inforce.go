package capacity

import "slices"

const (
	diskS   = 0.01 // a synced write of raft's log or of the agent's copy
	reportS = 0.25 // report_ms: time until a node's next report while its evidence changes
	verifyS = 0.05 // time for which the leader collects reports before it confirms its leadership
	stepS   = 0.1  // time between two steps of the leader
	msPerS  = 1000.0
)

func roundTripS(p Plan) float64 { return p.Input(RoundTripMS) / msPerS }

// scopeTenants returns the number of tenants that a node holds if it holds only those of its services.
func scopeTenants(p Plan) float64 {
	return min(p.Size.Tenants, p.Input(TenantsPerService)*p.Input(ServicesPerNode))
}

// scopeNodes returns the number of nodes that serve one service.
func scopeNodes(p Plan) float64 {
	return min(p.Size.Nodes, p.Size.Nodes*p.Input(ServicesPerNode)/p.Size.Services)
}

// reach is the extent of a change: the number of tenants that each node holds, and the number of nodes that are notified and that
// the rollout waits for.
type reach struct {
	tenants float64
	nodes   float64
}

func wholeFleet(p Plan) reach { return reach{p.Size.Tenants, p.Size.Nodes} }

func inScope(p Plan) reach { return reach{scopeTenants(p), scopeNodes(p)} }

// stage is one step between the put of a change and its being in force, with its time in seconds. In a burst the stages with twice
// set take place twice, because a watch that was answered before the burst's last change reads again.
type stage struct {
	name    string
	seconds func(p Plan, s Slopes, r reach) float64
	past    func(p Plan, s Slopes, r reach) float64 // time before the mechanism; nil: the same
	twice   bool
}

func fanOutS(_ Plan, s Slopes, r reach) float64 {
	return r.nodes / replicasToday * s.Get(IntentReadChange).At(r.tenants) / nanosPerS
}

// completeCopyS returns the time of a copy that is written in full; copyS returns that of a copy saved by difference.
func completeCopyS(_ Plan, s Slopes, r reach) float64 {
	return diskS + (s.Get(CopyTakeChange).At(r.tenants)+s.Get(CopyEncode).At(r.tenants)+s.Get(CopyDecode).At(r.tenants))/nanosPerS
}

func copyS(_ Plan, s Slopes, r reach) float64 {
	return diskS + (s.Get(CopyTakeChange).At(r.tenants)+s.Get(CopySave).At(r.tenants))/nanosPerS
}

func commitS(p Plan, _ Slopes, _ reach) float64 { return roundTripS(p) + diskS }

func oneWayS(p Plan, _ Slopes, _ reach) float64 { return roundTripS(p) / 2 }

func nodeReadS(_ Plan, s Slopes, r reach) float64 {
	return s.Get(CopyReadChange).At(r.tenants) / nanosPerS
}

func nodeReportS(p Plan, s Slopes, r reach) float64 {
	return reportS + (tenantNanos(s, r.tenants)+listNanos(p, s))/nanosPerS
}

// differenceReportS returns the time of a node's report including the agent's decoding and its difference.
func differenceReportS(p Plan, s Slopes, r reach) float64 {
	return nodeReportS(p, s, r) + (s.Get(ReportDecode).At(r.tenants)+s.Get(Difference).At(r.tenants))/nanosPerS
}

func leaderReportsS(p Plan, s Slopes, r reach) float64 {
	return 1.5*roundTripS(p) + verifyS + r.nodes*reportNanos(s, r.tenants)/p.Input(Cores)/nanosPerS
}

func completeLeaderReportsS(p Plan, s Slopes, r reach) float64 {
	return 1.5*roundTripS(p) + verifyS + r.nodes*completeReportNanos(s, r.tenants)/p.Input(Cores)/nanosPerS
}

// leaderStepS returns the time until the leader's next step is done. It depends on all tenants, whatever the reach, because the
// step is not scoped before stage 5.
func leaderStepS(p Plan, s Slopes, _ reach) float64 {
	return stepS + s.Get(Step).At(p.Size.Tenants)/nanosPerS
}

var stages = []stage{
	{name: "the call to the leader, half a round trip", seconds: oneWayS},
	{name: "commit of what is staged: a round trip and a synced write", seconds: commitS},
	{name: "fan-out: the reads of a replica's watches, one after another", seconds: fanOutS, twice: true},
	{name: "to the agents, half a round trip", seconds: oneWayS},
	{name: "the agent's copy: taken, made durable", seconds: copyS, past: completeCopyS, twice: true},
	{name: "the node reads it, validates and stages", seconds: nodeReadS},
	{name: "the node's next report", seconds: differenceReportS, past: nodeReportS},
	{name: "the reports at the leader: half a round trip, 50 ms gathered, a confirmation, all read", seconds: leaderReportsS, past: completeLeaderReportsS},
	{name: "the leader's next step", seconds: leaderStepS},
	{name: "commit of what is committed", seconds: commitS},
	{name: "fan-out again", seconds: fanOutS, twice: true},
	{name: "to the agents again", seconds: oneWayS},
	{name: "the agent's copy again", seconds: copyS, past: completeCopyS, twice: true},
	{name: "the node reads it and serves by it", seconds: nodeReadS},
}

// pastStages returns the stages with their times before the mechanism.
func pastStages() []stage {
	out := slices.Clone(stages)
	for i := range out {
		if out[i].past != nil {
			out[i].seconds = out[i].past
		}
	}
	return out
}

// inForceS returns the sum of the stages' times.
func inForceS(stages []stage, p Plan, s Slopes, r reach, burst bool) float64 {
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
