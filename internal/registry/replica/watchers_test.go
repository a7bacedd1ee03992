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

// longWait is a watch's wait that no test waits for the end of.
const longWait = time.Minute

// putTenantOf applies the first generation of a tenant of a service.
func putTenantOf(t *testing.T, f *fsm, name, service string) applyResult {
	t.Helper()
	spec := &fleet.Spec{Name: name, Service: service, Quota: fleet.Quota{Rate: 1, Burst: 1}}
	a := f.Apply(log(control.Command{Tenants: &tenants.Command{Operation: tenants.Put, Name: name, Spec: spec}})).(applyResult)
	if a.err != nil || !a.changed {
		t.Fatalf("%s of %q: %+v", name, service, a)
	}
	return a
}

// shareTo applies a division that gives a node a share.
func shareTo(t *testing.T, f *fsm, node string) applyResult {
	t.Helper()
	s := f.fleet
	d := &tenants.Division{Slots: 8, Grants: []tenants.Grant{{Run: tenants.Run{Node: node, Incarnation: 1}}}}
	a := f.Apply(log(control.Command{Tenants: &tenants.Command{Operation: tenants.Divide, IfRevision: s.Tenants.DividedRevision, Epoch: s.Session.Epoch, Division: d}})).(applyResult)
	if a.err != nil || !a.changed {
		t.Fatalf("a share to %s: %+v", node, a)
	}
	return a
}

// A change wakes the watchers of its scope and no others: counted, whatever the time.
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
		{"a share of n2", "n2", func() { shareTo(t, f, "n2") }},
		{"a share of another node", "", func() { shareTo(t, f, "n9") }},
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
		t.Errorf("%d scopes are still watched", n)
	}
}

// scopedWatch is a watch of one service.
func scopedWatch(since uint64, wait time.Duration, service string) intentWatch {
	return intentWatch{WatchQuery: registry.WatchQuery{IsWatch: true, Since: since, Timeout: wait}, node: "n", services: []string{service}}
}

// A watcher in whose scope nothing changes is answered at its wait's end, with nothing and the newest revision; one in whose
// scope something has changed is answered at once.
func TestAwaitIntentByScope(t *testing.T) {
	f := newFSM(10)
	since := putTenantOf(t, f, "a", "x").revision
	ended, end := context.WithCancel(t.Context())
	var got *control.View
	done := make(chan struct{})
	go func() {
		defer close(done)
		got = f.awaitIntent(ended, scopedWatch(since, longWait, "x"))
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
		t.Errorf("%d wake-ups by a change outside of the scope", f.watchers.wakeups)
	}
	end()
	<-done
	if in := got.Read(since, "n", "x"); in.Revision != newest || in.Full || len(in.Items) != 0 || watched() != 0 {
		t.Errorf("at the wait's end: %+v, %d scopes watched", in, watched())
	}
	if in := f.awaitIntent(t.Context(), scopedWatch(since, longWait, "y")).Read(since, "n", "y"); len(in.Items) != 1 {
		t.Errorf("a change before the watch: %+v", in)
	}
	if in := f.awaitIntent(t.Context(), scopedWatch(newest+5, longWait, "y")).Read(newest+5, "n", "y"); !in.Full {
		t.Errorf("a watch from a revision that there is not: %+v", in)
	}
	go func() { putTenantOf(t, f, "c", "y") }()
	if in := f.awaitIntent(t.Context(), scopedWatch(newest, longWait, "y")).Read(newest, "n", "y"); len(in.Items) != 1 {
		t.Errorf("a change during the watch: %+v", in)
	}
}

// Watchers of many scopes follow a writer, a restore among its changes, and miss nothing. The race detector watches.
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
						t.Errorf("%s: answered at %d, after %v, without a change", name, since, time.Since(start))
						return
					}
				}
			})
		}
	}
	all.Go(func() { // a reader of the list, which nothing here changes
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

// The list as drift compares it is made anew only where the list has changed.
func TestServersAreMadeOncePerChange(t *testing.T) {
	f := newFSM(10)
	register := func(id string, now int64) {
		raw, _ := json.Marshal(registry.Command{Op: registry.Register, Entry: registry.Entry{ID: id, Addr: "127.0.0.1:1"}, TTLMS: 1000, NowMS: now})
		f.Apply(&raft.Log{Data: raw})
	}
	if f.servers() != nil {
		t.Error("servers where nothing has ever registered")
	}
	register("b", 1)
	first := f.servers()
	register("b", 2) // a renewal
	putTenantOf(t, f, "a", "")
	if second := f.servers(); &first[0] != &second[0] {
		t.Error("made anew where the list has not changed")
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

// Compaction alone wakes no watcher of the list; a watch from before it gets the complete list.
func TestCompactionWakesNobody(t *testing.T) {
	f := newFSM(1)
	apply := func(c registry.Command) {
		raw, _ := json.Marshal(c)
		f.Apply(&raft.Log{Data: raw})
	}
	apply(registry.Command{Op: registry.Register, Entry: registry.Entry{ID: "a", Addr: "127.0.0.1:1"}, TTLMS: 1000, NowMS: 1})
	apply(registry.Command{Op: registry.Deregister, ID: "a", NowMS: 2})
	putTenantOf(t, f, "a", "") // the revision goes on without the list
	before := f.list.Load()
	apply(registry.Command{Op: registry.Expire, NowMS: 3})
	after := f.list.Load()
	select {
	case <-before.changed:
		t.Error("a watcher is woken")
	default:
	}
	if after.changed != before.changed || after.view.Floor != 2 || !after.view.Read(1, true).Full {
		t.Errorf("floor %d, watch from 1: %+v", after.view.Floor, after.view.Read(1, true))
	}
}

// A scope that can't be is rejected with one line that names what is wrong.
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
