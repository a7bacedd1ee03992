package lab

import "fmt"

// renamedKeys, renamedPrograms and renamedDiscoveries map names in scenarios written for earlier versions to the present names.
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

// unknownKey returns the error for a key that scenarios do not have. For a renamed key the error states the new name.
func unknownKey(key string) error {
	if now, ok := renamedKeys[key]; ok {
		return fmt.Errorf("key %q was renamed: it is %q now", key, now)
	}
	return fmt.Errorf("unknown key %q", key)
}

// checkRenamed returns an error if the fleet uses an earlier name for a program or for the kind of discovery.
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
