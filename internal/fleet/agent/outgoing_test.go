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

// differenceLeader stands in for the leader: it makes whole reports of differences as a replica does.
type differenceLeader struct {
	mu        sync.Mutex
	lastBuild bool // it has no path for differences and acknowledges nothing
	status    int  // of the next answer; 0: by the report
	lose      bool // the next answer is lost
	stale     bool // the next difference is answered with the wish, whatever its base
	cut       int  // the next difference is cut short to so many bytes; 0: it is not
	bases     reportdelta.Bases
	has       fleet.Report
	log       []string // of the reports that came: path and seq, or what was wrong
}

func (l *differenceLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method != http.MethodPost {
		io.WriteString(w, `{"revision":5,"full":true,"items":[]}`)
		return
	}
	status, lose := l.status, l.lose
	l.status, l.lose = 0, false
	if status != 0 {
		l.log = append(l.log, fmt.Sprint("status ", status))
		w.WriteHeader(status)
		return
	}
	ans, code := l.take(r.URL.Path, body)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(ans)
}

// take is the leader's work on one body.
func (l *differenceLeader) take(path string, body []byte) (fleet.ReportAnswer, int) {
	ans := fleet.ReportAnswer{LeaseTTLMS: 6000, Revision: 5}
	switch {
	case path == "/fleet/v1/report":
		r, err := fleet.DecodeReport(body)
		if err != nil {
			l.log = append(l.log, err.Error())
			return ans, http.StatusBadRequest
		}
		l.log = append(l.log, fmt.Sprint("whole ", r.Sequence))
		l.has = reportdelta.Normalize(r)
		if !l.lastBuild {
			ans.AckSequence = l.bases.Keep(l.has, 0)
		}
		return ans, http.StatusOK
	case l.lastBuild:
		l.log = append(l.log, "no such path")
		return ans, http.StatusNotFound
	}
	if l.cut > 0 {
		body, l.cut = body[:l.cut], 0
	}
	d, err := reportdelta.Decode(body)
	if err != nil {
		l.log = append(l.log, "malformed")
		return ans, http.StatusBadRequest
	}
	base, err := l.bases.Find(&d)
	if err == nil {
		base, err = reportdelta.Apply(base, d)
	}
	if l.stale || err != nil {
		l.stale = false
		l.log = append(l.log, fmt.Sprint("wish ", d.Head.Sequence))
		return fleet.ReportAnswer{SendComplete: true}, http.StatusOK
	}
	l.log = append(l.log, fmt.Sprintf("difference %d after %d", d.Head.Sequence, d.BaseSequence))
	l.has = base
	ans.AckSequence = l.bases.Keep(base, d.BaseSequence)
	return ans, http.StatusOK
}

// reportLink is an agent at rest that carries reports to a stub for the leader.
type reportLink struct {
	t      *testing.T
	a      *Agent
	leader *differenceLeader
	addr   string
	seq    uint64
	inc    uint64
	made   fleet.Report // the newest
}

func newReportLink(t *testing.T) *reportLink {
	l := &reportLink{t: t, leader: &differenceLeader{}, inc: 7}
	srv := httptest.NewUnstartedServer(l.leader)
	srv.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	srv.Start()
	t.Cleanup(srv.Close)
	l.addr = srv.Listener.Addr().String()
	l.restartAgent()
	return l
}

// set changes or looks at the leader.
func (l *reportLink) set(change func(*differenceLeader)) {
	l.leader.mu.Lock()
	defer l.leader.mu.Unlock()
	change(l.leader)
}

func (l *reportLink) restartAgent() { l.a = atRest(l.t, l.t.TempDir()) }

// raw is the node's next report: ten tenants, of which one's load changes, and one comes and goes.
func (l *reportLink) raw() []byte {
	l.seq++
	r := fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: l.inc}, Sequence: l.seq, Revision: 5, Ready: true, WindowMS: 1000}
	for i := range 10 + int(l.seq%2) {
		r.Tenants = append(r.Tenants, fleet.TenantAck{Name: fmt.Sprint("tenant-", i), UID: 1, Committed: 2, Digest: "0123456789abcdef"})
	}
	r.Tenants[3].Offered = float64(l.seq) / 3
	l.made = reportdelta.Normalize(r)
	raw, err := json.Marshal(r)
	if err != nil {
		l.t.Fatal(err)
	}
	return raw
}

// carried has the agent carry a report as its loop does: a request for the complete one is followed at once, and comes no second time.
func (l *reportLink) carried(raw []byte) error {
	l.t.Helper()
	rep, newer, err := fleet.DecodeNodeReport(raw)
	if err != nil {
		l.t.Fatal(err)
	}
	c, err := l.a.acceptReport(newPendingReport(rep, raw, newer))
	if err != nil {
		l.t.Fatal(err)
	}
	_, err = l.a.sendReport(l.t.Context(), l.addr, c)
	if errors.Is(err, errCompleteRequested) {
		_, err = l.a.sendReport(l.t.Context(), l.addr, c)
	}
	if errors.Is(err, errCompleteRequested) {
		l.t.Fatal("a whole report was wished for after one was sent")
	}
	return err
}

// arrives carries the next report, and compares what the leader has with what the node made, and the requests with want.
func (l *reportLink) arrives(want ...string) {
	l.t.Helper()
	l.leader.mu.Lock()
	l.leader.log = nil
	l.leader.mu.Unlock()
	if err := l.carried(l.raw()); err != nil {
		l.t.Fatal(err)
	}
	l.leader.mu.Lock()
	defer l.leader.mu.Unlock()
	if d := cmp.Diff(want, l.leader.log); d != "" {
		l.t.Error(d)
	}
	if d := cmp.Diff(l.made, l.leader.has, cmpopts.EquateEmpty()); d != "" {
		l.t.Error("the leader has another report:", d)
	}
	if l.a.lease.Remaining(l.a.now()) == 0 {
		l.t.Error("the session is not held")
	}
}

// Reports go as differences once one is acknowledged; after a lost answer, a lost difference, one cut short or rejected, over a change of
// the leader and restarts of node and agent the leader has what the node made, and the session is held.
func TestReportsByDifference(t *testing.T) {
	l := newReportLink(t)
	l.arrives("whole 1")
	l.arrives("difference 2 after 1")
	l.arrives("difference 3 after 2")

	l.set(func(leader *differenceLeader) { leader.lose = true })
	if err := l.carried(l.raw()); err == nil {
		t.Error("an answer that was lost came")
	}
	l.arrives("difference 5 after 3") // the leader has 4, and 3 still
	l.arrives("difference 6 after 5")

	for range 3 { // none of these answers comes: the leader keeps 6 all the time
		l.set(func(leader *differenceLeader) { leader.lose = true })
		l.carried(l.raw())
	}
	l.arrives("difference 10 after 6")

	l.set(func(leader *differenceLeader) { leader.status = http.StatusServiceUnavailable }) // the difference is lost
	if err := l.carried(l.raw()); err == nil {
		t.Error("503 taken for an answer")
	}
	l.arrives("difference 12 after 10")

	l.set(func(leader *differenceLeader) { leader.cut = 40 })
	l.arrives("malformed", "whole 13")
	l.arrives("difference 14 after 13")

	l.set(func(leader *differenceLeader) { leader.stale = true })
	l.arrives("wish 15", "whole 15")

	l.set(func(leader *differenceLeader) { leader.bases = reportdelta.Bases{} }) // another leader, or this one again
	l.arrives("wish 16", "whole 16")
	l.arrives("difference 17 after 16")

	l.inc++ // the node is started again
	l.arrives("whole 18")
	l.arrives("difference 19 after 18")

	l.restartAgent()
	l.arrives("whole 20")
	l.arrives("difference 21 after 20")
	if n := counter(t, l.a.metrics.sent.WithLabelValues(kindDelta)); n != 1 {
		t.Errorf("%v differences counted", n)
	}
}

// A leader of the build before acknowledges nothing and is sent complete reports; where it follows one of this build, its 404 to a
// difference is followed by the complete report at once.
func TestLeaderOfTheLastBuild(t *testing.T) {
	l := newReportLink(t)
	l.set(func(leader *differenceLeader) { leader.lastBuild = true })
	l.arrives("whole 1")
	l.arrives("whole 2")
	l.set(func(leader *differenceLeader) { leader.lastBuild = false })
	l.arrives("whole 3")
	l.arrives("difference 4 after 3")
	l.set(func(leader *differenceLeader) { leader.lastBuild = true })
	l.arrives("no such path", "whole 5")
	l.arrives("whole 6")
}

// An agent of the build before sends whole reports alone, and is answered as before but for a member that it does not know.
func TestAgentOfTheLastBuild(t *testing.T) {
	l := newReportLink(t)
	for range 3 {
		ans, code := l.leader.take("/fleet/v1/report", l.raw())
		if code != http.StatusOK || ans.LeaseTTLMS != 6000 || ans.AckSequence != l.seq || ans.SendComplete {
			t.Errorf("%d %+v", code, ans)
		}
	}
}

// A report with members that this build does not know goes whole, as the node made it.
func TestNewerNodesReportIsSentComplete(t *testing.T) {
	l := newReportLink(t)
	l.arrives("whole 1")
	raw := strings.Replace(string(l.raw()), `"seq"`, `"later_member":1,"seq"`, 1)
	if err := l.carried([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	l.set(func(leader *differenceLeader) {
		if leader.log[len(leader.log)-1] != "whole 2" {
			t.Error(leader.log)
		}
	})
	l.arrives("difference 3 after 2")
}

// The loop follows such a request with the complete report of the same seq, and the node's answer has nothing of the link's own.
func TestCompleteReportFollowsAtOnce(t *testing.T) {
	l := newReportLink(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := Start(ctx, Config{Node: "n", Zone: "z", Replicas: []string{l.addr}, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	a.Routes(mux)
	came := func(entry string) bool {
		l.leader.mu.Lock()
		defer l.leader.mu.Unlock()
		return strings.Contains(strings.Join(l.leader.log, ", "), entry)
	}
	until := func(entry func() string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			rec := httptest.NewRecorder()
			mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fleet/v1/report", strings.NewReader(string(l.raw()))))
			if text := rec.Body.String(); strings.Contains(text, "ack_seq") || strings.Contains(text, "whole") {
				t.Fatalf("the node is answered %s", text)
			}
			if came(entry()) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("never %s: %v", entry(), l.leader.log)
			}
		}
	}
	until(func() string { return "difference" })
	l.leader.mu.Lock()
	l.leader.bases, l.leader.log = reportdelta.Bases{}, nil
	l.leader.mu.Unlock()
	until(func() string {
		l.leader.mu.Lock()
		defer l.leader.mu.Unlock()
		if len(l.leader.log) < 2 {
			return "a wish and what follows"
		}
		return strings.Replace(l.leader.log[0], "wish", "whole", 1)
	})
	l.leader.mu.Lock()
	defer l.leader.mu.Unlock()
	if !strings.HasPrefix(l.leader.log[0], "wish") || l.leader.log[1] != strings.Replace(l.leader.log[0], "wish", "whole", 1) {
		t.Errorf("%v", l.leader.log)
	}
}

// By the bounds alone: a difference that is lost takes its try's whole time, the next one is answered by a request as late as can be, and
// so is the complete report. The session is held until then by agent and leader, with a second report lost besides.
func TestLostDifferenceLosesNoLease(t *testing.T) {
	const ttl, every = 6 * time.Second, time.Second // of a session, and between a quiet node's reports
	var holder session.AgentLease
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
		holder.Renew(t0, ttl)
	}
	advance := func(d time.Duration) {
		t.Helper()
		now += d
		if holder.Remaining(now) == 0 || len(leases.Expired(now, state)) > 0 {
			t.Fatalf("the session is lost at %v", now)
		}
	}
	renew(0)
	advance(every)
	advance(reportTimeout) // a difference is lost: nothing is answered
	advance(300 * time.Millisecond)
	advance(reportTimeout) // the next one is answered at the last moment, by a request for the complete report
	t0 := now
	advance(reportTimeout) // and so is the complete report
	renew(t0)
	if left := holder.Remaining(now); left < every+reportTimeout {
		t.Errorf("held for %v more", left)
	}
	if sum := every + 3*reportTimeout + 300*time.Millisecond; float64(sum+reportTimeout) > session.AgentLeasePart*float64(ttl) {
		t.Errorf("%v with another report lost, of %v", sum+reportTimeout, ttl)
	}
}
