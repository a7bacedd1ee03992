package lab

import (
	"strings"
	"testing"

	"meadowsill/lab/scenarios"
)

func TestBundledScenariosParse(t *testing.T) {
	names := scenarios.Names()
	for _, want := range []string{"calm", "herd", "roll", "zone-loss", "partition", "slow-discovery", "small"} {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+want+" ") {
			t.Errorf("scenario %s is not bundled", want)
		}
	}
	for _, name := range names {
		text, _ := scenarios.Read(name)
		if _, err := ParseScenario(name, text); err != nil {
			t.Error(err)
		}
	}
}

func TestScenarioErrorsNameTheirCause(t *testing.T) {
	for text, want := range map[string]string{
		"[load]\nrat = 3\n":                                  `unknown key "load.rat"`,
		"[[events]]\nat_s = 1\ndo = \"explode\"\n":           `do "explode" is not an action`,
		"[[events]]\nat_s = 1\ndo = \"kill\"\nnodes = \"9\"": `selector "9" is not one of 0-3`,
		"[fleet]\nnodes = 0\n":                               "fleet.nodes 0",
		"[fleet]\nlistd_binary = \"x\"\n":                    `key "fleet.listd_binary" was renamed: it is "fleet.discovery_binary" now`,
		"[fleet]\nmembers_binary = \"x\"\n":                  `key "fleet.members_binary" was renamed: it is "fleet.membership_binary" now`,
		"[fleet]\nnode_binary = \"bin/starlingvalve\"\n":     `program "bin/starlingvalve" was renamed: it is "bin/balancer" now`,
		"[fleet]\ndiscovery = \"listd\"\n":                   `fleet.discovery "listd" was renamed: it is "replicated" now`,
		"[fleet]\ndiscovery = \"standin\"\n":                 `fleet.discovery "standin" was renamed: it is "stub" now`,
		"[fleet]\nregions = {g = [\"z\"]}":                   `fleet.regions.g: zone "z"`,
		"[fleet]\nregions = {g = [\"a\"], h = [\"a\"]}":      `fleet.regions.h: zone "a" is in g already`,
		"[servers]\ncold_s = 9\n":                            "servers.cold_s 9 is over",
	} {
		if _, err := ParseScenario("x", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestSelect(t *testing.T) {
	for text, want := range map[string]int{"": 0, "all": 10, "3": 1, "2-5": 4, "0.7": 7} {
		if got, err := Select(text, 10); err != nil || len(got) != want {
			t.Errorf("%q: %v %v", text, got, err)
		}
	}
}
