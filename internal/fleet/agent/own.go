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

// ownEvery is how often the agent judges its own node.
const ownEvery = 250 * time.Millisecond

// own is the agent's judgement of its own node, by the agent's copy (docs/drift.md): a machine that is cut off still knows.
type own struct {
	mu     sync.Mutex
	judge  *drift.LocalDetector
	member fleet.Member // of the newest report; none: Node is empty

	state  string     // of the last verdict
	said   string     // that the log has
	saidAt fleet.Time // when it was put there
}

// ownQuiet is the least time between two lines of the log on the agent's own verdict.
const ownQuiet = 10 * time.Second

// ownSay shows the verdict in the metrics and, where it is another than the log has, in the log. The caller holds own.mu.
func (a *Agent) ownSay(now fleet.Time) {
	o := &a.own
	v, ok := o.judge.Verdict(now, time.Now().UnixMilli(), a.cfg.Node)
	if !ok {
		return
	}
	if v.State != o.state {
		if o.state != "" {
			a.m.own.WithLabelValues(o.state).Set(0)
		}
		a.m.own.WithLabelValues(v.State).Set(1)
		a.m.ownChanges.WithLabelValues(v.State).Inc()
		o.state = v.State
	}
	bad := func(state string) bool { return state != "" && state != drift.InStep && state != drift.CatchingUp }
	if v.State == o.said || !bad(v.State) && !bad(o.said) || o.saidAt != 0 && now-o.saidAt < ownQuiet {
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
	a.cfg.Log.Log(context.Background(), level, "own node's verdict", "state", v.State, "was", o.said, "reason", v.Evidence, "keys", keys, "incarnation", v.Incarnation, "revision", v.LastRevision)
	o.said, o.saidAt = v.State, now
}

// ownStep judges the node by what the agent has now, and has it sent again what it lacks. It gives what the next report is to
// carry.
func (a *Agent) ownStep(rep *fleet.Report) (want []string) {
	a.mu.Lock()
	in := drift.Intended{Revision: a.copy.Revision, Items: a.copy.All()}
	comparable, caughtUp, now := a.counted && !a.unread, a.caughtUp, a.now()
	a.mu.Unlock()
	a.own.mu.Lock()
	if rep != nil {
		a.own.member = rep.Member
		a.own.judge.Observe(now, *rep) // refuses what hand refuses
	}
	if a.own.member.Node == "" || !comparable {
		a.own.mu.Unlock()
		return nil
	}
	a.own.judge.Step(now, in, a.own.member, caughtUp)
	a.ownSay(now)
	var resend []string
	if rep != nil {
		resend, want = a.own.judge.Answer(rep.Node)
	}
	a.own.mu.Unlock()
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
		a.again[k] = true
	}
	a.wake()
}

// judgeOwn judges the node while the agent runs, also when no report comes.
func (a *Agent) judgeOwn(ctx context.Context) {
	for ctx.Err() == nil {
		a.ownStep(nil)
		pause(ctx, ownEvery)
	}
}

// drift answers GET /fleet/v1/drift at the agent: what it thinks of its own node, in the leader's form.
func (a *Agent) drift(w http.ResponseWriter, _ *http.Request) {
	a.own.mu.Lock()
	v, ok := a.own.judge.Verdict(a.now(), time.Now().UnixMilli(), a.cfg.Node)
	a.own.mu.Unlock()
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
