package tenants

import (
	"cmp"
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// State is the replicated part: every replica's is the same, as commands carry no time and sums are taken in a
// fixed order. It marshals to JSON and back whole. Apply alone changes it. The zero State is ready for use.
type State struct {
	Tenants         map[string]*Entry `json:"tenants,omitempty"`  // by name
	Runs            map[string]*Lease `json:"runs,omitempty"`     // the newest run of each node, by node
	OrphanedLeases  []OrphanedLease   `json:"ghosts,omitempty"`   // runs that have a successor and may still hold their leases
	CountedNodes    map[string]uint64 `json:"known,omitempty"`    // nodes that were counted, by the count's number
	NodeCounts      uint64            `json:"counts,omitempty"`   // counts of nodes so far
	Slots           int               `json:"slots,omitempty"`    // the fleet's full number of nodes
	Division        uint64            `json:"division,omitempty"` // rises with every division
	DividedRevision uint64            `json:"divided,omitempty"`  // revision of the newest division
	Tombstones      []Tombstone       `json:"tombs,omitempty"`    // oldest first
	Floor           uint64            `json:"floor,omitempty"`    // changes up to here may have lost their tombstone

	index serviceIndex // of Tenants
}

// Entry is one tenant: its item's body, the item's revision, and the nodes that may still hold a larger quota.
type Entry struct {
	fleet.Tenant
	Revision      uint64             `json:"rev"`
	Applying      bool               `json:"applying,omitempty"` // committed, and not yet applied on all that were present
	OutdatedRates map[string]float64 `json:"behind,omitempty"`   // by node: the largest rate, above the present, that its floor may come of
}

// Lease is the leases of one run: as published, and the most that it may hold by what it has heard.
type Lease struct {
	Incarnation uint64             `json:"incarnation"`
	Revision    uint64             `json:"rev"`
	Division    uint64             `json:"division"` // that Rates are of
	Rates       map[string]float64 `json:"rates,omitempty"`
	MaxRates    map[string]float64 `json:"most,omitempty"` // at least Rates
}

// OrphanedLease is a run that has a successor and may hold what it was leased until the controller knows its lease to be over.
type OrphanedLease struct {
	Run
	MaxRates map[string]float64 `json:"most"`
}

// Tombstone remembers that an item is removed, and for a tenant why its last rollout was rolled back.
type Tombstone struct {
	Key        string `json:"key"`
	Revision   uint64 `json:"rev"`
	UID        uint64 `json:"uid,omitempty"`
	RolledBack string `json:"rolled_back,omitempty"`
}

// Apply changes the state by one command and gives the keys of the items changed. rev gives the revision of
// this change; it is called once, and only where something changes. epoch gives the session epochs as they stand
// where the command is applied. Errors wrap fleet.ErrInvalid, ErrConflict, ErrNotFound or ErrStale; they change nothing.
func (s *State) Apply(c Command, epoch EpochOf, rev func() uint64) (changed []string, err error) {
	switch c.Operation {
	case Put:
		return s.propose(c, rev)
	case Delete:
		return s.beginRemoval(c, rev)
	case Divide:
		if d := c.Division; d != nil && len(d.Expired) > 0 && c.Epoch != epoch("") { // one of them may be back
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
		case c.Epoch != c.epochNow(e, epoch) && c.Operation != Rollback:
			return nil, fmt.Errorf("%w: %s of tenant %q at epoch %d, it is %d", ErrStale, c.Operation, c.Name, c.Epoch, c.epochNow(e, epoch))
		}
		return s.applyStep(e, c, rev)
	}
	return nil, fmt.Errorf("%w: op %q is not known", fleet.ErrInvalid, c.Operation)
}

// epochNow is the present value of the epoch that the command names. Those from before there were scopes name the fleet's,
// and are rejected by it on every replica.
func (c *Command) epochNow(e *Entry, epoch EpochOf) uint64 {
	if c.Scoped {
		return epoch(e.Service())
	}
	return epoch("")
}

// conflictError names the present generation, as the API's 409 does.
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

// applyStep carries out the controller's commands on a tenant that is as the controller saw it.
func (s *State) applyStep(e *Entry, c Command, rev func() uint64) ([]string, error) {
	wrong := func() ([]string, error) {
		return nil, fmt.Errorf("%w: %s of tenant %q, generation %d: not where the tenant is", ErrStale, c.Operation, c.Name, c.Generation)
	}
	switch c.Operation {
	case Commit:
		if e.Staged == nil || e.Staged.Number != c.Generation {
			return wrong()
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
			return wrong()
		}
		service := e.Service()
		e.Staged, e.RolledBack = nil, fmt.Sprintf("generation %d: node %s: %s", c.Generation, c.Node, c.Reason)
		if e.Committed == nil {
			return s.dropTenant(c.Name, service, e, rev()), nil
		}
	case Applied:
		if !e.Applying || e.Committed.Number != c.Generation {
			return wrong()
		}
		s.countNodes(c.Runs)
		e.Applying = false
		return nil, nil // the item is as it was
	case Drained:
		if !e.Removing || e.QuotaWithdrawn {
			return wrong()
		}
		e.QuotaWithdrawn = true
	case QuotaWithdrawn:
		if !e.QuotaWithdrawn {
			return wrong()
		}
		return s.dropTenant(c.Name, e.Service(), e, rev()), nil
	}
	e.Revision = rev()
	return []string{keyTenant + c.Name}, nil
}

// countNodes notes that nodes were counted. Of more than twice the slots those last counted longest ago are forgotten,
// their larger guaranteed parts with them.
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

// dropTenant takes a tenant away and keeps its tombstone. What runs may hold of its quota stays counted, under its name,
// against whatever tenant comes to bear it.
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

// dropTombstone forgets the tombstone of an item that is there again.
func (s *State) dropTombstone(key string) {
	for i, t := range s.Tombstones {
		if t.Key == key {
			s.Tombstones = append(s.Tombstones[:i:i], s.Tombstones[i+1:]...)
			return
		}
	}
}
