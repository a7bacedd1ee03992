package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/registry"
)

// longWait is the timeout of a watch that must end for another reason.
const longWait = time.Minute

// putTenantOf applies the first generation of a tenant in a service.
func putTenantOf(t *testing.T, f *fsm, name, service string) applyResult {
	t.Helper()
	spec := &fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 1, Burst: 1}}
	a := f.Apply(logEntry(control.Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: name, Spec: spec}})).(applyResult)
	if a.err != nil || !a.changed {
		t.Fatalf("%s of %q: %+v", name, service, a)
	}
	return a
}

// applyShare applies a division that gives a node a share.
func applyShare(t *testing.T, f *fsm, node string) applyResult {
	t.Helper()
	s := f.fleet
	d := &tenants.Division{Slots: 8, Grants: []tenants.Grant{{Run: tenants.Run{Node: node, Incarnation: 1}}}}
	a := f.Apply(logEntry(control.Command{Tenants: &tenants.Command{Operation: tenants.Divide, IfRevision: s.Tenants.DividedRevision, Epoch: s.Session.Epoch, Division: d}})).(applyResult)
	if a.err != nil || !a.changed {
		t.Fatalf("a share for %s: %+v", node, a)
	}
	return a
}

// TestWakeupsByScope checks that a change wakes only the watchers of its scope. It counts wake-ups and does not depend on time.
func TestWakeupsByScope(t *testing.T) {
	f := newFSM(10)
	scopes := map[string][]string{"n1": {"x"}, "n2": {"y"}, "n3": {"x", "y"}, "n4": nil}
	waiting := map[string]*watcher{}
	for node, services := range scopes {
		waiting[node] = f.watchers.add(control.ReaderScopes(node, services...))
	}
	woken := func() string {
		var names []string
		for _, node := range []string{"n1", "n2", "n3", "n4"} {
			select {
			case <-waiting[node].woken:
				names = append(names, node)
				waiting[node] = f.watchers.add(control.ReaderScopes(node, scopes[node]...))
			default:
			}
		}
		return strings.Join(names, " ")
	}
	total := 0
	for _, c := range []struct {
		name   string
		want   string
		change func()
	}{
		{"a tenant of x", "n1 n3 n4", func() { putTenantOf(t, f, "a", "x") }},
		{"a tenant of y", "n2 n3 n4", func() { putTenantOf(t, f, "b", "y") }},
		{"a tenant of z", "n4", func() { putTenantOf(t, f, "c", "z") }},
		{"a tenant of every service", "n1 n2 n3 n4", func() { putTenantOf(t, f, "d", "") }},
		{"a share of n2", "n2", func() { applyShare(t, f, "n2") }},
		{"a share of another node", "", func() { applyShare(t, f, "n9") }},
	} {
		c.change()
		got := woken()
		total += len(strings.Fields(got))
		if got != c.want || f.watchers.wakeups != total {
			t.Errorf("%s: woken %q, want %q; %d wake-ups, want %d", c.name, got, c.want, f.watchers.wakeups, total)
		}
	}
	f.watchers.wakeAll()
	if got := woken(); got != "n1 n2 n3 n4" || f.watchers.wakeups != total+4 {
		t.Errorf("all: %q, %d wake-ups", got, f.watchers.wakeups)
	}
	for _, w := range waiting {
		f.watchers.remove(w)
		f.watchers.remove(w)
	}
	if n := len(f.watchers.byScope); n != 0 {
		t.Errorf("%d scopes still have watchers", n)
	}
}

// scopedWatch is a watch of one service.
func scopedWatch(since uint64, wait time.Duration, service string) intentWatch {
	return intentWatch{WatchQuery: registry.WatchQuery{IsWatch: true, Since: since, Timeout: wait}, node: "n", services: []string{service}}
}

// TestAwaitIntentByScope checks that a watch without a change in its scope waits until its end and then gets no item and the
// newest revision, and that a watch with a change in its scope is answered at once.
func TestAwaitIntentByScope(t *testing.T) {
	f := newFSM(10)
	since := putTenantOf(t, f, "a", "x").revision
	ctx, cancel := context.WithCancel(t.Context())
	var got *control.View
	done := make(chan struct{})
	go func() {
		defer close(done)
		got = f.awaitIntent(ctx, scopedWatch(since, longWait, "x"))
	}()
	watched := func() int {
		f.watchers.mu.Lock()
		defer f.watchers.mu.Unlock()
		return len(f.watchers.byScope)
	}
	for watched() == 0 {
		time.Sleep(time.Millisecond)
	}
	newest := putTenantOf(t, f, "b", "y").revision
	if f.watchers.wakeups != 0 {
		t.Errorf("%d wake-ups after a change outside the scope", f.watchers.wakeups)
	}
	cancel()
	<-done
	if in := got.Read(since, "n", "x"); in.Revision != newest || in.Full || len(in.Items) != 0 || watched() != 0 {
		t.Errorf("at the end of the wait: %+v, %d scopes with watchers", in, watched())
	}
	if in := f.awaitIntent(t.Context(), scopedWatch(since, longWait, "y")).Read(since, "n", "y"); len(in.Items) != 1 {
		t.Errorf("a change before the watch: %+v", in)
	}
	if in := f.awaitIntent(t.Context(), scopedWatch(newest+5, longWait, "y")).Read(newest+5, "n", "y"); !in.Full {
		t.Errorf("a watch from a revision that does not exist: %+v", in)
	}
	go func() { putTenantOf(t, f, "c", "y") }()
	if in := f.awaitIntent(t.Context(), scopedWatch(newest, longWait, "y")).Read(newest, "n", "y"); len(in.Items) != 1 {
		t.Errorf("a change during the watch: %+v", in)
	}
}

// TestWatchersFollowTheWriter checks that watchers of several scopes get every change of a writer, also across a restore. It
// relies on the race detector to find unsynchronized access.
func TestWatchersFollowTheWriter(t *testing.T) {
	const services, perService, watchersEach = 5, 40, 3
	f := newFSM(10)
	var all sync.WaitGroup
	for service := range services {
		for range watchersEach {
			all.Go(func() {
				held, since, name := map[string]bool{}, uint64(0), fmt.Sprint("s", service)
				for len(held) < perService {
					start := time.Now()
					in := f.awaitIntent(t.Context(), scopedWatch(since, longWait, name)).Read(since, "n", name)
					for _, it := range in.Items {
						held[it.Key] = true
					}
					since = in.Revision
					if !in.Full && len(in.Items) == 0 || time.Since(start) >= longWait {
						t.Errorf("%s: answered at revision %d after %v without a change", name, since, time.Since(start))
						return
					}
				}
			})
		}
	}
	all.Go(func() { // reads the list, which this test does not change
		for range 50 {
			if a := f.list.Load().view.Read(0, false); len(a.Servers) != 0 {
				t.Errorf("%+v", a)
			}
		}
	})
	for i := range services * perService {
		putTenantOf(t, f, fmt.Sprint("t", i), fmt.Sprint("s", i%services))
		if i == services*perService/2 {
			snap, err := f.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := f.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot)))); err != nil {
				t.Fatal(err)
			}
		}
	}
	all.Wait()
}

// TestServersAreBuiltOncePerChange checks that the list in drift's form is rebuilt only after a change of the list.
func TestServersAreBuiltOncePerChange(t *testing.T) {
	f := newFSM(10)
	register := func(id string, now int64) {
		raw, _ := json.Marshal(registry.Command{Op: registry.Register, Entry: registry.Entry{ID: id, Addr: "127.0.0.1:1"}, TTLMS: 1000, NowMS: now})
		f.Apply(&raft.Log{Data: raw})
	}
	if f.servers() != nil {
		t.Error("servers is not nil although no server has ever registered")
	}
	register("b", 1)
	first := f.servers()
	register("b", 2) // renews the lease only
	putTenantOf(t, f, "a", "")
	if second := f.servers(); &first[0] != &second[0] {
		t.Error("rebuilt although the list has not changed")
	}
	register("a", 3)
	ids := []string{}
	for _, server := range f.servers() {
		ids = append(ids, server.ID)
	}
	if d := cmp.Diff([]string{"a", "b"}, ids); d != "" {
		t.Error(d)
	}
}

// TestCompactionWakesNoWatcher checks that compaction alone wakes no watcher of the list, and that a watch from before the
// compaction gets the complete list.
func TestCompactionWakesNoWatcher(t *testing.T) {
	f := newFSM(1)
	apply := func(c registry.Command) {
		raw, _ := json.Marshal(c)
		f.Apply(&raft.Log{Data: raw})
	}
	apply(registry.Command{Op: registry.Register, Entry: registry.Entry{ID: "a", Addr: "127.0.0.1:1"}, TTLMS: 1000, NowMS: 1})
	apply(registry.Command{Op: registry.Deregister, ID: "a", NowMS: 2})
	putTenantOf(t, f, "a", "") // a new revision without a change of the list
	before := f.list.Load()
	apply(registry.Command{Op: registry.Expire, NowMS: 3})
	after := f.list.Load()
	select {
	case <-before.changed:
		t.Error("compaction woke a watcher of the list")
	default:
	}
	if after.changed != before.changed || after.view.Floor != 2 || !after.view.Read(1, true).Full {
		t.Errorf("floor %d, watch from 1: %+v", after.view.Floor, after.view.Read(1, true))
	}
}

// TestBadScopeIsRejected checks that an invalid scope is rejected with one line that names the fault.
func TestBadScopeIsRejected(t *testing.T) {
	many := make([]string, fleet.MaxScopeServices+1)
	for i := range many {
		many[i] = fmt.Sprintf("s%04d", i)
	}
	l := &leadership{replica: &Replica{fsm: newFSM(10)}}
	for _, c := range []struct {
		services []string
		want     string
	}{
		{[]string{""}, "services"},
		{[]string{"b", "a", "b"}, `"b"`},
		{[]string{strings.Repeat("x", fleet.MaxServiceNameBytes+1)}, "64 bytes"},
		{many, "at most 128"},
	} {
		answer := httptest.NewRecorder()
		query := url.Values{"since": {"0"}, "node": {"n"}, "service": c.services}
		l.intent(answer, httptest.NewRequest(http.MethodGet, "/fleet/v1/intent?"+query.Encode(), nil))
		body := answer.Body.String()
		if answer.Code != http.StatusBadRequest || !strings.Contains(body, c.want) || strings.Count(body, "\n") != 1 || len(body) > 200 {
			t.Errorf("%.80q: %d %q, want %q", c.services, answer.Code, body, c.want)
		}
	}
	watch, err := parseIntentWatch(url.Values{"since": {"7"}, "service": {"b", "a"}})
	if err != nil || watch.Since != 7 || cmp.Diff([]string{"a", "b"}, watch.services) != "" {
		t.Errorf("%+v, %v", watch, err)
	}
}
