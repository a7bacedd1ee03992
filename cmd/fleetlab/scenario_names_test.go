package main

import (
	"slices"
	"testing"

	"meadowsill/lab/scenarios"
)

// Loading a bundled scenario by its former name fails with one line that gives the new name, and a scenario of that name is bundled.
func TestRenamedScenarioNamesTheNewOne(t *testing.T) {
	for oldName, newName := range renamedScenarios {
		_, err := loadScenario(oldName)
		want := "scenario " + oldName + " was renamed: it is " + newName + " now"
		if err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %q", oldName, err, want)
		}
		if !slices.Contains(scenarios.Names(), newName) {
			t.Errorf("%s is not bundled", newName)
		}
	}
}
