package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
)

// atRest is an agent that has opened its copy in dir and follows nobody.
func atRest(t *testing.T, dir string, services ...string) *Agent {
	t.Helper()
	a, err := newAgent(Config{Node: "n", Zone: "z", Services: services, Dir: dir, Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// receive gives an agent at rest an answer of a replica, as its watch does, and has it saved for a node that is counted.
func receive(t *testing.T, a *Agent, in fleet.Intent) {
	t.Helper()
	a.joined = true
	if err := a.applyIntent(restrictToScope(a.cfg.Services, in), a.now()); err != nil {
		t.Fatal(err)
	}
	if !a.saveCopy() {
		t.Fatal("not saved")
	}
}

// asks is the node's call, which does not wait.
func asks(t *testing.T, a *Agent, since uint64) fleet.Intent {
	t.Helper()
	mux, rec := http.NewServeMux(), httptest.NewRecorder()
	a.Routes(mux)
	mux.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/fleet/v1/intent?since=%d&node=n", since), nil))
	in, err := fleet.DecodeIntent(rec.Body.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// keys lists an answer's items; "-" marks those that are removed.
func keys(in fleet.Intent) string {
	var out []string
	for _, item := range in.Items {
		name := strings.TrimPrefix(item.Key, fleet.KeyTenant)
		if item.Removed {
			name = "-" + name
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func counter(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	reg := prometheus.NewRegistry()
	reg.MustRegister(c)
	metrics, err := reg.Gather()
	if err != nil || len(metrics) != 1 {
		t.Fatal(metrics, err)
	}
	return metrics[0].Metric[0].Counter.GetValue()
}

// allServices is a complete answer at a revision, with a tenant of each of three services, one of none, and a zone.
func allServices(revision uint64) fleet.Intent {
	return fleet.Intent{Revision: revision, Full: true, Items: append(sample().Read(0, nil).Items, tenantOf("bill", 2, "billing", "-"),
		tenantOf("find", 3, "search", "-"), tenantOf("post", 4, "mail", "-"), tenantOf("any", 5, "", "-"))}
}

// An agent of this build takes up the complete copy of the build before: what is in scope is served, with its age, no complete read is due, and
// the file is in the new format before the node is sent any of it. Without a scope the first save replaces it.
func TestAgentTakesUpOldFormatCopy(t *testing.T) {
	old := func() string {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, copyFileName), wholeFile("n", 9, allServices(9).Items...), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	format := func(a *Agent) string {
		raw, err := os.ReadFile(a.copyFile.path())
		if err != nil {
			t.Fatal(err)
		}
		return string(raw[:len(logFormat)])
	}
	a := atRest(t, old(), "billing")
	if in := asks(t, a, 0); keys(in) != "any bill zone/a" || in.CaughtUp || in.AgeMS < unconfirmedAge.Milliseconds() || in.Revision != 9 {
		t.Errorf("with a scope: %s, %+v", keys(in), in)
	}
	if a.fetchAll || format(a) != logFormat {
		t.Errorf("with a scope: whole read due %v, format %q", a.fetchAll, format(a))
	}
	a = atRest(t, old())
	if in := asks(t, a, 0); keys(in) != "any bill find post zone/a" || in.CaughtUp || a.fetchAll || format(a) == logFormat {
		t.Errorf("without a scope: %s, %+v, format %q", keys(in), in, format(a))
	}
	receive(t, a, fleet.Intent{Revision: 10, Items: []fleet.Item{tenantOf("bill", 10, "billing", "-")}})
	if format(a) != logFormat {
		t.Errorf("after the first save: %q", format(a))
	}
	if again := atRest(t, a.cfg.Dir); again.copy.Revision != 10 || again.copy.Len() != 5 {
		t.Errorf("read back: %+v", again.copy)
	}
}

// An agent that starts with fewer services has the node hear the tenants of the others as removed, also where nothing else has changed;
// one that takes them up again reads everything anew before it calls its copy whole, and goes on serving what it has.
func TestScopeOfTheStartChanges(t *testing.T) {
	dir := t.TempDir()
	a := atRest(t, dir, "billing", "search")
	receive(t, a, allServices(9))
	asks(t, a, 0)
	if in := asks(t, a, 9); in.Full || len(in.Items) > 0 {
		t.Fatalf("the node has all: %+v", in)
	}

	a = atRest(t, dir, "billing")
	if in := asks(t, a, 11); keys(in) != "any bill zone/a" || in.Revision != 9 || !a.resendKeys[allItems] {
		t.Errorf("to a node that is newer, and refuses it: %+v", in)
	}
	if in := asks(t, a, 9); !in.Full || keys(in) != "any bill zone/a" || a.fetchAll {
		t.Errorf("fewer services: full %v, %s; whole read due %v", in.Full, keys(in), a.fetchAll)
	}
	if in := asks(t, a, 9); in.Full || len(in.Items) > 0 {
		t.Errorf("sent twice: %+v", in)
	}

	for range 2 { // the second finds on disk that the complete read is still due
		a = atRest(t, dir, "billing", "search")
		if in := asks(t, a, 9); !a.fetchAll || in.Full || len(in.Items) > 0 || in.CaughtUp || in.AgeMS < unconfirmedAge.Milliseconds() {
			t.Errorf("a further service: whole read due %v, %+v", a.fetchAll, in)
		}
		if in := asks(t, a, 0); keys(in) != "any bill zone/a" {
			t.Errorf("what it has: %s", keys(in))
		}
	}
	receive(t, a, allServices(9))
	if in := asks(t, a, 9); !in.Full || keys(in) != "any bill find zone/a" || !in.CaughtUp || a.fetchAll {
		t.Errorf("after the whole read: full %v, %s; whole read due %v", in.Full, keys(in), a.fetchAll)
	}
	if a = atRest(t, dir, "billing", "search"); a.fetchAll || a.copy.Len() != 4 || a.copyFile.deltaSince() != 9 {
		t.Errorf("at the next start: whole read due %v, %d items, on disk %d", a.fetchAll, a.copy.Len(), a.copyFile.deltaSince())
	}
	if a = atRest(t, dir); !a.fetchAll {
		t.Error("no scope any more: no whole read is due")
	}
}

// With a replica of the last build, which ignores the subscription, an agent keeps and sends only what is in scope: a tenant that
// leaves it during its rollout stays until the commit, and one that the copy never had is removed, as the node may have it.
func TestReplicaOfTheLastBuild(t *testing.T) {
	a := atRest(t, t.TempDir(), "billing")
	receive(t, a, allServices(9))
	if in := asks(t, a, 0); keys(in) != "any bill zone/a" {
		t.Errorf("whole: %s", keys(in))
	}
	difference := func(revision uint64, items ...fleet.Item) string {
		receive(t, a, fleet.Intent{Revision: revision, Items: items})
		return keys(asks(t, a, revision-1))
	}
	if got := difference(10, tenantOf("bill", 10, "billing", "mail")); got != "bill" {
		t.Errorf("staged for another service: %s", got)
	}
	if got := difference(11, tenantOf("bill", 11, "mail", "-")); got != "-bill" {
		t.Errorf("committed for another service: %s", got)
	}
	if got := difference(12, tenantOf("find", 12, "search", "-"), tenantOf("post", 12, "mail", "billing")); got != "-find post" {
		t.Errorf("another service, and staged for this one: %s", got)
	}
	if again := atRest(t, a.cfg.Dir, "billing"); keys(again.copy.Read(0, nil)) != "any post zone/a" || again.copy.Revision != 12 {
		t.Errorf("read back: %s at %d", keys(again.copy.Read(0, nil)), again.copy.Revision)
	}
}

// A higher revision without items is kept, so that the node's report of it is handed on, but does not wake the node.
func TestRevisionWithoutItems(t *testing.T) {
	a := atRest(t, t.TempDir(), "billing")
	receive(t, a, allServices(9))
	asks(t, a, 0)
	updated := a.updated
	receive(t, a, fleet.Intent{Revision: 15})
	select {
	case <-updated:
		t.Error("the node was woken")
	default:
	}
	if in := asks(t, a, 9); in.Revision != 15 || in.Full || len(in.Items) > 0 || a.savedRevision != 15 {
		t.Errorf("%+v, saved %d", in, a.savedRevision)
	}
	if again := atRest(t, a.cfg.Dir, "billing"); again.copy.Revision != 15 {
		t.Errorf("read back at revision %d", again.copy.Revision)
	}
}

// A copy that can't be written is taken away and counted, and what was to be saved counts as saved: a restart would send nothing
// older. The next change is written in full.
func TestDiskFull(t *testing.T) {
	a := atRest(t, t.TempDir(), "billing")
	receive(t, a, allServices(9))
	end := failWrites(a.copyFile)
	receive(t, a, fleet.Intent{Revision: 10, Items: []fleet.Item{tenantOf("bill", 10, "billing", "-")}})
	if left, _ := os.ReadDir(a.cfg.Dir); len(left) != 0 || counter(t, a.metrics.saveErrors) != 1 || a.savedRevision != 10 {
		t.Errorf("left %v, %v errors, saved %d", left, counter(t, a.metrics.saveErrors), a.savedRevision)
	}
	end()
	receive(t, a, fleet.Intent{Revision: 11, Items: []fleet.Item{tenantOf("bill", 11, "billing", "-")}})
	if again := atRest(t, a.cfg.Dir, "billing"); again.copy.Revision != 11 || again.copy.Len() != 3 || a.savedRevision != 11 {
		t.Errorf("read back: %+v, saved %d", again.copy, a.savedRevision)
	}
}

// An agent that went on at the same time as its successor leaves the newer copy as it is, counts that, and promises nothing by it.
func TestSuccessorsCopyStays(t *testing.T) {
	dir := t.TempDir()
	first := atRest(t, dir, "billing")
	receive(t, first, allServices(9))
	second := atRest(t, dir, "billing")
	receive(t, second, fleet.Intent{Revision: 12, Items: []fleet.Item{tenantOf("bill", 12, "billing", "-")}})
	if err := first.applyIntent(fleet.Intent{Revision: 11, Items: []fleet.Item{tenantOf("bill", 11, "billing", "-")}}, first.now()); err != nil {
		t.Fatal(err)
	}
	if first.saveCopy() || counter(t, first.metrics.saveErrors) != 1 || first.savedRevision != 9 {
		t.Errorf("%v errors, saved %d", counter(t, first.metrics.saveErrors), first.savedRevision)
	}
	if again := atRest(t, dir, "billing"); again.copy.Revision != 12 {
		t.Errorf("on disk: revision %d", again.copy.Revision)
	}
	receive(t, first, fleet.Intent{Revision: 13})
	if again := atRest(t, dir, "billing"); again.copy.Revision != 13 || first.savedRevision != 13 {
		t.Errorf("once it is newer: revision %d, saved %d", again.copy.Revision, first.savedRevision)
	}
}

// A lost difference rejects the copy: it is put aside and counted, and the agent starts without.
func TestAgentRejectsDamagedLog(t *testing.T) {
	_, parts := sampleLog(t)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, copyFileName), slices.Concat(parts[0], parts[2]), 0o600); err != nil {
		t.Fatal(err)
	}
	a := atRest(t, dir, "billing")
	if _, err := os.Stat(filepath.Join(dir, rejectedFileName)); err != nil || counter(t, a.metrics.copiesRejected) != 1 || a.copy.Revision != 0 || a.joined {
		t.Errorf("%v, %v refused, %+v, counted %v", err, counter(t, a.metrics.copiesRejected), a.copy, a.joined)
	}
}

// A report of other services than the agent's changes nothing and is counted, whichever of the two has none.
func TestReportOfOtherServices(t *testing.T) {
	for _, row := range []struct {
		mine     []string
		reported []string
		code     int
	}{
		{[]string{"billing"}, []string{"billing"}, 0}, {nil, nil, 0}, {[]string{"billing"}, nil, 400}, {nil, []string{"billing"}, 400},
		{[]string{"billing"}, []string{"billing", "search"}, 400},
	} {
		a, mux, rec := atRest(t, t.TempDir(), row.mine...), http.NewServeMux(), httptest.NewRecorder()
		a.Routes(mux)
		raw, _ := json.Marshal(fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: 7}, Services: row.reported, Sequence: 1})
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fleet/v1/report", strings.NewReader(string(raw))))
		rejected := rec.Code == http.StatusBadRequest
		if rejected != (row.code == 400) || rejected != (counter(t, a.metrics.reportsRejected) == 1) || rejected && !strings.Contains(rec.Body.String(), "services") || rejected == (a.report != nil) {
			t.Errorf("agent %v, report %v: %d %s", row.mine, row.reported, rec.Code, rec.Body)
		}
	}
}

// scopedReplica stands in for a replica that knows of subscriptions: it answers watches from its own state and notes their queries.
type scopedReplica struct {
	mu      sync.Mutex
	state   fleet.Intent // all of it
	down    bool
	queries []url.Values
}

func (r *scopedReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || req.Method != http.MethodGet {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := req.URL.Query()
	r.queries = append(r.queries, query)
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	out := fleet.Intent{Revision: r.state.Revision, Full: since == 0 || since > r.state.Revision, Items: []fleet.Item{}}
	for _, item := range restrictToScope(query["service"], r.state).Items {
		if out.Full || item.Revision > since {
			out.Items = append(out.Items, item)
		}
	}
	json.NewEncoder(w).Encode(out)
}

func (r *scopedReplica) change(f func()) { r.mu.Lock(); defer r.mu.Unlock(); f() }

// A subscription moves from a replica that fails to one that is behind: what it says is dropped, counted and never taken, also as a complete
// answer, until it has caught up. Each call names the scope, and that of an agent without one names none.
func TestSubscriptionMovesToReplicaBehind(t *testing.T) {
	t.Run("scoped", func(t *testing.T) {
		moveToReplicaBehind(t, "any bill find zone/a", "any bill find more zone/a", "billing", "search")
	})
	t.Run("without a scope", func(t *testing.T) {
		moveToReplicaBehind(t, "any bill find post zone/a", "any bill else find more post zone/a")
	})
}

func moveToReplicaBehind(t *testing.T, first, last string, services ...string) {
	newest, behind := &scopedReplica{state: allServices(20)}, &scopedReplica{state: allServices(15), down: true}
	var addresses []string
	for _, replica := range []*scopedReplica{newest, behind} {
		server := httptest.NewServer(replica)
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := Start(ctx, Config{Node: "n", Zone: "z", Services: services, Replicas: addresses, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	holds := func(want string, revision uint64) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return keys(a.copy.Read(0, nil)) == want && a.copy.Revision == revision
	}
	eventually(t, "the copy", func() bool { return holds(first, 20) })
	dropped := counter(t, a.metrics.answersDropped)
	newest.change(func() { newest.down = true })
	behind.change(func() { behind.down = false })
	eventually(t, "the other replica asked", func() bool { return counter(t, a.metrics.answersDropped) > dropped+4 })
	if !holds(first, 20) {
		t.Error("an answer of a replica that is behind was taken")
	}
	behind.change(func() {
		behind.state.Revision = 21
		behind.state.Items = append(behind.state.Items, tenantOf("more", 21, "search", "-"), tenantOf("else", 21, "mail", "-"))
	})
	eventually(t, "caught up", func() bool { return holds(last, 21) })
	for _, replica := range []*scopedReplica{newest, behind} {
		replica.change(func() {
			if len(replica.queries) == 0 {
				t.Error("a replica was never asked")
			}
			for _, query := range replica.queries {
				if !slices.Equal(query["service"], services) {
					t.Errorf("asked for %v", query)
				}
			}
		})
	}
}

// eventually waits for a condition, half a minute at most.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: ", what)
		}
	}
}
