package simulation

import (
	"math/rand"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRulesHoldOverRandomSchedules checks T1, T2, T3, T5 and T6 over random actions, faults and delays in the fleet.
func TestRulesHoldOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.IntRange(1, 40).Draw(rt, "acts")
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "delays")))
		n := 0
		pick := func(k int) int {
			if n++; n <= 300 { // rapid can shrink the first choices; the seed determines the rest
				return rapid.IntRange(0, k-1).Draw(rt, "pick")
			}
			return rng.Intn(k)
		}
		if violation := runModel(pick, "", actions); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// TestInjectedFaultsAreDetected injects one fault at a time; one of the seeds must lead to the violation of its rule.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, f := range []struct{ fault, rule, description string }{
		{"staged", "T1", "a module serves by a generation that is only staged"},
		{"uid", "T1", "a module keeps a generation for a new tenant of the same name"},
		{"ready", "T2", "a run serves before it has caught up"},
		{"held", "T3", "a division counts leases as confirmed that were only sent"},
		{"over", "T3", "a run's lease counts as expired as soon as the run is replaced"},
		{"run", "T3", "a run uses the lease of the previous run"},
		{"lease", "T3", "a run uses its lease after the lease has expired"},
		{"epoch", "T5", "a commit ignores nodes that joined after the decision"},
		{"outside", "T5", "the controller counts nodes outside of the scope"},
		{"inside", "T5", "the controller does not count nodes inside of the scope"},
		{"liar", "T5", "an agent acknowledges a generation that its module rejected"},
	} {
		t.Run(f.fault, func(t *testing.T) {
			for seed := int64(1); seed <= 400; seed++ {
				rng := rand.New(rand.NewSource(seed))
				if violation := runModel(rng.Intn, f.fault, 40); strings.Contains(violation, f.rule+":") {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not detected: %s", f.description)
		})
	}
}
