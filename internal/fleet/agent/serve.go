package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/registry"
)

// answerWait is the longest a node's report waits for the leader's answer to it; then it gets what the leader last said.
const answerWait = 250 * time.Millisecond

// Routes puts the agent's paths on mux.
func (a *Agent) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", a.intent)
	mux.HandleFunc("POST /fleet/v1/report", a.takeReport)
	mux.HandleFunc("GET /fleet/v1/drift", a.drift)
}

// intent answers the node's watch from the copy: at once where there is something new, else when there is, or when the
// time asked for is over. A node that the control plane has not counted yet is sent nothing: of a quota that it heard of, a floor
// would be its own for good, and nobody would keep it back.
func (a *Agent) intent(w http.ResponseWriter, r *http.Request) {
	watch, err := registry.ParseWatch(r.URL.Query())
	if node := r.URL.Query().Get("node"); err == nil && node != "" && node != a.cfg.Node {
		err = fmt.Errorf("node: this agent is %s's", a.cfg.Node)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	start := time.Now()
	a.mu.Lock()
	if watch.Wait > 0 && !a.hasNewer(watch.Since) {
		updated := a.updated
		a.mu.Unlock()
		registry.Await(r.Context(), updated, watch.Wait)
		a.mu.Lock()
	}
	in := fleet.Intent{Revision: watch.Since, Full: watch.Since == 0, Items: []fleet.Item{}} // nothing new
	if a.counted {
		in = a.copy.Read(watch.Since, a.again)
		if in.Revision >= watch.Since { // else the node refuses it
			clear(a.again)
		}
	}
	now := a.now()
	in.CaughtUp = a.caughtUp && a.counted
	in.AgeMS = (now - a.confirmed).Milliseconds()
	if !in.CaughtUp { // nobody has confirmed it, or nothing is sent
		in.AgeMS = (now + copyAge).Milliseconds()
	}
	in.LeaseMS = a.holder.Remaining(now).Milliseconds()
	a.mu.Unlock()
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(time.Since(start).Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(in)
}

// hasNewer says whether there is something to send to a node that holds everything up to since. The caller holds mu.
func (a *Agent) hasNewer(since uint64) bool {
	return a.counted && (a.copy.Revision > since || a.copy.Revision == since && len(a.again) > 0)
}

// copyAge is added to the age of what comes from disk alone: nobody knows how long the machine was away, and it is over every
// bound of an age.
const copyAge = 24 * time.Hour

// takeReport takes the node's report, hands it on, and gives the leader's answer to it, or the last one where the leader
// is slow or gone.
func (a *Agent) takeReport(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, fleet.MaxReportBytes+1))
	if err != nil {
		return // the node has gone
	}
	rep, newer, err := fleet.DecodeNodeReport(raw)
	if err == nil && !slices.Equal(rep.Services, a.cfg.Services) {
		err = fmt.Errorf("%w: services: the report has %.200q, this agent %.200q", fleet.ErrInvalid, rep.Services, a.cfg.Services)
	}
	if err == nil && (rep.Node != a.cfg.Node || rep.Zone != a.cfg.Zone) {
		err = fmt.Errorf("%w: node, zone: this agent is that of %s in %s", fleet.ErrInvalid, a.cfg.Node, a.cfg.Zone)
	}
	if err != nil {
		a.m.badReports.Inc()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := a.hand(newCarried(rep, raw, newer))
	if err != nil {
		a.m.badReports.Inc()
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	want := a.ownStep(&rep)
	t := time.NewTimer(answerWait)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	ans, fenced := a.nextAnswer(), a.fenced && c.rep.Incarnation == a.inc
	a.mu.Unlock()
	if fenced {
		http.Error(w, fleet.ErrFenced.Error(), http.StatusConflict)
		return
	}
	ans.WantedKeys = union(ans.WantedKeys, want)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ans)
}

// hand makes c the report to carry, unless it is of an older incarnation or not newer than the last.
func (a *Agent) hand(c *carried) (*carried, error) {
	rep := &c.rep
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case rep.Incarnation < a.inc:
		return nil, fmt.Errorf("%w: %d, seen %d", fleet.ErrFenced, rep.Incarnation, a.inc)
	case rep.Incarnation == a.inc && rep.Sequence <= a.seq:
		return nil, fmt.Errorf("seq: %d, seen %d", rep.Sequence, a.seq)
	case rep.Incarnation > a.inc:
		a.holder.Drop()
		a.last, a.fenced = fleet.ReportAnswer{}, false
		a.cfg.Log.Info("node's process", "incarnation", rep.Incarnation, "revision", rep.Revision)
	}
	a.inc, a.seq = rep.Incarnation, rep.Sequence
	if a.report != nil {
		a.report.end()
	}
	if slices.ContainsFunc(rep.Tenants, func(t fleet.TenantAck) bool { return t.UID != 0 }) {
		a.count() // it was, as it has been sent tenants
	}
	c.at = a.now()
	a.report = c
	notify(a.reports)
	return a.report, nil
}

// nextAnswer is the answer to a report of the node: the leader's last answer, with what it wants sent once, and what is left
// of the session by the agent's count. That the node is out for want of a session is forgotten once the leader has been gone
// for outFor: without a control plane the node's own rules hold. The caller holds mu.
func (a *Agent) nextAnswer() fleet.ReportAnswer {
	ans := a.last
	a.last.WantedKeys = nil
	if ans.NotReady && ans.LeaseTTLMS == 0 && a.now()-a.lastAt > outFor {
		ans.NotReady = false
	}
	ans.LeaseTTLMS = a.holder.Remaining(a.now()).Milliseconds()
	ans.Resend, ans.Restart, ans.AckSequence = nil, false, 0 // the agent's own work
	return ans
}

const outFor = 6 * time.Second
