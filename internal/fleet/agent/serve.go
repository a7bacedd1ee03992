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

// reportAnswerTimeout is how long a node's report waits for the leader's answer before it is answered with the leader's last one.
const reportAnswerTimeout = 250 * time.Millisecond

// Routes registers the agent's paths on mux.
func (a *Agent) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet/v1/intent", a.serveIntent)
	mux.HandleFunc("POST /fleet/v1/report", a.serveReport)
	mux.HandleFunc("GET /fleet/v1/drift", a.drift)
}

// serveIntent answers the node's watch from the copy: at once if there is something new, otherwise when there is or when the requested
// time is over. A node that the control plane has not counted yet is sent no items: from each quota that it learned of it would use a
// guaranteed part permanently, which nobody has reserved for it yet.
func (a *Agent) serveIntent(w http.ResponseWriter, r *http.Request) {
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
	in := fleet.Intent{Revision: watch.Since, Full: watch.Since == 0, Items: []fleet.Item{}} // the answer if there is nothing new
	if a.joined {
		in = a.copy.Read(watch.Since, a.resendKeys)
		if in.Revision >= watch.Since { // otherwise the node rejects the answer
			clear(a.resendKeys)
		}
	}
	now := a.now()
	in.CaughtUp = a.caughtUp && a.joined
	in.AgeMS = (now - a.confirmedAt).Milliseconds()
	if !in.CaughtUp { // no replica has confirmed the copy, or nothing is sent
		in.AgeMS = (now + unconfirmedAge).Milliseconds()
	}
	in.LeaseMS = a.lease.Remaining(now).Milliseconds()
	a.mu.Unlock()
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(time.Since(start).Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(in)
}

// hasNewer reports whether there is something to send to a node that has everything up to since. The caller holds mu.
func (a *Agent) hasNewer(since uint64) bool {
	return a.joined && (a.copy.Revision > since || a.copy.Revision == since && len(a.resendKeys) > 0)
}

// unconfirmedAge is added to the age of a copy that comes from disk alone: it is unknown how long the machine was down, and 24 hours
// exceed every limit on the age.
const unconfirmedAge = 24 * time.Hour

// serveReport accepts the node's report, passes it on to forwardReports, and answers with the leader's answer to it, or with the
// leader's last answer if the leader is slow or unreachable.
func (a *Agent) serveReport(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, fleet.MaxReportBytes+1))
	if err != nil {
		return // the node closed the connection
	}
	rep, unknownMembers, err := fleet.DecodeNodeReport(raw)
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
	p, err := a.acceptReport(newPendingReport(rep, raw, unknownMembers))
	if err != nil {
		a.metrics.reportsRejected.Inc()
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	wantedKeys := a.evaluateOwnNode(&rep)
	t := time.NewTimer(reportAnswerTimeout)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	ans, fenced := a.answerForNode(), a.fenced && p.report.Incarnation == a.incarnation
	a.mu.Unlock()
	if fenced {
		http.Error(w, fleet.ErrFenced.Error(), http.StatusConflict)
		return
	}
	ans.WantedKeys = union(ans.WantedKeys, wantedKeys)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ans)
}

// acceptReport makes p the report to forward, unless it is of an older incarnation or not newer than the last one.
func (a *Agent) acceptReport(p *pendingReport) (*pendingReport, error) {
	rep := &p.report
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
		a.cfg.Log.Info("node has a new incarnation", "incarnation", rep.Incarnation, "revision", rep.Revision)
	}
	a.incarnation, a.sequence = rep.Incarnation, rep.Sequence
	if a.report != nil {
		a.report.finish()
	}
	if slices.ContainsFunc(rep.Tenants, func(t fleet.TenantAck) bool { return t.UID != 0 }) {
		a.markJoined() // a node that has been sent tenants was counted
	}
	p.receivedAt = a.now()
	a.report = p
	signal(a.reports)
	return a.report, nil
}

// answerForNode returns the answer to a report of the node: the leader's last answer, with its wanted keys sent only once, and with
// what is left of the session by the agent's clock. The agent clears NotReady, where it is for lack of a session, once the leader has been
// unreachable for notReadyLifetime: without a control plane the node's own rules apply. The caller holds mu.
func (a *Agent) answerForNode() fleet.ReportAnswer {
	ans := a.lastAnswer
	a.lastAnswer.WantedKeys = nil
	if ans.NotReady && ans.LeaseTTLMS == 0 && a.now()-a.lastAnswerAt > notReadyLifetime {
		ans.NotReady = false
	}
	ans.LeaseTTLMS = a.lease.Remaining(a.now()).Milliseconds()
	ans.Resend = nil
	ans.Restart = false
	ans.AckSequence = 0 // acknowledgements are between the agent and the leader
	return ans
}

const notReadyLifetime = 6 * time.Second
