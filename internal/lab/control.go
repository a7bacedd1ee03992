package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	messages "meadowsill/internal/fleet"
	"meadowsill/internal/invariants"
	"meadowsill/internal/lab/stub"
)

// writeFleetFile writes the control plane's settings of this run (docs/fleet.md) to a file in the run's directory and
// returns its path.
func (f *fleet) writeFleetFile() (string, error) {
	var b strings.Builder
	set := map[string]any{"slots": f.s.Fleet.Nodes, "ttl_ms": f.s.Fleet.TTLMS,
		"cold": map[string]any{"from": f.setting("invariants", "cold_from"), "time_ms": f.setting("invariants", "cold_ns") / 1e6}}
	if len(f.s.Fleet.Regions) > 0 {
		set["regions"] = f.s.Fleet.Regions
	}
	if err := toml.NewEncoder(&b).Encode(set); err != nil {
		return "", err
	}
	path := filepath.Join(f.opt.Dir, "fleet.toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// watchControlPlane records the control plane's intent and its drift verdicts until ctx ends.
func (f *fleet) watchControlPlane(ctx context.Context) {
	f.wg.Go(func() { f.watchIntent(ctx) })
	f.wg.Go(func() { f.watchDrift(ctx) })
}

// getJSON requests path from replica r and decodes the JSON answer into v. The request times out after 5 s.
func (f *fleet) getJSON(ctx context.Context, r int, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.cluster.HTTP[r]+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, messages.MaxIntentBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", path, strings.TrimSpace(string(raw)))
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// watchIntent records every change of the control plane's intent with the time at which it was seen, until ctx ends. After an
// error, or an answer with an older revision, it asks the next replica.
func (f *fleet) watchIntent(ctx context.Context) {
	since := uint64(0)
	seen := map[string]uint64{}
	for r := 0; ctx.Err() == nil; {
		var intent messages.Intent
		if err := f.getJSON(ctx, r, fmt.Sprintf("/fleet/v1/intent?since=%d&timeout_ms=1000", since), &intent); err != nil || intent.Revision < since {
			r = (r + 1) % len(f.cluster.HTTP)
			stub.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		now := f.recorder.Since()
		present := map[string]bool{}
		for _, it := range intent.Items {
			present[it.Key] = true
			if seen[it.Key] == it.Revision {
				continue
			}
			seen[it.Key] = it.Revision
			f.recordIntent(it, now)
		}
		for key := range seen { // a complete list leaves out removed items
			if intent.Full && !present[key] {
				delete(seen, key)
				f.recordIntent(messages.Item{Key: key, Revision: intent.Revision, Removed: true}, now)
			}
		}
		since = intent.Revision
	}
}

// recordIntent records one change of an intent item, seen at now: a zone's directive, a tenant, or the removal of any item.
func (f *fleet) recordIntent(it messages.Item, now time.Duration) {
	t := invariants.IntentChange{Key: it.Key, Rev: it.Revision, At: now, Removed: it.Removed}
	switch {
	case strings.HasPrefix(it.Key, "zone/") && !it.Removed:
		var d messages.Directive
		if err := json.Unmarshal(it.Body, &d); err != nil {
			f.opt.Log.Error("directive", "key", it.Key, "err", err)
			return
		}
		t.Phase = d.Phase
		t.Share = d.Share
		t.Budget = d.Budget
		for _, name := range d.TrialNodes {
			t.Trial = append(t.Trial, f.nodeIndex(name))
		}
	case strings.HasPrefix(it.Key, "tenant/") && !it.Removed:
		var d messages.Tenant
		if err := json.Unmarshal(it.Body, &d); err != nil {
			f.opt.Log.Error("tenant", "key", it.Key, "err", err)
			return
		}
		if t.Committed, t.Removing = d.Committed != nil, d.Removing; d.Committed != nil {
			t.Rate, t.Burst = d.Committed.Spec.Quota.Rate, d.Committed.Spec.Quota.Burst
		}
	case it.Removed:
	default:
		return // quota shares of nodes are not recorded
	}
	f.opt.Log.Info("intent", "key", t.Key, "revision", t.Rev, "gone", t.Removed, "phase", t.Phase, "share", t.Share, "budget", t.Budget, "at_s", now.Seconds())
	f.mu.Lock()
	f.records.Fleet.IntentChanges = append(f.records.Fleet.IntentChanges, t)
	f.mu.Unlock()
}

// watchDrift polls the leader's drift verdicts every 200 ms and records each change of a node's state, until ctx ends. After an
// error it asks the next replica.
func (f *fleet) watchDrift(ctx context.Context) {
	last := map[string]string{}
	for r := 0; ctx.Err() == nil; stub.Sleep(ctx, 200*time.Millisecond) {
		var d struct {
			Verdicts []struct {
				Node  string          `json:"node"`
				State string          `json:"state"`
				Items json.RawMessage `json:"items"`
			} `json:"verdicts"`
		}
		if err := f.getJSON(ctx, r, "/fleet/v1/drift", &d); err != nil {
			r = (r + 1) % len(f.cluster.HTTP)
			continue
		}
		now := f.recorder.Since()
		for _, v := range d.Verdicts {
			if last[v.Node] == v.State {
				continue
			}
			last[v.Node] = v.State
			f.mu.Lock()
			f.records.Fleet.Verdicts = append(f.records.Fleet.Verdicts, invariants.Verdict{Node: f.nodeIndex(v.Node), At: now, State: v.State,
				What: string(v.Items)})
			f.mu.Unlock()
		}
	}
}

// tenant carries out a "tenant" event (a PUT based on the tenant's current generation) or a "tenant-delete" event. It retries
// for up to 10 s.
func (f *fleet) tenant(e Event) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		var lead int
		if lead, err = f.cluster.Leader(5*time.Second, -1); err != nil {
			continue
		}
		var answer string
		if answer, err = f.putTenant(ctx, lead, e); err == nil {
			return answer, nil
		}
		stub.Sleep(ctx, 100*time.Millisecond)
	}
	return "", err
}

func (f *fleet) putTenant(ctx context.Context, lead int, e Event) (string, error) {
	var current messages.Tenant
	path := "/fleet/v1/tenants/" + e.Tenant
	if err := f.getJSON(ctx, lead, path, &current); err != nil && !strings.Contains(err.Error(), messages.ErrNotFound.Error()) {
		return "", err
	}
	generation := uint64(0)
	if current.Committed != nil {
		generation = current.Committed.Number
	}
	method, body := http.MethodDelete, ""
	if e.Do == "tenant" {
		spec := messages.Spec{Name: e.Tenant, Quota: messages.Quota{Rate: e.Quota, Burst: e.Burst}}
		raw, err := json.Marshal(map[string]any{"generation": generation, "spec": spec})
		if err != nil {
			return "", err
		}
		method, body = http.MethodPut, string(raw)
	} else {
		path += fmt.Sprint("?generation=", generation)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.cluster.HTTP[lead]+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	if e.Do == "tenant" {
		f.wg.Go(func() { f.watchOnboarding(e.Tenant, generation+1) })
	}
	return fmt.Sprintf("%s %s: %s", method, e.Tenant, strings.TrimSpace(string(raw))), nil
}

// injectDrift changes the settings of the event's nodes and sends them SIGHUP, which causes drift that the control plane
// should detect. It returns the names of the nodes that received the signal.
func (f *fleet) injectDrift(e Event) (string, error) {
	var names []string
	for _, i := range f.s.resolveValid(e.Nodes, len(f.nodes)) {
		n := f.nodes[i]
		raw, err := os.ReadFile(n.cfg)
		if err != nil {
			return "", err
		}
		var cfg map[string]any
		if err := json.Unmarshal(raw, &cfg); err != nil {
			return "", err
		}
		cfg["settings"].(map[string]any)["invariants"].(map[string]any)["overload_factor"] = f.setting("invariants", "overload_factor") - 0.5
		if raw, err = json.Marshal(cfg); err != nil {
			return "", err
		}
		if err := os.WriteFile(n.cfg, raw, 0o644); err != nil {
			return "", err
		}
		f.mu.Lock()
		f.records.Fleet.Planted = append(f.records.Fleet.Planted, invariants.Planted{Node: i, At: f.recorder.Since()})
		f.mu.Unlock()
		if n.signal(signals["hup"]) {
			names = append(names, n.info.Name)
		}
	}
	return strings.Join(names, " "), nil
}

// watchOnboarding polls a tenant's status until every present node has applied the generation, for up to 60 s, and records
// how long each node took.
func (f *fleet) watchOnboarding(name string, generation uint64) {
	o := Onboarding{Tenant: name, Generation: generation, At: f.recorder.Since(), Applied: map[string]time.Duration{}}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	for r := 0; ctx.Err() == nil && !f.finished.Load(); stub.Sleep(ctx, 20*time.Millisecond) {
		var st struct {
			Nodes []struct {
				Node       string `json:"node"`
				Phase      string `json:"phase"`
				Generation uint64 `json:"generation"`
			} `json:"nodes"`
		}
		if err := f.getJSON(ctx, r, "/fleet/v1/tenants/"+name+"/status", &st); err != nil {
			r = (r + 1) % len(f.cluster.HTTP)
			continue
		}
		pending := 0
		for _, n := range st.Nodes {
			if n.Phase != "applied" || n.Generation != generation {
				pending++
			} else if o.Applied[n.Node] == 0 {
				o.Applied[n.Node] = f.recorder.Since() - o.At
			}
		}
		if pending == 0 && len(st.Nodes) > 0 {
			o.All = f.recorder.Since() - o.At
			break
		}
	}
	f.mu.Lock()
	f.records.Onboarded = append(f.records.Onboarded, o)
	f.mu.Unlock()
}

// completeFleetRecords adds the zones, the number of incarnations and the tenants of the settings to the fleet's records, and
// returns the records.
func (f *fleet) completeFleetRecords() *invariants.Fleet {
	r := f.records.Fleet
	for _, n := range f.nodes {
		r.NodeZone = append(r.NodeZone, n.info.Zone)
		r.Incarnations += len(n.pids)
	}
	for _, s := range f.servers {
		r.ServerZone[s.Spec.ID] = s.Spec.Zone
	}
	for _, a := range f.accounts() {
		r.Settings[a] = true
	}
	slices.SortStableFunc(r.IntentChanges, func(a, b invariants.IntentChange) int { return int(a.At - b.At) })
	return r
}
