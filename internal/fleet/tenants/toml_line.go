package tenants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// lineOf finds the line, from 1, of a field's path in a TOML text that decodes. A field that is missing, or that
// stands in an inline table, gives the line of the nearest table above it that is there; 0 where none is.
func lineOf(text, field string) int {
	best, bestLen := 0, 0
	table, seen := "", map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		var at string
		if head, ok := strings.CutPrefix(line, "[["); ok {
			head, _, _ = strings.Cut(head, "]]")
			head = plainKey(head)
			table = fmt.Sprintf("%s[%d]", head, seen[head])
			seen[head]++
			at = table
		} else if head, ok := strings.CutPrefix(line, "["); ok {
			head, _, _ = strings.Cut(head, "]")
			table = plainKey(head)
			at = table
		} else if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			at = join(table, plainKey(key))
		}
		if at != "" && len(at) > bestLen && within(field, at) {
			best, bestLen = i+1, len(at)
		}
	}
	return best
}

// within reports whether path field is at or below path at.
func within(field, at string) bool {
	rest, ok := strings.CutPrefix(field, at)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

func plainKey(k string) string {
	parts := strings.Split(k, ".")
	for i, p := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(p), `"'`)
	}
	return strings.Join(parts, ".")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
