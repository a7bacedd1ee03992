package tenants

import (
	"encoding/json"
	"iter"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// EpochOf returns the session epoch of a service's scope, as session.State.ScopeEpoch does; for an empty service, the fleet's epoch.
type EpochOf func(service string) uint64

// Present describes the present members of the fleet, as the controller counts them.
type Present struct {
	Epoch    EpochOf
	Members  []fleet.Member
	Services map[string][]string // scopes by node, of members that have one
}

// serviceIndex indexes the tenants by service and name.
type serviceIndex map[string]map[string]*Entry

func (x *serviceIndex) add(service, name string, e *Entry) {
	if *x == nil {
		*x = serviceIndex{}
	}
	if (*x)[service] == nil {
		(*x)[service] = map[string]*Entry{}
	}
	(*x)[service][name] = e
}

func (x serviceIndex) remove(service, name string) {
	delete(x[service], name)
	if len(x[service]) == 0 {
		delete(x, service)
	}
}

// UnmarshalJSON decodes a snapshot and rebuilds the index.
func (s *State) UnmarshalJSON(raw []byte) error {
	type plain State
	if err := json.Unmarshal(raw, (*plain)(s)); err != nil {
		return err
	}
	s.index = nil
	for name, e := range s.Tenants {
		s.index.add(e.Service(), name, e)
	}
	return nil
}

// InScope returns the tenants that a node with these services holds, in no particular order; without services, all tenants.
// Its cost is proportional to the number of tenants that it yields.
func (s *State) InScope(services []string) iter.Seq2[string, *Entry] {
	return func(yield func(string, *Entry) bool) {
		if len(services) == 0 {
			for name, e := range s.Tenants {
				if !yield(name, e) {
					return
				}
			}
			return
		}
		for name, e := range s.index[""] {
			if !yield(name, e) {
				return
			}
		}
		for _, service := range services {
			for name, e := range s.index[service] {
				if !yield(name, e) {
					return
				}
			}
		}
	}
}

// presentByScope holds the present members of each scope. It is created once per step and computes only the scopes that are
// requested.
type presentByScope struct {
	Present
	all       scopeMembers
	unscoped  []int            // positions in Members of the members without a scope
	byService map[string][]int // positions in Members, by service in the members' scopes
	byScope   map[string]*scopeMembers
}

// scopeMembers holds the present members of one scope, sorted by node.
type scopeMembers struct {
	members   []fleet.Member
	runs      []Run
	positions []int // positions among all present members
}

func newPresentByScope(p Present) *presentByScope {
	p.Members = slices.Clone(p.Members)
	slices.SortFunc(p.Members, byNode)
	scopes := &presentByScope{Present: p, byService: map[string][]int{}, byScope: map[string]*scopeMembers{}}
	for i, m := range p.Members {
		scopes.all.add(m, i)
		services := p.Services[m.Node]
		if len(services) == 0 {
			scopes.unscoped = append(scopes.unscoped, i)
		}
		for _, service := range services {
			scopes.byService[service] = append(scopes.byService[service], i)
		}
	}
	return scopes
}

// of returns the members that serve a service; for an empty service, all members.
func (p *presentByScope) of(service string) *scopeMembers {
	if service == "" || len(p.unscoped) == len(p.Members) {
		return &p.all
	}
	scope := p.byScope[service]
	if scope == nil {
		scope = &scopeMembers{}
		positions := slices.Concat(p.unscoped, p.byService[service])
		slices.Sort(positions)
		for _, i := range positions {
			scope.add(p.Members[i], i)
		}
		p.byScope[service] = scope
	}
	return scope
}

func (s *scopeMembers) add(m fleet.Member, position int) {
	s.members = append(s.members, m)
	s.runs = append(s.runs, Run{m.Node, m.Incarnation})
	s.positions = append(s.positions, position)
}

func byNode(a, b fleet.Member) int { return strings.Compare(a.Node, b.Node) }

// pick returns the runs of the scope's members; runs holds those of all present members.
func (s *scopeMembers) pick(runs []presentRun) []presentRun {
	if len(s.positions) == len(runs) {
		return runs
	}
	picked := make([]presentRun, len(s.positions))
	for i, position := range s.positions {
		picked[i] = runs[position]
	}
	return picked
}

// all reports whether ok returns true for every member.
func (s *scopeMembers) all(ok func(fleet.Member) bool) bool {
	return !slices.ContainsFunc(s.members, func(m fleet.Member) bool { return !ok(m) })
}
