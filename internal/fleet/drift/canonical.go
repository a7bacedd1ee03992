// Package drift compares the control plane's intent with what each node's policy module has applied, lists the differences
// and plans their repair (docs/drift.md). It does no I/O, reads no clock and starts no goroutines; the caller passes its own
// monotonic time. State is the part that raft replicates, Detector is the leader's state in memory, and LocalDetector is an
// agent's detector for its own node.
package drift

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

// Canonical returns v's JSON in the unique form that digests are computed from: names in byte order, no white space,
// each number in one spelling, and no member with its zero value (null, false, 0, "", [], {}). List elements are kept
// even if zero. It returns an error if v can't be marshalled or a number exceeds the range of a float64.
func Canonical(v any) ([]byte, error) {
	raw, ok := v.(json.RawMessage)
	if !ok {
		var err error
		if raw, err = json.Marshal(v); err != nil {
			return nil, err
		}
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var x any
	if err := d.Decode(&x); err != nil {
		return nil, err
	}
	out, _, err := appendCanonical(nil, x)
	return out, err
}

// appendCanonical appends the canonical form of x and reports whether x is a zero value.
func appendCanonical(out []byte, x any) ([]byte, bool, error) {
	switch x := x.(type) {
	case nil:
		return append(out, "null"...), true, nil
	case bool:
		return strconv.AppendBool(out, x), !x, nil
	case string:
		s, err := json.Marshal(x)
		return append(out, s...), x == "", err
	case json.Number:
		s, err := canonicalNumber(string(x))
		return append(out, s...), s == "0", err
	case []any:
		out = append(out, '[')
		for i, e := range x {
			if i > 0 {
				out = append(out, ',')
			}
			var err error
			if out, _, err = appendCanonical(out, e); err != nil {
				return nil, false, err
			}
		}
		return append(out, ']'), len(x) == 0, nil
	case map[string]any:
		names := make([]string, 0, len(x))
		for k := range x {
			names = append(names, k)
		}
		slices.Sort(names)
		out = append(out, '{')
		isEmpty := true
		for _, k := range names {
			start := len(out)
			if !isEmpty {
				out = append(out, ',')
			}
			name, err := json.Marshal(k)
			if err != nil {
				return nil, false, err
			}
			out = append(append(out, name...), ':')
			var zero bool
			if out, zero, err = appendCanonical(out, x[k]); err != nil {
				return nil, false, err
			}
			if zero {
				out = out[:start]
				continue
			}
			isEmpty = false
		}
		return append(out, '}'), isEmpty, nil
	}
	return nil, false, fmt.Errorf("no JSON value: %T", x)
}

// canonicalNumber returns the canonical spelling of a JSON number: integers below 2^63 (2^64 unsigned) as digits, other
// numbers as the shortest decimal of the same float64.
func canonicalNumber(s string) (string, error) {
	if i, err := strconv.ParseInt(s, 10, 64); err == nil {
		return strconv.FormatInt(i, 10), nil
	}
	if u, err := strconv.ParseUint(s, 10, 64); err == nil {
		return strconv.FormatUint(u, 10), nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return "", err
	}
	if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return strconv.FormatInt(int64(f), 10), nil
	}
	return strconv.FormatFloat(f, 'g', -1, 64), nil
}

// emptyBody is the canonical body of an item that is not applied.
const emptyBody = "{}"

// Digest returns the xxhash64 of b as 16 hex digits.
func Digest(b []byte) string { return hex(xxhash.Sum64(b)) }

// AppliedItemOf makes an item of a key and a value that marshals to the key's body. ok is false if the canonical body is
// empty, which means that nothing is applied for the key.
func AppliedItemOf(key string, v any) (item fleet.AppliedItem, ok bool, err error) {
	b, err := Canonical(v)
	if err != nil {
		return fleet.AppliedItem{}, false, fmt.Errorf("%s: %w", key, err)
	}
	return fleet.AppliedItem{Key: key, Digest: Digest(b), Body: b}, string(b) != emptyBody, nil
}
