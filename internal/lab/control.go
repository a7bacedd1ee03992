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

// fleetFile writes the control plane's settings (docs/fleet.md) of this run and gives the file's path.
func (f *fleet) fleetFile() (string, error) {
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

// watching follows what the control plane intends and thinks, for the records, until ctx ends.
func (f *fleet) watching(ctx context.Context) {
	f.wg.Go(func() { f.watchIntent(ctx) })
	f.wg.Go(func() { f.watchDrift(ctx) })
}

// query reads path from replica r into v, within 5 s.
func (f *fleet) query(ctx context.Context, r int, path string, v any) error {
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

// watchIntent keeps every change of intent with the time it was seen, from whichever replica answers.
func (f *fleet) watchIntent(ctx context.Context) {
	since := uint64(0)
	seen := map[string]uint64{}
	for r := 0; ctx.Err() == nil; {
		var in messages.Intent
		if err := f.query(ctx, r, fmt.Sprintf("/fleet/v1/intent?since=%d&timeout_ms=1000", since), &in); err != nil || in.Revision < since {
			r = (r + 1) % len(f.cluster.HTTP)
			stub.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		now := f.rec.Since()
		held := map[string]bool{}
		for _, it := range in.Items {
			held[it.Key] = true
			if seen[it.Key] == it.Revision {
				continue
			}
			seen[it.Key] = it.Revision
			f.recordIntent(it, now)
		}
		for key := range seen { // a whole answer leaves out what has gone
			if in.Full && !held[key] {
				delete(seen, key)
				f.recordIntent(messages.Item{Key: key, Revision: in.Revision, Removed: true}, now)
			}
		}
		since = in.Revision
	}
}

// recordIntent records one item of intent.
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
			t.Trial = append(t.Trial, f.index(name))
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
		return // shares
	}
	f.opt.Log.Info("intent", "key", t.Key, "revision", t.Rev, "gone", t.Removed, "phase", t.Phase, "share", t.Share, "budget", t.Budget, "at_s", now.Seconds())
	f.mu.Lock()
	f.recs.Fleet.IntentChanges = append(f.recs.Fleet.IntentChanges, t)
	f.mu.Unlock()
}

// watchDrift keeps every change of a verdict, asked of the leader each 200 ms.
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
		if err := f.query(ctx, r, "/fleet/v1/drift", &d); err != nil {
			r = (r + 1) % len(f.cluster.HTTP)
			continue
		}
		now := f.rec.Since()
		for _, v := range d.Verdicts {
			if last[v.Node] == v.State {
				continue
			}
			last[v.Node] = v.State
			f.mu.Lock()
			f.recs.Fleet.Verdicts = append(f.recs.Fleet.Verdicts, invariants.Verdict{Node: f.index(v.Node), At: now, State: v.State, What: string(v.Items)})
			f.mu.Unlock()
		}
	}
}

// tenant carries out "tenant" (a PUT on the generation of the moment) or "tenant-delete".
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
	var have messages.Tenant
	path := "/fleet/v1/tenants/" + e.Tenant
	if err := f.query(ctx, lead, path, &have); err != nil && !strings.Contains(err.Error(), messages.ErrNotFound.Error()) {
		return "", err
	}
	generation := uint64(0)
	if have.Committed != nil {
		generation = have.Committed.Number
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
		f.wg.Go(func() { f.onboarding(e.Tenant, generation+1) })
	}
	return fmt.Sprintf("%s %s: %s", method, e.Tenant, strings.TrimSpace(string(raw))), nil
}

// plant gives nodes settings of their own by SIGHUP: a drift that the control plane is to find.
func (f *fleet) plant(e Event) (string, error) {
	var names []string
	for _, i := range f.s.pick(e.Nodes, len(f.nodes)) {
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
		f.recs.Fleet.Planted = append(f.recs.Fleet.Planted, invariants.Planted{Node: i, At: f.rec.Since()})
		f.mu.Unlock()
		if n.signal(signals["hup"]) {
			names = append(names, n.info.Name)
		}
	}
	return strings.Join(names, " "), nil
}

// onboarding polls a tenant's status until every present node serves by the generation, for up to 60 s.
func (f *fleet) onboarding(name string, generation uint64) {
	o := Onboarding{Tenant: name, Generation: generation, At: f.rec.Since(), Applied: map[string]time.Duration{}}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	for r := 0; ctx.Err() == nil && !f.over.Load(); stub.Sleep(ctx, 20*time.Millisecond) {
		var st struct {
			Nodes []struct {
				Node       string `json:"node"`
				Phase      string `json:"phase"`
				Generation uint64 `json:"generation"`
			} `json:"nodes"`
		}
		if err := f.query(ctx, r, "/fleet/v1/tenants/"+name+"/status", &st); err != nil {
			r = (r + 1) % len(f.cluster.HTTP)
			continue
		}
		left := 0
		for _, n := range st.Nodes {
			if n.Phase != "applied" || n.Generation != generation {
				left++
			} else if o.Applied[n.Node] == 0 {
				o.Applied[n.Node] = f.rec.Since() - o.At
			}
		}
		if left == 0 && len(st.Nodes) > 0 {
			o.All = f.rec.Since() - o.At
			break
		}
	}
	f.mu.Lock()
	f.recs.Onboarded = append(f.recs.Onboarded, o)
	f.mu.Unlock()
}

// fleetRun is what the run knows of the fleet.
func (f *fleet) fleetRun() *invariants.Fleet {
	r := f.recs.Fleet
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
