package tenants

import (
	"encoding/json"
	"iter"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// EpochOf returns the session epoch of a service's scope (session.State.ScopeEpoch); of no service, the fleet's.
type EpochOf func(service string) uint64

// Present is who is present, as the controller counts them.
type Present struct {
	Epoch    EpochOf
	Members  []fleet.Member
	Services map[string][]string // of members that have a scope, by node
}

// serviceIndex holds the tenants by service and name.
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

// UnmarshalJSON reads a snapshot, and makes the index anew.
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

// InScope returns the tenants that a node of these services holds, in no order; no services: all. It costs what it gives.
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

// presentByScope is who is present in each scope, worked out once a step and only for the scopes requested.
type presentByScope struct {
	Present
	all       scopeMembers
	unscoped  []int            // positions of the members without a scope
	byService map[string][]int // positions of the members whose scope names a service
	byScope   map[string]*scopeMembers
}

// scopeMembers is the present members of one scope, by node.
type scopeMembers struct {
	members   []fleet.Member
	runs      []Run
	positions []int // among all present members
}

func newPresentByScope(p Present) *presentByScope {
	p.Members = slices.Clone(p.Members)
	slices.SortFunc(p.Members, byNode)
	r := &presentByScope{Present: p, byService: map[string][]int{}, byScope: map[string]*scopeMembers{}}
	for i, m := range p.Members {
		r.all.add(m, i)
		services := p.Services[m.Node]
		if len(services) == 0 {
			r.unscoped = append(r.unscoped, i)
		}
		for _, service := range services {
			r.byService[service] = append(r.byService[service], i)
		}
	}
	return r
}

// of returns the members that serve a service; of no service, all.
func (r *presentByScope) of(service string) *scopeMembers {
	if service == "" || len(r.unscoped) == len(r.Members) {
		return &r.all
	}
	g := r.byScope[service]
	if g == nil {
		g = &scopeMembers{}
		positions := slices.Concat(r.unscoped, r.byService[service])
		slices.Sort(positions)
		for _, i := range positions {
			g.add(r.Members[i], i)
		}
		r.byScope[service] = g
	}
	return g
}

func (g *scopeMembers) add(m fleet.Member, position int) {
	g.members = append(g.members, m)
	g.runs = append(g.runs, Run{m.Node, m.Incarnation})
	g.positions = append(g.positions, position)
}

func byNode(a, b fleet.Member) int { return strings.Compare(a.Node, b.Node) }

// pick returns the runs of the group's members, out of those of all present members.
func (g *scopeMembers) pick(runs []presentRun) []presentRun {
	if len(g.positions) == len(runs) {
		return runs
	}
	picked := make([]presentRun, len(g.positions))
	for i, position := range g.positions {
		picked[i] = runs[position]
	}
	return picked
}

// all reports whether ok holds for every member.
func (g *scopeMembers) all(ok func(fleet.Member) bool) bool {
	return !slices.ContainsFunc(g.members, func(m fleet.Member) bool { return !ok(m) })
}
