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

// reportAnswerTimeout is the longest a node's report waits for the leader's answer to it; then it gets what the leader last said.
const reportAnswerTimeout = 250 * time.Millisecond

// Routes puts the agent's paths on mux.
func (a *Agent) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", a.intent)
	mux.HandleFunc("POST /fleet/v1/report", a.takeReport)
	mux.HandleFunc("GET /fleet/v1/drift", a.drift)
}

// intent answers the node's watch from the copy: at once where there is something new, else when there is, or when the
// time requested is over. A node that the control plane has not counted yet is sent nothing: of a quota that it was notified of, a guaranteed part
// would be its own for good, and nobody would keep it back.
func (a *Agent) intent(w http.ResponseWriter, r *http.Request) {
	watch, err := registry.ParseWatchQuery(r.URL.Query())
	if node := r.URL.Query().Get("node"); err == nil && node != "" && node != a.cfg.Node {
		err = fmt.Errorf("node: this agent is %s's", a.cfg.Node)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	start := time.Now()
	a.mu.Lock()
	if watch.Timeout > 0 && !a.hasNewer(watch.Since) {
		updated := a.updated
		a.mu.Unlock()
		registry.Await(r.Context(), updated, watch.Timeout)
		a.mu.Lock()
	}
	in := fleet.Intent{Revision: watch.Since, Full: watch.Since == 0, Items: []fleet.Item{}} // nothing new
	if a.joined {
		in = a.copy.Read(watch.Since, a.resendKeys)
		if in.Revision >= watch.Since { // else the node rejects it
			clear(a.resendKeys)
		}
	}
	now := a.now()
	in.CaughtUp = a.caughtUp && a.joined
	in.AgeMS = (now - a.confirmedAt).Milliseconds()
	if !in.CaughtUp { // nobody has confirmed it, or nothing is sent
		in.AgeMS = (now + copyAge).Milliseconds()
	}
	in.LeaseMS = a.lease.Remaining(now).Milliseconds()
	a.mu.Unlock()
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(time.Since(start).Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(in)
}

// hasNewer reports whether there is something to send to a node that holds everything up to since. The caller holds mu.
func (a *Agent) hasNewer(since uint64) bool {
	return a.joined && (a.copy.Revision > since || a.copy.Revision == since && len(a.resendKeys) > 0)
}

// copyAge is added to the age of what comes from disk alone: nobody knows how long the machine was away, and it is over every
// bound of an age.
const copyAge = 24 * time.Hour

// takeReport takes the node's report, hands it on, and gives the leader's answer to it, or the last one where the leader
// is slow or unreachable.
func (a *Agent) takeReport(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, fleet.MaxReportBytes+1))
	if err != nil {
		return // the node closed the connection
	}
	rep, newer, err := fleet.DecodeNodeReport(raw)
	if err == nil && !slices.Equal(rep.Services, a.cfg.Services) {
		err = fmt.Errorf("%w: services: the report has %.200q, this agent %.200q", fleet.ErrInvalid, rep.Services, a.cfg.Services)
	}
	if err == nil && (rep.Node != a.cfg.Node || rep.Zone != a.cfg.Zone) {
		err = fmt.Errorf("%w: node, zone: this agent is that of %s in %s", fleet.ErrInvalid, a.cfg.Node, a.cfg.Zone)
	}
	if err != nil {
		a.metrics.reportsRejected.Inc()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, err := a.acceptReport(newPendingReport(rep, raw, newer))
	if err != nil {
		a.metrics.reportsRejected.Inc()
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	want := a.evaluateOwnNode(&rep)
	t := time.NewTimer(reportAnswerTimeout)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	ans, fenced := a.answerForNode(), a.fenced && c.report.Incarnation == a.incarnation
	a.mu.Unlock()
	if fenced {
		http.Error(w, fleet.ErrFenced.Error(), http.StatusConflict)
		return
	}
	ans.WantedKeys = union(ans.WantedKeys, want)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ans)
}

// acceptReport makes c the report to carry, unless it is of an older incarnation or not newer than the last.
func (a *Agent) acceptReport(c *pendingReport) (*pendingReport, error) {
	rep := &c.report
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case rep.Incarnation < a.incarnation:
		return nil, fmt.Errorf("%w: %d, seen %d", fleet.ErrFenced, rep.Incarnation, a.incarnation)
	case rep.Incarnation == a.incarnation && rep.Sequence <= a.sequence:
		return nil, fmt.Errorf("seq: %d, seen %d", rep.Sequence, a.sequence)
	case rep.Incarnation > a.incarnation:
		a.lease.Drop()
		a.lastAnswer, a.fenced = fleet.ReportAnswer{}, false
		a.cfg.Log.Info("node's process", "incarnation", rep.Incarnation, "revision", rep.Revision)
	}
	a.incarnation, a.sequence = rep.Incarnation, rep.Sequence
	if a.report != nil {
		a.report.finish()
	}
	if slices.ContainsFunc(rep.Tenants, func(t fleet.TenantAck) bool { return t.UID != 0 }) {
		a.markJoined() // it was, as it has been sent tenants
	}
	c.receivedAt = a.now()
	a.report = c
	signal(a.reports)
	return a.report, nil
}

// answerForNode is the answer to a report of the node: the leader's last answer, with what it wants sent once, and what is left
// of the session by the agent's count. That the node is out for want of a session is forgotten once the leader has been unreachable
// for notReadyLifetime: without a control plane the node's own rules hold. The caller holds mu.
func (a *Agent) answerForNode() fleet.ReportAnswer {
	ans := a.lastAnswer
	a.lastAnswer.WantedKeys = nil
	if ans.NotReady && ans.LeaseTTLMS == 0 && a.now()-a.lastAnswerAt > notReadyLifetime {
		ans.NotReady = false
	}
	ans.LeaseTTLMS = a.lease.Remaining(a.now()).Milliseconds()
	ans.Resend = nil
	ans.Restart = false
	ans.AckSequence = 0 // the agent's own work
	return ans
}

const notReadyLifetime = 6 * time.Second
