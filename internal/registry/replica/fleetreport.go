package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/control"
	"starlingvalve/internal/fleet/session"
	"starlingvalve/internal/fleet/tenants"
	"starlingvalve/internal/fleet/zones"
)

// body reads a request's body up to limit. A longer one is refused whole, counted, and said at a bounded rate.
func (o *office) body(w http.ResponseWriter, r *http.Request, path string, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, false // the caller has gone
	}
	if int64(len(raw)) > limit {
		o.refuse(w, path, fmt.Errorf("%w: body over %d bytes", fleet.ErrInvalid, limit))
		return nil, false
	}
	return raw, true
}

// refuse answers a bad body.
func (o *office) refuse(w http.ResponseWriter, path string, err error) {
	o.m.bad.WithLabelValues(path).Inc()
	if skipped, ok := o.quiet.ok(); ok {
		o.rep.cfg.Log.Warn("bad body refused", "path", path, "err", err, "more", skipped)
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// code is the status of a state's error.
func code(err error) int {
	switch {
	case errors.Is(err, fleet.ErrInvalid), errors.Is(err, control.ErrOlder):
		return http.StatusBadRequest
	case errors.Is(err, fleet.ErrUnknown):
		return http.StatusNotFound
	case errors.Is(err, fleet.ErrConflict), errors.Is(err, fleet.ErrFenced), errors.Is(err, control.ErrStale),
		errors.Is(err, tenants.ErrStale), errors.Is(err, zones.ErrChanged):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// report takes a node's report: it joins the run where it is not present and may be, and answers only once this replica was
// confirmed as the leader after the report came, as the answer renews a lease (docs/fleet.md, "Sessions").
func (o *office) report(w http.ResponseWriter, r *http.Request) {
	if o.rep.raft.State() != raft.Leader {
		o.rep.notLeader(w)
		return
	}
	raw, ok := o.body(w, r, "report", fleet.ReportLimit)
	if !ok {
		return
	}
	rep, err := fleet.DecodeReport(raw)
	if err != nil {
		o.refuse(w, "report", err)
		return
	}
	at := o.now()
	cmd, err := o.admit(rep)
	if err == nil && cmd != nil {
		var a applied
		if a, err = o.proposeFleet(*cmd); err != nil {
			o.m.reports.WithLabelValues("lost").Inc()
			o.rep.notCommitted(w, err)
			return
		}
		if errors.Is(a.err, session.ErrFull) {
			if skipped, ok := o.quiet.ok(); ok {
				o.rep.cfg.Log.Error("no slot is free", "node", rep.Node, "zone", rep.Zone, "slots", o.set.Slots, "more", skipped)
			}
		} else if !errors.Is(a.err, control.ErrStale) { // not caught up any more: it is out until its next report
			err = a.err
		}
	}
	if err == nil {
		if verr := o.verify.ask(); verr != nil {
			o.m.reports.WithLabelValues("unverified").Inc()
			o.rep.notLeader(w)
			return
		}
	}
	var ans fleet.ReportAnswer
	if err == nil {
		ans, err = o.answer(at, rep)
	}
	switch {
	case err != nil && code(err) == http.StatusConflict:
		o.m.reports.WithLabelValues("fenced").Inc()
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		o.m.reports.WithLabelValues("refused").Inc()
		http.Error(w, err.Error(), code(err))
	default:
		o.m.reports.WithLabelValues(map[bool]string{false: "held", true: "out"}[ans.TTLMS == 0]).Inc()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(ans)
	}
}

var errNoOffice = errors.New("this replica has not taken office yet")

// admit says what must be committed before the report can be answered.
func (o *office) admit(rep fleet.Report) (*control.Command, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.judge == nil {
		return nil, errNoOffice
	}
	o.rep.fsm.mu.Lock()
	defer o.rep.fsm.mu.Unlock()
	c, _, err := o.judge.Admit(o.rep.fsm.fleet, rep)
	return c, err
}

// answer gives the answer to a report that came at at, for which this replica has been confirmed as the leader since.
func (o *office) answer(at fleet.Time, rep fleet.Report) (fleet.ReportAnswer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.judge == nil || o.rep.raft.CurrentTerm() != o.term {
		return fleet.ReportAnswer{}, errNoOffice
	}
	o.rep.fsm.mu.Lock()
	defer o.rep.fsm.mu.Unlock()
	return o.judge.Report(o.now(), at, o.rep.fsm.fleet, rep)
}
