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

// body reads a request's body up to limit. A longer one is refused whole, counted, and said at a bounded rate.
func (l *leadership) body(w http.ResponseWriter, r *http.Request, path string, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, false // the caller has gone
	}
	if int64(len(raw)) > limit {
		l.refuse(w, path, fmt.Errorf("%w: body over %d bytes", fleet.ErrInvalid, limit))
		return nil, false
	}
	return raw, true
}

// refuse answers a bad body.
func (l *leadership) refuse(w http.ResponseWriter, path string, err error) {
	l.m.bad.WithLabelValues(path).Inc()
	if skipped, ok := l.quiet.ok(); ok {
		l.rep.cfg.Log.Warn("bad body refused", "path", path, "err", err, "more", skipped)
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// code is the status of a state's error.
func code(err error) int {
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

// report takes a node's whole report.
func (l *leadership) report(w http.ResponseWriter, r *http.Request) {
	if l.rep.raft.State() != raft.Leader {
		l.rep.notLeader(w)
		return
	}
	raw, ok := l.body(w, r, "report", fleet.MaxReportBytes)
	if !ok {
		return
	}
	rep, err := fleet.DecodeReport(raw)
	if err != nil {
		l.refuse(w, "report", err)
		return
	}
	l.m.kinds.WithLabelValues("whole").Inc()
	l.serveReport(w, reportdelta.Normalize(rep), 0)
}

// serveReport answers a report, which followed the report baseSeq (0: it came whole): it joins the run where it is not present
// and may be, and answers only once this replica was confirmed as the leader after the report came, as the answer renews a
// lease (docs/fleet.md, "Sessions").
func (l *leadership) serveReport(w http.ResponseWriter, rep fleet.Report, baseSeq uint64) {
	at := l.now()
	cmd, err := l.admit(rep)
	if err == nil && cmd != nil {
		var a applied
		if a, err = l.proposeFleet(*cmd); err != nil {
			l.m.reports.WithLabelValues("lost").Inc()
			l.rep.notCommitted(w, err)
			return
		}
		if errors.Is(a.err, session.ErrNoSlot) {
			if skipped, ok := l.quiet.ok(); ok {
				l.rep.cfg.Log.Error("no slot is free", "node", rep.Node, "zone", rep.Zone, "slots", l.set.Slots, "more", skipped)
			}
		} else if !errors.Is(a.err, control.ErrStale) { // not caught up any more: it is out until its next report
			err = a.err
		}
	}
	if err == nil {
		if verr := l.verify.ask(); verr != nil {
			l.m.reports.WithLabelValues("unverified").Inc()
			l.rep.notLeader(w)
			return
		}
	}
	var ans fleet.ReportAnswer
	if err == nil {
		ans, err = l.answer(at, rep, baseSeq)
	}
	switch {
	case err != nil && code(err) == http.StatusConflict:
		l.m.reports.WithLabelValues("fenced").Inc()
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		l.m.reports.WithLabelValues("refused").Inc()
		http.Error(w, err.Error(), code(err))
	default:
		l.m.reports.WithLabelValues(map[bool]string{false: "held", true: "out"}[ans.LeaseTTLMS == 0]).Inc()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(ans)
	}
}

var errNotLeading = errors.New("this replica does not lead yet")

// admit says what must be committed before the report can be answered.
func (l *leadership) admit(rep fleet.Report) (*control.Command, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.judge == nil {
		return nil, errNotLeading
	}
	l.rep.fsm.mu.Lock()
	defer l.rep.fsm.mu.Unlock()
	c, _, err := l.judge.Admit(l.rep.fsm.fleet, rep)
	return c, err
}

// answer gives the answer to a report that came at at, for which this replica has been confirmed as the leader since.
// The report of a present run is kept as a base of differences to come.
func (l *leadership) answer(at fleet.Time, rep fleet.Report, baseSeq uint64) (fleet.ReportAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.judge == nil || l.rep.raft.CurrentTerm() != l.term {
		return fleet.ReportAnswer{}, errNotLeading
	}
	l.rep.fsm.mu.Lock()
	defer l.rep.fsm.mu.Unlock()
	ans, err := l.judge.Report(l.now(), at, l.rep.fsm.fleet, rep)
	if err == nil && l.rep.fsm.fleet.Session.Present(rep.Member) {
		ans.AckSequence = l.bases.Keep(rep, baseSeq)
	}
	return ans, err
}
