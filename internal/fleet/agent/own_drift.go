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

// ownDrift is the agent's evaluation of its own node, by the agent's copy (docs/drift.md): a machine that is cut off still knows.
type ownDrift struct {
	mu       sync.Mutex // guards the fields below
	detector *drift.LocalDetector
	member   fleet.Member // of the newest report; none: Node is empty

	state       string     // of the last verdict
	loggedState string     // that the log has
	loggedAt    fleet.Time // when it was put there
}

// ownDriftLogInterval is the least time between two lines of the log on the agent's own verdict.
const ownDriftLogInterval = 10 * time.Second

// reportOwnVerdict shows the verdict in the metrics and, where it is another than the log has, in the log. The caller holds ownDrift.mu.
func (a *Agent) reportOwnVerdict(now fleet.Time) {
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
	bad := func(state string) bool { return state != "" && state != drift.InStep && state != drift.CatchingUp }
	if v.State == o.loggedState || !bad(v.State) && !bad(o.loggedState) || o.loggedAt != 0 && now-o.loggedAt < ownDriftLogInterval {
		return
	}
	level := slog.LevelInfo
	if bad(v.State) {
		level = slog.LevelWarn
	}
	var keys []string
	for _, d := range v.Differences[:min(len(v.Differences), 8)] {
		keys = union(keys, []string{d.Key})
	}
	a.cfg.Log.Log(context.Background(), level, "own node's verdict", "state", v.State, "was", o.loggedState, "reason", v.Evidence, "keys", keys, "incarnation", v.Incarnation, "revision", v.LastRevision)
	o.loggedState, o.loggedAt = v.State, now
}

// evaluateOwnNode evaluates the node by what the agent has now, and has it sent again what it lacks. It gives what the next report is to
// carry.
func (a *Agent) evaluateOwnNode(rep *fleet.Report) (want []string) {
	a.mu.Lock()
	in := drift.Intended{Revision: a.copy.Revision, Items: a.copy.All()}
	comparable := a.joined && !a.scopeUnread
	caughtUp := a.caughtUp
	now := a.now()
	a.mu.Unlock()
	a.ownDrift.mu.Lock()
	if rep != nil {
		a.ownDrift.member = rep.Member
		a.ownDrift.detector.Observe(now, *rep) // rejects what acceptReport rejects
	}
	if a.ownDrift.member.Node == "" || !comparable {
		a.ownDrift.mu.Unlock()
		return nil
	}
	a.ownDrift.detector.Step(now, in, a.ownDrift.member, caughtUp)
	a.reportOwnVerdict(now)
	var resend []string
	if rep != nil {
		resend, want = a.ownDrift.detector.Answer(rep.Node)
	}
	a.ownDrift.mu.Unlock()
	if len(resend) > 0 {
		a.mu.Lock()
		a.resend(resend)
		a.mu.Unlock()
		a.cfg.Log.Warn("own node drifts: resending", "keys", resend)
	}
	return want
}

// resend has the node sent items again whatever their revision. The caller holds mu.
func (a *Agent) resend(keys []string) {
	for _, k := range keys {
		a.resendKeys[k] = true
	}
	a.notifyNode()
}

// checkOwnDrift evaluates the node while the agent runs, also when no report comes.
func (a *Agent) checkOwnDrift(ctx context.Context) {
	for ctx.Err() == nil {
		a.evaluateOwnNode(nil)
		sleep(ctx, ownDriftInterval)
	}
}

// drift answers GET /fleet/v1/drift at the agent: what it thinks of its own node, in the leader's form.
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

// union adds to a what of b it has not.
func union(a, b []string) []string {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}
