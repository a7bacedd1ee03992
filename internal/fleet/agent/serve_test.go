package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
)

// stubLeader is a stub for a replica. Its intent never changes, and it answers reports with the answer set last.
type stubLeader struct {
	mu           sync.Mutex
	code         int
	answer       string
	earlyReports int // number of reports received from incarnation 9, which has not been sent any items
}

func (s *stubLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	code, answer := s.code, s.answer
	if strings.Contains(string(body), `"incarnation":9`) {
		s.earlyReports++
	}
	s.mu.Unlock()
	if r.Method != http.MethodPost {
		io.WriteString(w, `{"revision":5,"full":true,"items":[{"key":"zone/a","rev":5,"body":{"phase":"left","valid_ms":5000}}]}`)
		return
	}
	w.WriteHeader(code)
	io.WriteString(w, answer)
}

func (s *stubLeader) setAnswer(code int, answer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.code, s.answer = code, answer
}

// Invalid reports change nothing and are counted. An answer renews the session. Keys that the leader wants, and items that it has
// the agent resend, are sent to the node once. A 409 ends the session until the node has a new incarnation.
func TestReports(t *testing.T) {
	leader, dir := &stubLeader{}, t.TempDir()
	srv := httptest.NewServer(leader)
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reg := prometheus.NewRegistry()
	a, err := Start(ctx, Config{Node: "n", Zone: "z", Replicas: []string{srv.Listener.Addr().String()}, Dir: dir,
		Log: slog.New(slog.DiscardHandler)}, reg)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	a.Routes(mux)
	post := func(body string) (int, string) {
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fleet/v1/report", strings.NewReader(body)))
		return rec.Code, rec.Body.String()
	}
	get := func(query string) (fleet.Intent, string) {
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/fleet/v1/intent"+query, nil))
		in, _ := fleet.DecodeIntent(rec.Body.Bytes())
		return in, rec.Body.String()
	}
	waitFor := func(condition string, ok func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("timed out waiting for: ", condition)
			}
		}
	}
	seq, rev := 0, 0
	next := func(inc int) (int, string) {
		seq++
		return post(fmt.Sprintf(`{"node":"n","zone":"z","incarnation":%d,"seq":%d,"revision":%d,"later_field":1}`, inc, seq, rev))
	}
	leader.setAnswer(200, `{"ttl_ms":6000,"revision":5,"want":["~*"],"resend":["zone/a"]}`)
	waitFor("the intent", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.caughtUp })
	if in, text := get("?since=0"); in.CaughtUp || len(in.Items) != 0 || in.Revision != 0 || !in.Full {
		t.Errorf("sent before the node was counted: %s", text)
	}
	if in, text := get("?since=3"); in.CaughtUp || len(in.Items) != 0 || in.Revision != 3 || in.Full {
		t.Errorf("sent before the node was counted: %s", text)
	}
	if _, err := os.Stat(filepath.Join(dir, copyFileName)); err == nil {
		t.Error("a copy was saved before the node was counted")
	}
	waitFor("wanted", func() bool { _, text := next(7); return strings.Contains(text, `"want":["~*"]`) })
	leader.setAnswer(200, `{"ttl_ms":6000,"revision":5}`)
	rev = 5 // the revision that the node has been sent
	waitFor("a resent item", func() bool { in, _ := get("?since=5"); return !in.Full && len(in.Items) == 1 })
	waitFor("node counted and sent the item", func() bool { in, _ := get("?since=0"); return in.CaughtUp && len(in.Items) == 1 })
	waitFor("session held and wanted keys sent once", func() bool {
		_, text := next(7)
		in, _ := get("?since=5")
		return !strings.Contains(text, "want") && in.LeaseMS > 0 && in.LeaseMS <= 5760 && in.AgeMS < 10_000
	})
	for _, row := range []struct {
		body string
		code int
		want string
	}{
		{`{"node":"m","zone":"z","incarnation":7,"seq":99}`, 400, "node, zone"},
		{`{"node":"n","zone":"y","incarnation":7,"seq":99}`, 400, "node, zone"},
		{`{"node":"n","zone":"z","incarnation":7,"seq":1}`, 409, "seq"},
		{`{"node":"n","zone":"z","incarnation":6,"seq":99}`, 409, "older incarnation"},
		{`{"node":"n","zone":"z","incarnation":7,"seq":99`, 400, "invalid"},
		{strings.Repeat(" ", fleet.MaxReportBytes+1), 400, "invalid"},
	} {
		if code, text := post(row.body); code != row.code || !strings.Contains(text, row.want) {
			t.Errorf("%.60s: %d %s", row.body, code, text)
		}
	}
	if in, text := get("?since=5&node=m"); in.Revision != 0 || !strings.Contains(text, "this agent is n's") {
		t.Errorf("another node's watch: %s", text)
	}
	leader.setAnswer(409, "older incarnation")
	waitFor("refused", func() bool { code, _ := next(7); in, _ := get("?since=5"); return code == 409 && in.LeaseMS == 0 })
	leader.setAnswer(200, `{"ttl_ms":6000,"revision":5}`)
	waitFor("session held by a new incarnation", func() bool { next(8); in, _ := get("?since=5"); return in.LeaseMS > 0 })
	leader.setAnswer(200, `{"revision":5,"out":true}`)
	waitFor("out", func() bool {
		_, text := next(8)
		in, _ := get("?since=5")
		return strings.Contains(text, `"out":true`) && in.LeaseMS == 0
	})
	leader.setAnswer(200, `garbage`)
	if code, text := next(8); code != 200 || !strings.Contains(text, `"out":true`) {
		t.Errorf("a malformed answer of the leader changed the last answer: %d %s", code, text)
	}
	rev = 0
	for range 3 {
		next(9)
	}
	leader.mu.Lock()
	if leader.earlyReports > 0 {
		t.Error("an incarnation that has not been sent any items was reported as one without items")
	}
	leader.mu.Unlock()
	metrics, _ := reg.Gather()
	for _, m := range metrics {
		if m.GetName() == "fleet_agent_reports_refused_total" && m.Metric[0].Counter.GetValue() != 6 {
			t.Errorf("%v reports rejected, want 6", m.Metric[0].Counter.GetValue())
		}
	}
}
