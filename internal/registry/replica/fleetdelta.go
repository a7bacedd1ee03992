package replica

import (
	"net/http"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
)

// reportDelta receives a node's report as a delta to an earlier report that this leader acknowledged. If the complete report
// can't be restored from the delta, nothing changes, and the answer asks for the complete report.
func (l *leadership) reportDelta(w http.ResponseWriter, r *http.Request) {
	if l.replica.raft.State() != raft.Leader {
		l.replica.notLeader(w)
		return
	}
	raw, ok := l.readBody(w, r, "difference", fleet.MaxReportBytes)
	if !ok {
		return
	}
	d, err := reportdelta.Decode(raw)
	if err != nil {
		l.metrics.deltasRejected.WithLabelValues(reportdelta.MetricReason(err)).Inc()
		l.rejectBody(w, "difference", err)
		return
	}
	rep, err := l.completeReport(d)
	if err != nil {
		l.metrics.deltasRejected.WithLabelValues(reportdelta.MetricReason(err)).Inc()
		l.replica.cfg.Log.Debug("report delta rejected", "node", d.Head.Node, "incarnation", d.Head.Incarnation, "err", err)
		writeJSON(w, fleet.ReportAnswer{SendComplete: true})
		return
	}
	l.metrics.reportKinds.WithLabelValues("difference").Inc()
	l.serveReport(w, rep, d.BaseSequence)
}

// completeReport restores the complete report from a delta. It applies the delta without the lock, because a base report is
// never changed in place.
func (l *leadership) completeReport(d reportdelta.Delta) (fleet.Report, error) {
	l.mu.Lock()
	base, err := l.bases.Find(&d)
	l.mu.Unlock()
	if err != nil {
		return fleet.Report{}, err
	}
	return reportdelta.Apply(base, d)
}
