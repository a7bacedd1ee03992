package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// lossyRelay forwards HTTP calls to a replica. The answer to the first DELETE, over all relays that share the counter, is lost:
// the call stays open without an answer.
func lossyRelay(b *bench, to string, lose *atomic.Int64) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		req, _ := http.NewRequest(r.Method, "http://"+to+r.URL.RequestURI(), bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		b.log("relay to %s: %s %s: %d %s", to, r.Method, r.URL.RequestURI(), resp.StatusCode, strings.TrimSpace(string(text)))
		if r.Method == http.MethodDelete && resp.StatusCode == 200 && lose.Add(-1) >= 0 {
			b.log("relay to %s: this answer is lost", to)
			<-r.Context().Done()
			return
		}
		if leader := resp.Header.Get("X-Leader"); leader != "" {
			// no address of a leader is passed on: the client goes through all relays in turn
			b.log("relay: leader is %s", leader)
		}
		w.WriteHeader(resp.StatusCode)
		w.Write(text)
	}))
	return l.Addr().String(), nil
}

// tenantDelete: an operator's delete whose answer is lost must not remove a tenant of the same name that is named later.
func tenantDelete(b *bench) (bool, error) {
	file := filepath.Join(b.dir, "fleet.toml")
	if err := os.WriteFile(file, []byte("slots = 4\nttl_ms = 6000\n[cold]\nfrom = 0.39\ntime_ms = 8700\n"), 0o600); err != nil {
		return false, err
	}
	r, err := b.startReplicas("--fleet " + file)
	if err != nil {
		return false, err
	}
	var lose atomic.Int64
	if b.trouble {
		lose.Store(1)
	}
	direct, relayed := "", ""
	for _, addr := range r.web {
		relay, err := lossyRelay(b, addr, &lose)
		if err != nil {
			return false, err
		}
		direct += " --replica " + addr
		relayed += " --replica " + relay
	}
	spec := func(rate int) string {
		path := filepath.Join(b.dir, fmt.Sprintf("tenant-%d.toml", rate))
		os.WriteFile(path, fmt.Appendf(nil, "name = \"amouage\"\nfallback = \"any\"\n[quota]\nrate = %d\nburst = 24\n", rate), 0o600)
		return path
	}
	operator := func(name, arguments string) error {
		cmd := exec.Command("/bin/sh", "-c", "exec bin/discovery tenants "+arguments)
		cmd.Dir = b.root
		out, err := cmd.CombinedOutput()
		b.log("operator %s: tenants %s: %s %v", name, arguments, strings.TrimSpace(string(out)), err)
		return err
	}
	tenant := func() string {
		i := r.leader()
		if i < 0 {
			return "no leader"
		}
		status, text, err := call("GET", r.web[i], "/fleet/v1/tenants/amouage", nil, time.Second)
		return fmt.Sprint(status, " ", text, " ", err)
	}
	settled := func(rate int) bool {
		return until(10*time.Second, func() bool {
			t := tenant()
			return strings.Contains(t, `"committed"`) && strings.Contains(t, fmt.Sprintf(`"rate":%d`, rate)) && !strings.Contains(t, `"staged":{`)
		})
	}
	until(5*time.Second, func() bool { return operator("B", "apply "+spec(100)+direct) == nil })
	if !settled(100) {
		return false, fmt.Errorf("%w: the tenant is not committed: %s", errNotRun, tenant())
	}
	time.Sleep(time.Second)
	b.log("tenant: %s", tenant())
	done := make(chan error, 1)
	go func() { done <- operator("A", "delete amouage"+relayed) }()
	if !until(10*time.Second, func() bool { return strings.HasPrefix(tenant(), "404") }) {
		return false, fmt.Errorf("%w: the tenant is not removed: %s", errNotRun, tenant())
	}
	b.log("tenant: %s", tenant())
	time.Sleep(time.Second) // the followers have heard of the removal too
	if operator("B", "apply "+spec(200)+direct) != nil || !settled(200) {
		return false, fmt.Errorf("%w: the tenant is not named again: %s", errNotRun, tenant())
	}
	b.log("tenant: %s", tenant())
	<-done
	time.Sleep(3 * time.Second)
	last := tenant()
	b.log("tenant at the end: %s", last)
	return !strings.Contains(last, `"rate":200`) || strings.Contains(last, `"removing":true`), nil
}
