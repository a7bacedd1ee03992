package agent

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestBadAnswersChangeNothing polls a replica that sends one valid answer and then truncated JSON, an older revision, an invalid
// entry and answers that stall within the body. The agent must keep and serve the list and revision of the first answer.
func TestBadAnswersChangeNothing(t *testing.T) {
	var requests atomic.Int64
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 1:
			io.WriteString(w, `{"version":5,"full":true,"servers":[{"id":"s1","addr":"127.0.0.1:1","state":"ready"}]}`)
		case 2:
			io.WriteString(w, `{"version":9,"full":true,"servers":[{"id":"s1"`)
		case 3:
			io.WriteString(w, `{"version":3,"full":true,"servers":[]}`)
		case 4:
			io.WriteString(w, `{"version":7,"full":true,"servers":[{"id":"","state":"ready"}]}`)
		default:
			w.Write([]byte(`{"version":8,`))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer replica.Close()
	a := New([]string{replica.Listener.Addr().String()}, slog.New(slog.DiscardHandler))
	a.client.Timeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	go a.Watch(ctx)
	for end := time.Now().Add(20 * time.Second); requests.Load() < 6 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	rec := httptest.NewRecorder()
	a.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/registry/instances", nil))
	var got struct {
		Version uint64
		Servers []struct{ ID string }
	}
	json.Unmarshal(rec.Body.Bytes(), &got)
	if got.Version != 5 || len(got.Servers) != 1 || got.Servers[0].ID != "s1" || rec.Header().Get("X-List-Age-Ms") == "" {
		t.Errorf("after invalid answers the agent serves %s %v", rec.Body, rec.Header())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.AnswersDropped < 4 {
		t.Errorf("%d answers dropped, want 4 at least", a.AnswersDropped)
	}
}

// TestSilentReplicaTimesOut watches a replica that accepts a watch and never answers, its connection open. The agent must give up the
// watch within 15 s, well before 30 s or a minute, and get the list from the other replica.
func TestSilentReplicaTimesOut(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"version":5,"full":true,"servers":[]}`)
	}))
	defer good.Close()
	a := New([]string{silent.Listener.Addr().String(), good.Listener.Addr().String()}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	if err := a.poll(ctx, a.replicas[0]); err == nil {
		t.Error("a poll of a silent replica returned no error")
	}
	if took := time.Since(start); took > 15*time.Second {
		t.Errorf("the poll of a silent replica took %v", took)
	}
	go a.Watch(ctx)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		a.mu.Lock()
		v := a.version
		a.mu.Unlock()
		if v == 5 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the agent did not get the other replica's list within 30 s")
		}
	}
	cancel()
}
