package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowsill/internal/fleet"
)

// tenant reads a tenant from the leader, because a follower may be slightly behind.
func (f *testFleet) tenant(name string) (tn fleet.Tenant) {
	f.t.Helper()
	f.until("a read of "+name, func() bool {
		resp, err := fleetClient.Get("http://" + f.HTTP[f.leader()] + "/fleet/v1/tenants/" + name)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusNotFound || decode(resp, &tn)
	})
	return tn
}

// TestTenants tests tenants on ten nodes: a rollout, a rejection by one node, two concurrent operators, a tenant that is deleted and
// created again at once, and 200 tenants at once.
func TestTenants(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 10, "")
	f.awaitSessions()
	f.mustPut("brand", 0, 100)
	f.awaitSettled("brand", 1)
	for _, n := range f.nodes {
		f.until("the share of "+n.Name, func() bool {
			ok := false
			n.With(func() { _, ok = n.Held["share/"+n.Name]; ok = ok && len(n.Held) == 2 }) // and no other node's share
			return ok
		})
	}

	// The fleet's changes have made new revisions but have not changed the list, so a watch of the list waits until its timeout.
	start := time.Now()
	a, err := f.Read(f.leader(), "?since=0&timeout_ms=1000")
	if took := time.Since(start); err != nil || a.Version != 0 || a.Full || took < 900*time.Millisecond {
		t.Errorf("a watch of an empty list: %+v after %v, %v", a, took, err)
	}

	t.Run("refused", func(t *testing.T) {
		f.nodes[3].With(func() { f.nodes[3].Refuse = "no server matches routes[0]" })
		f.mustPut("brand", 1, 200)
		f.until("the rollback", func() bool { return f.status("brand").Phase == "settled" })
		f.nodes[3].With(func() { f.nodes[3].Refuse = "" })
		if s := f.tenant("brand"); s.Committed.Number != 1 || !strings.Contains(s.RolledBack, "n03") || !strings.Contains(s.RolledBack, "no server matches") {
			t.Errorf("after a rejection: %+v", s)
		}
	})

	t.Run("two operators", func(t *testing.T) {
		for g := uint64(1); g <= 4; g++ {
			codes := [2]int{}
			var both sync.WaitGroup
			for i := range codes {
				both.Go(func() { codes[i], _ = f.put("brand", g, float64(1000*int(g)+i)) })
			}
			both.Wait()
			if codes[0]+codes[1] != http.StatusOK+http.StatusConflict {
				t.Fatalf("generation %d: statuses %v, want one 200 and one 409", g, codes)
			}
			f.awaitSettled("brand", g+1)
			want := float64(1000 * int(g))
			if codes[1] == http.StatusOK {
				want++
			}
			if s := f.tenant("brand"); s.Committed.Spec.Quota.Rate != want {
				t.Errorf("generation %d: rate %g is not the winner's %g", g+1, s.Committed.Spec.Quota.Rate, want)
			}
		}
	})

	t.Run("another service", func(t *testing.T) {
		before := f.tenant("brand")
		spec := fleet.Spec{Name: "brand", Service: "billing", Quota: fleet.Quota{Rate: 5, Burst: 1}}
		code, text, _ := f.tryAPI(http.MethodPut, "/fleet/v1/tenants/brand", map[string]any{"generation": before.Committed.Number, "spec": spec})
		if code != http.StatusBadRequest || !strings.Contains(text, "service") || strings.Count(strings.TrimSpace(text), "\n") > 0 {
			t.Errorf("%d %s", code, text)
		}
		if d := cmp.Diff(before, f.tenant("brand")); d != "" {
			t.Errorf("the rejected proposal changed the tenant: %s", d)
		}
	})

	t.Run("delete and re-create", func(t *testing.T) {
		old := f.tenant("brand").UID
		if code, text := f.callAPI(http.MethodDelete, "/fleet/v1/tenants/brand?generation=4", nil); code != http.StatusConflict {
			t.Errorf("delete of an older generation: %d %s", code, text)
		}
		if code, text, unknown := f.tryAPI(http.MethodDelete, "/fleet/v1/tenants/brand?generation=5", nil); code != http.StatusOK && !unknown {
			t.Fatalf("delete: %d %s", code, text)
		}
		start := time.Now()
		f.until("the name to be free", func() bool { code, _ := f.put("brand", 0, 7); return code == http.StatusOK })
		t.Logf("the name was free after %v", time.Since(start))
		f.awaitSettled("brand", 1)
		if s := f.tenant("brand"); s.UID <= old || s.Committed.Spec.Quota.Rate != 7 {
			t.Errorf("created again: %+v, the old UID was %d", s, old)
		}
		for _, n := range f.nodes {
			n.With(func() {
				if n.UIDs["brand"] <= old {
					t.Errorf("%s still has the old tenant", n.Name)
				}
			})
		}
	})

	t.Run("by the command line", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "lulu.toml")
		run := func(want string, ok bool, args ...string) {
			t.Helper()
			for _, r := range f.HTTP {
				args = append(args, "--replica", r)
			}
			out, err := exec.Command(f.Bin, append([]string{"tenants"}, args...)...).CombinedOutput()
			if !strings.Contains(string(out), want) || (err == nil) != ok {
				t.Errorf("discovery tenants %s: %v, %s; want %q", args[0], err, out, want)
			}
		}
		toml := func(text string) { os.WriteFile(file, []byte(text), 0o644) }
		toml("name = \"lulu\"\n[quota]\nrate = 0\n")
		run("lulu.toml: invalid: line 3: quota.rate", false, "apply", file)
		toml("name = \"lulu\"\n[quota]\nrate = 40\nburst = 4\n")
		run("lulu: generation 1 proposed", true, "apply", file)
		f.awaitSettled("lulu", 1)
		run("n09   applied  1", true, "status", "lulu")
		run("lulu is at generation 1 already", true, "apply", file)
		f.nodes[2].With(func() { f.nodes[2].Refuse = "routes[0]: matches no server" })
		toml("name = \"lulu\"\n[quota]\nrate = 50\nburst = 4\n")
		run("lulu: generation 2 proposed", true, "apply", file)
		f.until("the rollback", func() bool { return f.status("lulu").Phase == "settled" })
		f.nodes[2].With(func() { f.nodes[2].Refuse = "" })
		run("node n02: routes[0]: matches no server", true, "status", "lulu")
		run("lulu: removal of generation 1 begun", true, "delete", "lulu")
		f.until("the removal", func() bool { return f.status("lulu").Phase == "none" })
		run("there is none", false, "delete", "lulu")
	})

	t.Run("200 at once", func(t *testing.T) {
		start := time.Now()
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				if code, text := f.put(fmt.Sprintf("many-%03d", i), 0, 10); code != http.StatusOK {
					t.Errorf("put %d: %d %s", i, code, text)
				}
			})
		}
		all.Wait()
		f.until("200 tenants on every node", func() bool {
			for _, n := range f.nodes {
				for i := range 200 {
					if n.Serves(fmt.Sprintf("many-%03d", i)) != 1 {
						return false
					}
				}
			}
			return true
		})
		t.Logf("200 tenants on 10 nodes after %v", time.Since(start))
	})
}

// TestBadBodies checks that an invalid body gets an error of one line, changes nothing and is counted.
func TestBadBodies(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, "")
	f.awaitSessions()
	member := `"node":"n99","zone":"za","incarnation":1`
	for _, row := range []struct {
		method string
		path   string
		body   string
		code   int
		want   string
	}{
		{"PUT", "/fleet/v1/tenants/a", `{"generation":0,"spec":{"name":"a","quota":{"rate":-1}}}`, 400, "spec.quota.rate"},
		{"PUT", "/fleet/v1/tenants/a", `{"generation":0,"spec":{"name":"a","quota":{"rate":1},"colour":1}}`, 400, "colour"},
		{"PUT", "/fleet/v1/tenants/a", `{"generation":0,"spec":{"name":"b","quota":{"rate":1,"burst":1}}}`, 400, "name"},
		{"PUT", "/fleet/v1/tenants/a", `{"generation":0,`, 400, "invalid"},
		{"PUT", "/fleet/v1/tenants/a", `"` + strings.Repeat("x", fleet.MaxTenantBytes) + `"`, 400, "over"},
		{"PUT", "/fleet/v1/tenants/a", `{"generation":3,"spec":{"name":"a","quota":{"rate":1,"burst":1}}}`, 409, "generation 0"},
		{"DELETE", "/fleet/v1/tenants/a?generation=x", ``, 400, "generation"},
		{"DELETE", "/fleet/v1/tenants/a?generation=1", ``, 404, "not found"},
		{"GET", "/fleet/v1/tenants/a/status", ``, 404, "not found"},
		{"GET", "/fleet/v1/intent?since=x", ``, 400, "since"},
		{"GET", "/fleet/v1/intent?since=0&service=", ``, 400, "services"},
		{"GET", "/fleet/v1/intent?since=0&service=a&service=a", ``, 400, "named twice"},
		{"POST", "/fleet/v1/report", `{` + member + `,"seq":"1"}`, 400, "seq"},
		{"POST", "/fleet/v1/report", `{"node":"","zone":"za","incarnation":1}`, 400, "node"},
		{"POST", "/fleet/v1/report", `{` + member + `,"zones":[{"zone":"za","attempts":1,"lost":2}]}`, 400, "lost"},
		{"POST", "/fleet/v1/report", `{"node":"n00","zone":"za","incarnation":1}`, 409, "older incarnation"},
		{"POST", "/fleet/v1/report", `"` + strings.Repeat("x", fleet.MaxReportBytes) + `"`, 400, "over"},
		{"POST", "/fleet/v1/report/difference", `{"head":{` + member + `,"seq":2},"base_seq":2,"digest":"0123456789abcdef"}`, 400, "base_seq"},
		{"POST", "/fleet/v1/report/difference", `{"head":{"node":""},"base_seq":2}`, 400, "base_seq"},
		{"POST", "/fleet/v1/report/difference", `"` + strings.Repeat("x", fleet.MaxReportBytes) + `"`, 400, "over"},
		{"POST", "/fleet/v1/report/difference", `{"head":{` + member + `,"seq":2},"base_seq":1,"digest":"0123456789abcdef"}`, 200, `"whole":true`},
	} {
		code, text := f.callAPI(row.method, row.path, json.RawMessage(row.body))
		if code != row.code || !strings.Contains(text, row.want) || strings.Count(strings.TrimSpace(text), "\n") > 0 {
			t.Errorf("%s %s %.60s: %d %s", row.method, row.path, row.body, code, text)
		}
	}
	if s := f.tenant("a"); s.UID != 0 {
		t.Errorf("an invalid body created tenant %+v", s)
	}
	resp, err := fleetClient.Get("http://" + f.HTTP[f.leader()] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); !strings.Contains(string(text), `fleet_bad_bodies_total{path="report"} 4`) {
		t.Errorf("metrics: %.300s", text)
	}
}
