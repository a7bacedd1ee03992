package scale

import "slices"

// Metric names one measured figure of a role.
type Metric string

// The figures of the leader.
const (
	LeaderCPU       Metric = "leader.cpu_cores"            // processor time a second
	LeaderRSS       Metric = "leader.rss_bytes"            // at the window's end
	LeaderStepMean  Metric = "leader.step_mean_s"          // time of one step, mean of the window
	LeaderStepP99   Metric = "leader.step_p99_s"           // upper bound by the histogram's buckets
	LeaderCommands  Metric = "leader.commands_per_s"       // of the fleet's cores
	LeaderReports   Metric = "leader.reports_per_s"        // answered
	LeaderRaftBytes Metric = "leader.raft_bytes_per_s"     // to and from the other replicas
	LeaderLogBytes  Metric = "leader.raft_log_bytes"       // size of the log's file at the end
	LeaderSnapBytes Metric = "leader.snapshot_bytes"       // newest snapshots on disk at the end
	LeaderWritten   Metric = "leader.bytes_written_per_s"  // to the disk
	LeaderHTTPIn    Metric = "leader.http_in_bytes_per_s"  // reports and registrations, all of which it serves
	LeaderHTTPOut   Metric = "leader.http_out_bytes_per_s" // their answers
)

// The figures of a follower, the mean over them.
const (
	FollowerCPU       Metric = "follower.cpu_cores"
	FollowerRSS       Metric = "follower.rss_bytes"
	FollowerRaftBytes Metric = "follower.raft_bytes_per_s"
)

// The figures of a hollow node, the mean over them.
const (
	NodeCPU         Metric = "node.cpu_cores"
	NodeHeap        Metric = "node.heap_bytes"
	NodeRSS         Metric = "node.rss_bytes"
	NodeBytesIn     Metric = "node.bytes_in_per_s"
	NodeBytesOut    Metric = "node.bytes_out_per_s"
	NodeBytes       Metric = "node.bytes_per_s" // both ways
	NodeCalls       Metric = "node.calls_per_s"
	NodeIntentBytes Metric = "node.intent_bytes_per_s"
	NodeListBytes   Metric = "node.list_bytes_per_s"
	NodeReportBytes Metric = "node.report_bytes_per_s"
	NodeReportBody  Metric = "node.report_body_bytes"     // of one report
	NodeDifference  Metric = "node.difference_body_bytes" // of one report that is sent as a difference
	NodeIntentCall  Metric = "node.intent_call_bytes"     // of one call, both ways, the mean
	NodeListCall    Metric = "node.list_call_bytes"
	NodeReportCall  Metric = "node.report_call_bytes"
	NodeItems       Metric = "node.items"            // of the intent that it holds
	NodeCopyBytes   Metric = "node.copy_bytes_per_s" // written to its durable copy
	NodeFailures    Metric = "node.failures_per_s"   // calls that failed
)

// The figures of a registrant, the mean over them.
const (
	RegistrantCPU   Metric = "registrant.cpu_cores"
	RegistrantRSS   Metric = "registrant.rss_bytes"
	RegistrantBytes Metric = "registrant.bytes_per_s"
	RegistrantCalls Metric = "registrant.calls_per_s"
	RegistrantCall  Metric = "registrant.call_bytes" // of one call, both ways, the mean
)

// The figures of changes: from the request that proposes a generation to a node that serves by it.
const (
	ChangeP50    Metric = "change.p50_s"
	ChangeP99    Metric = "change.p99_s"
	ChangeMax    Metric = "change.max_s"
	ChangeBytes  Metric = "change.node_bytes" // read by a node over the window, for each change
	ChangesDone  Metric = "change.done_per_s"
	ChangeMissed Metric = "change.missed" // pairs of a node and a change that did not come into force in time
	BurstP50     Metric = "burst.p50_s"   // the same of changes at once
	BurstP99     Metric = "burst.p99_s"
	BurstMax     Metric = "burst.max_s"
	BurstMissed  Metric = "burst.missed"
	ReleaseTime  Metric = "release.s"  // until every node was restarted and up again
	RecoveryTime Metric = "recovery.s" // from a leader's return, after all replicas were down, until every node is counted in
	StartupTime  Metric = "startup.ready_s"
	StartupBytes Metric = "startup.node_bytes" // read by a node until all are ready
)

// Values are the measured figures of one repeat. A figure that could not be measured is not there.
type Values map[Metric]float64

// Names gives the metrics in order.
func (v Values) Names() []Metric {
	out := make([]Metric, 0, len(v))
	for name := range v {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
