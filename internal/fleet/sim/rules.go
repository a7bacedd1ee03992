package sim

import (
	"math"
	"slices"
	"time"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/zones"
)

// bounds are the documented settings. The checks use them even where a run's cores have other settings.
var bounds = zones.Default(1)

// checkCommand checks the effect of an applied command on the directives by rules Z1, Z2 and Z4.
func (s *Sim) checkCommand(before map[string]zones.Entry, cmd zones.Command, changed []string) {
	s.result.Steps++
	after := s.control.state.Directives
	for _, f := range s.plan.Faults { // faults that justify the evacuation of a zone
		if f.Kind == ZoneLost || f.Kind == ZoneGray || f.Kind == ZoneCut {
			if f.isActive(s.now) {
				s.lastFault[f.Zone] = max(s.lastFault[f.Zone], s.now)
			} else if f.Start <= s.now {
				s.lastFault[f.Zone] = max(s.lastFault[f.Zone], f.Start+f.Duration)
			}
		}
	}
	for _, key := range changed {
		zoneName, nodeZone, _ := zones.ParseKey(key)
		zone := slices.Index(s.zones, zoneName)
		old, had := before[key]
		e, has := after[key]
		entered, known := s.phaseSince[key]
		s.phaseSince[key] = s.now
		s.directed[zoneName] = true
		switch {
		case !had && s.now-s.lastFault[zone] > 5*time.Second && !(nodeZone != "" && s.lied(zone)):
			s.result.WrongEvacuations++
			s.recordBreach("Z1", "%s left by %s, and nothing was wrong there: %v", key, e.Reason, cmd)
		case !has:
			if old.Share < 1 || old.Step != len(bounds.Steps) {
				s.recordBreach("Z4", "%s served again at step %d", key, old.Step)
			}
		case old.Phase == fleet.Evacuated && e.Phase == fleet.Probation:
			hold := min(bounds.InitialBackoff<<min(old.Relapses, 10), bounds.MaxBackoff)
			if known && s.now-entered < hold*98/100 {
				s.recordBreach("Z4", "%s tried %v after it was left, relapse %d", key, s.now-entered, old.Relapses)
			}
		case old.Phase == fleet.Recovering && e.Phase == fleet.Recovering && e.Step > old.Step:
			if e.Step != old.Step+1 || known && s.now-entered < bounds.MinStepTime*98/100 {
				s.recordBreach("Z4", "%s from step %d to %d after %v", key, old.Step, e.Step, s.now-entered)
			}
		}
		if e.Phase == fleet.Evacuated {
			delete(s.lowestShare, key)
			s.checkCapacity(key)
		}
		if e.Phase == fleet.Recovering {
			low, ok := s.lowestShare[key]
			if !ok {
				s.firstRevision[key], low = e.Revision, e.Share
			}
			s.lowestShare[key] = math.Min(low, e.Share)
		}
	}
}

// lied reports whether a Liar fault may have caused a directive for the nodes of the liar's own zone, which is possible
// with fewer than two nodes per zone.
func (s *Sim) lied(zone int) bool {
	return slices.ContainsFunc(s.plan.Faults, func(f Fault) bool { return f.Kind == Liar && f.Start <= s.now && s.plan.Nodes < 2*s.plan.Zones })
}

// checkCapacity checks Z2: for the nodes of every zone, the remaining servers are at least the minimum part of all servers.
func (s *Sim) checkCapacity(key string) {
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
			s.recordBreach("Z2", "%s left: %g of %d zones stay for nodes of %s", key, stay, len(s.zones), x)
		}
	}
}

// node checks one node at its tick: its session, Z5 and T1. At the first node's tick it also checks the rules about all
// nodes together: Z3, T2 and T3.
func (s *Sim) node(n *node, now time.Duration) {
	if now < n.leasedUntil {
		if !s.control.sessions.Present(n.member()) {
			s.recordBreach("session", "%s holds its session, and the control plane has lapsed it", n.name)
		}
	}
	if now-n.confirmedAt > bounds.DirectiveLifetime+tickInterval {
		for z := range s.zones {
			for _, key := range n.keys[z] {
				e, ok := n.intent.directives[key]
				low, returning := s.lowestShare[key]
				if ok && returning && e.Phase == fleet.Recovering && e.Revision >= s.firstRevision[key] && n.nodeShare(z).Share > low+1e-9 {
					s.recordBreach("Z5", "%s has not heard for %v and has %g of %s, which had %g", n.name, now-n.confirmedAt, n.nodeShare(z).Share, key, low)
				}
			}
		}
	}
	s.checkServing(n)
	if n.index == 0 {
		s.checkBudgets()
		s.checkQuotas()
	}
}

// checkBudgets checks Z3: the rates at which all running nodes may send to a server, each by the directive that it holds, add
// up to no more than the largest budget that any of them holds.
func (s *Sim) checkBudgets() {
	for z, y := range s.zones {
		sum, maximum := 0.0, 0.0
		for _, n := range s.nodes {
			e, ok := n.intent.directives[n.keys[z][0]]
			if n.down || !ok || e.Budget <= 0 {
				continue
			}
			if p := n.nodeShare(z); p.Share > 0 || p.Trial {
				sum, maximum = sum+p.Rate, math.Max(maximum, e.Budget)
			}
		}
		if sum > maximum*(1+1e-9) {
			s.recordBreach("Z3", "parts of %s add up to %g, over the budget of %g", y, sum, maximum)
		}
	}
}
