package scale

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// newFakeReplica starts an HTTP server with the given handler and returns its address without the scheme.
func newFakeReplica(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(answer)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestOperatorFollowsTheLeader(t *testing.T) {
	var got atomic.Pointer[proposal]
	leader := newFakeReplica(t, func(w http.ResponseWriter, r *http.Request) {
		var p proposal
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil || r.Method != http.MethodPut {
			http.Error(w, "bad", http.StatusBadRequest)
			return
		}
		got.Store(&p)
	})
	follower := newFakeReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leader", leader)
		http.Error(w, "not the leader", http.StatusServiceUnavailable)
	})
	o := newOperator([]string{follower, "127.0.0.1:1", leader})
	defer o.close()
	spec := Load{Tenants: 3, Services: 2, PerNode: 1, Routes: 5}.spec(1, 8)
	if err := o.propose(t.Context(), 7, spec); err != nil {
		t.Fatal(err)
	}
	if p := got.Load(); p == nil || p.Generation != 7 || p.Spec.Name != "tenant-000001" || p.Spec.Service != "svc-001" || len(p.Spec.Routes) != 2 {
		t.Errorf("put %+v", p)
	}
	if o.leader != 2 {
		t.Errorf("replica %d is taken for the leader", o.leader)
	}
}

func TestOperatorRejections(t *testing.T) {
	rows := []struct {
		name     string
		status   int
		conflict bool
	}{{"conflict", http.StatusConflict, true}, {"bad request", http.StatusBadRequest, false}}
	for _, row := range rows {
		o := newOperator([]string{newFakeReplica(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", row.status) })})
		err := o.propose(t.Context(), 1, fleet.Spec{Name: "a"})
		if err == nil || errors.Is(err, errConflict) != row.conflict {
			t.Errorf("%s: %v", row.name, err)
		}
		o.close()
	}
}

// TestOperatorAcceptsItsOwnConflict checks that propose succeeds if its first attempt took effect but the answer was lost, so that
// the second attempt gets a conflict.
func TestOperatorAcceptsItsOwnConflict(t *testing.T) {
	var attempts atomic.Int64
	o := newOperator([]string{newFakeReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, "generation changed", http.StatusConflict)
	})})
	defer o.close()
	if err := o.propose(t.Context(), 1, fleet.Spec{Name: "a"}); err != nil || attempts.Load() != 2 {
		t.Errorf("%v after %d attempts", err, attempts.Load())
	}
}

func TestOperatorEndsWithItsContext(t *testing.T) {
	o := newOperator([]string{newFakeReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	})})
	defer o.close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := o.propose(ctx, 1, fleet.Spec{Name: "a"}); err == nil {
		t.Error("propose succeeds without a leader")
	}
}

const metricsText = `# TYPE fleet_commands_total counter
fleet_commands_total{core="tenants",result="applied"} 7
fleet_commands_total{core="session",result="applied"} 3
# TYPE fleet_reports_total counter
fleet_reports_total{result="held"} 40
# TYPE fleet_step_seconds histogram
fleet_step_seconds_bucket{le="0.001"} 50
fleet_step_seconds_bucket{le="0.01"} 99
fleet_step_seconds_bucket{le="+Inf"} 100
fleet_step_seconds_sum 0.5
fleet_step_seconds_count 100
`

func TestParseMetrics(t *testing.T) {
	m, err := parseMetrics(strings.NewReader(metricsText))
	if err != nil || m.Commands != 10 || m.Reports != 40 || m.Step.Count != 100 {
		t.Fatalf("%+v, %v", m, err)
	}
	if mean, ok := m.Step.Mean(); !ok || mean != 0.005 {
		t.Errorf("mean %v", mean)
	}
	for _, row := range []struct {
		q, want float64
		ok      bool
	}{{0.5, 0.001, true}, {0.99, 0.01, true}, {0.995, 0, false}} {
		if got, ok := m.Step.Quantile(row.q); got != row.want || ok != row.ok {
			t.Errorf("quantile %v: %v, %v", row.q, got, ok)
		}
	}
	if _, ok := m.Step.Since(m.Step).Mean(); ok {
		t.Error("Mean returns a value for no steps")
	}
	if m, err := parseMetrics(strings.NewReader("")); err != nil || m.Commands != 0 {
		t.Errorf("metrics of a replica that was never the leader: %+v, %v", m, err)
	}
	if _, err := parseMetrics(strings.NewReader("what is this")); err == nil {
		t.Error("text that is no metrics is accepted")
	}
}
