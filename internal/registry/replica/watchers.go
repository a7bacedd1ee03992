package replica

import (
	"sync"

	"meadowsill/internal/registry/index"
)

// watcherSet is the set of requests that wait for a change of the intent, indexed by scope. The cost of a change depends only
// on the watchers that it wakes. A watcherSet is safe for concurrent use.
type watcherSet struct {
	mu      sync.Mutex // guards the fields below
	byScope map[index.Scope]map[*watcher]struct{}
	wakeups int // watchers woken so far
}

// watcher is one waiting request. woken is closed when one of its scopes changes.
type watcher struct {
	scopes []index.Scope
	woken  chan struct{}
}

func newWatcherSet() *watcherSet {
	return &watcherSet{byScope: map[index.Scope]map[*watcher]struct{}{}}
}

// add registers a watcher of scopes. The caller must remove it after the wait.
func (w *watcherSet) add(scopes []index.Scope) *watcher {
	added := &watcher{scopes: scopes, woken: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, scope := range scopes {
		if w.byScope[scope] == nil {
			w.byScope[scope] = map[*watcher]struct{}{}
		}
		w.byScope[scope][added] = struct{}{}
	}
	return added
}

// remove unregisters a watcher, whether or not it was woken.
func (w *watcherSet) remove(ended *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detach(ended)
}

// wake wakes each watcher of at least one of scopes once.
func (w *watcherSet) wake(scopes []index.Scope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, scope := range scopes {
		w.wakeScope(scope)
	}
}

// wakeAll wakes every watcher.
func (w *watcherSet) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for scope := range w.byScope {
		w.wakeScope(scope)
	}
}

func (w *watcherSet) wakeScope(scope index.Scope) {
	for woken := range w.byScope[scope] {
		w.detach(woken)
		close(woken.woken)
		w.wakeups++
	}
}

// detach removes a watcher from all its scopes. The caller holds mu.
func (w *watcherSet) detach(removed *watcher) {
	for _, scope := range removed.scopes {
		delete(w.byScope[scope], removed)
		if len(w.byScope[scope]) == 0 {
			delete(w.byScope, scope)
		}
	}
}
