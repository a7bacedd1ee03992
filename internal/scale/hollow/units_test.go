package hollow

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/policy"
)

// TestSocketsCountByCall checks that traffic is counted by kind of call, also if one connection carries calls of several kinds, that
// report bodies are counted completely, and that an answer with an error status counts as a failed call.
func TestSocketsCountByCall(t *testing.T) {
	t.Parallel()
	const bodySize, answerSize = 20_000, 9_000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/registry/v1/renew" {
			http.Error(w, "not the leader", http.StatusServiceUnavailable)
			return
		}
		w.Write(make([]byte, answerSize))
	}))
	defer server.Close()
	s := newSockets()
	connections := s.connections()
	client := newClient(connections, 1)
	post := func(path string, size int) {
		response, err := client.Post(server.URL+path, "application/json", bytes.NewReader(make([]byte, size)))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	get := func(path string) {
		response, err := client.Get(server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	for range 3 {
		get("/fleet/v1/intent?since=1")
		post("/fleet/v1/report", bodySize)
	}
	get("/registry/instances")
	post("/registry/v1/renew", 1)
	counted := s.traffic()
	for call, want := range map[Call]struct{ calls, in, out uint64 }{
		CallIntent: {3, 3 * answerSize, 3 * 40}, CallReport: {3, 3 * answerSize, 3 * bodySize}, CallList: {1, answerSize, 40}, CallRegister: {1, 40, 40},
	} {
		c := counted[call]
		if c.Calls != want.calls || c.BytesIn < want.in || c.BytesIn > want.in+want.calls*600 || c.BytesOut < want.out || c.BytesOut > want.out+want.calls*600 {
			t.Errorf("%s: %+v, want %+v plus headers", call, c, want)
		}
	}
	if got := s.reportBytes.Load(); got != 3*bodySize {
		t.Errorf("bytes of report bodies: %d", got)
	}
	if got := s.failures.Load(); got != 1 {
		t.Errorf("failures: %d", got)
	}
	connections.close()
	if _, err := client.Get(server.URL + "/registry/instances"); err == nil {
		t.Error("a call succeeds after the connections were closed")
	}
	if got := s.failures.Load(); got != 1 {
		t.Errorf("failures after the connections were closed: %d", got)
	}
}

// TestScope checks that a node's scope depends only on the seed and the node's number, and that it is valid in a report.
func TestScope(t *testing.T) {
	t.Parallel()
	cfg := &Config{Services: 550, PerNode: 12, Seed: 3}
	first := scope(cfg, 7)
	if err := fleet.ValidScope(first); err != nil || len(first) != 12 || !slices.Equal(first, scope(cfg, 7)) || slices.Equal(first, scope(cfg, 8)) {
		t.Errorf("scope: %v, %v", first, err)
	}
	if got := scope(&Config{Services: 550}, 7); got != nil {
		t.Errorf("without a scope: %v", got)
	}
}

// TestServerPlaces checks that the servers of every service are spread over all zones.
func TestServerPlaces(t *testing.T) {
	t.Parallel()
	cfg := &Config{Services: 4, Zones: []string{"a", "b", "c", "d"}}
	seen := map[string]bool{}
	for number := range 16 {
		service, zone := cfg.serverPlace(number)
		seen[service+zone] = true
	}
	if len(seen) != 16 {
		t.Errorf("places: %v", seen)
	}
}

// TestTrafficModel checks that requests arrive at the configured rate, that they are spread over the tenants with load, and that each
// of them ends.
func TestTrafficModel(t *testing.T) {
	t.Parallel()
	const rate, seconds, tenants = 50, 20, 3
	m := newModule(&Config{Nodes: 1, Zones: []string{"z"}, RequestsPerS: rate, Seed: 1}, 0, 1)
	var servers []policy.Server
	for i := range 5 {
		servers = append(servers, policy.Server{ID: policy.ServerID(i + 1), Name: ServerName(i), Zone: "z", Weight: 1})
	}
	m.deliver(policy.EndpointUpdate{Kind: policy.EndpointsComplete, Version: 1, Servers: servers})
	for i := range tenants {
		name := fmt.Sprint("t", i)
		m.deliver(policy.TenantUpdate{Name: name, UID: 1, Revision: 1, Committed: &policy.TenantRules{Generation: 1, Rate: 1e6, Burst: 1e6}})
		m.active = append(m.active, name)
	}
	m.deliver(policy.FleetSynced{Revision: 1})
	m.startedAt = m.startedAt.Add(-seconds * time.Second)
	window := m.Window(m.advance())
	arrived, attempts := 0, 0
	for _, tenant := range window.Tenants {
		arrived += tenant.Arrived
		if tenant.Arrived < rate*seconds/tenants/2 || tenant.Admitted != tenant.Arrived {
			t.Errorf("tenant: %+v", tenant)
		}
	}
	for _, zone := range window.Zones {
		attempts += zone.Attempts
		if zone.Lost != 0 || zone.Answered != zone.Attempts {
			t.Errorf("zone: %+v", zone)
		}
	}
	if want := rate * seconds; arrived < want/2 || arrived > want*2 || attempts < arrived-len(m.open) || len(m.open) > rate {
		t.Errorf("%d requests arrived, want about %d; %d attempts, %d open requests", arrived, want, attempts, len(m.open))
	}
}

// TestOneLine checks that an error becomes one line of bounded length.
func TestOneLine(t *testing.T) {
	t.Parallel()
	got := oneLine("a\nb\x00" + strings.Repeat("c", 2*maxErrorBytes))
	if len(got) != maxErrorBytes || !strings.HasPrefix(got, "a b c") {
		t.Errorf("%q", got)
	}
}
