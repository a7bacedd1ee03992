package replica

import (
	"net/http"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
)

// difference takes a node's report as what changed since one that this leader acknowledged. Where the whole report can't be made
// of it, nothing changes, and the answer is the wish for the whole one.
func (l *leadership) difference(w http.ResponseWriter, r *http.Request) {
	if l.rep.raft.State() != raft.Leader {
		l.rep.notLeader(w)
		return
	}
	raw, ok := l.body(w, r, "difference", fleet.MaxReportBytes)
	if !ok {
		return
	}
	d, err := reportdelta.Decode(raw)
	if err != nil {
		l.m.differencesRefused.WithLabelValues(reportdelta.Reason(err)).Inc()
		l.refuse(w, "difference", err)
		return
	}
	rep, err := l.wholeReport(d)
	if err != nil {
		l.m.differencesRefused.WithLabelValues(reportdelta.Reason(err)).Inc()
		l.rep.cfg.Log.Debug("difference not taken", "node", d.Head.Node, "incarnation", d.Head.Incarnation, "err", err)
		show(w, fleet.ReportAnswer{SendComplete: true})
		return
	}
	l.m.kinds.WithLabelValues("difference").Inc()
	l.serveReport(w, rep, d.BaseSeq)
}

// wholeReport makes the whole report again. Bases are never changed in place, so the work is done without the lock.
func (l *leadership) wholeReport(d reportdelta.Difference) (fleet.Report, error) {
	l.mu.Lock()
	base, err := l.bases.Find(&d)
	l.mu.Unlock()
	if err != nil {
		return fleet.Report{}, err
	}
	return reportdelta.Apply(base, d)
}
