package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/fleet/zones"
)

// rejectStale answers 503 and returns true if this replica's state may be stale. It sets X-Last-Contact-Ms in any case.
func (l *leadership) rejectStale(w http.ResponseWriter) bool {
	age, ok := l.replica.staleness()
	w.Header().Set("X-Last-Contact-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	if !ok {
		http.Error(w, "stale: no leader heard from within the bound", http.StatusServiceUnavailable)
	}
	return !ok
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// whileLeading calls f with the controller and the fleet's state while both are locked. If this replica is not the leader,
// it answers 503 and returns false.
func (l *leadership) whileLeading(w http.ResponseWriter, f func(ctl *control.Controller, s *control.State)) bool {
	if l.replica.raft.State() != raft.Leader {
		l.replica.notLeader(w)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller == nil {
		http.Error(w, errNotLeader.Error(), http.StatusServiceUnavailable)
		return false
	}
	l.replica.fsm.mu.Lock()
	defer l.replica.fsm.mu.Unlock()
	f(l.controller, l.replica.fsm.fleet)
	return true
}

// zoneStatus is one zone's directive, if there is one, and the evidence from the zone's last evaluation.
type zoneStatus struct {
	Key       string          `json:"key"`
	Rev       uint64          `json:"rev,omitempty"`
	Directive json.RawMessage `json:"directive,omitempty"`
	Finding   *zones.Evidence `json:"finding,omitempty"`
}

func (l *leadership) zones(w http.ResponseWriter, _ *http.Request) {
	var out struct {
		Revision uint64         `json:"revision"`
		Present  []fleet.Member `json:"present"`
		Zones    []zoneStatus   `json:"zones"`
	}
	ok := l.whileLeading(w, func(ctl *control.Controller, s *control.State) {
		out.Revision = s.Revision
		out.Present = s.Session.List()
		out.Zones = []zoneStatus{}
		at := map[string]int{}
		for _, it := range s.Zones.Items() {
			at[it.Key] = len(out.Zones)
			out.Zones = append(out.Zones, zoneStatus{Key: it.Key, Rev: it.Revision, Directive: it.Body})
		}
		for _, f := range ctl.ZoneEvidence() {
			i, ok := at[f.Key]
			if !ok {
				i = len(out.Zones)
				out.Zones = append(out.Zones, zoneStatus{Key: f.Key})
			}
			out.Zones[i].Finding = &f
		}
	})
	if ok {
		writeJSON(w, out)
	}
}

// tenants answers GET /fleet/v1/tenants with all tenants, keyed by name.
func (l *leadership) tenants(w http.ResponseWriter, _ *http.Request) {
	out := struct {
		Revision uint64                  `json:"revision"`
		Tenants  map[string]fleet.Tenant `json:"tenants"`
	}{Tenants: map[string]fleet.Tenant{}}
	l.replica.fsm.mu.Lock()
	out.Revision = l.replica.fsm.fleet.Revision
	for name, e := range l.replica.fsm.fleet.Tenants.Tenants {
		out.Tenants[name] = e.Tenant
	}
	l.replica.fsm.mu.Unlock()
	if !l.rejectStale(w) {
		writeJSON(w, out)
	}
}

func (l *leadership) tenant(w http.ResponseWriter, r *http.Request) {
	l.replica.fsm.mu.Lock()
	t, err := l.replica.fsm.fleet.Tenants.Tenant(r.PathValue("name"))
	l.replica.fsm.mu.Unlock()
	if l.rejectStale(w) {
		return
	}
	if err != nil {
		http.Error(w, err.Error(), statusCode(err))
		return
	}
	writeJSON(w, t)
}

// putTenant answers PUT /fleet/v1/tenants/{name}: it proposes the tenant's next generation.
func (l *leadership) putTenant(w http.ResponseWriter, r *http.Request) {
	raw, ok := l.readBody(w, r, "tenant", fleet.MaxTenantBytes)
	if !ok {
		return
	}
	name := r.PathValue("name")
	g, spec, err := tenants.ParseProposal(raw)
	if err == nil && spec.Name != name {
		err = fmt.Errorf("%w: spec.name: %.64q, the path names %.64q", fleet.ErrInvalid, spec.Name, name)
	}
	if err != nil {
		l.rejectBody(w, "tenant", err)
		return
	}
	l.applyOperatorCommand(w, r, tenants.Command{Operation: tenants.Put, Name: name, Generation: g, Spec: &spec}, g+1)
}

// deleteTenant answers DELETE /fleet/v1/tenants/{name}: it begins the tenant's removal at the generation that the operator read.
func (l *leadership) deleteTenant(w http.ResponseWriter, r *http.Request) {
	g, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		l.rejectBody(w, "tenant", fmt.Errorf("%w: generation: %.40q is not a whole number", fleet.ErrInvalid, r.URL.Query().Get("generation")))
		return
	}
	l.applyOperatorCommand(w, r, tenants.Command{Operation: tenants.Delete, Name: r.PathValue("name"), Generation: g}, g)
}

// applyOperatorCommand commits an operator's command and answers with the generation that the command concerns.
func (l *leadership) applyOperatorCommand(w http.ResponseWriter, _ *http.Request, c tenants.Command, generation uint64) {
	if l.replica.raft.State() != raft.Leader {
		l.replica.notLeader(w)
		return
	}
	a, err := l.proposeFleet(control.Command{Tenants: &c})
	switch {
	case err != nil:
		l.replica.notCommitted(w, err)
	case a.err != nil:
		var fe *tenants.FieldError
		if errors.As(a.err, &fe) {
			l.rejectBody(w, "tenant", a.err)
			return
		}
		http.Error(w, a.err.Error(), statusCode(a.err))
	default:
		writeJSON(w, map[string]uint64{"generation": generation, "revision": a.revision})
	}
}

// tenantStatus answers GET /fleet/v1/tenants/{name}/status: the tenant's phase and its progress on each present node.
func (l *leadership) tenantStatus(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var out struct {
		Name       string               `json:"name"`
		Phase      string               `json:"phase"`
		RolledBack string               `json:"rolled_back,omitempty"`
		Nodes      []tenants.NodeStatus `json:"nodes"`
	}
	var err error
	ok := l.whileLeading(w, func(ctl *control.Controller, s *control.State) {
		out.Name, out.Phase = name, s.Tenants.Phase(name)
		if e := s.Tenants.Tenants[name]; e != nil {
			out.RolledBack = e.RolledBack
		}
		out.Nodes, err = ctl.TenantStatus(l.now(), s, name)
	})
	if !ok {
		return
	}
	if err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), statusCode(err))
		return
	}
	writeJSON(w, out)
}
