package sim

import (
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// bounds are what the page says, whatever the core in the run goes by.
var bounds = zones.Default(1)

// applied checks what a command did: Z1, Z2 and Z4.
func (s *Sim) applied(before map[string]zones.Entry, cmd zones.Command, changed []string) {
	s.res.Steps++
	after := s.control.state.Directives
	for _, f := range s.plan.Faults { // what has been a reason for a zone to be left
		if f.Kind == ZoneLost || f.Kind == ZoneGray || f.Kind == ZoneCut {
			if f.on(s.now) {
				s.trouble[f.Zone] = max(s.trouble[f.Zone], s.now)
			} else if f.At <= s.now {
				s.trouble[f.Zone] = max(s.trouble[f.Zone], f.At+f.For)
			}
		}
	}
	for _, key := range changed {
		y, x, _ := zones.ParseKey(key)
		zone := slices.Index(s.zones, y)
		old, had := before[key]
		e, has := after[key]
		entered, known := s.entered[key]
		s.entered[key] = s.now
		s.left[y] = true
		switch {
		case !had && s.now-s.trouble[zone] > 5*time.Second && !(x != "" && s.lied(zone)):
			s.res.Wrong++
			s.breach("Z1", "%s left by %s, and nothing was wrong there: %v", key, e.Reason, cmd)
		case !has:
			if old.Share < 1 || old.Step != len(bounds.Steps) {
				s.breach("Z4", "%s served again at step %d", key, old.Step)
			}
		case old.Phase == fleet.Evacuated && e.Phase == fleet.Probation:
			hold := min(bounds.InitialBackoff<<min(old.Relapses, 10), bounds.MaxBackoff)
			if known && s.now-entered < hold*98/100 {
				s.breach("Z4", "%s tried %v after it was left, relapse %d", key, s.now-entered, old.Relapses)
			}
		case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && e.Step > old.Step:
			if e.Step != old.Step+1 || known && s.now-entered < bounds.MinStepTime*98/100 {
				s.breach("Z4", "%s from step %d to %d after %v", key, old.Step, e.Step, s.now-entered)
			}
		}
		if e.Phase == fleet.Evacuated {
			delete(s.lowest, key)
			s.enough(key)
		}
		if e.Phase == fleet.Recovering {
			low, ok := s.lowest[key]
			if !ok {
				s.first[key], low = e.Revision, e.Share
			}
			s.lowest[key] = math.Min(low, e.Share)
		}
	}
}

// lied reports whether a liar may have had its own zone leave.
func (s *Sim) lied(zone int) bool {
	return slices.ContainsFunc(s.plan.Faults, func(f Fault) bool { return f.Kind == Liar && f.At <= s.now && s.plan.Nodes < 2*s.plan.Zones })
}

// enough checks Z2: the servers that stay, for the nodes of every zone.
func (s *Sim) enough(key string) {
	for _, x := range s.zones {
		stay := 0.0
		for _, y := range s.zones {
			share := 1.0
			for _, k := range []string{zones.Key(y, ""), zones.Key(y, x)} {
				if e, ok := s.control.state.Directives[k]; ok {
					share = math.Min(share, e.Share)
				}
			}
			stay += share
		}
		if stay < bounds.MinServersPart*float64(len(s.zones))-1e-9 {
			s.breach("Z2", "%s left: %g of %d zones stay for nodes of %s", key, stay, len(s.zones), x)
		}
	}
}

// node checks what one node does at its tick: sessions, Z5, and with all the others Z3.
func (s *Sim) node(n *node, now time.Duration) {
	if now < n.until {
		if !s.control.sessions.Present(n.member()) {
			s.breach("session", "%s holds its session, and the control plane has lapsed it", n.name)
		}
	}
	if now-n.confirmed > bounds.DirectiveLifetime+tickTime {
		for z := range s.zones {
			for _, key := range n.keys[z] {
				e, ok := n.intent.directives[key]
				low, returning := s.lowest[key]
				if ok && returning && e.Phase == fleet.Recovering && e.Revision >= s.first[key] && n.portion(z).Share > low+1e-9 {
					s.breach("Z5", "%s has not heard for %v and has %g of %s, which had %g", n.name, now-n.confirmed, n.portion(z).Share, key, low)
				}
			}
		}
	}
	s.serves(n)
	if n.i == 0 {
		s.budgets()
		s.quotas()
	}
}

// budgets checks Z3: what all running nodes may send to a server, by whatever each has heard, is within the largest
// budget that any of them has heard.
func (s *Sim) budgets() {
	for z, y := range s.zones {
		sum, most := 0.0, 0.0
		for _, n := range s.nodes {
			e, ok := n.intent.directives[n.keys[z][0]]
			if n.down || !ok || e.Budget <= 0 {
				continue
			}
			if p := n.portion(z); p.Share > 0 || p.Trial {
				sum, most = sum+p.Rate, math.Max(most, e.Budget)
			}
		}
		if sum > most*(1+1e-9) {
			s.breach("Z3", "parts of %s add up to %g, over the budget of %g", y, sum, most)
		}
	}
}
