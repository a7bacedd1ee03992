package tenants

import (
	"cmp"
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// State is the replicated state. It is the same on every replica, because commands contain no time and sums are added up
// in a fixed order. Marshalling to JSON and back loses nothing. Only Apply changes it. The zero State is ready for use.
type State struct {
	Tenants         map[string]*Entry `json:"tenants,omitempty"`  // by name
	Runs            map[string]*Lease `json:"runs,omitempty"`     // the newest run of each node, by node
	OrphanedLeases  []OrphanedLease   `json:"ghosts,omitempty"`   // runs that were replaced and may still hold their leases
	CountedNodes    map[string]uint64 `json:"known,omitempty"`    // by node: the value of NodeCounts when the node was last counted
	NodeCounts      uint64            `json:"counts,omitempty"`   // how many times nodes were counted
	Slots           int               `json:"slots,omitempty"`    // full number of nodes of the fleet; 0: no division yet
	Division        uint64            `json:"division,omitempty"` // increases by one with every division
	DividedRevision uint64            `json:"divided,omitempty"`  // revision of the newest division
	Tombstones      []Tombstone       `json:"tombs,omitempty"`    // oldest first
	Floor           uint64            `json:"floor,omitempty"`    // tombstones up to this revision may have been dropped

	index serviceIndex // index over Tenants
}

// Entry is one tenant: the body and revision of its item, and the nodes that may still use a larger quota.
type Entry struct {
	fleet.Tenant
	Revision      uint64             `json:"rev"`
	Applying      bool               `json:"applying,omitempty"` // the committed generation is not yet applied on all present nodes
	OutdatedRates map[string]float64 `json:"behind,omitempty"`   // by node: largest earlier rate, above the present, that may still set its part
}

// Lease holds the quota leases of one run: the published rates, and the largest rates that the run may still use, because it
// may not have received the published ones yet.
type Lease struct {
	Incarnation uint64             `json:"incarnation"`
	Revision    uint64             `json:"rev"`
	Division    uint64             `json:"division"` // the division that set Rates
	Rates       map[string]float64 `json:"rates,omitempty"`
	MaxRates    map[string]float64 `json:"most,omitempty"` // never below Rates
}

// OrphanedLease holds the leases of a run that was replaced by a newer run of its node. The old run is assumed to use them
// until the controller knows that they have expired.
type OrphanedLease struct {
	Run
	MaxRates map[string]float64 `json:"most"`
}

// Tombstone records that an item was removed, and for a tenant why its last rollout was rolled back.
type Tombstone struct {
	Key        string `json:"key"`
	Revision   uint64 `json:"rev"`
	UID        uint64 `json:"uid,omitempty"`
	RolledBack string `json:"rolled_back,omitempty"`
}

// Apply applies one command and returns the keys of the changed items. rev returns the revision of the change; Apply calls
// it at most once, and only if something changes. epoch returns the session epochs at the point of the log where the command
// is applied. Errors wrap fleet.ErrInvalid, fleet.ErrConflict, fleet.ErrNotFound or ErrStale; the state is then unchanged.
func (s *State) Apply(c Command, epoch EpochOf, rev func() uint64) (changed []string, err error) {
	switch c.Operation {
	case Put:
		return s.propose(c, rev)
	case Delete:
		return s.beginRemoval(c, rev)
	case Divide:
		if d := c.Division; d != nil && len(d.Expired) > 0 && c.Epoch != epoch("") { // one of the expired runs may have rejoined
			return nil, fmt.Errorf("%w: division at epoch %d, it is %d", ErrStale, c.Epoch, epoch(""))
		}
		return s.applyDivision(c, rev)
	case Commit, Rollback, Applied, Drained, QuotaWithdrawn:
		e := s.Tenants[c.Name]
		switch {
		case e == nil || e.UID != c.UID:
			return nil, fmt.Errorf("%w: %s of tenant %q: it is no more", ErrStale, c.Operation, c.Name)
		case e.Revision != c.IfRevision:
			return nil, fmt.Errorf("%w: %s of tenant %q at revision %d, it is at %d", ErrStale, c.Operation, c.Name, c.IfRevision, e.Revision)
		case c.Epoch != c.currentEpoch(e, epoch) && c.Operation != Rollback:
			return nil, fmt.Errorf("%w: %s of tenant %q at epoch %d, it is %d", ErrStale, c.Operation, c.Name, c.Epoch, c.currentEpoch(e, epoch))
		}
		return s.applyStep(e, c, rev)
	}
	return nil, fmt.Errorf("%w: op %q is not known", fleet.ErrInvalid, c.Operation)
}

// currentEpoch returns the present value of the epoch that the command refers to. Commands from logs written before scopes
// existed refer to the fleet's epoch, so that every replica checks them against that one.
func (c *Command) currentEpoch(e *Entry, epoch EpochOf) uint64 {
	if c.Scoped {
		return epoch(e.Service())
	}
	return epoch("")
}

// conflictError returns an error that names the present generation, for the API's 409 answer.
func conflictError(name string, e *Entry, why string) error {
	g := uint64(0)
	if e != nil && e.Committed != nil {
		g = e.Committed.Number
	}
	return fmt.Errorf("%w: tenant %q is at generation %d%s", fleet.ErrConflict, name, g, why)
}

func (s *State) propose(c Command, rev func() uint64) ([]string, error) {
	if c.Spec == nil {
		return nil, fieldError("spec", "is missing")
	}
	if err := Validate(*c.Spec); err != nil {
		return nil, err
	}
	if c.Spec.Name != c.Name {
		return nil, fieldError("name", "%q is not the tenant named, %q", c.Spec.Name, c.Name)
	}
	e := s.Tenants[c.Name]
	switch {
	case e == nil && c.Generation != 0:
		return nil, conflictError(c.Name, nil, ": there is none")
	case e == nil:
	case e.Removing:
		return nil, conflictError(c.Name, e, ": it is being removed")
	case e.Service() != c.Spec.Service:
		return nil, fieldError("service", "%q, and the tenant's is %q: remove the tenant and name it again", c.Spec.Service, e.Service())
	case e.Staged != nil || e.Applying:
		return nil, conflictError(c.Name, e, ": a rollout is on")
	case e.Committed.Number != c.Generation:
		return nil, conflictError(c.Name, e, "")
	}
	r := rev()
	if e == nil {
		e = &Entry{Tenant: fleet.Tenant{UID: r}}
		if s.Tenants == nil {
			s.Tenants = map[string]*Entry{}
		}
		s.Tenants[c.Name] = e
		s.index.add(c.Spec.Service, c.Name, e)
		s.dropTombstone(keyTenant + c.Name)
	}
	e.Staged = &fleet.Generation{Number: c.Generation + 1, Spec: *c.Spec, Digest: Digest(*c.Spec)}
	e.RolledBack, e.Revision = "", r
	return []string{keyTenant + c.Name}, nil
}

func (s *State) beginRemoval(c Command, rev func() uint64) ([]string, error) {
	e := s.Tenants[c.Name]
	switch {
	case e == nil:
		return nil, fmt.Errorf("%w: tenant %q", fleet.ErrNotFound, c.Name)
	case e.Removing:
		return nil, conflictError(c.Name, e, ": it is being removed")
	case e.Staged != nil || e.Applying:
		return nil, conflictError(c.Name, e, ": a rollout is on")
	case e.Committed.Number != c.Generation:
		return nil, conflictError(c.Name, e, "")
	}
	e.Removing, e.Revision = true, rev()
	return []string{keyTenant + c.Name}, nil
}

// applyStep applies a controller's command to a tenant that has not changed since the controller decided.
func (s *State) applyStep(e *Entry, c Command, rev func() uint64) ([]string, error) {
	wrongPhase := func() ([]string, error) {
		return nil, fmt.Errorf("%w: %s of tenant %q, generation %d: not where the tenant is", ErrStale, c.Operation, c.Name, c.Generation)
	}
	switch c.Operation {
	case Commit:
		if e.Staged == nil || e.Staged.Number != c.Generation {
			return wrongPhase()
		}
		if !s.CanCommit(c.Name) {
			return nil, fmt.Errorf("%w: commit of tenant %q: leases of the larger quota may still be held", ErrStale, c.Name)
		}
		s.countNodes(c.Runs)
		s.keepOutdatedRates(e, e.Staged.Spec.Quota.Rate)
		e.Committed = e.Staged
		e.Staged = nil
		e.Applying = true
	case Rollback:
		if e.Staged == nil || e.Staged.Number != c.Generation {
			return wrongPhase()
		}
		service := e.Service()
		e.Staged, e.RolledBack = nil, fmt.Sprintf("generation %d: node %s: %s", c.Generation, c.Node, c.Reason)
		if e.Committed == nil {
			return s.dropTenant(c.Name, service, e, rev()), nil
		}
	case Applied:
		if !e.Applying || e.Committed.Number != c.Generation {
			return wrongPhase()
		}
		s.countNodes(c.Runs)
		e.Applying = false
		return nil, nil // the item itself does not change
	case Drained:
		if !e.Removing || e.QuotaWithdrawn {
			return wrongPhase()
		}
		e.QuotaWithdrawn = true
	case QuotaWithdrawn:
		if !e.QuotaWithdrawn {
			return wrongPhase()
		}
		return s.dropTenant(c.Name, e.Service(), e, rev()), nil
	}
	e.Revision = rev()
	return []string{keyTenant + c.Name}, nil
}

// countNodes records that the nodes of these runs were counted. If more than twice as many nodes are recorded as there are
// slots (or runs, if those are more), it forgets the ones that were not counted for the longest time, and their outdated rates.
func (s *State) countNodes(runs []Run) {
	if s.CountedNodes == nil {
		s.CountedNodes = map[string]uint64{}
	}
	s.NodeCounts++
	for _, r := range runs {
		s.CountedNodes[r.Node] = s.NodeCounts
	}
	maxNodes := 2 * max(s.Slots, len(runs))
	if s.Slots == 0 || len(s.CountedNodes) <= maxNodes {
		return
	}
	names := sortedKeys(s.CountedNodes)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(s.CountedNodes[a], s.CountedNodes[b]) })
	for _, n := range names[:len(names)-maxNodes] {
		delete(s.CountedNodes, n)
		for _, e := range s.Tenants {
			delete(e.OutdatedRates, n)
		}
	}
}

// dropTenant deletes a tenant and adds a tombstone. The leases that runs may still hold of its quota remain recorded under
// its name, and count against a later tenant of that name.
func (s *State) dropTenant(name, service string, e *Entry, rev uint64) []string {
	delete(s.Tenants, name)
	s.index.remove(service, name)
	s.addTombstone(Tombstone{Key: keyTenant + name, Revision: rev, UID: e.UID, RolledBack: e.RolledBack})
	return []string{keyTenant + name}
}

func (s *State) addTombstone(t Tombstone) {
	s.dropTombstone(t.Key)
	s.Tombstones = append(s.Tombstones, t)
	if n := len(s.Tombstones) - maxTombstones; n > 0 {
		s.Floor = s.Tombstones[n-1].Revision
		s.Tombstones = append([]Tombstone(nil), s.Tombstones[n:]...)
	}
}

// dropTombstone removes the tombstone of an item that exists again.
func (s *State) dropTombstone(key string) {
	for i, t := range s.Tombstones {
		if t.Key == key {
			s.Tombstones = append(s.Tombstones[:i:i], s.Tombstones[i+1:]...)
			return
		}
	}
}
