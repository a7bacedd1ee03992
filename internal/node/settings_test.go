package node

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"meadowsill/policy"
)

// completeConfig is a configuration with every key that is not optional.
const completeConfig = `{"name":"n0","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"1","limits":{},"settings":{
	"balancers":1,"slot_no":0,"zone":"z","failure_domains":["z"],"family":"proxy","kinds":["k"],"membership_mode":"pushed",
	"over_share_worth":0.1,"tick_ns":5000000,"tier":0,"tiers":["t"],"weight_kind":"none","worth_by":"work","specifics":{},
	"client_habits":{"marks_retry":true},"report":{"fields":[],"how":"none"},
	"goal":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},
	"caps":{"cancel":true,"conn_idle_ns":15000000000,"connect_timeout_ns":200000000,"cpu_us_per_request":0,"cpu_us_per_s":8000,
		"max_attempts":6,"max_retry_after_ns":750000000,"may_duplicate":false,"most_held":20000,"multiplex":1,"peers":false,
		"probes":false,"retry_after":true},
	"charges":{"connection":0,"cross_zone":0,"handshake":0,"late_fail":0,"membership_mode":0,"moves":0,"origin":0,"peer":0,
		"probe":0,"waste":0},
	"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.4,"cold_ns":8700000000,
		"drain_grace_ns":1000000000,"overload_factor":4,"tip_after_ns":1500000000},
	"classes":[{"aim_ns":400000000,"dedup_window_ns":5000000000,"effect":"retryable","give_up_ns":1200000000,"importance":1,
		"key_scope":"all","late_worth":0.25,"name":"view","streamed":false}]}}`

// At SIGHUP the node applies only a complete configuration. The error names the key that is missing or invalid.
func TestReloadRequiresCompleteFile(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	reload := func(text string) (*Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReloadConfig(func(name string) string {
			return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.1:1"}[name]
		})
	}
	c, err := reload(completeConfig)
	if err != nil || c.Discovery.Port() != 81 || c.Settings.MaxAttempts != 6 {
		t.Fatalf("a complete file: %+v, %v", c, err)
	}
	bad := map[string]string{"": "JSON", completeConfig[:len(completeConfig)/2]: "JSON", completeConfig + "{": "after top-level", "null": "name is missing"}
	for _, key := range append(requiredKeys, requiredClassKeys...) {
		lastKey := key[strings.LastIndex(key, ".")+1:]
		if strings.Count(completeConfig, `"`+lastKey+`":`) == 1 { // the other keys occur in several objects
			bad[strings.Replace(completeConfig, `"`+lastKey+`":`, `"x":`, 1)] = key + " is missing"
		}
	}
	if len(bad) < 50 {
		t.Errorf("only %d bad files", len(bad))
	}
	for change, want := range map[[2]string]string{
		{`"max_attempts":6`, `"max_attempts":0`}:                     "max_attempts",
		{`"max_attempts":6`, `"max_attempts":"6"`}:                   "max_attempts",
		{`"max_attempts":6`, `"max_attempts":null`}:                  "max_attempts",
		{`"give_up_ns":1200000000`, `"give_up_ns":0`}:                "give_up_ns",
		{`"give_up_ns":1200000000`, `"give_up_ns":-1`}:               "give_up_ns",
		{`"retryable"`, `"sometimes"`}:                               "effect",
		{`"name":"view"`, `"name":""`}:                               "name",
		{`"connect_timeout_ns":200000000`, `"connect_timeout_ns":0`}: "connect_timeout_ns",
	} {
		bad[strings.Replace(completeConfig, change[0], change[1], 1)] = want
	}
	for text, want := range bad {
		if _, err := reload(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error about %s: %v", want, err)
		}
	}
}

// Changed settings apply to requests that arrive from then on: a class is added, another changes its idempotency and is then
// removed, and the maximum number of attempts decreases. Open requests keep the old rules.
func TestSettingsChange(t *testing.T) {
	t.Parallel()
	arrived, outcomes := make(chan string, 9), make(chan string, 9)
	addr := startServer(t, answerWith(func(r *http.Request, _ []byte) string {
		arrived <- r.Method + " " + r.URL.Path
		if <-outcomes == "ok" {
			return ok("x")
		}
		return "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	}))
	initial := settings()
	initial.Classes = initial.Classes[:1] // read, which is idempotent
	n := start(t, &Config{Settings: initial, Known: readyServers(addr, addr)})
	statuses := make(chan int)
	sendRequest := func(method, path string) {
		go func() {
			resp, _ := n.doRequest(t, fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s%d\r\nX-Time-Left: 9\r\nContent-Length: 0\r\n\r\n",
				method, path, path, ids.Add(1)))
			statuses <- resp.StatusCode
		}()
	}
	sendRequest("GET", "read")
	<-arrived
	changed := settings()
	changed.MaxAttempts = 1
	changed.Classes = []policy.Class{changed.Classes[0], {Name: "buy", PriorityWeight: 1, LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, Idempotency: policy.Idempotent}}
	changed.Classes[0].Idempotency = policy.NonIdempotent
	n.reloads <- &Config{Settings: changed, Discovery: n.discovery}
	for end := time.Now().Add(testTimeout); ; {
		sendRequest("GET", "buy")
		select {
		case status := <-statuses:
			if status != http.StatusNotFound || time.Now().After(end) {
				t.Fatalf("the new class: status %d", status)
			}
			continue
		case got := <-arrived:
			if got != "GET /buy" {
				t.Errorf("the app server got %q", got)
			}
		}
		break
	}
	outcomes <- "fail" // once for each request: the older request is retried, the newer one is not
	outcomes <- "fail"
	select {
	case got := <-arrived:
		if got != "GET /read" {
			t.Errorf("retried: %q", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("the older request is not retried")
	}
	if status := <-statuses; status == 200 {
		t.Errorf("the newer request: status %d", status)
	}
	outcomes <- "ok"
	if status := <-statuses; status != 200 {
		t.Errorf("the older request: status %d", status)
	}
	sendRequest("GET", "read")
	if status := <-statuses; status != http.StatusMethodNotAllowed {
		t.Errorf("GET for a class that is no longer idempotent: status %d", status)
	}
	changed.Classes = changed.Classes[1:]
	n.reloads <- &Config{Settings: changed, Discovery: n.discovery}
	for end := time.Now().Add(testTimeout); ; {
		sendRequest("POST", "read")
		select {
		case <-arrived:
			outcomes <- "ok"
			<-statuses
		case status := <-statuses:
			if status == http.StatusNotFound {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("a class that was removed is still served")
		}
	}
}

// A request that was read under older rules of its class than those in force is rejected. No part of it has been sent yet.
func TestRequestReadUnderOldRules(t *testing.T) {
	t.Parallel()
	c := &Config{Settings: settings()}
	l := newEventLoop(t.Context(), c, newUpstreams(c, 10, discardLog), nil, nil, discardLog)
	old := l.rules.Load()
	changed := settings()
	changed.Classes[0].Idempotency = policy.NonIdempotent
	l.changeSettings(changed)
	r := &request{arrived: policy.RequestArrived{ID: "a", Class: "read"}, class: old.classes["read"], rules: old,
		deadline: time.Now().Add(testTimeout), answer: make(chan answer, 1), context: t.Context()}
	l.startRequest(r)
	if a := <-r.answer; a.status != http.StatusServiceUnavailable || len(l.requests) > 0 {
		t.Errorf("%+v, %d open", a, len(l.requests))
	}
}
