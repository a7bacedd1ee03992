// Package sweeps holds the bundled sweeps of fleetlab scale, one TOML file each (docs/scale.md gives the format).
package sweeps

import (
	"embed"
	"io/fs"
	"sort"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the bundled sweeps, sorted.
func Names() []string {
	entries, _ := fs.ReadDir(files, ".")
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	sort.Strings(out)
	return out
}

// Read returns the text of a bundled sweep.
func Read(name string) ([]byte, error) { return files.ReadFile(name + ".toml") }
