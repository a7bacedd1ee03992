package simulation

import (
	"math/rand"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRulesHoldOverRandomSchedules holds T1, T2, T3, T5 and T6 over whatever the fleet may do.
func TestRulesHoldOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.IntRange(1, 40).Draw(rt, "acts")
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "delays")))
		n := 0
		pick := func(k int) int {
			if n++; n <= 300 { // the first choices shrink; the rest come of the seed
				return rapid.IntRange(0, k-1).Draw(rt, "pick")
			}
			return rng.Intn(k)
		}
		if b := runModel(pick, "", acts); b != "" {
			rt.Fatal(b)
		}
	})
}

// TestPlantedFaultsAreFound plants one mistake at a time: each must be found within the seeds.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, f := range []struct{ fault, rule, what string }{
		{"staged", "T1", "a module serves by what is only staged"},
		{"uid", "T1", "a module carries a generation over to a new tenant of the name"},
		{"ready", "T2", "a run serves before it has caught up"},
		{"held", "T3", "a division takes what was sent for what is held"},
		{"over", "T3", "a run's lease is over as soon as it has a successor"},
		{"run", "T3", "a run takes its predecessor's lease for its own"},
		{"lease", "T3", "a run goes on with its lease past its end"},
		{"epoch", "T5", "a commit does not mind who joined since"},
		{"outside", "T5", "a judge counts nodes that are outside of the scope"},
		{"inside", "T5", "a judge forgets nodes that are inside of the scope"},
		{"liar", "T5", "an agent acknowledges what its module refused"},
	} {
		t.Run(f.fault, func(t *testing.T) {
			for seed := int64(1); seed <= 400; seed++ {
				rng := rand.New(rand.NewSource(seed))
				if b := runModel(rng.Intn, f.fault, 40); strings.Contains(b, f.rule+":") {
					t.Logf("seed %d: %s", seed, b)
					return
				}
			}
			t.Errorf("not found: %s", f.what)
		})
	}
}
