package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"meadowsill/internal/fleet"
	fleetagent "meadowsill/internal/fleet/agent"
)

// stubReplica starts a stub of a replica whose build ignores subscriptions. It has two tenants, each of its own service, at one
// revision.
func stubReplica(t *testing.T) string {
	state := fleet.Intent{Revision: 9}
	for i, service := range []string{"billing", "search"} {
		body := tenant(uint64(3+i), 1, service)
		body.Committed.Spec.Service = service
		body.Committed.Spec.Quota = fleet.Quota{Rate: 1e6, Burst: 1e6} // so large that the guaranteed part alone is never used up
		state.Items = append(state.Items, item(fleet.KeyTenant+service, uint64(5+i), body))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			io.Copy(io.Discard, r.Body)
			json.NewEncoder(w).Encode(fleet.ReportAnswer{LeaseTTLMS: 6000, Revision: state.Revision})
			return
		}
		out := state
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if out.Full = since == 0; !out.Full {
			out.Items = nil
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
		json.NewEncoder(w).Encode(out)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// restartableAgent serves a real agent at a fixed address. The agent can be restarted with another scope.
type restartableAgent struct {
	t       *testing.T
	dir     string
	replica string
	handler atomic.Pointer[http.ServeMux]
	stop    context.CancelFunc
	address netip.AddrPort
}

func newRestartableAgent(t *testing.T) *restartableAgent {
	a := &restartableAgent{t: t, dir: t.TempDir(), replica: stubReplica(t), stop: func() {}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handler := a.handler.Load(); handler != nil {
			handler.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(func() { a.stop(); server.CloseClientConnections(); server.Close() })
	a.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return a
}

func (a *restartableAgent) restart(services ...string) {
	a.t.Helper()
	a.stop()
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	agent, err := fleetagent.Start(ctx, fleetagent.Config{Node: "n 0", Zone: "z", Services: services, Replicas: []string{a.replica}, Dir: a.dir,
		Log: slog.New(slog.DiscardHandler)}, prometheus.NewRegistry())
	if err != nil {
		a.t.Fatal(err)
	}
	mux := http.NewServeMux()
	agent.Routes(mux)
	a.handler.Store(mux)
}

// A service leaves the node's scope while a request of its tenant is open (T7). The open request gets its answer, new requests
// are rejected without an attempt, and the other service is served all the time. When the service is in scope again, at the same
// revision, its tenant is served as before.
func TestServiceLeavesScopeWithOpenRequest(t *testing.T) {
	t.Parallel()
	started, finish := make(chan struct{}, 1), make(chan struct{})
	var attempts atomic.Int64
	answer := answerWith(func(r *http.Request, _ []byte) string {
		attempts.Add(1)
		if r.URL.Path == "/order" {
			started <- struct{}{}
			<-finish
		}
		return ok("x")
	})
	var servers []string // several, because the module avoids the server that is slow to answer the open request
	for range 4 {
		servers = append(servers, startServer(t, answer))
	}
	release := sync.OnceFunc(func() { close(finish) })
	t.Cleanup(release)
	a := newRestartableAgent(t)
	a.restart("billing", "search")
	c := &Config{Name: "n 0", Settings: settings(), Known: readyServers(servers...), Fleet: &FleetConfig{Agent: a.address,
		Report: minReportMS * time.Millisecond, CatchUp: time.Hour, Services: []string{"billing", "search"}}}
	for i := range c.Known.entries {
		c.Known.entries[i].name = fmt.Sprint("s-", i)
	}
	c.Settings.Fleet = true
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].LatencyObjective, c.Settings.Classes[i].Deadline = 2*time.Minute, 4*time.Minute
	}
	n := start(t, c)
	n.waitReady(t, 200)
	status := func(account string) int {
		resp, _ := n.doRequest(t, withAccount(account, requestText("read", "100", "")))
		return resp.StatusCode
	}
	awaitStatus := func(want int) {
		t.Helper()
		for limit := time.Now().Add(testTimeout); status("search") != want; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("the tenant's requests never get status %d", want)
			}
		}
	}
	if billing, search := status("billing"), status("search"); billing != 200 || search != 200 {
		t.Fatalf("both in scope: status %d, %d", billing, search)
	}
	answered := make(chan error, 1)
	go func() {
		resp, body := n.doRequest(t, withAccount("search", requestText("order", "200", "")))
		var err error
		if resp.StatusCode != 200 || body != "x" {
			err = fmt.Errorf("status %d, %q", resp.StatusCode, body)
		}
		answered <- err
	}()
	<-started

	a.restart("billing")
	awaitStatus(503)
	before := attempts.Load()
	if billing, search := status("billing"), status("search"); billing != 200 || search != 503 || attempts.Load() != before+1 {
		t.Errorf("one in scope: status %d, %d, %d attempts", billing, search, attempts.Load()-before)
	}
	a.restart("billing", "search")
	awaitStatus(200)
	select {
	case err := <-answered:
		t.Errorf("the open request did not stay open: %v", err)
	default:
	}
	release()
	if err := <-answered; err != nil {
		t.Errorf("the open request: %v", err)
	}
}
