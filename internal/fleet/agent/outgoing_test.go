package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/reportdelta"
	"meadowsill/internal/fleet/session"
)

// deltaLeader is a stub for the leader: like a replica, it restores complete reports from deltas.
type deltaLeader struct {
	mu              sync.Mutex
	previousBuild   bool // it is of the previous build: it has no path for deltas and acknowledges nothing
	status          int  // status of the next answer; 0: the status follows from the report
	loseAnswer      bool // the next answer is lost
	requestComplete bool // the next delta is answered with a request for the complete report, whatever its base
	truncateTo      int  // number of bytes to which the next delta is truncated; 0: it is not
	bases           reportdelta.Bases
	latest          fleet.Report
	entries         []string // an entry per report received: its kind ("wish": the complete report is requested) and sequence number, or the error
}

func (l *deltaLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method != http.MethodPost {
		io.WriteString(w, `{"revision":5,"full":true,"items":[]}`)
		return
	}
	status, loseAnswer := l.status, l.loseAnswer
	l.status, l.loseAnswer = 0, false
	if status != 0 {
		l.entries = append(l.entries, fmt.Sprint("status ", status))
		w.WriteHeader(status)
		return
	}
	ans, code := l.handleReport(r.URL.Path, body)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(ans)
}

// handleReport returns the leader's answer to one body.
func (l *deltaLeader) handleReport(path string, body []byte) (fleet.ReportAnswer, int) {
	ans := fleet.ReportAnswer{LeaseTTLMS: 6000, Revision: 5}
	switch {
	case path == "/fleet/v1/report":
		r, err := fleet.DecodeReport(body)
		if err != nil {
			l.entries = append(l.entries, err.Error())
			return ans, http.StatusBadRequest
		}
		l.entries = append(l.entries, fmt.Sprint("whole ", r.Sequence))
		l.latest = reportdelta.Normalize(r)
		if !l.previousBuild {
			ans.AckSequence = l.bases.Keep(l.latest, 0)
		}
		return ans, http.StatusOK
	case l.previousBuild:
		l.entries = append(l.entries, "no such path")
		return ans, http.StatusNotFound
	}
	if l.truncateTo > 0 {
		body, l.truncateTo = body[:l.truncateTo], 0
	}
	d, err := reportdelta.Decode(body)
	if err != nil {
		l.entries = append(l.entries, "malformed")
		return ans, http.StatusBadRequest
	}
	base, err := l.bases.Find(&d)
	if err == nil {
		base, err = reportdelta.Apply(base, d)
	}
	if l.requestComplete || err != nil {
		l.requestComplete = false
		l.entries = append(l.entries, fmt.Sprint("wish ", d.Head.Sequence))
		return fleet.ReportAnswer{SendComplete: true}, http.StatusOK
	}
	l.entries = append(l.entries, fmt.Sprintf("difference %d after %d", d.Head.Sequence, d.BaseSequence))
	l.latest = base
	ans.AckSequence = l.bases.Keep(base, d.BaseSequence)
	return ans, http.StatusOK
}

// reportHarness is an idle agent that sends reports to a stub for the leader.
type reportHarness struct {
	t            *testing.T
	a            *Agent
	leader       *deltaLeader
	addr         string
	seq          uint64
	incarnation  uint64
	newestReport fleet.Report // the last report made by nextBody, normalized
}

func newReportHarness(t *testing.T) *reportHarness {
	h := &reportHarness{t: t, leader: &deltaLeader{}, incarnation: 7}
	srv := httptest.NewUnstartedServer(h.leader)
	srv.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	srv.Start()
	t.Cleanup(srv.Close)
	h.addr = srv.Listener.Addr().String()
	h.restartAgent()
	return h
}

// withLeader calls f with the leader locked.
func (h *reportHarness) withLeader(f func(*deltaLeader)) {
	h.leader.mu.Lock()
	defer h.leader.mu.Unlock()
	f(h.leader)
}

func (h *reportHarness) restartAgent() { h.a = newIdleAgent(h.t, h.t.TempDir()) }

// nextReport is the node's next report: ten tenants, of which one's load changes, and one more in every other report.
func (h *reportHarness) nextBody() []byte {
	h.seq++
	r := fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: h.incarnation}, Sequence: h.seq, Revision: 5, Ready: true, WindowMS: 1000}
	for i := range 10 + int(h.seq%2) {
		r.Tenants = append(r.Tenants, fleet.TenantAck{Name: fmt.Sprint("tenant-", i), UID: 1, Committed: 2, Digest: "0123456789abcdef"})
	}
	r.Tenants[3].Offered = float64(h.seq) / 3
	h.newestReport = reportdelta.Normalize(r)
	nextBody, err := json.Marshal(r)
	if err != nil {
		h.t.Fatal(err)
	}
	return nextBody
}

// send has the agent send a report as its loop does: after a request for the complete report it sends that at once, and must not get a
// second request.
func (h *reportHarness) send(raw []byte) error {
	h.t.Helper()
	rep, unknownMembers, err := fleet.DecodeNodeReport(raw)
	if err != nil {
		h.t.Fatal(err)
	}
	p, err := h.a.acceptReport(newPendingReport(rep, raw, unknownMembers))
	if err != nil {
		h.t.Fatal(err)
	}
	_, err = h.a.sendReport(h.t.Context(), h.addr, p)
	if errors.Is(err, errCompleteRequested) {
		_, err = h.a.sendReport(h.t.Context(), h.addr, p)
	}
	if errors.Is(err, errCompleteRequested) {
		h.t.Fatal("the complete report was requested again after it was sent")
	}
	return err
}

// expectSent sends the next report, and compares the leader's report with the node's, and the leader's log with want.
func (h *reportHarness) expectSent(want ...string) {
	h.t.Helper()
	h.leader.mu.Lock()
	h.leader.entries = nil
	h.leader.mu.Unlock()
	if err := h.send(h.nextBody()); err != nil {
		h.t.Fatal(err)
	}
	h.leader.mu.Lock()
	defer h.leader.mu.Unlock()
	if d := cmp.Diff(want, h.leader.entries); d != "" {
		h.t.Error(d)
	}
	if d := cmp.Diff(h.newestReport, h.leader.latest, cmpopts.EquateEmpty()); d != "" {
		h.t.Error("the leader's report differs from the node's:", d)
	}
	if h.a.lease.Remaining(h.a.now()) == 0 {
		h.t.Error("the session is not held")
	}
}

// Reports are sent as deltas once one is acknowledged. After a lost answer, a lost, truncated or rejected delta, a change of the
// leader and restarts of node and agent, the leader has the node's report and the session is held.
func TestReportDeltasOverFaultyLink(t *testing.T) {
	h := newReportHarness(t)
	h.expectSent("whole 1")
	h.expectSent("difference 2 after 1")
	h.expectSent("difference 3 after 2")

	h.withLeader(func(leader *deltaLeader) { leader.loseAnswer = true })
	if err := h.send(h.nextBody()); err == nil {
		t.Error("no error for a lost answer")
	}
	h.expectSent("difference 5 after 3") // the leader has 4, and still keeps 3
	h.expectSent("difference 6 after 5")

	for range 3 { // none of these answers arrives: the leader keeps 6 all the time
		h.withLeader(func(leader *deltaLeader) { leader.loseAnswer = true })
		h.send(h.nextBody())
	}
	h.expectSent("difference 10 after 6")

	h.withLeader(func(leader *deltaLeader) { leader.status = http.StatusServiceUnavailable }) // the delta is lost
	if err := h.send(h.nextBody()); err == nil {
		t.Error("no error for a 503")
	}
	h.expectSent("difference 12 after 10")

	h.withLeader(func(leader *deltaLeader) { leader.truncateTo = 40 })
	h.expectSent("malformed", "whole 13")
	h.expectSent("difference 14 after 13")

	h.withLeader(func(leader *deltaLeader) { leader.requestComplete = true })
	h.expectSent("wish 15", "whole 15")

	h.withLeader(func(leader *deltaLeader) { leader.bases = reportdelta.Bases{} }) // another leader, or this one restarted
	h.expectSent("wish 16", "whole 16")
	h.expectSent("difference 17 after 16")

	h.incarnation++ // the node restarts
	h.expectSent("whole 18")
	h.expectSent("difference 19 after 18")

	h.restartAgent()
	h.expectSent("whole 20")
	h.expectSent("difference 21 after 20")
	if n := counterValue(t, h.a.metrics.sent.WithLabelValues(kindDelta)); n != 1 {
		t.Errorf("%v deltas counted, want 1", n)
	}
}

// A leader of the previous build acknowledges nothing and is sent complete reports. When it follows a leader of this build, it answers
// a delta with 404 and is sent the complete report at once.
func TestLeaderOfPreviousBuild(t *testing.T) {
	h := newReportHarness(t)
	h.withLeader(func(leader *deltaLeader) { leader.previousBuild = true })
	h.expectSent("whole 1")
	h.expectSent("whole 2")
	h.withLeader(func(leader *deltaLeader) { leader.previousBuild = false })
	h.expectSent("whole 3")
	h.expectSent("difference 4 after 3")
	h.withLeader(func(leader *deltaLeader) { leader.previousBuild = true })
	h.expectSent("no such path", "whole 5")
	h.expectSent("whole 6")
}

// An agent of the previous build sends only complete reports. Its answers are as before, apart from a member that it does not know.
func TestAgentOfPreviousBuild(t *testing.T) {
	h := newReportHarness(t)
	for range 3 {
		ans, code := h.leader.handleReport("/fleet/v1/report", h.nextBody())
		if code != http.StatusOK || ans.LeaseTTLMS != 6000 || ans.AckSequence != h.seq || ans.SendComplete {
			t.Errorf("%d %+v", code, ans)
		}
	}
}

// A report with members that this build does not know is sent complete, as the node made it.
func TestReportWithUnknownMembersIsSentComplete(t *testing.T) {
	h := newReportHarness(t)
	h.expectSent("whole 1")
	nextBody := strings.Replace(string(h.nextBody()), `"seq"`, `"later_member":1,"seq"`, 1)
	if err := h.send([]byte(nextBody)); err != nil {
		t.Fatal(err)
	}
	h.withLeader(func(leader *deltaLeader) {
		if leader.entries[len(leader.entries)-1] != "whole 2" {
			t.Error(leader.entries)
		}
	})
	h.expectSent("difference 3 after 2")
}

// After a request for the complete report, the loop sends it with the same sequence number, and the answer to the node has no member
// that concerns only deltas.
func TestCompleteReportFollowsRejectedDelta(t *testing.T) {
	h := newReportHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := Start(ctx, Config{Node: "n", Zone: "z", Replicas: []string{h.addr}, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	a.Routes(mux)
	hasEntry := func(entry string) bool {
		h.leader.mu.Lock()
		defer h.leader.mu.Unlock()
		return strings.Contains(strings.Join(h.leader.entries, ", "), entry)
	}
	waitFor := func(entry func() string) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			rec := httptest.NewRecorder()
			mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fleet/v1/report", strings.NewReader(string(h.nextBody()))))
			if text := rec.Body.String(); strings.Contains(text, "ack_seq") || strings.Contains(text, "whole") {
				t.Fatalf("the answer to the node has a member that concerns deltas: %s", text)
			}
			if hasEntry(entry()) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for %s: %v", entry(), h.leader.entries)
			}
		}
	}
	waitFor(func() string { return "difference" })
	h.leader.mu.Lock()
	h.leader.bases, h.leader.entries = reportdelta.Bases{}, nil
	h.leader.mu.Unlock()
	waitFor(func() string {
		h.leader.mu.Lock()
		defer h.leader.mu.Unlock()
		if len(h.leader.entries) < 2 {
			return "a request and the complete report"
		}
		return strings.Replace(h.leader.entries[0], "wish", "whole", 1)
	})
	h.leader.mu.Lock()
	defer h.leader.mu.Unlock()
	if !strings.HasPrefix(h.leader.entries[0], "wish") || h.leader.entries[1] != strings.Replace(h.leader.entries[0], "wish", "whole", 1) {
		t.Errorf("%v", h.leader.entries)
	}
}

// By the time limits alone: a lost delta takes the full timeout of its attempt, and the next delta and the complete report that it
// leads to are answered as late as possible. Agent and leader hold the session until then, even if a second report is lost.
func TestLostDeltaKeepsLease(t *testing.T) {
	const ttl, interval = 6 * time.Second, time.Second // the session's lease, and the interval between a quiet node's reports
	var agentLease session.AgentLease
	m := fleet.Member{Node: "n", Zone: "z", Incarnation: 7}
	state := &session.State{}
	if _, err := state.Apply(session.Command{Operation: session.Join, Member: m, Slots: 1}); err != nil {
		t.Fatal(err)
	}
	leases := session.NewLeases(0, ttl)
	now := fleet.Time(0)
	renew := func(t0 fleet.Time) {
		if err := leases.Renew(now, m); err != nil {
			t.Fatal(err)
		}
		agentLease.Renew(t0, ttl)
	}
	advance := func(d time.Duration) {
		t.Helper()
		now += d
		if agentLease.Remaining(now) == 0 || len(leases.Expired(now, state)) > 0 {
			t.Fatalf("the session is lost at %v", now)
		}
	}
	renew(0)
	advance(interval)
	advance(reportTimeout) // a delta is lost: no answer arrives
	advance(300 * time.Millisecond)
	advance(reportTimeout) // the next delta is answered at the last moment, with a request for the complete report
	t0 := now
	advance(reportTimeout) // the complete report is also answered at the last moment
	renew(t0)
	if left := agentLease.Remaining(now); left < interval+reportTimeout {
		t.Errorf("the session is held for only %v more", left)
	}
	if sum := interval + 3*reportTimeout + 300*time.Millisecond; float64(sum+reportTimeout) > session.AgentLeasePart*float64(ttl) {
		t.Errorf("%v with another report lost, of a lease of %v", sum+reportTimeout, ttl)
	}
}
