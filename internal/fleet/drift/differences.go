package drift

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"meadowsill/internal/fleet"
)

// maxShownBytes is how many bytes of a value a difference contains.
const maxShownBytes = 200

// Differences returns the fields in which two canonical bodies of an item differ, in order, by their path
// ("committed.routes[0].zone"). If only one side has the item, or a body is not JSON, the result is one difference
// without a field.
func Differences(key string, intended, applied json.RawMessage) []Difference {
	a, aok := decodeBody(intended)
	b, bok := decodeBody(applied)
	if !aok || !bok || a == nil || b == nil {
		if bytes.Equal(intended, applied) {
			return nil
		}
		return []Difference{{Key: key, Intended: shorten(intended), Applied: shorten(applied)}}
	}
	var out []Difference
	walkDifferences("", a, b, func(field string, x, y any) {
		out = append(out, Difference{Key: key, Field: field, Intended: canonicalText(x), Applied: canonicalText(y)})
	})
	return out
}

func decodeBody(b json.RawMessage) (any, bool) {
	if len(b) == 0 {
		return nil, true
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var x any
	return x, d.Decode(&x) == nil
}

// walkDifferences calls differ for every field in which x and y differ. A field that is missing on one side is passed as
// nil for that side.
func walkDifferences(path string, x, y any, differ func(string, any, any)) {
	if a, ok := x.(map[string]any); ok {
		if b, ok := y.(map[string]any); ok {
			names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
			slices.Sort(names)
			for _, k := range slices.Compact(names) {
				p := k
				if path != "" {
					p = path + "." + k
				}
				walkDifferences(p, a[k], b[k], differ)
			}
			return
		}
	}
	if a, ok := x.([]any); ok {
		if b, ok := y.([]any); ok {
			for i := range max(len(a), len(b)) {
				var u, v any
				if i < len(a) {
					u = a[i]
				}
				if i < len(b) {
					v = b[i]
				}
				walkDifferences(path+"["+strconv.Itoa(i)+"]", u, v, differ)
			}
			return
		}
	}
	if canonicalText(x) != canonicalText(y) {
		differ(path, x, y)
	}
}

func canonicalText(x any) string {
	b, _, err := appendCanonical(nil, x)
	if err != nil {
		return "?"
	}
	return shorten(b)
}

func shorten(b []byte) string {
	switch {
	case len(b) == 0:
		return "null"
	case len(b) > maxShownBytes:
		return string(bytes.ToValidUTF8(b[:maxShownBytes], nil)) + "..."
	}
	return string(b)
}

// bodyOf returns the body of the item with a key, or nil if there is none.
func bodyOf(items []fleet.AppliedItem, key string) json.RawMessage {
	for i := range items {
		if items[i].Key == key {
			return items[i].Body
		}
	}
	return nil
}
