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

// agent is a stub for the agent of a node's machine.
type agent struct {
	*httptest.Server
	mu      sync.Mutex
	intent  fleet.Intent
	answer  fleet.ReportAnswer
	reports []fleet.Report
	bad     http.HandlerFunc // answers in its place, unless nil
	calls   atomic.Int64
}

func newAgent(t *testing.T) *agent {
	a := &agent{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Add(1)
		a.mu.Lock()
		bad := a.bad
		a.mu.Unlock()
		body, _ := io.ReadAll(r.Body) // read first: else the end of the connection is not seen
		if bad != nil {
			bad(w, r)
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

// says changes what the agent says, under its lock.
func (a *agent) says(change func()) { a.mu.Lock(); defer a.mu.Unlock(); change() }

// reported waits for a report of which ok holds.
func (a *agent) reported(t *testing.T, what string, ok func(fleet.Report) bool) fleet.Report {
	t.Helper()
	for end := time.Now().Add(patient); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		n := len(a.reports)
		var last fleet.Report
		if n > 0 {
			last = a.reports[n-1]
		}
		a.mu.Unlock()
		if n > 0 && ok(last) {
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

// fleetNode is a node with a fleet block.
func fleetNode(t *testing.T, a *agent, catchUp time.Duration, servers ...string) *testNode {
	c := &Config{Name: "n 0", Settings: settings(), Known: known(servers...), Fleet: &FleetConfig{
		Agent: netip.MustParseAddrPort(a.Listener.Addr().String()), Report: minReportMS * time.Millisecond, CatchUp: catchUp}}
	for i := range c.Known.entries {
		c.Known.entries[i].name = fmt.Sprint("s-", i)
	}
	c.Settings.Fleet = true
	return start(t, c)
}

func of(account, text string) string {
	return strings.Replace(text, "\r\nX-Time-Left", "\r\nX-Account: "+account+"\r\nX-Time-Left", 1)
}

// The node is ready only once it has caught up, serves the tenants that are committed and no others, says what its
// module holds, and goes on so without its agent.
func TestFleet(t *testing.T) {
	t.Parallel()
	var got atomic.Int64
	addr := backend(t, answering(func(*http.Request, []byte) string { got.Add(1); return ok("x") }))
	a := newAgent(t)
	a.says(func() {
		a.intent, a.answer = fleet.Intent{Full: true}, fleet.ReportAnswer{NotReady: true, LeaseTTLMS: 60_000}
	})
	n := fleetNode(t, a, time.Hour, addr)
	a.reported(t, "before anything is told", func(r fleet.Report) bool { return !r.Ready && r.Revision == 0 })
	n.waitReady(t, 503)

	a.says(func() {
		a.intent = fleet.Intent{Revision: 9, Full: true, CaughtUp: true, LeaseMS: 5000, Items: []fleet.Item{
			item("tenant/a", 8, tenant(3, 2, "a")), item("share/n 0", 9, fleet.QuotaLease{Epoch: 1, Slots: 3, Rates: map[string]float64{"a": 500}})}}
	})
	a.reported(t, "of the tenant", func(r fleet.Report) bool { return r.Revision == 9 && !r.Ready })
	n.waitReady(t, 503) // the leader has not said yet that it has caught up
	a.says(func() { a.answer = fleet.ReportAnswer{LeaseTTLMS: 6000, WantedKeys: []string{"tenant/a", "=*"}} })
	n.waitReady(t, 200)
	r := a.reported(t, "with what was wanted", func(r fleet.Report) bool {
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
	if resp, _ := n.ask(t, of("a", message("read", "9.5", ""))); resp.StatusCode != 200 {
		t.Errorf("a committed tenant: status %d", resp.StatusCode)
	}
	before := got.Load()
	if resp, _ := n.ask(t, of("b", message("read", "9.5", ""))); resp.StatusCode != 503 || got.Load() != before {
		t.Errorf("a tenant without a generation: status %d, %d attempts", resp.StatusCode, got.Load()-before)
	}
	served := false
	for end := time.Now().Add(patient); !served && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.says(func() {
			for _, r := range a.reports {
				for _, w := range r.Zones {
					served = served || w.Zone == "z" && w.Answered > 0 && w.Listed == 1
				}
			}
		})
	}
	if !served {
		t.Error("no report of the answer")
	}

	a.says(func() { a.answer = fleet.ReportAnswer{NotReady: true, LeaseTTLMS: 500} })
	n.waitReady(t, 503)
	a.says(func() { a.bad = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) } })
	n.waitReady(t, 200) // its word has lapsed
	if resp, _ := n.ask(t, of("a", message("read", "9.5", ""))); resp.StatusCode != 200 {
		t.Errorf("without an agent: status %d", resp.StatusCode)
	}
	a.says(func() { a.bad, a.answer = nil, fleet.ReportAnswer{} })
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

// An agent that says nothing usable changes nothing: it is counted, logged at a bounded rate, and the node serves on.
func TestFleetAgentIsBad(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	good, _ := json.Marshal(fleet.Intent{Revision: 9, Full: true, CaughtUp: true, Items: []fleet.Item{item("tenant/b", 9, tenant(4, 1, "b"))}})
	text := func(s string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, s) }
	}
	for name, bad := range map[string]http.HandlerFunc{
		"silent":     func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"malformed":  text("{"),
		"empty":      text(""),
		"cut short":  text(string(good[:len(good)-2])),
		"other type": text(`{"revision":"x","ttl_ms":"x"}`),
		"negative":   text(`{"revision":9,"full":true,"age_ms":-1,"ttl_ms":-1}`),
		"older":      text(`{"revision":7,"full":true,"ttl_ms":-1}`),
		"bad item":   text(`{"revision":9,"full":true,"items":[{"key":"zone/z","rev":9,"body":{"phase":"left","share":7}}],"ttl_ms":-1}`),
		"oversized":  func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, fleet.MaxIntentBytes+1)) },
		"error":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); w.Write(good) },
		"redirect":   func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, other.URL, http.StatusFound) },
		"closes":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAgent(t)
			a.says(func() {
				a.intent = fleet.Intent{Revision: 8, Full: true, CaughtUp: true, Items: []fleet.Item{item("tenant/a", 8, tenant(3, 1, "a"))}}
			})
			n := fleetNode(t, a, time.Hour, addr)
			n.waitReady(t, 200)
			a.says(func() { a.bad = bad })
			calls := a.calls.Load()
			for end := time.Now().Add(patient); a.calls.Load() < calls+4 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			if a.calls.Load() < calls+4 {
				t.Error("the node does not ask again")
			}
			for account, want := range map[string]int{"a": 200, "b": 503} {
				if resp, _ := n.ask(t, of(account, message("read", "9.5", ""))); resp.StatusCode != want {
					t.Errorf("tenant %s: status %d, want %d", account, resp.StatusCode, want)
				}
			}
			n.waitReady(t, 200)
			a.says(func() {
				a.bad = nil
				a.intent.Revision, a.intent.Items[0] = 10, item("tenant/c", 10, tenant(5, 1, "c"))
			})
			a.reported(t, "after the agent is well", func(r fleet.Report) bool { return r.Revision == 10 })
		})
	}
	t.Cleanup(func() {
		if elsewhere.Load() > 0 {
			t.Error("the node called somebody whom the agent named")
		}
	})
}

// An agent that is never there keeps the node not ready for the time to catch up, and no longer.
func TestFleetCatchUpEnds(t *testing.T) {
	t.Parallel()
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	a := newAgent(t)
	a.Close()
	began := time.Now()
	n := fleetNode(t, a, 500*time.Millisecond, addr)
	n.waitReady(t, 200)
	if took := time.Since(began); took < 500*time.Millisecond {
		t.Errorf("ready after %v", took)
	}
}

// However often the agent is at fault, that is one line in a while; each fault is counted.
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

// Without the block there is nothing of the fleet: no goroutine, and no call.
func TestNoFleetUnasked(t *testing.T) { // not parallel: it looks at the complete process
	addr := backend(t, answering(func(*http.Request, []byte) string { return ok("x") }))
	running := func() string {
		buf := make([]byte, 1<<20)
		return string(buf[:runtime.Stack(buf, true)])
	}
	for _, on := range []bool{false, true} {
		a := newAgent(t)
		var n *testNode
		if on {
			n = fleetNode(t, a, time.Hour, addr)
			a.reported(t, "at all", func(fleet.Report) bool { return true })
		} else {
			n = start(t, &Config{Settings: settings(), Known: known(addr)})
			n.waitReady(t, 200)
		}
		if has := strings.Contains(running(), "(*fleetClient)"); has != on || (a.calls.Load() > 0) != on {
			t.Errorf("block %v: goroutines of the fleet %v, %d calls", on, has, a.calls.Load())
		}
		n.stop()
		<-n.ended
	}
	if link := newFleetClient(&Config{}, nil, nil, quiet); link != nil || link.notReadyReason() != "" {
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
		t.Error("blocks are compared wrongly")
	}
	if c, err := loadText(t, goodConfig, nil); err != nil || c.Fleet != nil || c.Settings.Fleet {
		t.Errorf("without a block: %+v, %v", c, err)
	}
	for block, says := range map[string]string{`{}`: "agent", `[]`: "array", `{"agent":"10.0.0.1:7"}`: "loopback", `{"agent":"127.0.0.1:0"}`: "loopback",
		`{"agent":7}`: "agent", `{"agent":"127.0.0.1:7","report_ms":0}`: "report_ms", `{"agent":"127.0.0.1:7","report_ms":1e9}`: "report_ms",
		`{"agent":"127.0.0.1:7","catch_up_ms":-1}`: "catch_up_ms", `{"agent":"127.0.0.1:7","services":"billing"}`: "services",
		`{"agent":"127.0.0.1:7","services":[""]}`: "services", `{"agent":"127.0.0.1:7","services":["b","a","b"]}`: "services",
		`{"agent":"127.0.0.1:7","services":["` + strings.Repeat("x", fleet.MaxServiceNameBytes+1) + `"]}`: "services"} {
		if _, err := loadText(t, with(block), nil); err == nil || !strings.Contains(err.Error(), "fleet") || !strings.Contains(err.Error(), says) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", block, err)
		}
	}
	if _, err := loadText(t, strings.Replace(with(`{"agent":"127.0.0.1:7"}`), `"zone":"z"`, `"zone":""`, 1), nil); err == nil {
		t.Error("a node of a fleet without a zone is no error")
	}
}
