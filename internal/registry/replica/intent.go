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

// intentWatch is the query of GET /fleet/v1/intent: a watch, and the scope that it hears.
type intentWatch struct {
	registry.WatchQuery
	node     string   // whose share; "": every node's
	services []string // sorted; none: every service
}

// parseIntentWatch reads ?since=R&timeout_ms=T&node=N&service=S, the last as often as the node serves services.
func parseIntentWatch(q url.Values) (intentWatch, error) {
	watch, err := registry.ParseWatchQuery(q)
	if err != nil {
		return intentWatch{}, err
	}
	services := slices.Sorted(slices.Values(q["service"]))
	return intentWatch{WatchQuery: watch, node: q.Get("node"), services: services}, fleet.ValidScope(services)
}

// intent answers a watch of the intent, from any replica that has heard from a leader within the bound. X-Waited-Ms says how
// long it waited before it read what it answers, X-Last-Contact-Ms how long since it had heard from the leader.
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

// awaitIntent waits until something has changed in the watch's scope, its time is over or ctx ends, and gives the intent as it is
// then. It takes no lock of the state machine.
func (f *fsm) awaitIntent(ctx context.Context, watch intentWatch) *control.View {
	ctx, end := context.WithTimeout(ctx, watch.Timeout)
	defer end()
	for watch.IsWatch && !f.hasChanges(watch) && ctx.Err() == nil {
		f.awaitScopes(ctx, watch)
	}
	return f.intent.Load()
}

// hasChanges reports whether the published intent has anything for a watch.
func (f *fsm) hasChanges(watch intentWatch) bool {
	return f.intent.Load().HasChanges(watch.Since, watch.node, watch.services...)
}

// awaitScopes waits until one of the watch's scopes changes or ctx ends. It may return early: a wake-up may be for a change
// that the watcher has read already.
func (f *fsm) awaitScopes(ctx context.Context, watch intentWatch) {
	waiting := f.watchers.add(control.ReaderScopes(watch.node, watch.services...))
	defer f.watchers.remove(waiting)
	if f.hasChanges(watch) { // what was published before add wakes nobody
		return
	}
	select {
	case <-waiting.woken:
	case <-ctx.Done():
	}
}
