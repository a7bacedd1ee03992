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

// newIdleAgent returns an agent that has opened its copy in dir and follows no replica.
func newIdleAgent(t *testing.T, dir string, services ...string) *Agent {
	t.Helper()
	a, err := newAgent(Config{Node: "n", Zone: "z", Services: services, Dir: dir, Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// applyAndSave applies a replica's answer as the agent's watch does, and saves it as for a node that is counted.
func applyAndSave(t *testing.T, a *Agent, in fleet.Intent) {
	t.Helper()
	a.joined = true
	if err := a.applyIntent(restrictToScope(a.cfg.Services, in), a.now()); err != nil {
		t.Fatal(err)
	}
	if !a.saveCopy() {
		t.Fatal("the copy was not saved")
	}
}

// readIntent makes the node's call for the intent, without waiting.
func readIntent(t *testing.T, a *Agent, since uint64) fleet.Intent {
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

// itemNames lists the names of an answer's items; "-" marks removed items.
func itemNames(in fleet.Intent) string {
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

func counterValue(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	reg := prometheus.NewRegistry()
	reg.MustRegister(c)
	metrics, err := reg.Gather()
	if err != nil || len(metrics) != 1 {
		t.Fatal(metrics, err)
	}
	return metrics[0].Metric[0].Counter.GetValue()
}

// allServices returns a complete answer at a revision, with a tenant of each of three services, one without a service, and a zone.
func allServices(revision uint64) fleet.Intent {
	return fleet.Intent{Revision: revision, Full: true, Items: append(sampleCopy().Read(0, nil).Items, tenantOf("bill", 2, "billing", "-"),
		tenantOf("find", 3, "search", "-"), tenantOf("post", 4, "mail", "-"), tenantOf("any", 5, "", "-"))}
}

// An agent of this build reads the previous build's copy: it serves what is in scope, with its age, needs no complete read, and writes the
// file in the new format before the node is sent any of it. Without a scope the first save replaces the file.
func TestAgentReadsOldFormatCopy(t *testing.T) {
	writeOldFormat := func() string {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, copyFileName), oldFormatFile("n", 9, allServices(9).Items...), 0o600); err != nil {
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
	a := newIdleAgent(t, writeOldFormat(), "billing")
	if in := readIntent(t, a, 0); itemNames(in) != "any bill zone/a" || in.CaughtUp || in.AgeMS < unconfirmedAge.Milliseconds() || in.Revision != 9 {
		t.Errorf("with a scope: %s, %+v", itemNames(in), in)
	}
	if a.fetchAll || format(a) != logFormat {
		t.Errorf("with a scope: complete read due %v, format %q", a.fetchAll, format(a))
	}
	a = newIdleAgent(t, writeOldFormat())
	if in := readIntent(t, a, 0); itemNames(in) != "any bill find post zone/a" || in.CaughtUp || a.fetchAll || format(a) == logFormat {
		t.Errorf("without a scope: %s, %+v, format %q", itemNames(in), in, format(a))
	}
	applyAndSave(t, a, fleet.Intent{Revision: 10, Items: []fleet.Item{tenantOf("bill", 10, "billing", "-")}})
	if format(a) != logFormat {
		t.Errorf("after the first save: %q", format(a))
	}
	if restarted := newIdleAgent(t, a.cfg.Dir); restarted.copy.Revision != 10 || restarted.copy.Len() != 5 {
		t.Errorf("after a restart: %+v", restarted.copy)
	}
}

// An agent that starts with fewer services sends the other services' tenants to the node as removed, even if nothing else has changed.
// An agent that starts with more services reads every item before it reports the copy as complete, and serves its present copy until then.
func TestScopeChangesAtStart(t *testing.T) {
	dir := t.TempDir()
	a := newIdleAgent(t, dir, "billing", "search")
	applyAndSave(t, a, allServices(9))
	readIntent(t, a, 0)
	if in := readIntent(t, a, 9); in.Full || len(in.Items) > 0 {
		t.Fatalf("the node has every item, but is sent %+v", in)
	}

	a = newIdleAgent(t, dir, "billing")
	if in := readIntent(t, a, 11); itemNames(in) != "any bill zone/a" || in.Revision != 9 || !a.resendKeys[allItems] {
		t.Errorf("to a node with a newer revision, which rejects it: %+v", in)
	}
	if in := readIntent(t, a, 9); !in.Full || itemNames(in) != "any bill zone/a" || a.fetchAll {
		t.Errorf("fewer services: full %v, %s; complete read due %v", in.Full, itemNames(in), a.fetchAll)
	}
	if in := readIntent(t, a, 9); in.Full || len(in.Items) > 0 {
		t.Errorf("sent twice: %+v", in)
	}

	for range 2 { // the second agent learns from the file that the complete read is still needed
		a = newIdleAgent(t, dir, "billing", "search")
		if in := readIntent(t, a, 9); !a.fetchAll || in.Full || len(in.Items) > 0 || in.CaughtUp || in.AgeMS < unconfirmedAge.Milliseconds() {
			t.Errorf("a further service: complete read due %v, %+v", a.fetchAll, in)
		}
		if in := readIntent(t, a, 0); itemNames(in) != "any bill zone/a" {
			t.Errorf("items of the present copy: %s", itemNames(in))
		}
	}
	applyAndSave(t, a, allServices(9))
	if in := readIntent(t, a, 9); !in.Full || itemNames(in) != "any bill find zone/a" || !in.CaughtUp || a.fetchAll {
		t.Errorf("after the complete read: full %v, %s; complete read due %v", in.Full, itemNames(in), a.fetchAll)
	}
	if a = newIdleAgent(t, dir, "billing", "search"); a.fetchAll || a.copy.Len() != 4 || a.copyFile.deltaSince() != 9 {
		t.Errorf("at the next start: complete read due %v, %d items, revision %d on disk", a.fetchAll, a.copy.Len(), a.copyFile.deltaSince())
	}
	if a = newIdleAgent(t, dir); !a.fetchAll {
		t.Error("scope removed: no complete read is due")
	}
}

// With a replica of the previous build, which ignores the subscription, an agent keeps and sends only what is in scope. A tenant that
// leaves the scope in a rollout stays until the commit. A tenant that the copy never had is sent as removed, as the node may have it.
func TestReplicaOfPreviousBuild(t *testing.T) {
	a := newIdleAgent(t, t.TempDir(), "billing")
	applyAndSave(t, a, allServices(9))
	if in := readIntent(t, a, 0); itemNames(in) != "any bill zone/a" {
		t.Errorf("complete answer: %s", itemNames(in))
	}
	applyDelta := func(revision uint64, items ...fleet.Item) string {
		applyAndSave(t, a, fleet.Intent{Revision: revision, Items: items})
		return itemNames(readIntent(t, a, revision-1))
	}
	if got := applyDelta(10, tenantOf("bill", 10, "billing", "mail")); got != "bill" {
		t.Errorf("staged for another service: %s", got)
	}
	if got := applyDelta(11, tenantOf("bill", 11, "mail", "-")); got != "-bill" {
		t.Errorf("committed for another service: %s", got)
	}
	if got := applyDelta(12, tenantOf("find", 12, "search", "-"), tenantOf("post", 12, "mail", "billing")); got != "-find post" {
		t.Errorf("another service, and staged for this one: %s", got)
	}
	if restarted := newIdleAgent(t, a.cfg.Dir, "billing"); itemNames(restarted.copy.Read(0, nil)) != "any post zone/a" || restarted.copy.Revision != 12 {
		t.Errorf("after a restart: %s at %d", itemNames(restarted.copy.Read(0, nil)), restarted.copy.Revision)
	}
}

// A higher revision without items is saved, so that the node's report of it is forwarded, but it does not wake the node.
func TestRevisionWithoutItems(t *testing.T) {
	a := newIdleAgent(t, t.TempDir(), "billing")
	applyAndSave(t, a, allServices(9))
	readIntent(t, a, 0)
	updated := a.updated
	applyAndSave(t, a, fleet.Intent{Revision: 15})
	select {
	case <-updated:
		t.Error("the node was woken")
	default:
	}
	if in := readIntent(t, a, 9); in.Revision != 15 || in.Full || len(in.Items) > 0 || a.savedRevision != 15 {
		t.Errorf("%+v, saved %d", in, a.savedRevision)
	}
	if restarted := newIdleAgent(t, a.cfg.Dir, "billing"); restarted.copy.Revision != 15 {
		t.Errorf("after a restart: revision %d", restarted.copy.Revision)
	}
}

// A copy that can't be written is removed and counted, and its revision counts as saved, because a restarted agent would send nothing
// older. The next change is written as a base.
func TestDiskFull(t *testing.T) {
	a := newIdleAgent(t, t.TempDir(), "billing")
	applyAndSave(t, a, allServices(9))
	restore := failWrites(a.copyFile)
	applyAndSave(t, a, fleet.Intent{Revision: 10, Items: []fleet.Item{tenantOf("bill", 10, "billing", "-")}})
	if remaining, _ := os.ReadDir(a.cfg.Dir); len(remaining) != 0 || counterValue(t, a.metrics.saveErrors) != 1 || a.savedRevision != 10 {
		t.Errorf("remaining files %v, %v errors, saved %d", remaining, counterValue(t, a.metrics.saveErrors), a.savedRevision)
	}
	restore()
	applyAndSave(t, a, fleet.Intent{Revision: 11, Items: []fleet.Item{tenantOf("bill", 11, "billing", "-")}})
	if restarted := newIdleAgent(t, a.cfg.Dir, "billing"); restarted.copy.Revision != 11 || restarted.copy.Len() != 3 || a.savedRevision != 11 {
		t.Errorf("after a restart: %+v, saved %d", restarted.copy, a.savedRevision)
	}
}

// An agent that runs on beside its successor leaves the newer copy as it is, counts the error, and does not count its revision as saved.
func TestNewerCopyIsNotOverwritten(t *testing.T) {
	dir := t.TempDir()
	first := newIdleAgent(t, dir, "billing")
	applyAndSave(t, first, allServices(9))
	second := newIdleAgent(t, dir, "billing")
	applyAndSave(t, second, fleet.Intent{Revision: 12, Items: []fleet.Item{tenantOf("bill", 12, "billing", "-")}})
	if err := first.applyIntent(fleet.Intent{Revision: 11, Items: []fleet.Item{tenantOf("bill", 11, "billing", "-")}}, first.now()); err != nil {
		t.Fatal(err)
	}
	if first.saveCopy() || counterValue(t, first.metrics.saveErrors) != 1 || first.savedRevision != 9 {
		t.Errorf("%v errors, saved %d", counterValue(t, first.metrics.saveErrors), first.savedRevision)
	}
	if restarted := newIdleAgent(t, dir, "billing"); restarted.copy.Revision != 12 {
		t.Errorf("on disk: revision %d", restarted.copy.Revision)
	}
	applyAndSave(t, first, fleet.Intent{Revision: 13})
	if restarted := newIdleAgent(t, dir, "billing"); restarted.copy.Revision != 13 || first.savedRevision != 13 {
		t.Errorf("after a newer save: revision %d, saved %d", restarted.copy.Revision, first.savedRevision)
	}
}

// A lost delta rejects the copy: the file is renamed, the rejection is counted, and the agent starts without a copy.
func TestAgentRejectsDamagedLog(t *testing.T) {
	_, parts := sampleLog(t)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, copyFileName), slices.Concat(parts[0], parts[2]), 0o600); err != nil {
		t.Fatal(err)
	}
	a := newIdleAgent(t, dir, "billing")
	if _, err := os.Stat(filepath.Join(dir, rejectedFileName)); err != nil || counterValue(t, a.metrics.copiesRejected) != 1 || a.copy.Revision != 0 || a.joined {
		t.Errorf("%v, %v copies rejected, %+v, joined %v", err, counterValue(t, a.metrics.copiesRejected), a.copy, a.joined)
	}
}

// A report with services other than the agent's changes nothing and is counted, also if one of the two has no services.
func TestReportOfOtherServices(t *testing.T) {
	for _, row := range []struct {
		mine     []string
		reported []string
		code     int
	}{
		{[]string{"billing"}, []string{"billing"}, 0}, {nil, nil, 0}, {[]string{"billing"}, nil, 400}, {nil, []string{"billing"}, 400},
		{[]string{"billing"}, []string{"billing", "search"}, 400},
	} {
		a, mux, rec := newIdleAgent(t, t.TempDir(), row.mine...), http.NewServeMux(), httptest.NewRecorder()
		a.Routes(mux)
		raw, _ := json.Marshal(fleet.Report{Member: fleet.Member{Node: "n", Zone: "z", Incarnation: 7}, Services: row.reported, Sequence: 1})
		mux.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/fleet/v1/report", strings.NewReader(string(raw))))
		rejected := rec.Code == http.StatusBadRequest
		if rejected != (row.code == 400) || rejected != (counterValue(t, a.metrics.reportsRejected) == 1) || rejected && !strings.Contains(rec.Body.String(), "services") || rejected == (a.report != nil) {
			t.Errorf("agent %v, report %v: %d %s", row.mine, row.reported, rec.Code, rec.Body)
		}
	}
}

// scopedReplica is a stub for a replica that supports subscriptions: it answers watches from its state and records their queries.
type scopedReplica struct {
	mu      sync.Mutex
	state   fleet.Intent // every item
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

// A subscription moves from a replica that fails to one that is behind. The agent drops and counts that replica's answers, also complete
// ones, until the replica has caught up. Each call names the scope; the calls of an agent without a scope name no service.
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
		return itemNames(a.copy.Read(0, nil)) == want && a.copy.Revision == revision
	}
	eventually(t, "the copy at revision 20", func() bool { return holds(first, 20) })
	dropped := counterValue(t, a.metrics.answersDropped)
	newest.change(func() { newest.down = true })
	behind.change(func() { behind.down = false })
	eventually(t, "dropped answers of the other replica", func() bool { return counterValue(t, a.metrics.answersDropped) > dropped+4 })
	if !holds(first, 20) {
		t.Error("an answer of a replica that is behind was applied")
	}
	behind.change(func() {
		behind.state.Revision = 21
		behind.state.Items = append(behind.state.Items, tenantOf("more", 21, "search", "-"), tenantOf("else", 21, "mail", "-"))
	})
	eventually(t, "the copy at revision 21", func() bool { return holds(last, 21) })
	for _, replica := range []*scopedReplica{newest, behind} {
		replica.change(func() {
			if len(replica.queries) == 0 {
				t.Error("a replica received no watch call")
			}
			for _, query := range replica.queries {
				if !slices.Equal(query["service"], services) {
					t.Errorf("watch call with query %v", query)
				}
			}
		})
	}
}

// eventually waits up to 30 s for a condition.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", condition)
		}
	}
}
