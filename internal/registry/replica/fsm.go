package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/control"
	"starlingvalve/internal/fleet/drift"
	"starlingvalve/internal/registry"
)

// fsm is the state machine that raft feeds: the list and the fleet, under the list's revision. Every replica applies the
// fleet's commands, whether or not it was started with the fleet's settings.
type fsm struct {
	mu            sync.Mutex
	state         *registry.State
	listChanged   chan struct{} // closed at each change of the list
	fleet         *control.State
	intentChanged chan struct{} // closed at each change of an item of the intent
	driftChanged  chan struct{} // closed at each change of a verdict
}

func newFSM(keep int) *fsm {
	return &fsm{state: registry.New(keep), listChanged: make(chan struct{}), fleet: control.New(), intentChanged: make(chan struct{}),
		driftChanged: make(chan struct{})}
}

type applied struct {
	changed bool
	rev     uint64 // that a change of the fleet took
	err     error
}

func (f *fsm) Apply(l *raft.Log) any {
	var c registry.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return applied{err: fmt.Errorf("log entry %d: %w", l.Index, err)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Op == registry.Fleet {
		return f.applyFleet(c.Fleet)
	}
	changed, err := f.state.Apply(c)
	if changed {
		renew(&f.listChanged)
	}
	return applied{changed: changed, err: err}
}

func (f *fsm) applyFleet(raw json.RawMessage) applied {
	var c control.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return applied{err: fmt.Errorf("fleet command: %w", err)}
	}
	ch, err := f.fleet.Apply(c, f.state.Bump)
	if ch.Items {
		renew(&f.intentChanged)
	}
	if ch.Drift {
		renew(&f.driftChanged)
	}
	return applied{changed: ch.Rev != 0, rev: ch.Rev, err: err}
}

// servers is the list as drift compares it, or nil where nothing has ever registered: then the nodes have theirs from elsewhere.
// The caller holds mu.
func (f *fsm) servers() []drift.Listed {
	if len(f.state.Records) == 0 && f.state.Floor == 0 {
		return nil
	}
	out := make([]drift.Listed, 0, len(f.state.Records))
	f.state.Each(func(e registry.Entry, rev uint64) {
		out = append(out, drift.Listed{ID: e.ID, Rev: rev, Gone: e.State == "gone",
			Body: fleet.HeldServer{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Size: e.Weight}})
	})
	slices.SortFunc(out, func(a, b drift.Listed) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// renew closes a channel that watchers wait on and puts a new one in its place.
func renew(c *chan struct{}) {
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
	if !f.fleet.Empty() {
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
	*list = *f.state // keeps its bounds
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
	renew(&f.listChanged)
	renew(&f.intentChanged)
	renew(&f.driftChanged)
	return nil
}
