package tenants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// lineOf returns the line, counted from 1, of a field's path in a valid TOML text. For a field that is missing or inside an
// inline table, it returns the line of the innermost present key or table around the field; 0 if there is none.
func lineOf(text, field string) int {
	best, bestLen := 0, 0
	table, seen := "", map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		var path string
		if head, ok := strings.CutPrefix(line, "[["); ok {
			head, _, _ = strings.Cut(head, "]]")
			head = unquoteKey(head)
			table = fmt.Sprintf("%s[%d]", head, seen[head])
			seen[head]++
			path = table
		} else if head, ok := strings.CutPrefix(line, "["); ok {
			head, _, _ = strings.Cut(head, "]")
			table = unquoteKey(head)
			path = table
		} else if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			path = joinPath(table, unquoteKey(key))
		}
		if path != "" && len(path) > bestLen && within(field, path) {
			best, bestLen = i+1, len(path)
		}
	}
	return best
}

// within reports whether the path field is equal to path or below it.
func within(field, path string) bool {
	rest, ok := strings.CutPrefix(field, path)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

func unquoteKey(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(p), `"'`)
	}
	return strings.Join(parts, ".")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
