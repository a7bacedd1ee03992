package capacity

import "math"

const (
	batchPart      = 0.1  // of the nodes that a release restarts at a time
	batchS         = 30.0 // in which the nodes of a batch leave and come back
	roundTripsEach = 5.0  // of a rollout: call, commit, way out, report, confirmation, commit, way out
	daysPerWeek    = 7.0
	daysPerYear    = 365.0
)

// rolloutS is a rollout that nothing holds up, without the costs that grow with the plan: as measured on 50 nodes on one machine,
// with the round trips between regions.
func rolloutS(p Plan, s Slopes) float64 { return s.Get(Rollout).Value + roundTripsEach*roundTripS(p) }

// Miss is one cause for which changes are not in force in time.
type Miss struct {
	Cause   string
	PerDay  float64 // events
	WindowS float64 // of each, in which a change that is put misses the bound
	Part    float64 // of the changes put in it that do miss it
	Changes float64 // a day
}

// silentWindowS is the time of puts that a node held up which fell silent: those under way, and those after it that meet what is
// left of its lease.
func silentWindowS(p Plan, s Slopes) float64 {
	r := rolloutS(p, s)
	return r + max(0, leaseTTLS+r-p.Allowed.InForceS)
}

// releaseMiss is the part of the changes put during a rolling restart that miss the bound: each attempt to commit wants an epoch
// that does not change between the leader's step and the commit.
// nodes are those whose coming and going moves the epoch.
func releaseMiss(p Plan, nodes float64) float64 {
	changesOfEpoch := 2 * batchPart * nodes / batchS
	attempt := stepS + roundTripS(p) + diskS
	succeeds := math.Exp(-changesOfEpoch * attempt)
	attempts := max(1, p.Allowed.InForceS/attempt)
	return math.Pow(1-succeeds, attempts)
}

// heldUp is the part of the changes that are of a scope of any of so many nodes, the scopes taken as drawn at random.
func heldUp(p Plan, nodes float64) float64 {
	return 1 - math.Pow(1-scopeTenants(p)/p.Size.Tenants, nodes)
}

// Misses gives the causes, by the rule that a rollout waits for the present nodes of its scope and that scope's epoch.
func Misses(p Plan, s Slopes) []Miss {
	return misses(p, s, func(nodes float64) float64 { return heldUp(p, nodes) }, scopeNodes(p))
}

// PastMisses gives the causes by the rule of before, that a rollout waits for every present node and an unchanged epoch of all.
func PastMisses(p Plan, s Slopes) []Miss {
	return misses(p, s, func(float64) float64 { return 1 }, p.Size.Nodes)
}

// misses reckons with the part of the changes that so many failed nodes hold up, and the nodes that an epoch is of.
func misses(p Plan, s Slopes, part func(nodes float64) float64, epochNodes float64) []Miss {
	window, nodePart := silentWindowS(p, s), p.Input(NodePart)
	out := []Miss{
		{Cause: "a node that fails silently", PerDay: nodePart * p.Failures.MachinesPerDay, WindowS: window, Part: part(1)},
		{Cause: "a rack or switch", PerDay: p.Failures.RacksPerWeek / daysPerWeek, WindowS: window, Part: part(p.Failures.RackMachines)},
		{Cause: "a zone", PerDay: p.Failures.ZonesPerYear / daysPerYear, WindowS: window, Part: part(p.Size.Nodes / p.Size.Zones)},
		{Cause: "a batch of a rolling restart, a tenth of the nodes in 30 s", WindowS: batchS, Part: releaseMiss(p, epochNodes),
			PerDay: nodePart * p.Failures.RestartsPerDay / (batchPart * p.Size.Nodes)},
	}
	for i := range out {
		m := &out[i]
		m.Changes = p.Size.ChangesPerDay * m.PerDay * m.WindowS * m.Part / day
	}
	return out
}

func missedChanges(misses []Miss) float64 {
	sum := 0.0
	for _, m := range misses {
		sum += m.Changes
	}
	return sum
}
