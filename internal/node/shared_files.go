package node

import (
	"fmt"
	"net/url"
	"path/filepath"
)

// Parts of the names of the files in $TMPDIR that the two processes of an upgrade share. The prefix is a former name of the
// program and must not change: either process may be of an earlier build, which finds the other process and the exclusions
// only by these names.
const (
	sharedFilePrefix = "starlingvalve-"
	exclusionsSuffix = ".bans"
	requestIDsSuffix = ".ids"
)

// exclusionsPath returns the path of the file that stores the app servers that the operators have excluded.
func exclusionsPath(c *Config) string {
	return filepath.Join(c.TempDir, sharedFilePrefix+url.PathEscape(c.Name)+exclusionsSuffix)
}

// requestIDsPath returns the path of the file that stores the ids of requests that must not run twice.
func requestIDsPath(c *Config) string {
	return filepath.Join(c.TempDir, sharedFilePrefix+url.PathEscape(c.Name)+requestIDsSuffix)
}

// slotPath returns the path of the file of one of the slots that the processes of a node claim.
func slotPath(c *Config, slot int) string {
	return filepath.Join(c.TempDir, fmt.Sprintf("%s%s.%d", sharedFilePrefix, url.PathEscape(c.Name), slot))
}
