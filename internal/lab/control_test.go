package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/stub"
)

// TestWatchIntentRecordsChanges runs watchIntent against a stub replica. It must record each change once, with the fields that
// the checker reads, and the removal of each item that a complete list no longer contains. An answer with an older revision and
// an answer that is not JSON must change nothing.
func TestWatchIntentRecordsChanges(t *testing.T) {
	answers := []string{
		`{"revision":3,"full":true,"items":[{"key":"zone/b","rev":2,"body":{"phase":"probation","share":0,"budget":4,"trial":["n1"],"valid_ms":5000}},
		  {"key":"tenant/t","rev":3,"body":{"uid":3,"staged":{"number":1}}},{"key":"share/n0","rev":1,"body":{"rates":{}}}]}`,
		`{"revision":2,"full":true,"items":[]}`,
		`nonsense`,
		`{"revision":5,"full":false,"items":[{"key":"tenant/t","rev":5,"body":{"uid":3,"committed":{"number":1,"spec":{"quota":{"rate":30,"burst":5}}}}}]}`,
		`{"revision":6,"full":true,"items":[{"key":"tenant/t","rev":5,"body":{"uid":3,"committed":{"number":1,"spec":{"quota":{"rate":30,"burst":5}}}}}]}`,
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if next == len(answers) {
			cancel()
			return
		}
		fmt.Fprint(w, answers[next])
		next++
	}))
	defer srv.Close()
	f := newTestFleet(t)
	f.cluster = &discoverylab.Cluster{HTTP: []string{strings.TrimPrefix(srv.URL, "http://")}}
	f.recorder, f.opt.Log = stub.NewRecorder(), slog.New(slog.NewTextHandler(io.Discard, nil))
	f.records.Fleet = &invariants.Fleet{}
	done := make(chan struct{})
	go func() { f.watchIntent(ctx); close(done) }()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("watchIntent did not return within 30 s")
	}
	got := f.records.Fleet.IntentChanges
	for i := range got {
		got[i].At = 0
	}
	want := []invariants.IntentChange{{Key: "zone/b", Rev: 2, Phase: "probation", Budget: 4, Trial: []int{1}}, {Key: "tenant/t", Rev: 3},
		{Key: "tenant/t", Rev: 5, Committed: true, Rate: 30, Burst: 5}, {Key: "zone/b", Rev: 6, Removed: true}, {Key: "share/n0", Rev: 6, Removed: true}}
	if len(got) > 3 && got[3].Key != "zone/b" {
		got[3], got[4] = got[4], got[3]
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}
