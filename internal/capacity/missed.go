package capacity

import "math"

const (
	batchPart            = 0.1  // part of the nodes that a release restarts at a time
	batchS               = 30.0 // time in which the nodes of a batch leave and return
	roundTripsPerRollout = 5.0  // per rollout: call, commit, fan-out, report, confirmation, commit, fan-out
	daysPerWeek          = 7.0
	daysPerYear          = 365.0
)

// rolloutS returns the time of a rollout without delays and without the costs that grow with the plan: the time measured on 50
// nodes on one machine plus the round trips between regions.
func rolloutS(p Plan, s Slopes) float64 {
	return s.Get(Rollout).Value + roundTripsPerRollout*roundTripS(p)
}

// Miss is one cause of changes that are not in force in time.
type Miss struct {
	Cause   string
	PerDay  float64 // events per day
	WindowS float64 // time per event in which a change that is put may miss the bound
	Part    float64 // part of the changes put in the window that miss the bound
	Changes float64 // changes per day that miss the bound
}

// silentWindowS returns the length in seconds of the window in which changes are delayed by a node that falls silent: the rollouts
// in progress at that time, and the changes put afterwards for which the rest of the node's lease and the rollout together exceed
// the time allowed.
func silentWindowS(p Plan, s Slopes) float64 {
	r := rolloutS(p, s)
	return r + max(0, leaseTTLS+r-p.Allowed.InForceS)
}

// releaseMiss returns the part of the changes put during a rolling restart that miss the bound: each attempt to commit needs an
// epoch that does not change between the leader's step and the commit. nodes is the number of nodes whose joins and leaves change
// the epoch.
func releaseMiss(p Plan, nodes float64) float64 {
	changesOfEpoch := 2 * batchPart * nodes / batchS
	attempt := stepS + roundTripS(p) + diskS
	successProbability := math.Exp(-changesOfEpoch * attempt)
	attempts := max(1, p.Allowed.InForceS/attempt)
	return math.Pow(1-successProbability, attempts)
}

// delayedPart returns the part of the changes that are in the scope of at least one of the given number of nodes, for scopes that are
// drawn at random.
func delayedPart(p Plan, nodes float64) float64 {
	return 1 - math.Pow(1-scopeTenants(p)/p.Size.Tenants, nodes)
}

// Misses returns the causes under the rule that a rollout waits for the present nodes of its scope and depends on the scope's epoch.
func Misses(p Plan, s Slopes) []Miss {
	return misses(p, s, func(nodes float64) float64 { return delayedPart(p, nodes) }, scopeNodes(p))
}

// PastMisses returns the causes under the earlier rule that a rollout waits for every present node and depends on the epoch of all
// nodes.
func PastMisses(p Plan, s Slopes) []Miss {
	return misses(p, s, func(float64) float64 { return 1 }, p.Size.Nodes)
}

// misses returns the causes. part gives the part of the changes that a number of failed nodes delays; epochNodes is the number of
// nodes whose joins and leaves change an epoch.
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
		m.Changes = p.Size.ChangesPerDay * m.PerDay * m.WindowS * m.Part / secondsPerDay
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
