package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
)

// leaderStub is a fake leader that serves the tenants' API from a tenants.State. It handles one request at a time.
type leaderStub struct {
	s     tenants.State
	rev   uint64
	calls []string
	lose  bool   // apply the next change and close the connection without an answer
	race  string // TOML of a tenant that another operator proposes just before the next PUT
}

func firstEpoch(string) uint64 { return 1 }

func (l *leaderStub) apply(c tenants.Command) error {
	_, err := l.s.Apply(c, firstEpoch, func() uint64 { l.rev++; return l.rev })
	return err
}

func (l *leaderStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls = append(l.calls, r.Method)
	name, status := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/fleet/v1/tenants/"), "/status")
	var err error
	var out any = map[string]int{}
	switch {
	case status:
		out = map[string]any{"phase": l.s.Phase(name), "nodes": []tenants.NodeStatus{
			{Node: "n1", Phase: "applied", Generation: 1, AgeMS: 40}, {Node: "n2", Phase: "refused", AgeMS: -1, Reason: "routes[0]: matches no server"}}}
	case r.Method == http.MethodGet:
		out, err = l.s.Tenant(name)
	case r.Method == http.MethodPut:
		if l.race != "" {
			spec, _ := tenants.ParseTOML([]byte(l.race))
			l.race = ""
			l.apply(tenants.Command{Operation: tenants.Put, Name: name, Generation: l.s.Tenants[name].Committed.Number, Spec: &spec})
		}
		raw, _ := io.ReadAll(r.Body)
		var g uint64
		var spec fleet.Spec
		if g, spec, err = tenants.ParseProposal(raw); err == nil {
			err = l.apply(tenants.Command{Operation: tenants.Put, Name: name, Generation: g, Spec: &spec})
		}
	case r.Method == http.MethodDelete:
		g, _ := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
		err = l.apply(tenants.Command{Operation: tenants.Delete, Name: name, Generation: g})
	}
	if l.lose && r.Method != http.MethodGet {
		l.lose = false
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), map[bool]int{true: 404, false: 409}[strings.HasPrefix(err.Error(), fleet.ErrNotFound.Error())])
		return
	}
	json.NewEncoder(w).Encode(out)
}

// settle runs the controller until the tenant's rollout is complete, which needs no node because none is present.
func (l *leaderStub) settle() {
	ctl := tenants.NewController(tenants.Config{Slots: 1})
	for range 3 {
		for _, c := range ctl.Step(0, &l.s, tenants.Present{Epoch: firstEpoch}) {
			l.apply(c)
		}
	}
}

const brandFile = "name = \"lulu\"\n[quota]\nrate = %d\n"

func TestTenantsCommands(t *testing.T) {
	l := &leaderStub{}
	leader := httptest.NewServer(l)
	defer leader.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leader", leader.Listener.Addr().String())
		http.Error(w, "not the leader", http.StatusServiceUnavailable)
	}))
	defer follower.Close()
	removed := httptest.NewServer(nil)
	removed.Close()

	file := filepath.Join(t.TempDir(), "lulu.toml")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := tenantsCmd()
		cmd.SetOut(&out)
		cmd.SilenceUsage, cmd.SilenceErrors = true, true
		cmd.SetArgs(append(args, "--replica", removed.Listener.Addr().String(), "--replica", follower.Listener.Addr().String()))
		err := cmd.Execute()
		return out.String(), err
	}
	apply := func(rate int) (string, error) {
		os.WriteFile(file, fmt.Appendf(nil, brandFile, rate), 0o600)
		return run("apply", file)
	}
	for _, step := range []struct {
		what string
		do   func() (string, error)
		out  string
		fail string
	}{
		{"none", func() (string, error) { return run("delete", "lulu") }, "", "tenant lulu: there is none"},
		{"new", func() (string, error) { return apply(10) }, "lulu: generation 1 proposed", ""},
		{"busy", func() (string, error) { return apply(20) }, "", "409: generation changed: tenant \"lulu\" is at generation 0: a rollout is on"},
		{"same", func() (string, error) { l.settle(); return apply(10) }, "lulu is at generation 1 already", ""},
		{"answer lost", func() (string, error) { l.lose = true; return apply(20) }, "lulu: generation 2 proposed", ""},
		{"race lost", func() (string, error) {
			l.settle()
			l.race = fmt.Sprintf(brandFile, 30)
			return apply(40)
		}, "", "409: generation changed"},
		{"status", func() (string, error) { return run("status", "lulu") }, "n2    refused  0           0       never  routes[0]: matches no server", ""},
		{"delete", func() (string, error) { l.settle(); l.lose = true; return run("delete", "lulu") }, "lulu: removal of generation 3 begun", ""},
		{"field", func() (string, error) { return apply(-1) }, "", "lulu.toml: invalid: line 3: quota.rate: must be above 0"},
		{"no file", func() (string, error) { return run("apply", file+"x") }, "", "no such file"},
	} {
		out, err := step.do()
		if step.fail == "" && (err != nil || !strings.Contains(out, step.out)) ||
			step.fail != "" && (err == nil || !strings.Contains(err.Error(), step.fail) || out != "") {
			t.Errorf("%s: got %q, %v; want %q, %q", step.what, out, err, step.out, step.fail)
		}
	}
	// A follower that is behind still has the tenant. The leader's answer counts, because an attempt that was answered "not the
	// leader" had no effect.
	behind := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			json.NewEncoder(w).Encode(fleet.Tenant{UID: 7, Committed: &fleet.Generation{Number: 3}})
			return
		}
		follower.Config.Handler.ServeHTTP(w, r)
	}))
	defer behind.Close()
	var out bytes.Buffer
	cmd := tenantsCmd()
	cmd.SetOut(&out)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetArgs([]string{"delete", "nobody", "--replica", behind.Listener.Addr().String()})
	if err := cmd.Execute(); err == nil || err.Error() != "tenant nobody: there is none" || out.Len() > 0 {
		t.Errorf("delete by a follower that is behind: %q, %v", out.String(), err)
	}
	calls := len(l.calls)
	if _, err := apply(-1); err == nil || len(l.calls) != calls {
		t.Errorf("an invalid file was sent: %v, %d calls", err, len(l.calls)-calls)
	}
	leader.Close()
	if _, err := run("status", "lulu", "--timeout", "300ms"); err == nil || !strings.Contains(err.Error(), "no replica answers for the leader") {
		t.Errorf("status without a leader: %v", err)
	}
}
