package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/fleet/session"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// readBody reads a request's body of at most limit bytes. A longer body is rejected, counted, and logged at a limited rate.
func (l *leadership) readBody(w http.ResponseWriter, r *http.Request, path string, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, false // the client has closed the connection
	}
	if int64(len(raw)) > limit {
		l.rejectBody(w, path, fmt.Errorf("%w: body over %d bytes", fleet.ErrInvalid, limit))
		return nil, false
	}
	return raw, true
}

// rejectBody answers 400 to an invalid body, counts it, and logs it at a limited rate.
func (l *leadership) rejectBody(w http.ResponseWriter, path string, err error) {
	l.metrics.badBodies.WithLabelValues(path).Inc()
	if skipped, ok := l.rejectionLog.allow(); ok {
		l.replica.cfg.Log.Warn("bad body rejected", "path", path, "err", err, "more", skipped)
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// statusCode returns the HTTP status for an error of the fleet's state.
func statusCode(err error) int {
	switch {
	case errors.Is(err, fleet.ErrInvalid), errors.Is(err, control.ErrOlder):
		return http.StatusBadRequest
	case errors.Is(err, fleet.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, fleet.ErrConflict), errors.Is(err, fleet.ErrFenced), errors.Is(err, control.ErrStale),
		errors.Is(err, tenants.ErrStale), errors.Is(err, zones.ErrChanged):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// report answers POST /fleet/v1/report: it receives a node's complete report.
func (l *leadership) report(w http.ResponseWriter, r *http.Request) {
	if l.replica.raft.State() != raft.Leader {
		l.replica.notLeader(w)
		return
	}
	raw, ok := l.readBody(w, r, "report", fleet.MaxReportBytes)
	if !ok {
		return
	}
	rep, err := fleet.DecodeReport(raw)
	if err != nil {
		l.rejectBody(w, "report", err)
		return
	}
	l.metrics.reportKinds.WithLabelValues("whole").Inc()
	l.serveReport(w, reportdelta.Normalize(rep), 0)
}

// serveReport answers a report. baseSeq is the sequence number of the report that its delta was based on, 0 for a report that
// was sent complete. A run without a session joins if it may. The answer renews the session's lease, so it is sent only after
// this replica has been confirmed as the leader since the report arrived (docs/fleet.md, "Sessions").
func (l *leadership) serveReport(w http.ResponseWriter, rep fleet.Report, baseSeq uint64) {
	at := l.now()
	cmd, err := l.admitReport(rep)
	if err == nil && cmd != nil {
		var a applyResult
		if a, err = l.proposeFleet(*cmd); err != nil {
			l.metrics.reports.WithLabelValues("lost").Inc()
			l.replica.notCommitted(w, err)
			return
		}
		if errors.Is(a.err, session.ErrNoSlot) {
			if skipped, ok := l.rejectionLog.allow(); ok {
				l.replica.cfg.Log.Error("no slot is free", "node", rep.Node, "zone", rep.Zone, "slots", l.settings.Slots, "more", skipped)
			}
		} else if !errors.Is(a.err, control.ErrStale) { // ErrStale: the run is no longer caught up, and stays without a session until its next report
			err = a.err
		}
	}
	if err == nil {
		if verr := l.verifyLeader.wait(); verr != nil {
			l.metrics.reports.WithLabelValues("unverified").Inc()
			l.replica.notLeader(w)
			return
		}
	}
	var ans fleet.ReportAnswer
	if err == nil {
		ans, err = l.answerReport(at, rep, baseSeq)
	}
	switch {
	case err != nil && statusCode(err) == http.StatusConflict:
		l.metrics.reports.WithLabelValues("fenced").Inc()
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		l.metrics.reports.WithLabelValues("refused").Inc()
		http.Error(w, err.Error(), statusCode(err))
	default:
		l.metrics.reports.WithLabelValues(map[bool]string{false: "held", true: "out"}[ans.LeaseTTLMS == 0]).Inc()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(ans)
	}
}

var errNotLeader = errors.New("this replica does not lead yet")

// admitReport returns the command that must be committed before the report can be answered, or nil.
func (l *leadership) admitReport(rep fleet.Report) (*control.Command, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller == nil {
		return nil, errNotLeader
	}
	l.replica.fsm.mu.Lock()
	defer l.replica.fsm.mu.Unlock()
	c, _, err := l.controller.Admit(l.replica.fsm.fleet, rep)
	return c, err
}

// answerReport returns the answer to a report that arrived at at. The caller has confirmed since then that this replica is the
// leader. The report of a present run is kept as a base for later deltas.
func (l *leadership) answerReport(at fleet.Time, rep fleet.Report, baseSeq uint64) (fleet.ReportAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller == nil || l.replica.raft.CurrentTerm() != l.term {
		return fleet.ReportAnswer{}, errNotLeader
	}
	l.replica.fsm.mu.Lock()
	defer l.replica.fsm.mu.Unlock()
	ans, err := l.controller.Report(l.now(), at, l.replica.fsm.fleet, rep)
	if err == nil && l.replica.fsm.fleet.Session.Present(rep.Member) {
		ans.AckSequence = l.bases.Keep(rep, baseSeq)
	}
	return ans, err
}
