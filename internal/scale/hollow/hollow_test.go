package hollow_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/lab/simulated"
	"meadowsill/internal/scale/hollow"
)

const (
	nodes            = 8
	servers          = 40
	conditionTimeout = 90 * time.Second // for conditions that are met within a second or two on an idle machine
)

// TestMain also lets the test binary run as the hollow process, so that the process has the race detector whenever the test does.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == "hollow" {
		log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
		if err := hollow.Serve(context.Background(), os.Stdin, os.Stdout, log); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// run is a cluster of three replicas and a hollow process.
type run struct {
	t       *testing.T
	cluster *discoverylab.Cluster
	process *hollow.Process
}

// startRun starts the replicas and the hollow process. It fills in the members of config that depend on the run, such as the replicas'
// addresses.
func startRun(t *testing.T, config hollow.Config) *run {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "meadowsill/cmd/discovery")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	settings := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(settings, fmt.Appendf(nil, "slots = %d\n", nodes), 0o644); err != nil {
		t.Fatal(err)
	}
	cluster, err := discoverylab.Start(filepath.Join(dir, "discovery"), dir, 3, "--fleet", settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	if _, err := cluster.Leader(conditionTimeout, -1); err != nil {
		t.Fatal(err)
	}
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	config.Replicas, config.Zones, config.LeaseTTLMS, config.Seed = cluster.HTTP, []string{"za", "zb", "zc"}, 6000, 1
	config.Dir = filepath.Join(dir, "agents")
	process, err := hollow.Start(t.Context(), binary, config, slog.New(slog.NewTextHandler(t.Output(), nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &run{t, cluster, process}
}

func (r *run) usage() hollow.Usage {
	r.t.Helper()
	usage, err := r.process.Usage()
	if err != nil {
		r.t.Fatal(err)
	}
	return usage
}

func (r *run) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// await waits for a condition on the process's usage.
func (r *run) await(what string, holds func(hollow.Usage) bool) {
	r.t.Helper()
	for end := time.Now().Add(conditionTimeout); ; time.Sleep(50 * time.Millisecond) {
		usage := r.usage()
		if holds(usage) {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("condition not met in time: %s: %+v", what, usage)
		}
	}
}

// put puts the next generation of a tenant, and repeats this while the rollout of its previous generation is not complete.
func (r *run) put(name, service string, generation uint64) {
	r.t.Helper()
	body := map[string]any{"generation": generation, "spec": fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 100, Burst: 100}}}
	for end := time.Now().Add(conditionTimeout); ; time.Sleep(50 * time.Millisecond) {
		code, text, unknown, err := simulated.Call(r.cluster.HTTP, http.MethodPut, "/fleet/v1/tenants/"+name, body)
		if err == nil && (code == http.StatusOK || unknown) {
			return
		}
		if err != nil || code != http.StatusConflict || !strings.Contains(text, "a rollout is on") || time.Now().After(end) {
			r.t.Fatalf("put %s: %v, %d %s", name, err, code, text)
		}
	}
}

// inForce waits until a tenant's generation is in force, and checks that exactly want nodes have the tenant in scope and serve it.
func (r *run) inForce(tenant string, generation uint64, want int) hollow.InForce {
	r.t.Helper()
	seen, err := r.process.InForce(tenant, "", generation, conditionTimeout)
	if err != nil || seen.Nodes != want || seen.Have != want {
		r.t.Fatalf("%s at generation %d: %+v, %v; want %d nodes", tenant, generation, seen, err, want)
	}
	return seen
}

// listed reads the addresses of the hollow servers from the leader's list, keyed by id.
func (r *run) listed() map[string]string {
	r.t.Helper()
	for _, address := range r.cluster.HTTP {
		response, err := http.Get("http://" + address + "/registry/instances?consistent=1")
		if err != nil {
			r.t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue // not the leader
		}
		var list struct {
			Servers []struct{ ID, Addr string }
		}
		r.must(json.NewDecoder(response.Body).Decode(&list))
		addresses := map[string]string{}
		for _, server := range list.Servers {
			addresses[server.ID] = server.Addr
		}
		return addresses
	}
	r.t.Fatal("no replica returns a consistent list")
	return nil
}

// TestHollowProcess checks all operations of a hollow process: nodes come up and hold sessions, servers hold leases and tenants come
// into force on every node; nodes can be killed, leave and start again; servers can be replaced; and Close ends the process.
func TestHollowProcess(t *testing.T) {
	t.Parallel()
	r := startRun(t, hollow.Config{FirstNode: 100, Nodes: nodes, FirstServer: 1000, Servers: servers, Services: 4, ActiveTenants: 2, RequestsPerS: 20})
	r.await("ready", func(u hollow.Usage) bool { return u.Ready == nodes && u.Registered == servers })
	start := time.Now()
	for i := range 5 {
		r.put(fmt.Sprint("tenant-", i), "", 0)
	}
	for i := range 5 {
		seen := r.inForce(fmt.Sprint("tenant-", i), 1, nodes)
		if seen.Last.Before(start) || len(seen.Times) != nodes || !strings.HasPrefix(seen.Worst, "h001") {
			t.Errorf("in force: %+v", seen)
		}
	}
	r.put("tenant-0", "", 1)
	r.inForce("tenant-0", 2, nodes)
	r.inForce("nobody", 0, nodes)
	if seen, err := r.process.InForce("tenant-1", "", 7, 10*time.Millisecond); err != nil || seen.Have != 0 || seen.Nodes != nodes {
		t.Errorf("a generation that doesn't exist: %+v, %v", seen, err)
	}

	r.must(r.process.Kill(102, 2))
	r.await("two nodes killed", func(u hollow.Usage) bool { return u.Ready == nodes-2 })
	r.must(r.process.Start(100, nodes))
	r.await("back", func(u hollow.Usage) bool { return u.Ready == nodes })
	r.inForce("tenant-0", 2, nodes)
	r.must(r.process.Leave(104, 1))
	r.put("tenant-0", "", 2)
	r.inForce("tenant-0", 3, nodes-1)
	r.must(r.process.Start(104, 1))
	r.await("back again", func(u hollow.Usage) bool { return u.Ready == nodes })
	r.inForce("tenant-0", 3, nodes)

	before := r.listed()
	r.must(r.process.Replace(1003, 4))
	after := r.listed()
	for i := range servers {
		id := hollow.ServerName(1000 + i)
		if replaced := i >= 3 && i < 7; replaced == (before[id] == after[id]) {
			t.Errorf("%s: %q, then %q; replaced: %v", id, before[id], after[id], replaced)
		}
	}
	r.await("every server registered", func(u hollow.Usage) bool { return u.Registered == servers && u.Behind == 0 })
	r.checkUsage()
	r.checkRejections()

	pid := r.process.PID()
	if err := r.process.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
	if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("process %d still exists after Close: %v", pid, err)
	}
	if _, err := r.process.Usage(); err == nil {
		t.Error("Usage succeeds after the process has ended")
	}
}

// TestScopedNodes checks that nodes with a scope hold only the tenants of their services, and that InForce asks only nodes that have
// the tenant in their scope.
func TestScopedNodes(t *testing.T) {
	t.Parallel()
	r := startRun(t, hollow.Config{Nodes: nodes, Servers: servers, Services: 4, PerNode: 2, ActiveTenants: 2, RequestsPerS: 20})
	r.await("ready", func(u hollow.Usage) bool { return u.Ready == nodes && u.Registered == servers })
	leases := r.usage().Items // each node holds its own lease
	want := 0
	for i := range 4 {
		name, service := fmt.Sprint("tenant-", i), hollow.ServiceName(i)
		r.put(name, service, 0)
		seen, err := r.process.InForce(name, service, 1, conditionTimeout)
		if err != nil || seen.Have != seen.Nodes || seen.Nodes == nodes {
			t.Errorf("%s of %s: %+v, %v", name, service, seen, err)
		}
		want += seen.Nodes
	}
	if want != 2*nodes {
		t.Errorf("%d pairs of a node and a tenant in its scope; want %d", want, 2*nodes)
	}
	r.await("each node holds the tenants of its scope", func(u hollow.Usage) bool { return u.Items == leases+want && u.Ready == nodes })
	if err := r.process.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// checkUsage checks that every counter has a plausible value.
func (r *run) checkUsage() {
	r.t.Helper()
	u := r.usage()
	for _, call := range []hollow.Call{hollow.CallIntent, hollow.CallList, hollow.CallReport, hollow.CallRegister} {
		if c := u.Calls[call]; c.Calls == 0 || c.BytesIn < 50*c.Calls || c.BytesOut < 50*c.Calls {
			r.t.Errorf("%s: %+v", call, c)
		}
	}
	reports := u.Calls[hollow.CallReport]
	if u.ReportBytes == 0 || u.ReportBytes >= reports.BytesOut || u.CPU <= 0 || u.HeapBytes == 0 || u.RSSBytes < u.HeapBytes || u.Items < 5*nodes ||
		u.Goroutines < 8*nodes || u.Descriptors < nodes {
		r.t.Errorf("usage: %+v", u)
	}
}

// checkRejections checks that a request that can't be carried out gets an error of one line and changes nothing.
func (r *run) checkRejections() {
	r.t.Helper()
	for what, err := range map[string]error{
		"a node of another process": r.process.Kill(99, 2),
		"too many nodes":            r.process.Leave(100, nodes+1),
		"no nodes":                  r.process.Start(100, 0),
		"a server out of range":     r.process.Replace(1000+servers, 1),
	} {
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "count") {
			r.t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := r.process.InForce("", "", 1, 0); err == nil {
		r.t.Error("InForce accepts a request without a tenant")
	}
	if u := r.usage(); u.Ready != nodes {
		r.t.Errorf("after rejected requests: %+v", u)
	}
}

// TestBadConfig checks that a bad Config gets a single reply with an error of one line that names the key, and that Serve then
// returns an error.
func TestBadConfig(t *testing.T) {
	t.Parallel()
	good := `{"replicas":["127.0.0.1:1"],"nodes":1,"zones":["z"],"dir":"/nowhere"`
	for line, key := range map[string]string{
		"":                              "missing",
		"{":                             "config",
		`{"colour":1}`:                  "colour",
		`{"nodes":1}`:                   "replicas",
		good + `,"replicas":["x"]}`:     "replicas",
		good + `,"zones":[]}`:           "zones",
		good + `,"nodes":0}`:            "nodes",
		good + `,"nodes":-1}`:           "nodes",
		good + `,"nodes":1000000}`:      "nodes",
		good + `,"dir":""}`:             "dir",
		good + `,"servers":1}`:          "lease_ttl_ms",
		good + `,"requests_per_s":-1}`:  "requests_per_s",
		good + `,"per_node":3}`:         "per_node",
		good + `,"active_tenants":-1}`:  "active_tenants",
		good + `,"first_server":99e99}`: "first_server",
	} {
		var out bytes.Buffer
		err := hollow.Serve(t.Context(), strings.NewReader(line+"\n"), &out, slog.New(slog.DiscardHandler))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v, want an error on %s", line, err, key)
		}
		var reply hollow.Reply
		if line != "" && (json.Unmarshal(out.Bytes(), &reply) != nil || !strings.Contains(reply.Err, key) || strings.Count(out.String(), "\n") != 1) {
			t.Errorf("%s: replies %q", line, out.String())
		}
	}
}

// TestBadRequests checks that a bad request gets an error, that the next request is carried out nevertheless, and that the end of the
// input ends Serve.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	config := hollow.Config{Replicas: []string{"127.0.0.1:1"}, Nodes: 1, Zones: []string{"z"}, Dir: t.TempDir()}
	first, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	in := io.MultiReader(bytes.NewReader(first), strings.NewReader("\n{\n{\"op\":\"dance\"}\n{\"op\":\"usage\",\"x\":1}\n{\"op\":\"kill\"}\n{\"op\":\"usage\"}\n"))
	var out bytes.Buffer
	if err := hollow.Serve(t.Context(), in, &out, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	var errs []bool
	for decoder := json.NewDecoder(&out); ; {
		var reply hollow.Reply
		if err := decoder.Decode(&reply); err != nil {
			break
		}
		errs = append(errs, reply.Err != "")
	}
	if want := []bool{false, true, true, true, true, false}; !slices.Equal(errs, want) {
		t.Errorf("errors %v, want %v", errs, want)
	}
}
