package lab

import "fmt"

// renamedKeys and renamedPrograms map what scenarios written for earlier builds name to its present name.
var (
	renamedKeys = map[string]string{
		"fleet.listd_binary":   "fleet.discovery_binary",
		"fleet.members_binary": "fleet.membership_binary",
	}
	renamedPrograms = map[string]string{
		"bin/starlingvalve": "bin/balancer",
		"bin/listd":         "bin/discovery",
		"bin/members":       "bin/membership",
	}
	renamedDiscoveries = map[string]string{"standin": "stub", "listd": "replicated"}
)

// unknownKey returns the error of a key that scenarios do not have, with the new name of one that was renamed.
func unknownKey(key string) error {
	if now, ok := renamedKeys[key]; ok {
		return fmt.Errorf("key %q was renamed: it is %q now", key, now)
	}
	return fmt.Errorf("unknown key %q", key)
}

// checkRenamed returns an error where the fleet names a program or a discovery by an earlier name.
func (f *Fleet) checkRenamed() error {
	for _, binary := range []string{f.NodeBinary, f.DiscoveryBinary, f.MembershipBinary} {
		if now, ok := renamedPrograms[binary]; ok {
			return fmt.Errorf("program %q was renamed: it is %q now", binary, now)
		}
	}
	if now, ok := renamedDiscoveries[f.Discovery]; ok {
		return fmt.Errorf("fleet.discovery %q was renamed: it is %q now", f.Discovery, now)
	}
	return nil
}
