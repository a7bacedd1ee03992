package scale

import "slices"

// Metric is the name of a measured value of a role.
type Metric string

// The metrics of the leader. The comments say what is measured where the name does not.
const (
	LeaderCPU           Metric = "leader.cpu_cores"            // CPU seconds per second
	LeaderRSS           Metric = "leader.rss_bytes"            // at the window's end
	LeaderStepMean      Metric = "leader.step_mean_s"          // time of one step, mean over the window
	LeaderStepP99       Metric = "leader.step_p99_s"           // upper bound of the histogram bucket that holds the 99th percentile
	LeaderCommands      Metric = "leader.commands_per_s"       // commands of the fleet's cores
	LeaderReports       Metric = "leader.reports_per_s"        // answered reports
	LeaderRaftBytes     Metric = "leader.raft_bytes_per_s"     // to and from the other replicas
	LeaderLogBytes      Metric = "leader.raft_log_bytes"       // size of the log file at the window's end
	LeaderSnapshotBytes Metric = "leader.snapshot_bytes"       // size of the newest snapshot on disk at the window's end
	LeaderWritten       Metric = "leader.bytes_written_per_s"  // bytes written to disk
	LeaderHTTPIn        Metric = "leader.http_in_bytes_per_s"  // reports and registrations, all of which the leader serves
	LeaderHTTPOut       Metric = "leader.http_out_bytes_per_s" // answers to reports and registrations
)

// The metrics of the followers, each the mean over all followers.
const (
	FollowerCPU       Metric = "follower.cpu_cores"
	FollowerRSS       Metric = "follower.rss_bytes"
	FollowerRaftBytes Metric = "follower.raft_bytes_per_s"
)

// The metrics of the hollow nodes, each the mean over all nodes.
const (
	NodeCPU         Metric = "node.cpu_cores"
	NodeHeap        Metric = "node.heap_bytes"
	NodeRSS         Metric = "node.rss_bytes"
	NodeBytesIn     Metric = "node.bytes_in_per_s"
	NodeBytesOut    Metric = "node.bytes_out_per_s"
	NodeBytes       Metric = "node.bytes_per_s" // both directions
	NodeCalls       Metric = "node.calls_per_s"
	NodeIntentBytes Metric = "node.intent_bytes_per_s"
	NodeListBytes   Metric = "node.list_bytes_per_s"
	NodeReportBytes Metric = "node.report_bytes_per_s"
	NodeReportBody  Metric = "node.report_body_bytes"     // body of one report, the mean
	NodeDifference  Metric = "node.difference_body_bytes" // body of one report delta, the mean
	NodeIntentCall  Metric = "node.intent_call_bytes"     // bytes of one call in both directions, the mean
	NodeListCall    Metric = "node.list_call_bytes"
	NodeReportCall  Metric = "node.report_call_bytes"
	NodeItems       Metric = "node.items"            // intent items that a node holds
	NodeCopyBytes   Metric = "node.copy_bytes_per_s" // bytes written to a node's durable copy
	NodeFailures    Metric = "node.failures_per_s"   // failed calls
)

// The metrics of the registrants, each the mean over all registrants.
const (
	RegistrantCPU   Metric = "registrant.cpu_cores"
	RegistrantRSS   Metric = "registrant.rss_bytes"
	RegistrantBytes Metric = "registrant.bytes_per_s"
	RegistrantCalls Metric = "registrant.calls_per_s"
	RegistrantCall  Metric = "registrant.call_bytes" // bytes of one call in both directions, the mean
)

// The metrics of changes. Their times run from the request that proposes a generation until it is in force on a node.
const (
	ChangeP50    Metric = "change.p50_s"
	ChangeP99    Metric = "change.p99_s"
	ChangeMax    Metric = "change.max_s"
	ChangeBytes  Metric = "change.node_bytes" // intent bytes that a node reads over the window, per change
	ChangesDone  Metric = "change.done_per_s"
	ChangeMissed Metric = "change.missed" // pairs of a node and a change that did not come into force in time
	BurstP50     Metric = "burst.p50_s"   // the burst metrics are the same for the changes of bursts
	BurstP99     Metric = "burst.p99_s"
	BurstMax     Metric = "burst.max_s"
	BurstMissed  Metric = "burst.missed"
	ReleaseTime  Metric = "release.s"  // from the start of a release until every node was restarted and up again
	RecoveryTime Metric = "recovery.s" // from the return of a leader, after all replicas were down, until every node is ready
	StartupTime  Metric = "startup.ready_s"
	StartupBytes Metric = "startup.node_bytes" // bytes that a node reads until all nodes are ready
)

// Values are the measured values of one repeat. A metric that could not be measured is absent.
type Values map[Metric]float64

// Names returns the names of the metrics, sorted.
func (v Values) Names() []Metric {
	out := make([]Metric, 0, len(v))
	for name := range v {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
