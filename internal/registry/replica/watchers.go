package replica

import (
	"sync"

	"meadowsill/internal/registry/index"
)

// watcherSet are the calls that wait for a change of the intent, by the scopes that they hear. A change costs those that it
// wakes and no others. It is safe for concurrent use.
type watcherSet struct {
	mu      sync.Mutex // guards the fields below
	byScope map[index.Scope]map[*watcher]struct{}
	wakeups int // watchers woken so far
}

// watcher is one call that waits. woken is closed once one of its scopes changes.
type watcher struct {
	scopes []index.Scope
	woken  chan struct{}
}

func newWatcherSet() *watcherSet {
	return &watcherSet{byScope: map[index.Scope]map[*watcher]struct{}{}}
}

// add begins a wait. The caller removes the watcher after it.
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

// remove ends a wait, whether or not the watcher was woken.
func (w *watcherSet) remove(ended *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detach(ended)
}

// wake wakes the watchers that hear one of scopes, each once.
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

// detach takes a watcher out of all its scopes. The caller holds mu.
func (w *watcherSet) detach(x *watcher) {
	for _, scope := range x.scopes {
		delete(w.byScope[scope], x)
		if len(w.byScope[scope]) == 0 {
			delete(w.byScope, scope)
		}
	}
}
