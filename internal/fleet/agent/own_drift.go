package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/drift"
)

// ownDriftInterval is how often the agent evaluates its own node.
const ownDriftInterval = 250 * time.Millisecond

// ownDrift is the agent's evaluation of its own node against its copy (docs/drift.md). It works without the leader, so a machine
// that is cut off also learns of its drift.
type ownDrift struct {
	mu       sync.Mutex // guards the fields below
	detector *drift.LocalDetector
	member   fleet.Member // member of the newest report; Node is empty before the first report

	state       string     // state of the last verdict
	loggedState string     // state that was last logged
	loggedAt    fleet.Time // when that state was logged
}

// ownDriftLogInterval is the minimum time between two log lines about the agent's own verdict.
const ownDriftLogInterval = 10 * time.Second

// recordOwnVerdict records the verdict in the metrics. It logs a verdict that differs from the last logged one if either of them is a
// drift, at most once per ownDriftLogInterval. The caller holds ownDrift.mu.
func (a *Agent) recordOwnVerdict(now fleet.Time) {
	o := &a.ownDrift
	v, ok := o.detector.Verdict(now, time.Now().UnixMilli(), a.cfg.Node)
	if !ok {
		return
	}
	if v.State != o.state {
		if o.state != "" {
			a.metrics.driftState.WithLabelValues(o.state).Set(0)
		}
		a.metrics.driftState.WithLabelValues(v.State).Set(1)
		a.metrics.driftVerdicts.WithLabelValues(v.State).Inc()
		o.state = v.State
	}
	isDrift := func(state string) bool { return state != "" && state != drift.InStep && state != drift.CatchingUp }
	if v.State == o.loggedState || !isDrift(v.State) && !isDrift(o.loggedState) || o.loggedAt != 0 && now-o.loggedAt < ownDriftLogInterval {
		return
	}
	level := slog.LevelInfo
	if isDrift(v.State) {
		level = slog.LevelWarn
	}
	var keys []string
	for _, d := range v.Differences[:min(len(v.Differences), 8)] {
		keys = union(keys, []string{d.Key})
	}
	a.cfg.Log.Log(context.Background(), level, "own node's verdict", "state", v.State, "was", o.loggedState, "reason", v.Evidence, "keys", keys, "incarnation", v.Incarnation, "revision", v.LastRevision)
	o.loggedState, o.loggedAt = v.State, now
}

// evaluateOwnNode evaluates the node against the agent's present copy, and resends to the node the items that it lacks. It returns the
// keys that the next report is to carry.
func (a *Agent) evaluateOwnNode(rep *fleet.Report) (wantedKeys []string) {
	a.mu.Lock()
	in := drift.Intended{Revision: a.copy.Revision, Items: a.copy.All()}
	comparable := a.joined && !a.scopeIncomplete
	caughtUp := a.caughtUp
	now := a.now()
	a.mu.Unlock()
	a.ownDrift.mu.Lock()
	if rep != nil {
		a.ownDrift.member = rep.Member
		a.ownDrift.detector.Observe(now, *rep) // the detector rejects the same reports as acceptReport
	}
	if a.ownDrift.member.Node == "" || !comparable {
		a.ownDrift.mu.Unlock()
		return nil
	}
	a.ownDrift.detector.Step(now, in, a.ownDrift.member, caughtUp)
	a.recordOwnVerdict(now)
	var resend []string
	if rep != nil {
		resend, wantedKeys = a.ownDrift.detector.Answer(rep.Node)
	}
	a.ownDrift.mu.Unlock()
	if len(resend) > 0 {
		a.mu.Lock()
		a.resend(resend)
		a.mu.Unlock()
		a.cfg.Log.Warn("own node has drifted; resending items to it", "keys", resend)
	}
	return wantedKeys
}

// resend marks items to be sent to the node again whatever their revision. The caller holds mu.
func (a *Agent) resend(keys []string) {
	for _, k := range keys {
		a.resendKeys[k] = true
	}
	a.notifyNode()
}

// checkOwnDrift evaluates the node while the agent runs, even when no report arrives.
func (a *Agent) checkOwnDrift(ctx context.Context) {
	for ctx.Err() == nil {
		a.evaluateOwnNode(nil)
		sleep(ctx, ownDriftInterval)
	}
}

// drift answers GET /fleet/v1/drift with the agent's verdict on its own node, in the leader's format.
func (a *Agent) drift(w http.ResponseWriter, _ *http.Request) {
	a.ownDrift.mu.Lock()
	v, ok := a.ownDrift.detector.Verdict(a.now(), time.Now().UnixMilli(), a.cfg.Node)
	a.ownDrift.mu.Unlock()
	out := map[string][]drift.Verdict{"verdicts": {}}
	if ok {
		out["verdicts"] = append(out["verdicts"], v)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}

// union appends to a the strings of b that it lacks.
func union(a, b []string) []string {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}
