package replica

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/registry"
)

// intentWatch is the query of GET /fleet/v1/intent: a watch and its scope.
type intentWatch struct {
	registry.WatchQuery
	node     string   // node whose share is included; "": the shares of all nodes
	services []string // sorted; empty: every service
}

// parseIntentWatch parses ?since=R&timeout_ms=T&node=N&service=S. service is repeated for each service that the node serves.
func parseIntentWatch(q url.Values) (intentWatch, error) {
	watch, err := registry.ParseWatchQuery(q)
	if err != nil {
		return intentWatch{}, err
	}
	services := slices.Sorted(slices.Values(q["service"]))
	return intentWatch{WatchQuery: watch, node: q.Get("node"), services: services}, fleet.ValidScope(services)
}

// intent answers a watch of the intent. Any replica answers that has heard from a leader within the staleness limit.
// X-Waited-Ms is the time that the request waited before the intent was read, X-Last-Contact-Ms the time since the replica's
// last contact with the leader.
func (l *leadership) intent(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	watch, err := parseIntentWatch(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	view := l.replica.fsm.awaitIntent(r.Context(), watch)
	waited := time.Since(start)
	if l.rejectStale(w) {
		return
	}
	w.Header().Set("X-Waited-Ms", strconv.FormatInt(waited.Milliseconds(), 10))
	writeJSON(w, view.Read(watch.Since, watch.node, watch.services...))
}

// awaitIntent waits for a change in the watch's scope, the watch's timeout or the end of ctx, and returns the current intent. It
// takes no lock of the state machine.
func (f *fsm) awaitIntent(ctx context.Context, watch intentWatch) *control.View {
	ctx, cancel := context.WithTimeout(ctx, watch.Timeout)
	defer cancel()
	for watch.IsWatch && !f.hasChanges(watch) && ctx.Err() == nil {
		f.awaitScopes(ctx, watch)
	}
	return f.intent.Load()
}

// hasChanges reports whether the published intent has changes for a watch.
func (f *fsm) hasChanges(watch intentWatch) bool {
	return f.intent.Load().HasChanges(watch.Since, watch.node, watch.services...)
}

// awaitScopes waits until one of the watch's scopes changes or ctx ends. It may return without a new change, because a wake-up
// may be for a change that the watcher has already read.
func (f *fsm) awaitScopes(ctx context.Context, watch intentWatch) {
	waiting := f.watchers.add(control.ReaderScopes(watch.node, watch.services...))
	defer f.watchers.remove(waiting)
	if f.hasChanges(watch) { // a change published before add does not wake this watcher
		return
	}
	select {
	case <-waiting.woken:
	case <-ctx.Done():
	}
}
