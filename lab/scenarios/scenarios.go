// Package scenarios holds the lab's bundled scenarios, one TOML file each (docs/lab.md gives the format).
package scenarios

import (
	"embed"
	"io/fs"
	"sort"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the bundled scenarios, sorted.
func Names() []string {
	entries, _ := fs.ReadDir(files, ".")
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	sort.Strings(out)
	return out
}

// Read returns the text of a bundled scenario.
func Read(name string) ([]byte, error) { return files.ReadFile(name + ".toml") }
