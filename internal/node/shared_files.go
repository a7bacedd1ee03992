package node

import (
	"fmt"
	"net/url"
	"path/filepath"
)

// Names of the files in $TMPDIR that the two processes of an upgrade share. They are those of the program's former name
// and keep it: either process may be of an earlier build, which finds the other, and the exclusions, by these names alone.
const (
	sharedFilePrefix = "starlingvalve-"
	exclusionsSuffix = ".bans"
)

// exclusionsPath is the file of the app servers that the operators exclude.
func exclusionsPath(c *Config) string {
	return filepath.Join(c.TempDir, sharedFilePrefix+url.PathEscape(c.Name)+exclusionsSuffix)
}

// slotPath is the file of one of the places that a node's processes take.
func slotPath(c *Config, slot int) string {
	return filepath.Join(c.TempDir, fmt.Sprintf("%s%s.%d", sharedFilePrefix, url.PathEscape(c.Name), slot))
}
