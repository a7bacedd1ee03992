package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/control"
	"meadowsill/internal/fleet/drift"
	"meadowsill/internal/registry"
)

// fsm is the state machine that raft replicates: the list and the fleet's state, which share one revision counter. Every
// replica applies the fleet's commands, whether or not it was started with the fleet's settings. Raft calls Apply, Snapshot
// and Restore one at a time. Readers of the list and the intent load the published views and need no lock.
type fsm struct {
	mu            sync.Mutex // guards the fields down to driftListView
	state         *registry.State
	fleet         *control.State
	driftChanged  chan struct{}        // closed and replaced when a verdict changes
	driftList     []drift.ListedServer // the list in the form that drift compares; nil until servers builds it
	driftListView *registry.View       // view that driftList was built from

	list     atomic.Pointer[publishedList]
	intent   atomic.Pointer[control.View]
	watchers *watcherSet // watchers of the intent
}

// publishedList is a view of the list for readers, and the channel that is closed at the list's next change.
type publishedList struct {
	view    *registry.View
	changed chan struct{}
}

func newFSM(keep int) *fsm {
	f := &fsm{state: registry.New(keep), fleet: control.New(), driftChanged: make(chan struct{}), watchers: newWatcherSet()}
	f.list.Store(&publishedList{view: f.state.View(), changed: make(chan struct{})})
	f.intent.Store(f.fleet.View())
	return f
}

type applyResult struct {
	changed  bool
	revision uint64 // revision of a change of the fleet's state
	err      error
}

func (f *fsm) Apply(l *raft.Log) any {
	var c registry.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return applyResult{err: fmt.Errorf("log entry %d: %w", l.Index, err)}
	}
	if c.Op == registry.FleetCommand {
		return f.applyFleet(c.Fleet)
	}
	return f.applyList(c)
}

func (f *fsm) applyList(c registry.Command) applyResult {
	f.mu.Lock()
	changed, err := f.state.Apply(c)
	view := f.state.View()
	f.mu.Unlock()
	f.publishList(view, changed)
	return applyResult{changed: changed, err: err}
}

func (f *fsm) applyFleet(raw json.RawMessage) applyResult {
	var c control.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return applyResult{err: fmt.Errorf("fleet command: %w", err)}
	}
	f.mu.Lock()
	ch, err := f.fleet.Apply(c, f.state.NextRevision)
	view := f.fleet.View()
	if ch.Drift {
		renewChannel(&f.driftChanged)
	}
	f.mu.Unlock()
	f.intent.Store(view)
	f.watchers.wake(ch.Scopes)
	return applyResult{changed: ch.Revision != 0, revision: ch.Revision, err: err}
}

// publishList makes a view available to the list's readers, and wakes the list's watchers if changed is true. Compaction alone
// creates a new view but wakes no watcher.
func (f *fsm) publishList(view *registry.View, changed bool) {
	old := f.list.Load()
	if view == old.view {
		return
	}
	if !changed {
		f.list.Store(&publishedList{view: view, changed: old.changed})
		return
	}
	f.list.Store(&publishedList{view: view, changed: make(chan struct{})})
	close(old.changed)
}

// servers returns the list in the form that drift compares, or nil if no server has ever registered: then the nodes get their
// servers from another source. The slice is rebuilt only after a change of the list, and must not be modified. The caller holds
// mu.
func (f *fsm) servers() []drift.ListedServer {
	view := f.state.View()
	if view.Len() == 0 && view.Floor == 0 {
		return nil
	}
	if f.driftListView != view {
		f.driftList, f.driftListView = newDriftList(view), view
	}
	return f.driftList
}

func newDriftList(view *registry.View) []drift.ListedServer {
	out := make([]drift.ListedServer, 0, view.Len())
	for e, rev := range view.Each() {
		out = append(out, drift.ListedServer{ID: e.ID, Revision: rev, Removed: e.State == "gone",
			Body: fleet.AppliedServer{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Weight: e.Weight}})
	}
	return out
}

// renewChannel closes a channel that watchers wait on and replaces it with a new one.
func renewChannel(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fleet json.RawMessage
	if !f.fleet.IsEmpty() {
		raw, err := f.fleet.Snapshot()
		if err != nil {
			return nil, err
		}
		fleet = raw
	}
	raw, err := f.state.Snapshot(fleet)
	return snapshot(raw), err
}

func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := registry.New(0)
	*list = *f.state // keeps keepRevisions
	rest, err := list.Restore(raw)
	if err != nil {
		return err
	}
	fleet := control.New()
	if rest != nil {
		if fleet, err = control.Restore(rest); err != nil {
			return err
		}
	}
	f.state, f.fleet = list, fleet
	renewChannel(&f.driftChanged)
	f.publishList(list.View(), true)
	f.intent.Store(fleet.View())
	f.watchers.wakeAll()
	return nil
}
