package main

import (
	"slices"
	"testing"

	"meadowsill/lab/scenarios"
)

// A bundled scenario that was renamed gets one line that names the new one, which is bundled.
func TestRenamedScenarioNamesTheNewOne(t *testing.T) {
	for before, now := range renamedScenarios {
		_, err := load(before)
		want := "scenario " + before + " was renamed: it is " + now + " now"
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %q", before, err, want)
		}
		if !slices.Contains(scenarios.Names(), now) {
			t.Errorf("%s is not bundled", now)
		}
	}
}
