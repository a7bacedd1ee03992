package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"meadowsill/internal/fleet"
)

// stubAgent is a stub of the fleet agent on a node's machine.
type stubAgent struct {
	*httptest.Server
	mu       sync.Mutex
	intent   fleet.Intent
	answer   fleet.ReportAnswer
	reports  []fleet.Report
	override http.HandlerFunc // answers instead of the stub, unless nil
	calls    atomic.Int64
}

func newStubAgent(t *testing.T) *stubAgent {
	a := &stubAgent{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Add(1)
		a.mu.Lock()
		override := a.override
		a.mu.Unlock()
		body, _ := io.ReadAll(r.Body) // read first: net/http detects a closed connection only after the body is read
		if override != nil {
			override(w, r)
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if r.URL.Path == "/fleet/v1/intent" {
			if r.URL.Query().Get("node") != "n 0" {
				t.Errorf("node %q", r.URL.Query().Get("node"))
			}
			json.NewEncoder(w).Encode(a.intent)
			return
		}
		report, err := fleet.DecodeReport(body)
		if err != nil {
			t.Errorf("report: %v", err)
		}
		a.reports = append(a.reports, report)
		json.NewEncoder(w).Encode(a.answer)
	}))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// set calls change, which changes the answers of the agent, under the agent's lock.
func (a *stubAgent) set(change func()) { a.mu.Lock(); defer a.mu.Unlock(); change() }

// awaitReport waits until the last report meets a condition, and returns that report.
func (a *stubAgent) awaitReport(t *testing.T, what string, match func(fleet.Report) bool) fleet.Report {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		n := len(a.reports)
		var last fleet.Report
		if n > 0 {
			last = a.reports[n-1]
		}
		a.mu.Unlock()
		if n > 0 && match(last) {
			return last
		}
	}
	t.Fatalf("no report %s", what)
	return fleet.Report{}
}

func item(key string, rev uint64, body any) fleet.Item {
	b, _ := json.Marshal(body)
	return fleet.Item{Key: key, Revision: rev, Body: b}
}

func tenant(uid, generation uint64, name string) fleet.Tenant {
	return fleet.Tenant{UID: uid, Committed: &fleet.Generation{Number: generation, Digest: "00ff",
		Spec: fleet.Spec{Name: name, Quota: fleet.Quota{Rate: 1000, Burst: 100}}}}
}

// startFleetNode starts a node with a fleet block.
func startFleetNode(t *testing.T, a *stubAgent, catchUp time.Duration, servers ...string) *testNode {
	c := &Config{Name: "n 0", Settings: settings(), Known: readyServers(servers...), Fleet: &FleetConfig{
		Agent: netip.MustParseAddrPort(a.Listener.Addr().String()), Report: minReportMS * time.Millisecond, CatchUp: catchUp}}
	for i := range c.Known.entries {
		c.Known.entries[i].name = fmt.Sprint("s-", i)
	}
	c.Settings.Fleet = true
	return start(t, c)
}

func withAccount(account, text string) string {
	return strings.Replace(text, "\r\nX-Time-Left", "\r\nX-Account: "+account+"\r\nX-Time-Left", 1)
}

// A node of a fleet is ready only after it has caught up. It serves the committed tenants and no others, reports what its module
// has applied, and continues to serve without its agent.
func TestFleet(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { requests.Add(1); return ok("x") }))
	a := newStubAgent(t)
	a.set(func() {
		a.intent, a.answer = fleet.Intent{Full: true}, fleet.ReportAnswer{NotReady: true, LeaseTTLMS: 60_000}
	})
	n := startFleetNode(t, a, time.Hour, addr)
	a.awaitReport(t, "before the intent is delivered", func(r fleet.Report) bool { return !r.Ready && r.Revision == 0 })
	n.waitReady(t, 503)

	a.set(func() {
		a.intent = fleet.Intent{Revision: 9, Full: true, CaughtUp: true, LeaseMS: 5000, Items: []fleet.Item{
			item("tenant/a", 8, tenant(3, 2, "a")), item("share/n 0", 9, fleet.QuotaLease{Epoch: 1, Slots: 3, Rates: map[string]float64{"a": 500}})}}
	})
	a.awaitReport(t, "of the tenant", func(r fleet.Report) bool { return r.Revision == 9 && !r.Ready })
	n.waitReady(t, 503) // the leader still answers that the node is not to be ready
	a.set(func() { a.answer = fleet.ReportAnswer{LeaseTTLMS: 6000, WantedKeys: []string{"tenant/a", "=*"}} })
	n.waitReady(t, 200)
	r := a.awaitReport(t, "with the requested keys", func(r fleet.Report) bool {
		for _, h := range r.Applied {
			if h.Key == "tenant/a" && len(h.Body) > 0 {
				return true
			}
		}
		return false
	})
	if len(r.Tenants) != 1 || r.Tenants[0].Committed != 2 || r.Tenants[0].UID != 3 || r.Tenants[0].Digest != "00ff" || r.Zone != "z" || r.Incarnation == 0 {
		t.Errorf("reported %+v", r)
	}
	if resp, _ := n.doRequest(t, withAccount("a", requestText("read", "9.5", ""))); resp.StatusCode != 200 {
		t.Errorf("a committed tenant: status %d", resp.StatusCode)
	}
	before := requests.Load()
	if resp, _ := n.doRequest(t, withAccount("b", requestText("read", "9.5", ""))); resp.StatusCode != 503 || requests.Load() != before {
		t.Errorf("a tenant without a generation: status %d, %d attempts", resp.StatusCode, requests.Load()-before)
	}
	reportedAnswer := false
	for end := time.Now().Add(testTimeout); !reportedAnswer && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.set(func() {
			for _, r := range a.reports {
				for _, w := range r.Zones {
					reportedAnswer = reportedAnswer || w.Zone == "z" && w.Answered > 0 && w.Listed == 1
				}
			}
		})
	}
	if !reportedAnswer {
		t.Error("no report of the answer")
	}

	a.set(func() { a.answer = fleet.ReportAnswer{NotReady: true, LeaseTTLMS: 500} })
	n.waitReady(t, 503)
	a.set(func() { a.override = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) } })
	n.waitReady(t, 200) // the lease of the agent's answer has expired
	if resp, _ := n.doRequest(t, withAccount("a", requestText("read", "9.5", ""))); resp.StatusCode != 200 {
		t.Errorf("without an agent: status %d", resp.StatusCode)
	}
	a.set(func() { a.override, a.answer = nil, fleet.ReportAnswer{} })
	n.stop()
	<-n.ended
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, r := range a.reports {
		if last := i == len(a.reports)-1; r.Draining != last || i > 0 && r.Sequence <= a.reports[i-1].Sequence {
			t.Errorf("report %d of %d: leaving %v, seq %d", i, len(a.reports), r.Draining, r.Sequence)
		}
	}
}

// Unusable answers of the agent change nothing: they are counted and logged at a bounded rate, and the node continues to serve.
func TestFleetAgentAnswersUnusable(t *testing.T) {
	t.Parallel()
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	var otherCalls atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { otherCalls.Add(1) }))
	defer other.Close()
	validIntent, _ := json.Marshal(fleet.Intent{Revision: 9, Full: true, CaughtUp: true, Items: []fleet.Item{item("tenant/b", 9, tenant(4, 1, "b"))}})
	answerText := func(s string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, s) }
	}
	for name, override := range map[string]http.HandlerFunc{
		"silent":     func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"malformed":  answerText("{"),
		"empty":      answerText(""),
		"cut short":  answerText(string(validIntent[:len(validIntent)-2])),
		"other type": answerText(`{"revision":"x","ttl_ms":"x"}`),
		"negative":   answerText(`{"revision":9,"full":true,"age_ms":-1,"ttl_ms":-1}`),
		"older":      answerText(`{"revision":7,"full":true,"ttl_ms":-1}`),
		"bad item":   answerText(`{"revision":9,"full":true,"items":[{"key":"zone/z","rev":9,"body":{"phase":"left","share":7}}],"ttl_ms":-1}`),
		"oversized":  func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, fleet.MaxIntentBytes+1)) },
		"error":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); w.Write(validIntent) },
		"redirect":   func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, other.URL, http.StatusFound) },
		"closes":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newStubAgent(t)
			a.set(func() {
				a.intent = fleet.Intent{Revision: 8, Full: true, CaughtUp: true, Items: []fleet.Item{item("tenant/a", 8, tenant(3, 1, "a"))}}
			})
			n := startFleetNode(t, a, time.Hour, addr)
			n.waitReady(t, 200)
			a.set(func() { a.override = override })
			calls := a.calls.Load()
			for end := time.Now().Add(testTimeout); a.calls.Load() < calls+4 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			if a.calls.Load() < calls+4 {
				t.Error("the node does not call the agent again")
			}
			for account, want := range map[string]int{"a": 200, "b": 503} {
				if resp, _ := n.doRequest(t, withAccount(account, requestText("read", "9.5", ""))); resp.StatusCode != want {
					t.Errorf("tenant %s: status %d, want %d", account, resp.StatusCode, want)
				}
			}
			n.waitReady(t, 200)
			a.set(func() {
				a.override = nil
				a.intent.Revision, a.intent.Items[0] = 10, item("tenant/c", 10, tenant(5, 1, "c"))
			})
			a.awaitReport(t, "after the agent answers correctly again", func(r fleet.Report) bool { return r.Revision == 10 })
		})
	}
	t.Cleanup(func() {
		if otherCalls.Load() > 0 {
			t.Error("the node followed a redirect of the agent")
		}
	})
}

// Without an agent, the node is not ready for the time to catch up, and becomes ready after that.
func TestFleetCatchUpEnds(t *testing.T) {
	t.Parallel()
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	a := newStubAgent(t)
	a.Close()
	began := time.Now()
	n := startFleetNode(t, a, 500*time.Millisecond, addr)
	n.waitReady(t, 200)
	if took := time.Since(began); took < 500*time.Millisecond {
		t.Errorf("ready after %v", took)
	}
}

// Every fault of the agent is counted, but at most one per faultLogInterval is logged.
func TestFleetFaultsAreLoggedAtABoundedRate(t *testing.T) {
	var text bytes.Buffer
	f := &fleetClient{log: slog.New(slog.NewTextHandler(&text, nil))}
	began, err := time.Now(), errors.New(strings.Repeat("x", 1<<16))
	for range 1000 {
		f.logFault(t.Context(), "intent", err)
	}
	maximum := 1 + int(time.Since(began)/faultLogInterval)
	if lines := strings.Count(text.String(), "\n"); f.faults.Load() != 1000 || lines < 1 || lines > maximum || text.Len() > 2*maxLoggedErrorBytes*maximum {
		t.Errorf("%d faults, %d bytes logged", f.faults.Load(), text.Len())
	}
}

// Without the fleet block, the node starts no goroutine of the fleet client and makes no call to the agent.
func TestNoFleetWithoutBlock(t *testing.T) { // not parallel: it examines the stacks of all goroutines
	addr := startServer(t, answerWith(func(*http.Request, []byte) string { return ok("x") }))
	stacks := func() string {
		buf := make([]byte, 1<<20)
		return string(buf[:runtime.Stack(buf, true)])
	}
	for _, withBlock := range []bool{false, true} {
		a := newStubAgent(t)
		var n *testNode
		if withBlock {
			n = startFleetNode(t, a, time.Hour, addr)
			a.awaitReport(t, "at all", func(fleet.Report) bool { return true })
		} else {
			n = start(t, &Config{Settings: settings(), Known: readyServers(addr)})
			n.waitReady(t, 200)
		}
		if has := strings.Contains(stacks(), "(*fleetClient)"); has != withBlock || (a.calls.Load() > 0) != withBlock {
			t.Errorf("block %v: goroutines of the fleet %v, %d calls", withBlock, has, a.calls.Load())
		}
		n.stop()
		<-n.ended
	}
	if client := newFleetClient(&Config{}, nil, nil, discardLog); client != nil || client.notReadyReason() != "" {
		t.Error("a fleet client without a block")
	}
}

func TestFleetConfig(t *testing.T) {
	t.Parallel()
	with := func(block string) string {
		return strings.Replace(strings.Replace(goodConfig, `"balancers":3`, `"balancers":3,"zone":"z"`, 1), `{"name":"n0"`, `{"fleet":`+block+`,"name":"n0"`, 1)
	}
	c, err := loadText(t, with(`{"agent":"127.0.0.1:7","catch_up_ms":5}`), nil)
	if err != nil || c.Fleet == nil || c.Fleet.Report != 250*time.Millisecond || c.Fleet.CatchUp != 5*time.Millisecond || !c.Settings.Fleet {
		t.Errorf("%+v, %v", c, err)
	}
	scoped, err := loadText(t, with(`{"agent":"127.0.0.1:7","catch_up_ms":5,"services":["search","billing"]}`), nil)
	if err != nil || !slices.Equal(scoped.Fleet.Services, []string{"billing", "search"}) {
		t.Errorf("with services: %+v, %v", scoped, err)
	}
	if c.Fleet.equal(scoped.Fleet) || c.Fleet.equal(nil) || !scoped.Fleet.equal(scoped.Fleet) || !(*FleetConfig)(nil).equal(nil) {
		t.Error("wrong result of comparing blocks")
	}
	if c, err := loadText(t, goodConfig, nil); err != nil || c.Fleet != nil || c.Settings.Fleet {
		t.Errorf("without a block: %+v, %v", c, err)
	}
	for block, want := range map[string]string{`{}`: "agent", `[]`: "array", `{"agent":"10.0.0.1:7"}`: "loopback", `{"agent":"127.0.0.1:0"}`: "loopback",
		`{"agent":7}`: "agent", `{"agent":"127.0.0.1:7","report_ms":0}`: "report_ms", `{"agent":"127.0.0.1:7","report_ms":1e9}`: "report_ms",
		`{"agent":"127.0.0.1:7","catch_up_ms":-1}`: "catch_up_ms", `{"agent":"127.0.0.1:7","services":"billing"}`: "services",
		`{"agent":"127.0.0.1:7","services":[""]}`: "services", `{"agent":"127.0.0.1:7","services":["b","a","b"]}`: "services",
		`{"agent":"127.0.0.1:7","services":["` + strings.Repeat("x", fleet.MaxServiceNameBytes+1) + `"]}`: "services"} {
		if _, err := loadText(t, with(block), nil); err == nil || !strings.Contains(err.Error(), "fleet") || !strings.Contains(err.Error(), want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", block, err)
		}
	}
	if _, err := loadText(t, strings.Replace(with(`{"agent":"127.0.0.1:7"}`), `"zone":"z"`, `"zone":""`, 1), nil); err == nil {
		t.Error("no error for a node of a fleet without a zone")
	}
}
