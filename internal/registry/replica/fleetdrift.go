package replica

import (
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/registry"
)

// maxLogEntries is the largest number of entries of the repair log in an answer; the newest entries are kept.
const maxLogEntries = 50

// drift answers GET /fleet/v1/drift (docs/drift.md) with the verdicts, filtered by node or state where the query names them.
// A watch gets the verdicts that changed after since.
func (l *leadership) drift(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	watch, err := registry.ParseWatchQuery(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.replica.raft.State() != raft.Leader {
		l.replica.notLeader(w)
		return
	}
	f := l.replica.fsm
	f.mu.Lock()
	if watch.IsWatch && watch.Since >= f.fleet.Drift.Revision && watch.Timeout > 0 {
		changed := f.driftChanged
		f.mu.Unlock()
		registry.Await(r.Context(), changed, watch.Timeout)
		f.mu.Lock()
	}
	f.mu.Unlock()
	out := struct {
		Revision uint64 `json:"revision"`
		drift.Summary
		Verdicts []drift.Verdict  `json:"verdicts"`
		Log      []drift.LogEntry `json:"log"`
	}{Verdicts: []drift.Verdict{}, Log: []drift.LogEntry{}}
	ok := l.whileLeading(w, func(ctl *control.Controller, s *control.State) {
		out.Revision, out.Summary = s.Drift.Revision, ctl.DriftSummary(l.now(), s)
		for _, v := range ctl.Verdicts(l.now(), time.Now().UnixMilli(), s) {
			if node := q.Get("node"); node != "" && node != v.Node {
				continue
			}
			if state := q.Get("state"); state != "" && state != v.State || watch.IsWatch && v.Revision <= watch.Since {
				continue
			}
			out.Verdicts = append(out.Verdicts, v)
		}
		if log := ctl.Repairs(0); len(log) > 0 {
			out.Log = log[max(len(log)-maxLogEntries, 0):]
		}
	})
	if ok {
		writeJSON(w, out)
	}
}
