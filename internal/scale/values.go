package scale

import (
	"slices"
	"time"

	"meadowsill/internal/scale/hollow"
)

// sample holds the resource use and counters of every role at one moment.
type sample struct {
	at       time.Time
	replicas Replicas
	nodes    hollow.Usage
	servers  hollow.Usage
}

// valuesOf computes the metrics of each role from two samples and the outcome of the schedule between them.
func valuesOf(l Load, before, after sample, seen *outcome) Values {
	v := Values{}
	window := after.at.Sub(before.at).Seconds()
	v.addLeader(before, after, window)
	v.addFollowers(before.replicas, after.replicas, window)
	v.addNodes(l, before.nodes, after.nodes, window)
	v.addRegistrants(l, before.servers, after.servers, window)
	v.addChanges(l, before.nodes, after.nodes, window, seen)
	return v
}

// sameLeader reports whether the same process was the leader at both samples. If not, a replica changed its role in between, and
// neither the leader's nor the followers' metrics describe one role.
func sameLeader(before, after Replicas) bool {
	lead := after.Leader
	return before.Leader == lead && before.Each[lead].PID == after.Each[lead].PID
}

// addLeader adds the metrics of the leader.
func (v Values) addLeader(before, after sample, window float64) {
	if !sameLeader(before.replicas, after.replicas) {
		return
	}
	lead := after.replicas.Leader
	b, a := before.replicas.Each[lead], after.replicas.Each[lead]
	v[LeaderCPU] = (a.CPU - b.CPU).Seconds() / window
	v[LeaderRSS] = float64(a.RSSBytes)
	v[LeaderRaftBytes] = difference(b.RaftBytes, a.RaftBytes) / window
	v[LeaderWritten] = difference(b.WrittenBytes, a.WrittenBytes) / window
	v[LeaderLogBytes] = float64(a.LogBytes)
	if a.SnapshotBytes > 0 {
		v[LeaderSnapshotBytes] = float64(a.SnapshotBytes)
	}
	v[LeaderCommands] = (a.Metrics.Commands - b.Metrics.Commands) / window
	v[LeaderReports] = (a.Metrics.Reports - b.Metrics.Reports) / window
	steps := a.Metrics.Step.Since(b.Metrics.Step)
	if mean, ok := steps.Mean(); ok {
		v[LeaderStepMean] = mean
	}
	if p99, ok := steps.Quantile(0.99); ok {
		v[LeaderStepP99] = p99
	}
	reports := trafficBetween(before.nodes, after.nodes, hollow.CallReport)
	registered := trafficBetween(before.servers, after.servers, hollow.CallRegister)
	v[LeaderHTTPIn] = float64(reports.BytesOut+registered.BytesOut) / window
	v[LeaderHTTPOut] = float64(reports.BytesIn+registered.BytesIn) / window
}

// addFollowers adds the metrics of the followers, as the mean over them.
func (v Values) addFollowers(before, after Replicas, window float64) {
	followers := float64(len(after.Each) - 1)
	if followers < 1 || !sameLeader(before, after) {
		return
	}
	var cpu, rss, raft float64
	for i, a := range after.Each {
		if i == after.Leader {
			continue
		}
		cpu += (a.CPU - before.Each[i].CPU).Seconds()
		rss += float64(a.RSSBytes)
		raft += difference(before.Each[i].RaftBytes, a.RaftBytes)
	}
	v[FollowerCPU] = cpu / window / followers
	v[FollowerRSS] = rss / followers
	v[FollowerRaftBytes] = raft / window / followers
}

// addNodes adds the metrics of the hollow nodes, as the mean over them.
func (v Values) addNodes(l Load, before, after hollow.Usage, window float64) {
	nodes := float64(l.Nodes)
	v[NodeCPU] = (after.CPU - before.CPU).Seconds() / window / nodes
	v[NodeHeap] = float64(after.HeapBytes) / nodes
	v[NodeRSS] = float64(after.RSSBytes) / nodes
	v[NodeItems] = float64(after.Items) / nodes
	v[NodeCopyBytes] = difference(before.CopyBytes, after.CopyBytes) / window / nodes
	v[NodeFailures] = difference(before.Failures, after.Failures) / window / nodes
	var all hollow.Traffic
	for _, call := range []struct {
		call      hollow.Call
		perSecond Metric
		each      Metric
	}{{hollow.CallIntent, NodeIntentBytes, NodeIntentCall}, {hollow.CallList, NodeListBytes, NodeListCall},
		{hollow.CallReport, NodeReportBytes, NodeReportCall}} {
		t := trafficBetween(before, after, call.call)
		v[call.perSecond] = float64(t.BytesIn+t.BytesOut) / window / nodes
		v.addMean(call.each, t)
		all.Calls += t.Calls
		all.BytesIn += t.BytesIn
		all.BytesOut += t.BytesOut
	}
	v[NodeBytesIn] = float64(all.BytesIn) / window / nodes
	v[NodeBytesOut] = float64(all.BytesOut) / window / nodes
	v[NodeBytes] = v[NodeBytesIn] + v[NodeBytesOut]
	v[NodeCalls] = float64(all.Calls) / window / nodes
	if reports := trafficBetween(before, after, hollow.CallReport).Calls; reports > 0 {
		v[NodeReportBody] = difference(before.ReportBytes, after.ReportBytes) / float64(reports)
	}
	if differences := difference(before.ReportDeltas, after.ReportDeltas); differences > 0 {
		v[NodeDifference] = difference(before.ReportDeltaBytes, after.ReportDeltaBytes) / differences
	}
}

// addRegistrants adds the metrics of the hollow app servers, as the mean over them.
func (v Values) addRegistrants(l Load, before, after hollow.Usage, window float64) {
	servers := float64(l.Servers)
	t := trafficBetween(before, after, hollow.CallRegister)
	v[RegistrantCPU] = (after.CPU - before.CPU).Seconds() / window / servers
	v[RegistrantRSS] = float64(after.RSSBytes) / servers
	v[RegistrantBytes] = float64(t.BytesIn+t.BytesOut) / window / servers
	v[RegistrantCalls] = float64(t.Calls) / window / servers
	v.addMean(RegistrantCall, t)
}

// addMean adds the mean bytes per call as a metric, if there were any calls.
func (v Values) addMean(metric Metric, t hollow.Traffic) {
	if t.Calls > 0 {
		v[metric] = float64(t.BytesIn+t.BytesOut) / float64(t.Calls)
	}
}

// addChanges adds the metrics of changes and events. For releases and recoveries it takes the longest.
func (v Values) addChanges(l Load, before, after hollow.Usage, window float64, seen *outcome) {
	if seen.changes > 0 {
		v[ChangesDone] = float64(seen.changes) / window
		read := trafficBetween(before, after, hollow.CallIntent).BytesIn
		v[ChangeBytes] = float64(read) / float64(l.Nodes) / float64(seen.changes)
		v.addChangeTimes(seen.steady, ChangeP50, ChangeP99, ChangeMax, ChangeMissed)
	}
	if seen.burst.took.TotalCount() > 0 || seen.burst.missed > 0 {
		v.addChangeTimes(seen.burst, BurstP50, BurstP99, BurstMax, BurstMissed)
	}
	if len(seen.releases) > 0 {
		v[ReleaseTime] = slices.Max(seen.releases)
	}
	if len(seen.recoveries) > 0 {
		v[RecoveryTime] = slices.Max(seen.recoveries)
	}
}

// addChangeTimes adds the percentiles and the maximum of the times of changes, and how many came too late.
func (v Values) addChangeTimes(times *changeTimes, p50, p99, longest, missed Metric) {
	v[missed] = float64(times.missed)
	for metric, q := range map[Metric]float64{p50: 50, p99: 99} {
		if value, ok := times.quantile(q); ok {
			v[metric], v[longest] = value, times.longest.Seconds()
		}
	}
}

// trafficBetween returns the traffic of one kind of call between two samples.
func trafficBetween(before, after hollow.Usage, call hollow.Call) hollow.Traffic {
	b, a := before.Calls[call], after.Calls[call]
	return hollow.Traffic{Calls: a.Calls - b.Calls, BytesIn: a.BytesIn - b.BytesIn, BytesOut: a.BytesOut - b.BytesOut}
}

// difference returns the difference of two readings of a counter.
func difference(before, after uint64) float64 { return float64(after) - float64(before) }
